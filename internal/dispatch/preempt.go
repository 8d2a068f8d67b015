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
	if d.hasFree(server, now) {
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
	own := 0
	for _, n := range p.batchAt {
		own += n
	}
	if own == 0 {
		return
	}
	online, batch := p.division.OnlineItems, own
	for _, peer := range p.peers {
		batch += peer.BatchRunning
	}
	surplus := online + batch - d.bal.Pool(now, p.name).Slots
	if surplus <= 0 {
		return
	}
	cancel := int(math.Ceil(float64(surplus) * float64(own) / float64(batch)))
	for range min(cancel, own) {
		victim := p.latestBatch("")
		if victim == nil {
			return
		}
		d.preempt(victim, now)
	}
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
