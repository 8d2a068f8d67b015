package slots

import (
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/metrics"
)

const (
	// grantRateTimeConstant is the time constant of the moving average of the
	// rate at which waiting requests get slots.
	grantRateTimeConstant = time.Second
	// maxWaiting bounds the online requests that wait for one service.
	maxWaiting = 2000
	// minAdvisedWait and maxAdvisedWait bound the retry delay in a refusal.
	minAdvisedWait = 50 * time.Millisecond
	maxAdvisedWait = 2 * time.Second
	// minMeanSeconds keeps the estimated rate finite until the first request ends.
	minMeanSeconds = 0.01
)

// item describes a request for the queue.
func (q *queue) item(id uint64, r Request) schedule.Item {
	item := schedule.Item{
		ID: id, Workspace: r.Workspace, Class: classOf(r.Class), Cost: max(r.Cost, 1), Deadline: r.Deadline,
		LatestStart: r.LatestStart, Needs: r.needs(), Rank: r.Rank,
	}
	if r.Class == placement.Online && !r.OnTimeBy.IsZero() {
		item.OnTimeStart = r.OnTimeBy.Add(-time.Duration(q.answerSeconds * float64(time.Second)))
	}
	return item
}

// recordAnswer records the time from a slot to the first event or the answer.
func (q *queue) recordAnswer(took time.Duration) {
	q.answerSeconds = meanTimeDecay*q.answerSeconds + (1-meanTimeDecay)*took.Seconds()
}

// demoteLate moves the waiting requests that can no longer be on time behind the others.
// The caller holds mu.
func (s *Scheduler) demoteLate(q *queue, now time.Time) {
	if n := q.order.DemoteLate(now); n > 0 {
		counters.Add("became_late", int64(n))
		q.waves.Observe(now)
	}
}

// refuseIfLate refuses an online request if the queue is full, if it is too long for the
// request to be served before its deadline, or if the request would be late and its caller
// is better off to come back after the wave. A full queue refuses a request of a less
// urgent rank instead, if one waits.
func (s *Scheduler) refuseIfLate(q *queue, request Request, item schedule.Item, now time.Time) error {
	if request.Class == placement.Batch || request.Begun {
		return nil
	}
	waiting := q.order.Len(schedule.Online)
	if waiting == 0 {
		return nil
	}
	arrival := schedule.Arrival{Now: now, OnTimeStart: item.OnTimeStart, Deadline: request.Deadline, MayReturn: request.MayReturn}
	verdict, after := schedule.Decide(arrival, s.outlook(q, request.Service, item, now), &q.waves)
	switch verdict {
	case schedule.OutOfTime:
		return &RefusedError{Reason: "the queue of " + request.Service + " is longer than the deadline allows", After: clampAdvisedWait(after)}
	case schedule.SendAround:
		counters.Add("sent_around", 1)
		return &RefusedError{Reason: "the queue of " + request.Service + " is longer than the objective allows", After: clampAdvisedWait(after), SentAround: true}
	}
	if waiting >= maxWaiting && !s.refuseLessUrgent(q, request.Rank) {
		return &RefusedError{Reason: "too many requests wait for " + request.Service, After: maxAdvisedWait}
	}
	return nil
}

// outlook estimates how a new online request fares that waits. The caller holds mu.
func (s *Scheduler) outlook(q *queue, service string, item schedule.Item, now time.Time) schedule.Outlook {
	rate := s.expectedGrantRate(service, q, now)
	o := schedule.Outlook{
		Wait: q.order.WaitAhead(item, false, rate), Duration: time.Duration(q.meanSeconds * float64(time.Second)), Rate: rate,
	}
	if !item.OnTimeStart.IsZero() && now.Add(o.Wait).After(item.OnTimeStart) {
		o.Wait = q.order.WaitAhead(item, true, rate)
	}
	return o
}

// refuseLessUrgent refuses the waiting request that would be served last among those of
// less urgent ranks. It reports false if there is none. The caller holds mu.
func (s *Scheduler) refuseLessUrgent(q *queue, rank int) bool {
	id, ok := q.order.LastBehind(rank, func(id uint64) bool { return !q.waiting[id].request.Begun })
	if !ok {
		return false
	}
	w := q.waiting[id]
	q.order.Remove(id)
	delete(q.waiting, id)
	counters.Add("displaced", 1)
	w.refusal = &RefusedError{Reason: "more urgent requests wait for " + w.request.Service, After: maxAdvisedWait}
	w.granted <- nil
	return true
}

// expectedGrantRate estimates how many waiting online requests get a slot per second: as
// measured, or this host's share of the service's throughput if there is no recent
// measurement. The caller holds mu.
func (s *Scheduler) expectedGrantRate(service string, q *queue, now time.Time) float64 {
	_, slots := s.placer.ServiceLoad(service, now)
	hosts := float64(len(s.opts.Cluster.Alive()) + 1)
	rate := float64(slots) / max(q.meanSeconds, minMeanSeconds) / hosts
	if now.Sub(q.lastGrant) < grantRateTimeConstant {
		rate = max(q.grantRate, rate/2)
	}
	return max(rate, 1)
}

// recordGrant updates the grant rate after a waiting request got a slot.
func (q *queue) recordGrant(now time.Time) {
	if !q.lastGrant.IsZero() {
		dt := max(now.Sub(q.lastGrant).Seconds(), 1e-3)
		keep := max(1-dt/grantRateTimeConstant.Seconds(), 0)
		q.grantRate = keep*q.grantRate + (1-keep)/dt
	}
	q.lastGrant = now
}

func clampAdvisedWait(d time.Duration) time.Duration {
	return min(max(d, minAdvisedWait), maxAdvisedWait)
}

// RetryAfter returns the retry delay for refusals: the time until a new request
// is likely to get a slot.
func (s *Scheduler) RetryAfter(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, now := s.queue(service), time.Now()
	wait := float64(q.order.Len(schedule.Online)) / s.expectedGrantRate(service, q, now)
	return clampAdvisedWait(time.Duration(wait * float64(time.Second)))
}

// registerWaitingGauges registers the gauges of waiting online requests.
func (s *Scheduler) registerWaitingGauges(registry *metrics.Registry) {
	count := func(of func(*schedule.Queue) int) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			n := 0
			for _, q := range s.queues {
				n += of(q.order)
			}
			return float64(n)
		}
	}
	registry.Gauge("requests_waiting", count(func(q *schedule.Queue) int { return q.Len(schedule.Online) }))
	registry.Gauge("requests_waiting_late", count((*schedule.Queue).Late))
}
