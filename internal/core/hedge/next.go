package hedge

import "time"

const (
	// A repeatable request is sent to another server too if no response header
	// arrives within firstByteFactor times the route's objective, and at least
	// minFirstByte.
	firstByteFactor = 3
	minFirstByte    = 250 * time.Millisecond
	// A resumable stream is offered to another server if no event arrives within
	// eventGapFactor times the route's gap objective, and at least minEventGap.
	eventGapFactor = 3
	minEventGap    = 500 * time.Millisecond
	// Callers leave a stream after a gap of minPatience, objectivesOfPatience times
	// the route's objective, or gapsOfPatience times its gap objective, whichever is
	// longest.
	minPatience          = 2 * time.Second
	objectivesOfPatience = 4
	gapsOfPatience       = 8
	// maxGapDoublings bounds how often the event gap after which another server is
	// asked doubles, once for each server that took over.
	maxGapDoublings = 4
	// giveUpPart is the part of the callers' patience after which a silent server is
	// given up for one that has not answered yet.
	giveUpPart = 0.75
)

// Phase is how far an answer has come.
type Phase int

// Phases of an answer.
const (
	Unanswered Phase = iota // nothing has arrived
	InBody                  // the header of a response that is no stream has arrived
	InStream                // the header of a stream has arrived
)

// Objectives are the objectives of a route.
type Objectives struct {
	FirstByte time.Duration
	Gap       time.Duration // between events of a stream
}

// FirstByteSilence returns the time without an answer that is expected of servers at
// work.
func (o Objectives) FirstByteSilence() time.Duration {
	return max(firstByteFactor*o.FirstByte, minFirstByte)
}

// MaxSilence returns the silence in a phase that is expected of servers at work.
// takeOvers counts the servers of a stream that were left for their silence.
func (o Objectives) MaxSilence(p Phase, takeOvers int) time.Duration {
	switch p {
	case InBody:
		return o.GiveUpAfter()
	case InStream:
		// Each run makes some progress, so a stream whose servers are silent in turn is
		// left later each time.
		gap := max(eventGapFactor*o.Gap, minEventGap)
		return min(gap<<min(takeOvers, maxGapDoublings), max(gap, o.GiveUpAfter()))
	}
	return o.FirstByteSilence()
}

// GiveUpAfter returns the silence after which a server is given up for one that has not
// answered yet, while the caller still waits.
func (o Objectives) GiveUpAfter() time.Duration {
	patience := max(minPatience, objectivesOfPatience*o.FirstByte, gapsOfPatience*o.Gap)
	return time.Duration(giveUpPart * float64(patience))
}

// Situation is that of a request whose answer is awaited from one server.
type Situation struct {
	Repeatable bool
	MayAsk     bool // a server may be asked by Attempts
	Phase      Phase
	Silent     time.Duration // since anything of the answer arrived, or since it was sent
	TakeOvers  int           // servers of the request that were left for their silence
	// SecondIn is the time until a second attempt is due, negative if it is overdue. It
	// holds if HasSecond is set.
	SecondIn  time.Duration
	HasSecond bool
}

// Step is what is due next for a request whose server does not answer.
type Step int

// Steps.
const (
	Wait    Step = iota // for the answer only
	Second              // a second attempt, within the limit
	Replace             // another server, because this one is silent
)

// Next returns the next step and the time until it is due, which is not positive if it
// is due now.
func (o Objectives) Next(s Situation) (Step, time.Duration) {
	if !s.Repeatable || !s.MayAsk {
		return Wait, 0
	}
	replaceIn := o.MaxSilence(s.Phase, s.TakeOvers) - s.Silent
	if s.HasSecond && s.SecondIn < replaceIn {
		return Second, s.SecondIn
	}
	return Replace, replaceIn
}
