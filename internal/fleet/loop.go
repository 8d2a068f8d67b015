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

// objectVersions are the versions of the objects last read, from which watches continue.
type objectVersions struct{ head, epoch atomic.Int64 }

// run advances the machine until Close.
func (f *Fleet) run() {
	ticker := time.NewTicker(f.opts.tick())
	defer ticker.Stop()
	var lastNudge time.Time
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
			f.step(f.machine.Tick)
		case <-f.nudge:
			if !f.pause(nudgeInterval - time.Since(lastNudge)) {
				return
			}
			lastNudge = time.Now()
			f.step(f.machine.Nudge)
		}
	}
}

// pause waits and returns false when the fleet is closed meanwhile.
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

// act starts what the machine asked for. The caller holds mu.
func (f *Fleet) act(out membership.Output) {
	if f.ctx.Err() != nil {
		return
	}
	f.sendHeartbeats(out.Heartbeats)
	if out.FetchEpoch != "" {
		f.once(&f.fetchingEpoch, func() { f.fetchEpoch(peer.HostID(out.FetchEpoch)) })
	}
	if out.FetchConfig != "" {
		f.once(&f.fetchingConfig, func() { f.fetchConfig(peer.HostID(out.FetchConfig)) })
	}
	if out.Poll {
		f.requestPoll()
	}
	if out.Propose {
		f.once(&f.proposing, func() { f.propose(f.ctx) })
	}
}

// once runs fn on a goroutine unless it is already running.
func (f *Fleet) once(running *atomic.Bool, fn func()) {
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

// poll reads epoch and head, adopts what is larger and renews the lease from
// the time before the reads.
func (f *Fleet) poll(ctx context.Context) error {
	stats.Add("polls", 1)
	askedAt := f.opts.Now()
	e, h, err := f.readGeneration(ctx)
	if err != nil {
		return err
	}
	f.adoptEpoch(e)
	// The read counts once its revision is adopted, even if loading fails now.
	f.step(func(now time.Time) membership.Output {
		return f.machine.OnPlatform(now, askedAt, membership.Generation{Epoch: e.Number, Revision: h.Revision})
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

// loadConfig reads the shards that this host does not hold, and adopts the
// configuration. At the start of a host these are all shards.
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

// watchLoop waits for changes of an object while this host is a watcher, and
// has them polled at once.
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

// propose updates the platform's epoch with what the machine proposes, and
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

// nextEpoch is the mutation of fleet/epoch.
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

// goneAfter is how long the platform's list of hosts must lack a silent host
// before it counts as ended. The list lags, so a short absence means nothing.
const goneAfter = 30 * time.Second

// checkHostList reads the platform's list of hosts while silent members cannot
// be removed for lack of a majority.
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
	f.noteGone(live)
	return nil
}

// noteGone updates since when members are absent from the list. The caller holds mu.
func (f *Fleet) noteGone(live map[string]bool) {
	now, gone := f.opts.Now(), map[string]bool{}
	for _, host := range f.machine.KnownHosts() {
		if live[host] {
			delete(f.gone, host)
			continue
		}
		if _, ok := f.gone[host]; !ok {
			f.gone[host] = now
		}
		gone[host] = now.Sub(f.gone[host]) >= goneAfter
	}
	f.machine.SetGone(now, gone)
}
