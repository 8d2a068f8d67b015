// Package informer keeps local copies of the store's collections up to date. One
// host of the fleet, the reader, watches the store. The other hosts fetch changes
// from their peers, and the peers' digests confirm that no change was missed. A
// host whose copy is not confirmed for too long reads the store itself.
package informer

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/freshness"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	// copiesSection is the informer's digest section.
	copiesSection = "copies"
	// copyMethod is the peer call that fetches a copy of a collection.
	copyMethod = "informer.copy"
	// fetchTimeout bounds a fetch from a peer. It suffices for a megabyte between
	// zones.
	fetchTimeout = 700 * time.Millisecond
	// watchSlack is added to a watch's wait for the timeout of the call.
	watchSlack = 400 * time.Millisecond
	// startupWait is how long a starting host waits for copies of its peers.
	startupWait = 1200 * time.Millisecond
	// agePerHop is how much older a copy may be for each further hop between the
	// reader and this host: a digest there and one back.
	agePerHop = 500 * time.Millisecond
	// probeInterval is how often a host whose last call failed tries the store
	// again although its peers confirm its copies.
	probeInterval = 2 * time.Second
	// interruptionMargin distinguishes the end of a store outage from a normal
	// confirmation: without an outage no copy becomes older than the age at which
	// hosts read the store themselves by this much.
	interruptionMargin = time.Second
	// listTimeout bounds the listing of one page.
	listTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay after a failed read.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// failingReadsPerSecond bounds the reads of one collection by the whole fleet while they
	// fail: in a large fleet hosts wait for longer than maxRetryDelay, up to
	// maxFleetRetryDelay. Coordinators don't, and the others learn from them that the store
	// has returned.
	failingReadsPerSecond = 20.0
	maxFleetRetryDelay    = 3 * time.Second
	// pageSize is the largest number of objects in a page of a listing.
	pageSize = 500
)

// Wait and TakeOver of collections whose changes must reach all hosts within 2 s.
const (
	// PromptWait is short enough that copies at other hosts never become older
	// than PromptTakeOver while there is a reader. Their age is at most twice the
	// wait, two digest intervals and the time of the calls.
	PromptWait = 450 * time.Millisecond
	// PromptTakeOver bounds how long a host relies on its peers. It matters when
	// the reader and its successors lose the store at the same time: each of them
	// remains the reader until a call of its own has failed.
	PromptTakeOver = 1600 * time.Millisecond
)

// Collection describes one collection of the store.
type Collection struct {
	Prefix string // of its keys, ends with a slash
	// Wait is how long each watch of the reader waits for changes. A watch
	// confirms the copy as of its start, so the copy's age reaches twice this at
	// the reader, and two digest intervals more at the other hosts.
	Wait time.Duration
	// TakeOver is the age of a copy at which a host reads the store itself.
	TakeOver time.Duration
	// Gather is how long the reader waits after a change before it watches again,
	// so that frequent changes share a call and a digest; 0 for changes that must
	// reach all hosts at once.
	Gather time.Duration
}

// Copy is a snapshot of a collection.
type Copy struct {
	Objects map[string]store.Object // by key
	// StoreReturnedAt is when the copy was confirmed again after the last outage
	// of the store, by this host or a peer; zero if there was none. Entries may
	// have expired during the outage.
	StoreReturnedAt time.Time
	Version         int64         // store version of the copy's last change
	Source          Source        // of that change
	Age             time.Duration // since the copy was last confirmed to be the newest, negative if it never was
}

// Source is where a host got a change of a copy from.
type Source string

// Sources.
const (
	FromWatch  Source = "watch"  // of the store
	FromList   Source = "list"   // of the store
	FromDigest Source = "digest" // of a peer
	FromPeer   Source = "peer"   // fetched by a call
)

// collection is this host's copy of one collection.
type collection struct {
	Collection
	objects        map[string]store.Object
	loaded         bool
	version        int64             // store version from which the next watch starts
	changedVersion int64             // store version of the copy's last change
	confirmed      freshness.Tracker // of the objects
	// applied is whether the functions in onChange have been called with the objects, and
	// appliedAsOf tracks the copy that they were called with last. Until the functions
	// have used a change, what they keep is as old as before it.
	applied         bool
	appliedAsOf     freshness.Tracker
	takeOverAge     time.Duration // at which this host reads the store itself, as last computed
	storeReturnedAt time.Time
	onChange        []func(Copy)
	wake            chan struct{} // capacity 1; ends a sleep of keepInSync
	lastAttempt     time.Time     // last call to the store for this collection
	recentDeltas    []recentDelta // bounded by maxRecentDeltas, oldest first
	pushed          *pushedDeltas // from a digest, not yet applied; nil if there are none
}

// Options configures an Informer. All fields but Logger are required.
type Options struct {
	Store       store.Store
	Cluster     *cluster.Cluster
	Peers       peer.Caller
	Collections []Collection
	// Members is the prefix of the collection of hosts. A starting host reads it
	// first and waits up to startupWait for its peers' copies of the others.
	Members string
	Logger  *slog.Logger
}

// Informer keeps the copies. It is safe for concurrent use.
type Informer struct {
	opts        Options
	log         *slog.Logger
	started     time.Time
	mu          sync.Mutex
	collections map[string]*collection
	// storeReachable is whether this host's last call to the store succeeded.
	storeReachable bool
	// storeReachableBy holds the peers' storeReachable by host name.
	storeReachableBy map[string]bool
	// newerCopyAt holds, by prefix, a peer whose copy is newer than this host's.
	newerCopyAt map[string]newerCopy
}

// New returns an Informer that is registered with the cluster and the peers.
func New(opts Options) *Informer {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	i := &Informer{opts: opts, log: opts.Logger, started: time.Now(), storeReachable: true, collections: map[string]*collection{}, storeReachableBy: map[string]bool{}, newerCopyAt: map[string]newerCopy{}}
	for _, c := range opts.Collections {
		i.collections[c.Prefix] = &collection{Collection: c, objects: map[string]store.Object{}, takeOverAge: c.TakeOver, wake: make(chan struct{}, 1)}
	}
	opts.Cluster.Provide(copiesSection, i.digest)
	opts.Cluster.Receive(copiesSection, i.receiveDigest)
	opts.Cluster.OnChange(i.wakeAll) // the reader may have left
	opts.Peers.Handle(copyMethod, i.serveCopy)
	return i
}

// OnChange registers a function that is called with each new copy. Calls for one
// collection do not overlap. Call OnChange before Run.
func (i *Informer) OnChange(prefix string, fn func(Copy)) {
	col := i.collections[prefix]
	col.onChange = append(col.onChange, fn)
}

// Age returns the time since the copy that the functions registered with OnChange were
// called with last was confirmed to be the newest, and false if it never was.
func (i *Informer) Age(prefix string) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.collections[prefix].appliedAsOf.Age(bootclock.Now())
}

// StoreReachable reports whether this host's last call to the store succeeded.
func (i *Informer) StoreReachable() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.storeReachable
}

// Reachable returns the live peers whose last call to the store succeeded.
func (i *Informer) Reachable() []peer.HostID {
	alive := i.opts.Cluster.Alive()
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []peer.HostID
	for _, p := range alive {
		if i.storeReachableBy[p.Name] {
			out = append(out, peer.HostID(p.Name))
		}
	}
	return out
}

// Run keeps the copies up to date until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, col := range i.collections {
		group.Go(func() { i.keepInSync(ctx, col) })
	}
	group.Wait()
}

// keepInSync keeps the copy of one collection up to date.
func (i *Informer) keepInSync(ctx context.Context, col *collection) {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		if i.applyPushed(col) {
			continue
		}
		from, newer := i.takeNewerPeer(col)
		if newer && i.fetch(ctx, col, from) {
			continue
		}
		// What the peer has is also in the store.
		outdated := newer && i.StoreReachable()
		if wait := i.delayBeforeRead(col); wait > 0 && !outdated {
			sleep(ctx, col.wake, wait)
			continue
		}
		before := i.changedVersion(col)
		if err := i.read(ctx, col); err != nil && ctx.Err() == nil {
			delay = min(max(2*delay, minRetryDelay), i.longestRetryDelay())
			sleep(ctx, col.wake, delay)
			continue
		}
		delay = 0
		if col.Gather > 0 && i.changedVersion(col) != before {
			sleep(ctx, nil, col.Gather)
		}
	}
}

// longestRetryDelay returns the longest delay after a failed read.
func (i *Informer) longestRetryDelay() time.Duration {
	self := i.opts.Cluster.Self().Name
	if slices.ContainsFunc(i.opts.Cluster.Coordinators(), func(m cluster.Member) bool { return m.Name == self }) {
		return maxRetryDelay
	}
	hosts := float64(len(i.opts.Cluster.Alive()) + 1)
	return min(max(maxRetryDelay, time.Duration(hosts/failingReadsPerSecond*float64(time.Second))), maxFleetRetryDelay)
}

func (i *Informer) changedVersion(col *collection) int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return col.changedVersion
}

// sleep waits for d, for wake or for the end of ctx.
func sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// delayBeforeRead returns how long this host may still rely on its peers, 0 if it
// has to read the store now.
func (i *Informer) delayBeforeRead(col *collection) time.Duration {
	reader, hops := i.IsReader(), i.opts.Cluster.MaxHops()
	i.mu.Lock()
	defer i.mu.Unlock()
	col.takeOverAge = col.TakeOver + time.Duration(hops-1)*agePerHop
	age, ok := col.confirmed.Age(bootclock.Now())
	if !col.loaded && col.Prefix != i.opts.Members && (!i.collections[i.opts.Members].loaded || !reader) {
		return max(startupWait-time.Since(i.started), 0)
	}
	if reader || !ok || !col.loaded {
		return 0
	}
	if !i.storeReachable && col.Prefix == i.opts.Members {
		return max(probeInterval-time.Since(col.lastAttempt), 0)
	}
	return max(col.takeOverAge-age, 0)
}

// IsReader reports whether this host is the reader: the first by name of the
// coordinators that reach the store. The reader also does other work that one
// host does for the fleet.
func (i *Informer) IsReader() bool {
	self := i.opts.Cluster.Self()
	coordinators := i.opts.Cluster.Coordinators()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.storeReachable {
		return false
	}
	first := ""
	for _, m := range coordinators {
		if (m.Name == self.Name || i.storeReachableBy[m.Name]) && (first == "" || m.Name < first) {
			first = m.Name
		}
	}
	return first == self.Name
}

// read updates the copy by one watch, or by a full listing if there is no copy or
// the store no longer has the events since the copy's version.
func (i *Informer) read(ctx context.Context, col *collection) error {
	i.mu.Lock()
	loaded, version := col.loaded, col.version
	col.lastAttempt = time.Now()
	i.mu.Unlock()
	var err error
	if loaded {
		err = i.watch(ctx, col, version)
		if errors.Is(err, store.ErrHistoryGone) {
			i.log.Info("store history gone, listing again", "event", "history_gone", "collection", col.Prefix, "version", version)
			loaded, err = false, nil
		}
	}
	if !loaded && err == nil {
		err = i.list(ctx, col)
	}
	i.recordStoreResult(col, err)
	return err
}

func (i *Informer) watch(ctx context.Context, col *collection, version int64) error {
	requestedAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, col.Wait+watchSlack)
	defer cancel()
	result, err := guarded(i.log, "watch", func() (store.WatchResult, error) { return i.opts.Store.Watch(ctx, col.Prefix, version, col.Wait) })
	if err != nil {
		return err
	}
	i.apply(col, result.Events, result.Version, requestedAt)
	return nil
}

// guarded calls the store. A panic, such as one of the decoder of its answer, counts as
// a failed call.
func guarded[T any](log *slog.Logger, step string, call func() (T, error)) (T, error) {
	out, err := panics.Catch(call)
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		log.Error("call to the store panicked", "event", "store_call_lost", "step", step, "error", panicked, "stack", panicked.Stack)
	}
	return out, err
}

func (i *Informer) list(ctx context.Context, col *collection) error {
	requestedAt := bootclock.Now()
	objects := map[string]store.Object{}
	version := int64(-1)
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, listTimeout)
		page, err := guarded(i.log, "list", func() (store.Page, error) { return i.opts.Store.List(pageCtx, col.Prefix, after, pageSize) })
		cancel()
		if err != nil {
			return err
		}
		if version < 0 {
			version = page.Version // the next watch returns changes made between pages
		}
		for _, o := range page.Objects {
			objects[o.Key] = o
		}
		if after = page.Next; after == "" {
			break
		}
	}
	i.replace(col, objects, version, requestedAt)
	return nil
}

// recordStoreResult records whether the store is reachable. It sends digests at
// once if that changed, since another host may become the reader.
func (i *Informer) recordStoreResult(col *collection, err error) {
	i.mu.Lock()
	before := i.storeReachable
	i.storeReachable = err == nil
	i.mu.Unlock()
	if before == (err == nil) {
		return
	}
	if err != nil {
		i.log.Warn("store unreachable", "event", "store_lost", "step", "watch", "collection", col.Prefix, "error", err)
	} else {
		i.log.Info("store reachable again", "event", "store_regained", "collection", col.Prefix)
	}
	i.opts.Cluster.SendNow()
}

// confirm records that the copy was the newest one at an instant. If that ends a
// store outage, in which the copy became older than takeOverAge by more than
// interruptionMargin, it sets storeReturnedAt.
func (col *collection) confirm(at freshness.Instant) {
	now := bootclock.Now()
	before, known := col.confirmed.Age(now)
	col.confirmed.Confirm(at)
	if col.applied {
		col.appliedAsOf = col.confirmed
	}
	after, _ := col.confirmed.Age(now)
	if known && before > col.takeOverAge+interruptionMargin && after <= col.takeOverAge {
		col.storeReturnedAt = time.Now()
	}
}

// apply applies the events of a watch to the copy. It skips events that the copy
// already contains, since one fetched from a peer during the watch may be newer.
func (i *Informer) apply(col *collection, events []store.Event, version int64, requestedAt freshness.Instant) {
	i.mu.Lock()
	fresh := version > col.changedVersion && len(events) > 0
	if fresh {
		objects := maps.Clone(col.objects)
		for _, ev := range events {
			applyEvent(objects, ev, col.changedVersion)
		}
		col.recordDelta(delta{col.changedVersion, version, events})
		col.setObjects(objects)
		col.changedVersion = version
	}
	col.version = max(col.version, version)
	col.confirm(requestedAt)
	i.mu.Unlock()
	if fresh {
		i.publish(col, FromWatch)
	}
}

// applyEvent applies one event to a copy that contains all changes up to changed.
// A deletion may have the version of the object's last change.
func applyEvent(objects map[string]store.Object, ev store.Event, changed int64) {
	old, ok := objects[ev.Key]
	switch {
	case ev.Deleted:
		if ok && old.Version <= ev.Version {
			delete(objects, ev.Key)
		}
	case ev.Version > changed && (!ok || old.Version < ev.Version):
		objects[ev.Key] = ev.Object
	}
}

// replace replaces the copy by a full listing unless the copy is newer.
func (i *Informer) replace(col *collection, objects map[string]store.Object, version int64, requestedAt freshness.Instant) {
	i.mu.Lock()
	if col.loaded && version < col.version {
		i.mu.Unlock()
		return
	}
	col.setObjects(objects)
	col.version, col.loaded, col.recentDeltas = version, true, nil
	col.changedVersion = max(col.changedVersion, version)
	col.confirm(requestedAt)
	i.mu.Unlock()
	i.publish(col, FromList)
}

// setObjects replaces the objects of the copy, which publish applies.
func (col *collection) setObjects(objects map[string]store.Object) {
	col.objects, col.applied = objects, false
}

// publish passes the copy to the functions registered with OnChange, and then counts it
// as applied. One that panics is called again with the next copy, so that no object ends
// the process. If the peers get changes through this host it also sends them, unless
// they may wait for the next digest. Only keepInSync, which makes all changes of the
// copy, calls publish.
func (i *Informer) publish(col *collection, source Source) {
	if col.Gather == 0 && i.pushes() {
		i.opts.Cluster.SendNow()
	}
	i.mu.Lock()
	c := Copy{Objects: col.objects, StoreReturnedAt: col.storeReturnedAt, Version: col.changedVersion, Source: source, Age: -1}
	if age, ok := col.confirmed.Age(bootclock.Now()); ok {
		c.Age = age
	}
	i.mu.Unlock()
	for _, fn := range col.onChange {
		panics.Log(i.log, "copy_lost", "apply copy", func() { fn(c) }, "collection", col.Prefix, "copy_version", c.Version, "source", c.Source)
	}
	i.mu.Lock()
	col.applied, col.appliedAsOf = true, col.confirmed
	i.mu.Unlock()
	if col.Prefix == i.opts.Members {
		i.wakeAll() // this host may be the reader of the other collections
	}
}

func (i *Informer) wakeAll() {
	for _, col := range i.collections {
		col.wakeUp()
	}
}
