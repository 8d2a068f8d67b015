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

// makeRoom cancels one batch item at a server that has no free slot for the
// online request about to start there. The caller holds mu.
func (d *Dispatcher) makeRoom(p *poolState, server string, now time.Time) {
	if d.bal.Load(now, server) < float64(overfill(d.bal.Limit(server))) {
		return
	}
	if d.opts.NoPreempt || p.batchAt[server] == 0 {
		d.press(p, now)
		return
	}
	if victim := p.latestBatch(server); victim != nil {
		d.preempt(victim, now)
	}
}

// overfillPart is the part of a server's limit by which online requests may
// exceed it before batch work is cancelled there. Beside a steady online load,
// slots are freed as often as they are taken, so that most cancelled items
// would only have had to wait for the next request to end; the step time of
// the server grows by at most this part meanwhile.
const overfillPart = 1.0 / 8

// overfill returns the load at which a server has room for no more online
// requests beside its batch work.
func overfill(limit int) int {
	return limit + max(1, int(overfillPart*float64(limit)))
}

// latestBatch returns the batch run that may be cancelled with the least work
// lost, at one server or, with an empty name, at any.
func (p *poolState) latestBatch(server string) *run {
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
	d.end(r, balance.Neutral, 0, now)
}

// preempted returns the error of a run that was cancelled for online work, or nil.
func (r *run) preempted() error {
	var err *PreemptedError
	if errors.As(context.Cause(r.ctx), &err) {
		return err
	}
	return nil
}

// yield cancels this host's part of the batch work that leaves no slot for
// the online work of all hosts. The caller holds mu.
func (d *Dispatcher) yield(p *poolState, now time.Time) {
	if d.opts.NoPreempt {
		return
	}
	own, batch := p.batchRunning()
	surplus := d.surplus(p, now)
	if own == 0 || surplus <= 0 {
		return
	}
	cancel := d.roundRandomly(float64(surplus) * float64(own) / float64(batch))
	for range min(cancel, own) {
		victim := p.latestBatch("")
		if victim == nil {
			return
		}
		d.preempt(victim, now)
	}
}

// batchRunning returns the batch work in flight of this host and of all hosts.
func (p *poolState) batchRunning() (own, all int) {
	for _, n := range p.batchAt {
		own += n
	}
	all = own
	for _, peer := range p.peers {
		all += peer.BatchRunning
	}
	return own, all
}

// surplus returns how many batch items of all hosts must end for the online
// work: one for each waiting request, as far as the pool is full, and those
// that fill it beyond what online requests may exceed the limits by.
func (d *Dispatcher) surplus(p *poolState, now time.Time) int {
	_, batch := p.batchRunning()
	slots := d.bal.Pool(now, p.name).Slots
	waiting := p.queue.Len(schedule.Online)
	for _, peer := range p.peers {
		waiting += peer.OnlineWaiting
	}
	work := p.division.OnlineItems + batch
	return max(work-overfill(slots), min(waiting, work-slots))
}

// roundRandomly rounds to a neighbouring integer so that the mean is kept.
// Rounding up at each host would cancel several items per waiting request.
func (d *Dispatcher) roundRandomly(x float64) int {
	return int(math.Floor(x + d.rng.Float64()))
}

// press notes that an online request finds no free slot, so that peers make
// room. The caller holds mu.
func (d *Dispatcher) press(p *poolState, now time.Time) {
	first := now.Sub(p.pressedAt) > pressFor
	p.pressedAt = now
	if first {
		counters.Add("pressed", 1)
		go d.publishNow()
	}
}

// pressFor is how long a pool counts as pressed after an online request found
// no free slot.
const pressFor = 100 * time.Millisecond
