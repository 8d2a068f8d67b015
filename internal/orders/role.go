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

	// minStepsPerRenewal is the least number of steps in each renewal interval.
	minStepsPerRenewal = 6
	// maxReleaseSteps bounds the calls to the platform when the role is
	// released.
	maxReleaseSteps = 4
)

// role maintains the lease of the order controller. It is safe for concurrent
// use.
type role struct {
	store     store.Store
	opts      lease.Options
	candidate func() bool
	logger    *slog.Logger
	onChange  func(held bool, epoch uint64)

	mu        sync.Mutex
	leaseRole *lease.Role
	seq       uint64 // sequence number of the last written envelope
	epoch     uint64 // current or most recent epoch
	held      bool   // last value passed to onChange
}

// run maintains the lease until ctx ends. Call release afterwards.
func (r *role) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := r.opts.Renew
		if _, held := r.current(); held || r.candidate() {
			wait = r.step(ctx)
		}
		r.reportChange()
		sleep(ctx, min(wait, r.opts.Renew/minStepsPerRenewal))
	}
}

// step performs the next action of the lease and returns the time to wait.
func (r *role) step(ctx context.Context) time.Duration {
	now := time.Now()
	r.mu.Lock()
	step := r.leaseRole.Next(now)
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
		r.leaseRole.OnFailure(time.Now())
		return
	}
	r.leaseRole.OnRead(time.Now(), record, obj.Version)
}

func (r *role) write(ctx context.Context, step lease.Step) {
	raw, err := json.Marshal(step.Record)
	if err != nil {
		r.recordFailure()
		return
	}
	r.seq++ // only one goroutine writes
	env := store.Envelope{Writer: r.opts.Self, Seq: r.seq, Data: raw}
	obj, err := store.PutEnvelope(ctx, r.store, RoleKey, env, step.Version)
	if err != nil {
		r.recordFailure()
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseRole.OnWritten(time.Now(), obj.Version)
	if epoch, held := r.leaseRole.Held(time.Now()); held {
		r.epoch = epoch
	}
}

// recordFailure makes the lease read its record again before the next write.
func (r *role) recordFailure() {
	counters.Add("role_errors", 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaseRole.OnFailure(time.Now())
}

// reportChange calls onChange if the role was gained or lost.
func (r *role) reportChange() {
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

// release gives up the role, so that another host can take it over without
// waiting. Call it when run has returned and no order is in flight.
func (r *role) release(ctx context.Context) {
	if _, held := r.current(); !held {
		return
	}
	r.mu.Lock()
	r.leaseRole.Resign()
	r.mu.Unlock()
	for range maxReleaseSteps {
		wait := r.step(ctx)
		if _, held := r.current(); !held {
			break
		}
		sleep(ctx, wait)
	}
	r.reportChange()
}

// heldAt reports whether the lease is currently held in the given epoch.
func (r *role) heldAt(epoch uint64) bool {
	heldEpoch, held := r.current()
	return held && heldEpoch == epoch
}

// mayOrder reports whether an order of the given epoch may be sent now.
func (r *role) mayOrder(epoch uint64, fencing bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	current, held := r.leaseRole.Held(now)
	return held && current == epoch && r.leaseRole.MaySendOrders(now, fencing)
}

// current returns the current or most recent epoch, and whether the lease is
// held.
func (r *role) current() (epoch uint64, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch, held = r.leaseRole.Held(time.Now()); held {
		return epoch, true
	}
	return r.epoch, false
}
