package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// Fleet implements Service. It is safe for concurrent use.
//
// Callbacks registered with OnConfig and OnView run one at a time, before this
// host reports the change to its peers and before a renewed lease takes effect.
// They must return quickly, and may call all methods of Service except OnConfig
// and OnView.
type Fleet struct {
	opts   Options
	writer *store.Writer

	// Published state, read without locks.
	view       atomic.Pointer[View]
	config     atomic.Pointer[configState]
	leaseUntil atomic.Pointer[time.Time]

	mu            sync.Mutex // guards the fields of this group
	machine       *membership.Machine
	earlierLimits map[string][]Limit // see View.EarlierLimits
	limitsUnknown bool
	onConfig      []func(*config.Snapshot)
	onView        []func(View)
	absent        map[string]time.Time // when a host was first missing from the platform's list

	sections     sections
	heartbeatNow chan struct{}
	pollNow      chan struct{}
	versions     objectVersions

	fetchingEpoch, fetchingConfig, proposing atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ Service = (*Fleet)(nil)

// New returns a fleet that is not started, and registers its methods with
// opts.Peers, which must be started after New.
func New(opts Options) *Fleet {
	opts = opts.withDefaults()
	f := &Fleet{
		opts:          opts,
		writer:        store.NewWriter(string(opts.Self.Host) + "/" + opts.Self.Incarnation),
		earlierLimits: map[string][]Limit{},
		limitsUnknown: true,
		absent:        map[string]time.Time{},
		heartbeatNow:  make(chan struct{}, 1),
		pollNow:       make(chan struct{}, 1),
	}
	f.machine = membership.New(membership.Options{
		Self:        toCore(opts.Self),
		Interval:    opts.Heartbeat,
		Lease:       opts.Lease,
		Margin:      opts.Margin,
		SilentAfter: opts.SilentAfter,
		Poll:        opts.Poll,
	}, opts.Now())
	f.sections.init()
	f.view.Store(&View{Self: opts.Self.Host, LimitsUnknown: true})
	f.leaseUntil.Store(&time.Time{})
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.registerHandlers()
	return f
}

// Start returns when it has obtained a configuration and an epoch, from the
// platform or, when that is unavailable, from a seed. Without an epoch in the
// platform it proposes the first. It fails only when ctx ends first.
func (f *Fleet) Start(ctx context.Context) error {
	for !f.hasConfigAndEpoch() {
		if err := f.bootstrap(ctx); err != nil && ctx.Err() != nil {
			return errors.Wrapf(err, "fleet start of %s: no configuration and epoch obtained", f.opts.Self.Host)
		}
	}
	f.spawn(f.run)
	f.spawn(f.pollLoop)
	f.spawn(func() { f.watchLoop(headKey, &f.versions.head) })
	f.spawn(func() { f.watchLoop(epochKey, &f.versions.epoch) })
	return nil
}

func (f *Fleet) hasConfigAndEpoch() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config.Load() != nil && f.machine.Epoch().Number > 0
}

// Close stops the fleet without leaving the epoch. Other hosts treat this host
// as silent and may remove it after Options.SilentAfter.
func (f *Fleet) Close() error {
	f.mu.Lock() // steps start goroutines under the lock, so none starts after this
	f.cancel()
	f.mu.Unlock()
	f.wg.Wait()
	return nil
}

// spawn runs fn on a goroutine that Close waits for.
func (f *Fleet) spawn(fn func()) {
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		fn()
	}()
}

// Incarnation identifies this process among all processes started under its
// host name.
func (f *Fleet) Incarnation() string { return f.opts.Self.Incarnation }

// Writer returns the writer that this process uses for conditional updates.
func (f *Fleet) Writer() *store.Writer { return f.writer }

// View implements Service. The maps and slices of the result must not be changed.
func (f *Fleet) View() View { return *f.view.Load() }

// Config implements Service.
func (f *Fleet) Config() *config.Snapshot {
	state := f.config.Load()
	if state == nil {
		return nil
	}
	return state.snapshot
}

// MayAdmit implements Service.
func (f *Fleet) MayAdmit(now time.Time) error {
	until := *f.leaseUntil.Load()
	if now.Before(until) {
		return nil
	}
	if until.IsZero() {
		return errors.Wrap(ErrNotFresh, "never confirmed")
	}
	return errors.Wrapf(ErrNotFresh, "ended %s ago", now.Sub(until))
}

// OnConfig implements Service. If a configuration is adopted already, fn is
// called with it before OnConfig returns.
func (f *Fleet) OnConfig(fn func(*config.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onConfig = append(f.onConfig, fn)
	if state := f.config.Load(); state != nil {
		fn(state.snapshot)
	}
}

// OnView implements Service. If an epoch is adopted already, fn is called with
// the current view before OnView returns.
func (f *Fleet) OnView(fn func(View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onView = append(f.onView, fn)
	if v := f.View(); v.Epoch > 0 {
		fn(v)
	}
}

// Publish implements Service. A value that cannot be encoded is ignored and an
// error is logged; nil removes the section.
func (f *Fleet) Publish(section string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		f.opts.Logger.Error("cannot encode heartbeat section", "section", section, "error", err)
		return
	}
	f.sections.publish(section, raw)
}

// Subscribe implements Service.
func (f *Fleet) Subscribe(section string, fn func(from peer.HostID, raw json.RawMessage)) {
	f.sections.subscribe(section, fn)
}

// HeartbeatNow implements Service.
func (f *Fleet) HeartbeatNow() {
	select {
	case f.heartbeatNow <- struct{}{}:
	default:
	}
}

// Leave removes this host from the epoch before it stops, so that the other
// hosts take over its shares without waiting for its lease to expire. It
// returns when the epoch without this host is activated, or with an error when
// ctx ends first. The host may continue to serve requests without any shares.
func (f *Fleet) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.machine.Leave()
	f.mu.Unlock()
	ticker := time.NewTicker(f.opts.tick())
	defer ticker.Stop()
	for attempt := 0; ; attempt++ {
		if f.hasLeft() {
			return nil
		}
		switch {
		case !f.isMember():
			f.HeartbeatNow() // members reply to heartbeats, but send none to a host that left
		case attempt%ticksPerInterval == 0:
			f.propose(ctx)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "leave of %s", f.opts.Self.Host)
		case <-f.ctx.Done():
			return errors.Wrapf(f.ctx.Err(), "leave of %s", f.opts.Self.Host)
		case <-ticker.C:
		}
	}
}

func (f *Fleet) isMember() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.IsMember()
}

// hasLeft reports whether the epoch without this host is activated, or whether
// no other host could take over.
func (f *Fleet) hasLeft() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.machine.IsMember() {
		return f.machine.EpochSettled()
	}
	return len(f.machine.Epoch().Members) == 1
}
