package fleet

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const epochKey = "fleet/epoch"

// objectVersions holds the last versions read of config/head and fleet/epoch,
// from which watches continue.
type objectVersions struct{ head, epoch atomic.Int64 }

// run ticks the state machine and sends early heartbeats until Close.
func (f *Fleet) run() {
	ticker := time.NewTicker(f.opts.tick())
	defer ticker.Stop()
	var lastSent time.Time
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.step(f.machine.Tick)
		case <-f.heartbeatNow:
			if !f.pause(minEarlyHeartbeatInterval - time.Since(lastSent)) {
				return
			}
			lastSent = time.Now()
			f.step(f.machine.HeartbeatNow)
		}
	}
}

// pause waits for d and returns false if the fleet is closed before that.
func (f *Fleet) pause(d time.Duration) bool {
	if d <= 0 {
		return f.ctx.Err() == nil
	}
	select {
	case <-f.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startActions starts the actions that the state machine requests. The caller
// holds mu.
func (f *Fleet) startActions(out membership.Output) {
	if f.ctx.Err() != nil {
		return
	}
	f.sendHeartbeats(out.Heartbeats)
	if out.FetchEpoch != "" {
		f.startUnlessRunning(&f.fetchingEpoch, func() { f.fetchEpoch(peer.HostID(out.FetchEpoch)) })
	}
	if out.FetchConfig != "" {
		f.startUnlessRunning(&f.fetchingConfig, func() { f.fetchConfig(peer.HostID(out.FetchConfig)) })
	}
	if out.Poll {
		f.requestPoll()
	}
	if out.Propose {
		f.startUnlessRunning(&f.proposing, func() { f.propose(f.ctx) })
	}
}

// startUnlessRunning runs fn on a goroutine unless an earlier run, tracked by
// running, has not finished.
func (f *Fleet) startUnlessRunning(running *atomic.Bool, fn func()) {
	if !running.CompareAndSwap(false, true) {
		return
	}
	f.spawn(func() {
		defer running.Store(false)
		fn()
	})
}

func (f *Fleet) requestPoll() {
	select {
	case f.pollNow <- struct{}{}:
	default:
	}
}

func (f *Fleet) pollLoop() {
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-f.pollNow:
			if err := f.poll(f.ctx); err != nil {
				stats.Add("poll_failures", 1)
			}
		}
	}
}

// poll reads epoch and head from the platform, adopts those that are larger
// than its own, and renews the lease as of the time before the reads.
func (f *Fleet) poll(ctx context.Context) error {
	stats.Add("polls", 1)
	askedAt := f.opts.Now()
	e, h, err := f.readGeneration(ctx)
	if err != nil {
		return err
	}
	f.adoptEpoch(e)
	// The machine renews the lease for this read once the revision is adopted,
	// so the read is not lost if loadConfig fails now.
	f.step(func(now time.Time) membership.Output {
		return f.machine.OnPlatformRead(now, askedAt, membership.Generation{Epoch: e.Number, Revision: h.Revision})
	})
	if err := f.loadConfig(ctx, h); err != nil {
		return err
	}
	return f.checkHostList(ctx)
}

// readGeneration reads the platform's epoch and head.
func (f *Fleet) readGeneration(ctx context.Context) (membership.Epoch, head, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	e, err := f.readEpoch(ctx)
	if err != nil {
		return e, head{}, err
	}
	obj, env, exists, err := store.ReadEnvelope(ctx, f.opts.Store, headKey)
	if err != nil {
		return e, head{}, err
	}
	h, err := decodeHead(env.Data, exists)
	if err == nil {
		f.versions.head.Store(obj.Version)
	}
	return e, h, err
}

// loadConfig reads the shards that this host does not hold, all of them after
// its start, and adopts the configuration.
func (f *Fleet) loadConfig(ctx context.Context, h head) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	base := f.config.Load()
	if base == nil {
		base = emptyState()
	}
	state, err := loadState(ctx, f.opts.Store, base, h)
	if err != nil {
		return err
	}
	f.adoptConfig(state)
	return nil
}

// readEpoch returns the platform's epoch, with Number 0 when there is none.
func (f *Fleet) readEpoch(ctx context.Context) (membership.Epoch, error) {
	obj, env, exists, err := store.ReadEnvelope(ctx, f.opts.Store, epochKey)
	if err != nil {
		return membership.Epoch{}, err
	}
	e, err := decodeEpoch(env.Data, exists)
	if err != nil {
		return membership.Epoch{}, err
	}
	f.versions.epoch.Store(obj.Version)
	return e, nil
}

func decodeEpoch(raw json.RawMessage, exists bool) (membership.Epoch, error) {
	var e membership.Epoch
	if !exists {
		return e, nil
	}
	return e, errors.Wrap(json.Unmarshal(raw, &e), "decode epoch")
}

// watchLoop watches an object while this host is a watcher, and requests a poll
// when the object changes.
func (f *Fleet) watchLoop(key string, version *atomic.Int64) {
	for f.ctx.Err() == nil {
		if !f.isWatcher() {
			f.pause(f.opts.Poll)
			continue
		}
		result, err := f.opts.Store.Watch(f.ctx, key, version.Load(), 0)
		if err != nil {
			f.pause(f.opts.Poll)
			continue
		}
		if result.Version > version.Load() {
			version.Store(result.Version)
		}
		if len(result.Events) > 0 {
			f.requestPoll()
		}
	}
}

func (f *Fleet) isWatcher() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machine.IsWatcher()
}

// propose writes the epoch that the state machine proposes to the platform and
// adopts the result.
func (f *Fleet) propose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	stats.Add("proposals", 1)
	_, raw, err := store.Update(ctx, f.opts.Store, f.writer, epochKey, f.nextEpoch)
	if err != nil {
		stats.Add("proposal_failures", 1)
		return
	}
	if e, err := decodeEpoch(raw, len(raw) > 0); err == nil {
		f.adoptEpoch(e)
	}
}

// nextEpoch returns the new content of fleet/epoch, or store.ErrNoChange.
func (f *Fleet) nextEpoch(current json.RawMessage, exists bool) (json.RawMessage, error) {
	e, err := decodeEpoch(current, exists)
	if err != nil {
		return nil, err
	}
	f.adoptEpoch(e)
	f.mu.Lock()
	next, change := f.machine.Propose(f.opts.Now(), e, exists)
	f.mu.Unlock()
	if !change {
		return nil, store.ErrNoChange
	}
	raw, err := json.Marshal(next)
	return raw, errors.Wrap(err, "encode epoch")
}

// hostAbsenceTimeout is how long a silent host must be missing from the
// platform's list of hosts before it is treated as ended. The list is updated
// with a delay, so a short absence is not evidence.
const hostAbsenceTimeout = 30 * time.Second

// checkHostList reads the platform's list of hosts when the state machine needs
// it: silent members cannot be removed without a majority, or the epoch has not
// settled for a long time.
func (f *Fleet) checkHostList(ctx context.Context) error {
	f.mu.Lock()
	needed := f.machine.NeedsHostList(f.opts.Now())
	f.mu.Unlock()
	if !needed {
		return nil
	}
	entries, err := f.opts.Store.Hosts(ctx)
	if err != nil {
		return errors.Wrap(err, "platform hosts")
	}
	live := map[string]bool{}
	for _, entry := range entries {
		live[entry.Name] = live[entry.Name] || entry.Kind == "host" && entry.State == "live"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateAbsentHosts(live)
	return nil
}

// updateAbsentHosts records when hosts were first missing from the platform's
// list and passes those missing for hostAbsenceTimeout to the state machine.
// The caller holds mu.
func (f *Fleet) updateAbsentHosts(live map[string]bool) {
	now, absent := f.opts.Now(), map[string]bool{}
	for _, host := range f.machine.KnownHosts() {
		if live[host] {
			delete(f.absent, host)
			continue
		}
		if _, ok := f.absent[host]; !ok {
			f.absent[host] = now
		}
		absent[host] = now.Sub(f.absent[host]) >= hostAbsenceTimeout
	}
	f.machine.SetAbsentHosts(now, absent)
}
