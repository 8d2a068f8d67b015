package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"ragwortstep/internal/core/placement"
)

// preemptForOnline preempts one batch item for each waiting online request and
// pauses batch work. Items at servers that take no more requests run on: online
// requests could not use their slots. The caller holds mu.
func (s *Scheduler) preemptForOnline(service string, q *queue, waiting int, now time.Time) {
	freesSlot := func(slot *Slot) bool { return slot.request.Service == service && s.placer.Ready(slot.Server.ID) }
	preempting := 0
	for slot := range s.batchSlots {
		if slot.preemptSignaled && freesSlot(slot) {
			preempting++
		}
	}
	for _, slot := range s.victims(now) {
		if preempting >= waiting {
			break
		}
		if freesSlot(slot) && slot.preempt(OnlineWaits) {
			preempting++
		}
	}
	q.batchPausedUntil = now.Add(batchPause)
}

// victims returns the slots of batch items in the order in which they are preempted:
// those that end too late anyway, then those due last, because these also wait longest
// for their next slot and are not preempted again at once. Of items of one job, those with
// most left to run come first. Items that are almost done come last. The caller holds mu.
func (s *Scheduler) victims(now time.Time) []*Slot {
	out := slices.Collect(maps.Keys(s.batchSlots))
	rank := func(slot *Slot) int {
		switch {
		case slot.request.Deadline.Before(now):
			return 0
		case slot.left(now) > placement.AlmostDone:
			return 1
		}
		return 2
	}
	slices.SortFunc(out, func(a, b *Slot) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), b.request.Deadline.Compare(a.request.Deadline), cmp.Compare(b.left(now), a.left(now)), b.startedAt.Compare(a.startedAt))
	})
	return out
}

// left returns how long the item is expected to run still, and a long time if that is
// not known.
func (slot *Slot) left(now time.Time) time.Duration {
	if slot.request.Left == 0 {
		return math.MaxInt64
	}
	return max(slot.request.Left-now.Sub(slot.startedAt), 0)
}

// preemptOverload preempts batch items at servers that have more requests in
// flight than slots. The caller holds mu.
func (s *Scheduler) preemptOverload(now time.Time) {
	for name, q := range s.queues {
		s.placer.SetWaiting(name, q.waitingByClass())
	}
	if s.placer.ObserveDemand(now) && s.opts.Cluster.IsDelegate() {
		s.opts.Cluster.SendNow() // what the zone's hosts reported would wait for the next round
	}
	if len(s.batchSlots) == 0 {
		return
	}
	s.preemptForWave(now)
	surplus := s.placer.BatchToPreempt(now)
	if len(surplus) == 0 {
		return
	}
	for _, slot := range s.victims(now) {
		if surplus[slot.Server.ID] > 0 && slot.preempt(ServerOverloaded) {
			surplus[slot.Server.ID]--
			s.placer.RecordConflict(slot.Server.ID, now)
			s.queue(slot.request.Service).batchPausedUntil = now.Add(batchPause)
		}
	}
}

// preemptForWave preempts the batch items that do not fit beside a wave of online
// requests. The caller holds mu.
func (s *Scheduler) preemptForWave(now time.Time) {
	if s.placer.Waves() == 0 {
		return
	}
	for _, slot := range s.victims(now) {
		if s.placer.YieldsToWave(slot.Server.ID, slot.left(now), now) {
			slot.preempt(WaveStarted)
		}
	}
}

// preemptAt preempts a batch item of this host at a server that has more requests
// in flight than slots, for the online request that was sent there. The caller
// holds mu.
func (s *Scheduler) preemptAt(server string, now time.Time) {
	if len(s.batchSlots) == 0 || !s.placer.Overloaded(server, now) {
		return
	}
	for _, slot := range s.victims(now) {
		if slot.Server.ID == server && slot.preempt(OnlineSent) {
			s.queue(slot.request.Service).batchPausedUntil = now.Add(batchPause)
			return
		}
	}
}

// preempt asks the batch item to release its slot. It reports false if it was
// asked before.
func (slot *Slot) preempt(reason PreemptReason) bool {
	if slot.preemptSignaled {
		return false
	}
	slot.preemptSignaled, slot.preemptReason = true, reason
	slot.s.placer.SetPreempting(slot.Server.ID)
	counters.Add("stepped_aside", 1)
	counters.Add("preempted_"+string(reason), 1)
	close(slot.Preempted)
	return true
}
