package dispatch

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/invariant"
)

// preemptAtServer cancels one batch item at a server without a free slot for an
// online request that is about to start there. The caller holds mu.
func (d *Dispatcher) preemptAtServer(p *poolState, server string, now time.Time) {
	if d.bal.Load(now, server) < float64(overcommitLimit(d.bal.Limit(server))) {
		return
	}
	if d.opts.NoPreempt || p.batchInFlight[server] == 0 {
		d.reportSlotShortage(p, now)
		return
	}
	if victim := p.latestPreemptible(server); victim != nil {
		d.preempt(victim, now)
	}
}

// overcommitFraction is the fraction of a server's limit by which online
// requests may exceed it before batch work is preempted. Under a steady online
// load, slots are freed as often as they are taken, and most preemptions would
// only save the wait for the next request to end. Meanwhile the server's step
// time grows by at most this fraction.
const overcommitFraction = 1.0 / 8

// overcommitLimit returns the load from which online requests preempt batch
// work at a server.
func overcommitLimit(limit int) int {
	return limit + max(1, int(overcommitFraction*float64(limit)))
}

// latestPreemptible returns the idempotent batch run that started last and so
// has the least work to lose, at one server or, if server is empty, at any.
func (p *poolState) latestPreemptible(server string) *run {
	var latest *run
	for r := range p.runs {
		if r.job.class != schedule.Batch || !r.job.req.Idempotent || (server != "" && r.server != server) {
			continue
		}
		if latest == nil || r.started.After(latest.started) {
			latest = r
		}
	}
	return latest
}

// preempt cancels a batch item at its server and frees its slot at once. The
// caller holds mu.
func (d *Dispatcher) preempt(r *run, now time.Time) {
	invariant.Check(r.job.req.Idempotent && r.job.class == schedule.Batch, "I10", "preempt", r.server)
	counters.Add("preempted", 1)
	r.cancel(&PreemptedError{Server: r.server})
	d.endRun(r, balance.Neutral, 0, now)
}

// preempted returns the *PreemptedError of a preempted run, or nil.
func (r *run) preempted() error {
	var err *PreemptedError
	if errors.As(context.Cause(r.ctx), &err) {
		return err
	}
	return nil
}

// preemptSurplus cancels this host's share of the batch work that must end for
// the online work of all hosts. The caller holds mu.
func (d *Dispatcher) preemptSurplus(p *poolState, now time.Time) {
	if d.opts.NoPreempt {
		return
	}
	own, batch := p.batchRunning()
	surplusBatch := d.surplusBatch(p, now)
	if own == 0 || surplusBatch <= 0 {
		return
	}
	cancel := d.roundStochastically(float64(surplusBatch) * float64(own) / float64(batch))
	for range min(cancel, own) {
		victim := p.latestPreemptible("")
		if victim == nil {
			return
		}
		d.preempt(victim, now)
	}
}

// batchRunning returns the number of running batch items of this host and of
// all hosts.
func (p *poolState) batchRunning() (own, all int) {
	for _, n := range p.batchInFlight {
		own += n
	}
	all = own
	for _, peer := range p.peers {
		all += peer.BatchRunning
	}
	return own, all
}

// surplusBatch returns how many batch items of all hosts must end for online
// work: one per waiting online request if the pool is full, and at least those
// beyond the overcommit limit.
func (d *Dispatcher) surplusBatch(p *poolState, now time.Time) int {
	_, batch := p.batchRunning()
	slots := d.bal.Pool(now, p.name).Slots
	waiting := p.queue.Len(schedule.Online)
	for _, peer := range p.peers {
		waiting += peer.OnlineWaiting
	}
	work := p.division.OnlineItems + batch
	return max(work-overcommitLimit(slots), min(waiting, work-slots))
}

// roundStochastically rounds up or down at random so that the expected value is
// x. If every host rounded up, several items would be cancelled per waiting
// request.
func (d *Dispatcher) roundStochastically(x float64) int {
	return int(math.Floor(x + d.rng.Float64()))
}

// reportSlotShortage records that an online request found no free slot and asks
// peers to preempt batch work. The caller holds mu.
func (d *Dispatcher) reportSlotShortage(p *poolState, now time.Time) {
	first := now.Sub(p.slotShortageAt) > slotShortageDuration
	p.slotShortageAt = now
	if first {
		counters.Add("pressed", 1)
		go d.publishNow()
	}
}

// slotShortageDuration is how long a slot shortage is reported after an online
// request found no free slot.
const slotShortageDuration = 100 * time.Millisecond
