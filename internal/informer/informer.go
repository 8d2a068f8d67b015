// Package informer keeps copies of the store's collections in step. One host
// of the fleet watches the store; the others take changes from it over the
// peer protocol and confirm by its digests that they have missed none. A host
// that hears of no fresh copy reads the store itself.
package informer

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/freshness"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	// section is the informer's part of the digests.
	section = "copies"
	// method fetches a peer's copy of a collection.
	method = "informer.copy"
	// fetchTimeout bounds a fetch from a peer; it covers a megabyte between zones.
	fetchTimeout = 700 * time.Millisecond
	// answerSlack is the wait for a watch's answer beyond its own waiting time.
	answerSlack = 400 * time.Millisecond
	// patience is how long a host that starts waits for the others' copies.
	patience = 1200 * time.Millisecond
	// hopTime is the age that a copy gains with each further host between the
	// reader and this one: a digest there and one back.
	hopTime = 500 * time.Millisecond
	// probeEvery is how often a host whose calls failed tries the store again
	// although its peers keep its copies fresh.
	probeEvery = 2 * time.Second
	// interruption is the age beyond TakeOver from which a copy's confirmation
	// ends an outage of the store: copies are not as old in calm times.
	interruption = time.Second
	// listTimeout bounds a full reading of one page.
	listTimeout = 2 * time.Second
	// retryFirst and retryMost bound the delay after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// pageLimit is the most objects of one page.
	pageLimit = 500
)

// Waits for collections whose changes must be known to all hosts within 2 s.
const (
	// PromptWait is short enough that copies at other hosts are never older
	// than PromptTakeOver while there is a reader: twice the wait, two digests
	// and the answers.
	PromptWait = 450 * time.Millisecond
	// PromptTakeOver bounds how long a host relies on others, also when the
	// reader and those that would follow it are cut off from the store together
	// and each has to find that out by a call of its own.
	PromptTakeOver = 1600 * time.Millisecond
)

// Collection describes one collection of the store.
type Collection struct {
	Prefix string // of its keys, ends with a slash
	// Wait is how long the reading host lets each watch wait. Copies are
	// confirmed as of a watch's start, so their age goes up to twice this, and
	// at the other hosts the time of two digests more.
	Wait time.Duration
	// TakeOver is the age of a copy from which a host reads the store itself.
	TakeOver time.Duration
}

// Copy is a collection's content at one moment.
type Copy struct {
	Objects map[string]store.Object // by key
	// Returned is when the store was heard of again after an interruption, by
	// this host or through a peer; zero when there was none. Entries may have
	// lapsed in between.
	Returned time.Time
}

// state is this host's copy of one collection.
type state struct {
	Collection
	objects  map[string]store.Object
	known    bool
	version  int64 // of the store, from which the next watch starts
	changed  int64 // version of the copy's last change
	mark     freshness.Mark
	returned time.Time
	onChange []func(Copy)
	wake     chan struct{} // capacity 1: a peer announced something
	tried    time.Time     // last call to the store for this collection
	log      []delta       // latest changes, oldest first
}

// Options configures an Informer. All fields but Logger are required.
type Options struct {
	Store       store.Store
	Cluster     *cluster.Cluster
	Peers       peer.Caller
	Collections []Collection
	// Members is the prefix of the collection that names the other hosts. A
	// host that starts reads it first, and waits a moment for the others'
	// copies of the rest.
	Members string
	Logger  *slog.Logger
}

// Informer keeps the copies. It is safe for concurrent use.
type Informer struct {
	opts    Options
	log     *slog.Logger
	started time.Time
	mu      sync.Mutex
	states  map[string]*state
	// healthy is whether the last call to the store succeeded.
	healthy bool
	// reading is which peers say that their calls to the store succeed.
	reading map[string]bool
	// ahead is, by collection, a peer whose copy is newer than this host's.
	ahead map[string]peer.HostID
}

// New returns an informer and registers it with the cluster and the peers.
func New(opts Options) *Informer {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	i := &Informer{opts: opts, log: opts.Logger, started: time.Now(), healthy: true, states: map[string]*state{}, reading: map[string]bool{}, ahead: map[string]peer.HostID{}}
	for _, c := range opts.Collections {
		i.states[c.Prefix] = &state{Collection: c, objects: map[string]store.Object{}, wake: make(chan struct{}, 1)}
	}
	opts.Cluster.Provide(section, i.digest)
	opts.Cluster.Receive(section, i.received)
	opts.Peers.Handle(method, i.serveCopy)
	return i
}

// OnChange registers a function that is called with each new copy, one call
// at a time for a collection. Call it before Run.
func (i *Informer) OnChange(prefix string, fn func(Copy)) {
	s := i.states[prefix]
	s.onChange = append(s.onChange, fn)
}

// Age returns the time since the collection's copy was last known to be the
// newest, and false when it never was.
func (i *Informer) Age(prefix string) (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.states[prefix].mark.Age(bootclock.Now())
}

// Healthy reports whether this host's last call to the store succeeded.
func (i *Informer) Healthy() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.healthy
}

// Reachable returns the live peers whose own calls to the store succeed.
func (i *Informer) Reachable() []peer.HostID {
	alive := i.opts.Cluster.Alive()
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []peer.HostID
	for _, p := range alive {
		if i.reading[p.Name] {
			out = append(out, peer.HostID(p.Name))
		}
	}
	return out
}

// Run keeps the copies in step until ctx ends.
func (i *Informer) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, s := range i.states {
		group.Go(func() { i.follow(ctx, s) })
	}
	group.Wait()
}

// follow keeps one collection in step.
func (i *Informer) follow(ctx context.Context, s *state) {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		if from, ok := i.takeAhead(s); ok {
			i.fetch(ctx, s, from)
			continue
		}
		if wait := i.untilRead(s); wait > 0 {
			sleep(ctx, s.wake, wait)
			continue
		}
		if err := i.read(ctx, s); err != nil && ctx.Err() == nil {
			delay = min(max(2*delay, retryFirst), retryMost)
			sleep(ctx, s.wake, delay)
			continue
		}
		delay = 0
	}
}

// sleep waits for d, a wake-up or the end of ctx.
func sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

// untilRead returns how long this host may rely on its peers; 0 means that it
// reads the store now.
func (i *Informer) untilRead(s *state) time.Duration {
	reader, hops := i.IsReader(), i.opts.Cluster.MaxHops()
	i.mu.Lock()
	defer i.mu.Unlock()
	age, ok := s.mark.Age(bootclock.Now())
	if !s.known && s.Prefix != i.opts.Members && (!i.states[i.opts.Members].known || !reader) {
		return max(patience-time.Since(i.started), 0)
	}
	if reader || !ok || !s.known {
		return 0
	}
	if !i.healthy && s.Prefix == i.opts.Members {
		return max(probeEvery-time.Since(s.tried), 0)
	}
	return max(s.TakeOver+time.Duration(hops-1)*hopTime-age, 0)
}

// IsReader reports whether this host is the one that watches the store, and so
// should do what one host does for all: the first by name of the coordinators
// that reach it.
func (i *Informer) IsReader() bool {
	self := i.opts.Cluster.Self()
	coordinators := i.opts.Cluster.Coordinators()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.healthy {
		return false
	}
	first := ""
	for _, m := range coordinators {
		if (m.Name == self.Name || i.reading[m.Name]) && (first == "" || m.Name < first) {
			first = m.Name
		}
	}
	return first == self.Name
}

// read brings the copy in step with the store by one watch, or by a full
// listing when there is no copy or its history is gone.
func (i *Informer) read(ctx context.Context, s *state) error {
	i.mu.Lock()
	known, version := s.known, s.version
	s.tried = time.Now()
	i.mu.Unlock()
	var err error
	if known {
		err = i.watch(ctx, s, version)
		if errors.Is(err, store.ErrHistoryGone) {
			i.log.Info("history gone, list again", "event", "history_gone", "collection", s.Prefix, "version", version)
			known, err = false, nil
		}
	}
	if !known && err == nil {
		err = i.list(ctx, s)
	}
	i.noteContact(s, err)
	return err
}

func (i *Informer) watch(ctx context.Context, s *state, version int64) error {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, s.Wait+answerSlack)
	defer cancel()
	result, err := i.opts.Store.Watch(ctx, s.Prefix, version, s.Wait)
	if err != nil {
		return err
	}
	i.apply(s, result.Events, result.Version, asked)
	return nil
}

func (i *Informer) list(ctx context.Context, s *state) error {
	asked := bootclock.Now()
	objects := map[string]store.Object{}
	version := int64(-1)
	for after := ""; ; {
		pageCtx, cancel := context.WithTimeout(ctx, listTimeout)
		page, err := i.opts.Store.List(pageCtx, s.Prefix, after, pageLimit)
		cancel()
		if err != nil {
			return err
		}
		if version < 0 {
			version = page.Version // changes between pages are watched again
		}
		for _, o := range page.Objects {
			objects[o.Key] = o
		}
		if after = page.Next; after == "" {
			break
		}
	}
	i.replace(s, objects, version, asked)
	return nil
}

// noteContact records whether the store answered. It tells the peers at once
// when that changed, since another host may have to read now.
func (i *Informer) noteContact(s *state, err error) {
	i.mu.Lock()
	before := i.healthy
	i.healthy = err == nil
	i.mu.Unlock()
	if before == (err == nil) {
		return
	}
	if err != nil {
		i.log.Warn("store lost", "event", "store_lost", "step", "watch", "collection", s.Prefix, "error", err)
	} else {
		i.log.Info("store regained", "event", "store_regained", "collection", s.Prefix)
	}
	i.opts.Cluster.SendNow()
}

// confirm notes that the copy was the newest at an instant, and whether that
// ends an interruption: nobody could tell for longer than TakeOver.
func (s *state) confirm(at freshness.Instant) {
	now := bootclock.Now()
	before, known := s.mark.Age(now)
	s.mark.Confirm(at)
	after, _ := s.mark.Age(now)
	if known && before > s.TakeOver+interruption && after <= s.TakeOver {
		s.returned = time.Now()
	}
}

// apply adds events to the copy. Events that the copy already holds are
// skipped: a copy taken from a peer may be newer than the watch's start.
func (i *Informer) apply(s *state, events []store.Event, version int64, asked freshness.Instant) {
	i.mu.Lock()
	fresh := version > s.changed && len(events) > 0
	if fresh {
		objects := maps.Clone(s.objects)
		for _, ev := range events {
			applyEvent(objects, ev, s.changed)
		}
		s.remember(delta{s.changed, version, events})
		s.objects, s.changed = objects, version
	}
	s.version = max(s.version, version)
	s.confirm(asked)
	i.mu.Unlock()
	if fresh {
		i.announce(s)
	}
}

// applyEvent applies one event to a copy that holds all changes up to changed.
// A deletion may carry the version of the object's last change.
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

// replace takes over a full listing. A listing older than the copy is ignored.
func (i *Informer) replace(s *state, objects map[string]store.Object, version int64, asked freshness.Instant) {
	i.mu.Lock()
	if s.known && version < s.version {
		i.mu.Unlock()
		return
	}
	s.objects, s.version, s.known, s.log = objects, version, true, nil
	s.changed = max(s.changed, version)
	s.confirm(asked)
	i.mu.Unlock()
	i.announce(s)
}

// announce hands the copy to this host's parts and its version to the peers.
func (i *Informer) announce(s *state) {
	i.opts.Cluster.SendNow()
	i.mu.Lock()
	c := Copy{Objects: s.objects, Returned: s.returned}
	i.mu.Unlock()
	for _, fn := range s.onChange {
		fn(c)
	}
	if s.Prefix == i.opts.Members {
		i.pokeAll() // this host may be the one that reads the rest
	}
}

func (i *Informer) pokeAll() {
	for _, s := range i.states {
		s.poke()
	}
}
