package bulk

import (
	"math"
	"sync"
	"time"
)

const (
	// paceDecay is the weight of the old value in the moving averages of pace.
	paceDecay = 0.9
	// listingTime is reserved between the end of an item and its deadline, for the
	// write that lists its result.
	listingTime = urgentCommitDelay + 700*time.Millisecond
)

// pace estimates how long items still run, from those that ran at this host. It
// is safe for concurrent use.
type pace struct {
	mu              sync.Mutex
	events          float64 // mean number of events of an item, 0 when unknown
	eventsPerToken  float64 // mean over items whose submitter estimated their tokens, 0 when unknown
	meanError       float64 // mean difference between events and those of an item
	hintError       float64 // the same of the number that follows from the submitter's estimate
	secondsPerEvent float64 // mean over runs, 0 when unknown
}

// recordRun records a run at a server that made events.
func (p *pace) recordRun(events int, took time.Duration) {
	if events == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	movingAverage(&p.secondsPerEvent, took.Seconds()/float64(events))
}

// recordItem records the number of events of a completed item and the tokens that its
// submitter expected, 0 if it did not say.
func (p *pace) recordItem(events int, tokens float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	actual := float64(events)
	if p.events > 0 {
		movingAverage(&p.meanError, math.Abs(actual-p.events))
	}
	if tokens > 0 && p.eventsPerToken > 0 {
		movingAverage(&p.hintError, math.Abs(actual-tokens*p.eventsPerToken))
	}
	movingAverage(&p.events, actual)
	if tokens > 0 {
		movingAverage(&p.eventsPerToken, actual/tokens)
	}
}

func movingAverage(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean = paceDecay**mean + (1-paceDecay)*value
}

// expectedEvents estimates the events of an item: from its submitter's estimate where
// those were closer than the mean number, else the mean. It returns 0 when that is unknown.
// The caller holds mu.
func (p *pace) expectedEvents(tokens float64) float64 {
	if tokens > 0 && p.hintError < p.meanError {
		return tokens * p.eventsPerToken
	}
	return p.events
}

// remaining estimates how long an item that has made events still runs, 0 when no item
// has ended yet. tokens are those that its submitter expected, 0 if unknown.
func (p *pace) remaining(events int, tokens float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.expectedEvents(tokens)
	if expected == 0 {
		return 0
	}
	left := max(expected-float64(events), 1)
	return time.Duration(left * p.secondsPerEvent * float64(time.Second))
}

// latestStart returns when a run must start so that the result of an item that
// has made events is listed by the deadline.
func (p *pace) latestStart(deadline time.Time, events int, tokens float64) time.Time {
	return deadline.Add(-listingTime - p.remaining(events, tokens))
}
