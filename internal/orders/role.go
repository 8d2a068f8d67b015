package orders

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/orders"
	"ragwortstep/internal/platform"
)

// RoleKey is the platform key of the order controller's lease.
const RoleKey = "roles/orders"

// roleTicks is how many steps a role makes in each renewal interval.
const roleTicks = 6

// errRoleChanged reports that the stored record is not the expected one.
var errRoleChanged = errors.New("role record changed")

// role drives the lease of the order controller. It is safe for concurrent use.
type role struct {
	store     platform.Store
	writer    *platform.Writer
	times     orders.RoleTimes
	candidate func() bool
	logger    *slog.Logger
	onChange  func(held bool, epoch uint64)

	mu   sync.Mutex
	core *orders.Role
	held bool // as reported to onChange
}

// run keeps the lease until ctx ends, and then releases it.
func (r *role) run(ctx context.Context) {
	tick := time.NewTicker(r.times.Renew / roleTicks)
	defer tick.Stop()
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (r *role) step(ctx context.Context) {
	r.mu.Lock()
	next := r.core.Step(time.Now(), r.candidate())
	r.mu.Unlock()
	switch next.Action {
	case orders.RoleRead:
		r.read(ctx)
	case orders.RoleWrite:
		r.write(ctx, next)
	}
	r.report()
}

func (r *role) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.times.Renew)
	defer cancel()
	_, env, exists, err := platform.ReadEnvelope(ctx, r.store, RoleKey)
	if err != nil {
		return // read again at the next interval
	}
	record, err := decodeRole(env.Data, exists)
	if err != nil {
		r.logger.Warn("role record", "step", "read", "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Seen(time.Now(), record)
}

func decodeRole(raw json.RawMessage, exists bool) (orders.RoleRecord, error) {
	var record orders.RoleRecord
	if !exists {
		return record, nil
	}
	err := json.Unmarshal(raw, &record)
	return record, errors.Wrapf(err, "decode %s", RoleKey)
}

// write stores step.Next if step allows it. Update resolves lost answers; the
// lease counts from before its first attempt.
func (r *role) write(ctx context.Context, step orders.RoleStep) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.times.Renew)
	defer cancel()
	_, _, err := platform.Update(ctx, r.store, r.writer, RoleKey, func(raw json.RawMessage, exists bool) (json.RawMessage, error) {
		record, err := decodeRole(raw, exists)
		if err != nil {
			return nil, err
		}
		if !step.Allows(record) {
			return nil, errRoleChanged
		}
		return json.Marshal(step.Next)
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.core.Failed(time.Now(), errors.Is(err, errRoleChanged))
		return
	}
	r.core.Written(started, time.Now(), step.Next)
}

// report tells onChange when the role was gained or lost.
func (r *role) report() {
	r.mu.Lock()
	held, epoch := r.core.Held(time.Now()), r.core.Epoch()
	changed := held != r.held
	r.held = held
	r.mu.Unlock()
	if changed {
		r.logger.Info("order controller role", "held", held, "epoch", epoch)
		r.onChange(held, epoch)
	}
}

// release gives the role up. Call it when no order is on its way any more.
func (r *role) release(ctx context.Context) {
	r.mu.Lock()
	step, ok := r.core.Release(time.Now())
	r.mu.Unlock()
	if ok {
		r.write(ctx, step)
	}
	r.report()
}

// lose ends the lease after a server has seen a newer fencing number.
func (r *role) lose() {
	r.mu.Lock()
	r.core.Lose()
	r.mu.Unlock()
	r.report()
}

// heldAt reports whether the lease of the epoch holds now.
func (r *role) heldAt(epoch uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Epoch() == epoch && r.core.Held(time.Now())
}

// mayOrder reports whether an order under the epoch may be sent now.
func (r *role) mayOrder(epoch uint64, fencing bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Epoch() == epoch && r.core.MayOrder(time.Now(), fencing)
}

// current returns the epoch and whether the lease holds.
func (r *role) current() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Epoch(), r.core.Held(time.Now())
}
