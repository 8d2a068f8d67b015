package orders

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/store"
)

const (
	// RoleKey is the platform key of the order controller's lease.
	RoleKey = "roles/orders"

	// roleTicks is how many steps a role makes at least in each renewal interval.
	roleTicks = 6
	// releaseSteps bounds the calls to the platform when the role is given up.
	releaseSteps = 4
)

// role drives the lease of the order controller. It is safe for concurrent use.
type role struct {
	store     store.Store
	opts      lease.Options
	candidate func() bool
	logger    *slog.Logger
	onChange  func(held bool, epoch uint64)

	mu    sync.Mutex
	core  *lease.Role
	seq   uint64 // of the written envelopes
	epoch uint64 // held now or last
	held  bool   // as reported to onChange
}

// run keeps the lease until ctx ends. Call release afterwards.
func (r *role) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.opts.Renew
		if _, held := r.current(); held || r.candidate() {
			wait = r.step(ctx)
		}
		r.report()
		sleep(ctx, min(wait, r.opts.Renew/roleTicks))
	}
}

// step does what the lease asks for next, and returns the time to wait.
func (r *role) step(ctx context.Context) time.Duration {
	now := time.Now()
	r.mu.Lock()
	step := r.core.Next(now)
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, r.opts.Renew)
	defer cancel()
	switch step.Action {
	case lease.Read:
		r.read(ctx)
	case lease.Write:
		r.write(ctx, step)
	case lease.Wait:
		return step.At.Sub(now)
	}
	return 0
}

func (r *role) read(ctx context.Context) {
	obj, env, exists, err := store.ReadEnvelope(ctx, r.store, RoleKey)
	var record lease.Record
	if err == nil && exists {
		err = errors.Wrapf(json.Unmarshal(env.Data, &record), "decode %s", RoleKey)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		counters.Add("role_errors", 1)
		r.core.Failed(time.Now())
		return
	}
	r.core.Observed(time.Now(), record, obj.Version)
}

func (r *role) write(ctx context.Context, step lease.Step) {
	raw, err := json.Marshal(step.Record)
	if err != nil {
		r.fail()
		return
	}
	r.seq++ // one goroutine writes
	env := store.Envelope{Writer: r.opts.Self, Seq: r.seq, Data: raw}
	obj, err := store.PutEnvelope(ctx, r.store, RoleKey, env, step.Version)
	if err != nil {
		r.fail()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Written(time.Now(), obj.Version)
	if epoch, held := r.core.Held(time.Now()); held {
		r.epoch = epoch
	}
}

// fail makes the lease read the record again before it writes.
func (r *role) fail() {
	counters.Add("role_errors", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Failed(time.Now())
}

// report tells onChange when the role was gained or lost.
func (r *role) report() {
	epoch, held := r.current()
	r.mu.Lock()
	changed := held != r.held
	r.held = held
	r.mu.Unlock()
	if changed {
		r.logger.Info("order controller role", "held", held, "epoch", epoch)
		r.onChange(held, epoch)
	}
}

// release gives the role up, so that another host takes it over without
// waiting. Call it when run has returned and no order is on its way any more.
func (r *role) release(ctx context.Context) {
	if _, held := r.current(); !held {
		return
	}
	r.mu.Lock()
	r.core.Resign()
	r.mu.Unlock()
	for range releaseSteps {
		wait := r.step(ctx)
		if _, held := r.current(); !held {
			break
		}
		sleep(ctx, wait)
	}
	r.report()
}

// heldAt reports whether the lease of the epoch holds now.
func (r *role) heldAt(epoch uint64) bool {
	now, held := r.current()
	return held && now == epoch
}

// mayOrder reports whether an order under the epoch may be sent now.
func (r *role) mayOrder(epoch uint64, fencing bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	current, held := r.core.Held(now)
	return held && current == epoch && r.core.MayOrder(now, fencing)
}

// current returns the epoch held now or last, and whether the lease holds.
func (r *role) current() (epoch uint64, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch, held = r.core.Held(time.Now()); held {
		return epoch, true
	}
	return r.epoch, false
}
