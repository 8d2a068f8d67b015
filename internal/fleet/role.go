package fleet

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/platform"
)

const (
	rolePrefix      = "roles/"
	roleCallTimeout = 2 * time.Second
	// roleIdle bounds the pause between steps, so that Resign is noticed.
	roleIdle = 200 * time.Millisecond
)

// RoleOptions configures a Role. Name, Store and Writer are required.
type RoleOptions struct {
	Name   string // the object is roles/<Name>
	Store  platform.Store
	Writer *platform.Writer // its ID is the holder's name; see Fleet.Writer
	Lease  lease.Options    // durations; Self is set from Writer
	Now    func() time.Time // default time.Now; must be monotonic
	Logger *slog.Logger     // default slog.Default()
}

// Role drives core/lease: one process of the fleet at a time holds the role.
// It is safe for concurrent use.
type Role struct {
	opts RoleOptions
	key  string

	mu   sync.Mutex
	core *lease.Role
	seq  uint64
	held uint64 // epoch last reported in the log
}

// NewRole returns a role that takes part once Run is called.
func NewRole(opts RoleOptions) *Role {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	opts.Lease.Self = opts.Writer.ID
	return &Role{opts: opts, key: rolePrefix + opts.Name, core: lease.New(opts.Lease)}
}

// Held returns the epoch, which is the fencing number, when this process holds
// the role now.
func (r *Role) Held() (epoch uint64, ok bool) { return r.heldAt(r.opts.Now()) }

func (r *Role) heldAt(now time.Time) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Held(now)
}

// MayOrder returns the epoch when an order may be sent now. fencing tells that
// the server refuses orders with an old fencing number.
func (r *Role) MayOrder(fencing bool) (epoch uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if !r.core.MayOrder(now, fencing) {
		return 0, false
	}
	return r.core.Held(now)
}

// Resign gives the role up with the next step of Run. Orders must have stopped.
func (r *Role) Resign() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Resign()
}

// Run takes the role when it is free and renews it until ctx ends.
func (r *Role) Run(ctx context.Context) {
	for ctx.Err() == nil {
		step := r.next()
		pause := time.Duration(0)
		switch step.Action {
		case lease.Wait:
			pause = min(step.At.Sub(r.opts.Now()), roleIdle)
		case lease.Read:
			r.read(ctx)
		case lease.Write:
			r.write(ctx, step)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, time.Millisecond)):
		}
	}
}

// next returns the next step, and logs when the role was gained or lost.
func (r *Role) next() lease.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	step := r.core.Next(now)
	if epoch, _ := r.core.Held(now); epoch != r.held {
		r.opts.Logger.Info("role changed", "role", r.opts.Name, "held_epoch", epoch, "former_epoch", r.held)
		r.held = epoch
	}
	return step
}

func (r *Role) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	obj, env, exists, err := platform.ReadEnvelope(ctx, r.opts.Store, r.key)
	var record lease.Record
	if err == nil && exists {
		err = errors.Wrapf(json.Unmarshal(env.Data, &record), "decode %s", r.key)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		stats.Add("role_failures", 1)
		r.core.Failed(r.opts.Now())
		return
	}
	r.core.Observed(r.opts.Now(), record, obj.Version)
}

func (r *Role) write(ctx context.Context, step lease.Step) {
	ctx, cancel := context.WithTimeout(ctx, roleCallTimeout)
	defer cancel()
	raw, err := json.Marshal(step.Record)
	var obj platform.Object
	if err == nil {
		r.seq++ // Run alone writes
		obj, err = platform.PutEnvelope(ctx, r.opts.Store, r.key, platform.Envelope{Writer: r.opts.Writer.ID, Seq: r.seq, Data: raw}, step.Version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		stats.Add("role_failures", 1)
		r.core.Failed(r.opts.Now())
		return
	}
	r.core.Written(r.opts.Now(), obj.Version)
}
