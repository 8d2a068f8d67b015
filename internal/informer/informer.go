// Package informer keeps copies of the store's collections in step. One host
// of the fleet watches the store; the others take changes from it over the
// peer protocol and confirm by its digests that they have missed none. A host
// that hears of no fresh copy reads the store itself.
package informer

import (
	"context"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"strings"
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
	// listTimeout bounds a full reading of one page.
	listTimeout = 2 * time.Second
	// retryFirst and retryMost bound the delay after a failed read.
	retryFirst = 100 * time.Millisecond
	retryMost  = time.Second
	// pageLimit is the most objects of one page.
	pageLimit = 500
)

// Collection describes one collection of the store.
type Collection struct {
	Prefix string // of its keys, ends with a slash
	// Wait is how long the reading host lets each watch wait. The others' copies
	// are confirmed at the watch's start, so their age goes up to this and the
	// time of a digest.
	Wait time.Duration
	// TakeOver is the age of a copy from which a host reads the store itself.
	TakeOver time.Duration
}

// Copy is a collection's content at one moment.
type Copy struct {
	Objects map[string]store.Object // by key
	// Returned is when contact with the store came back after an interruption,
	// zero when there was none. Entries may have lapsed in between.
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
	healthy  bool          // the last call to the store succeeded
	log      []delta       // latest changes, oldest first
}

// delta is the events between two versions of a copy.
type delta struct {
	From   int64         `json:"from"` // Changed before
	To     int64         `json:"to"`   // Changed after
	Events []store.Event `json:"events"`
}

// logLength bounds the changes that a host keeps for peers whose copies are a
// little behind.
const logLength = 64

func (s *state) remember(d delta) {
	s.log = append(s.log, d)
	s.log = s.log[max(0, len(s.log)-logLength):]
}

// since returns the changes after a version, and false when they are not all known.
func (s *state) since(changed int64) ([]delta, bool) {
	for i, d := range s.log {
		if d.From == changed {
			return s.log[i:], true
		}
	}
	return nil, false
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
	i := &Informer{opts: opts, log: opts.Logger, started: time.Now(), states: map[string]*state{}, reading: map[string]bool{}, ahead: map[string]peer.HostID{}}
	for _, c := range opts.Collections {
		i.states[c.Prefix] = &state{Collection: c, objects: map[string]store.Object{}, wake: make(chan struct{}, 1), healthy: true}
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
	return i.healthyLocked()
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

func (i *Informer) healthyLocked() bool {
	for _, s := range i.states {
		if !s.healthy {
			return false
		}
	}
	return true
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
	reader, hops := i.isReader(), i.opts.Cluster.Hops()
	i.mu.Lock()
	defer i.mu.Unlock()
	age, ok := s.mark.Age(bootclock.Now())
	if !s.known && s.Prefix != i.opts.Members && (!i.states[i.opts.Members].known || !reader) {
		return max(patience-time.Since(i.started), 0)
	}
	if reader || !ok || !s.known {
		return 0
	}
	return max(s.TakeOver+time.Duration(hops-1)*hopTime-age, 0)
}

// IsReader reports whether this host is the one that watches the store, and so
// should do what one host does for all.
func (i *Informer) IsReader() bool { return i.isReader() }

// isReader reports whether this host is the one that watches the store: the
// first by name of the coordinators that reach it.
func (i *Informer) isReader() bool {
	self := i.opts.Cluster.Self()
	coordinators := i.opts.Cluster.Coordinators()
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.healthyLocked() {
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
	before := s.healthy
	s.healthy = err == nil
	if s.healthy && !before {
		s.returned = time.Now()
	}
	i.mu.Unlock()
	if before == (err == nil) {
		return
	}
	if err != nil {
		i.log.Warn("store lost", "event", "store_lost", "step", "watch", "collection", s.Prefix, "error", err)
	} else {
		i.log.Info("store regained", "event", "store_regained", "collection", s.Prefix)
	}
	i.opts.Cluster.Hasten()
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
	s.mark.Confirm(asked)
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
	s.mark.Confirm(asked)
	i.mu.Unlock()
	i.announce(s)
}

// announce hands the copy to this host's parts and its version to the peers.
func (i *Informer) announce(s *state) {
	i.opts.Cluster.Hasten()
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

// copyDigest is the state of one copy in a digest.
type copyDigest struct {
	Changed int64 `json:"c"`
	Age     int64 `json:"a"` // ms, -1 when the copy was never confirmed
}

// infoDigest is the section of the digests.
type infoDigest struct {
	Reading bool                  `json:"r"` // the sender's calls to the store succeed
	Copies  map[string]copyDigest `json:"k"`
}

func (i *Informer) digest() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := infoDigest{Reading: i.healthyLocked(), Copies: map[string]copyDigest{}}
	now := bootclock.Now()
	for prefix, s := range i.states {
		if s.known {
			out.Copies[prefix] = copyDigest{s.changed, ageMillis(&s.mark, now)}
		}
	}
	return out
}

// ageMillis rounds an age up, so that a statement is never too young.
func ageMillis(m *freshness.Mark, now freshness.Instant) int64 {
	age, ok := m.Age(now)
	if !ok {
		return -1
	}
	return int64(age/time.Millisecond) + 1
}

// received compares a peer's copies with this host's.
func (i *Informer) received(n cluster.News) {
	var d infoDigest
	if err := json.Unmarshal(n.Raw, &d); err != nil {
		i.log.Warn("peer's digest not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading[n.From.Name] = d.Reading
	for prefix, theirs := range d.Copies {
		s, ok := i.states[prefix]
		if !ok {
			continue
		}
		switch {
		case !s.known || theirs.Changed > s.changed:
			i.ahead[prefix] = peer.HostID(n.From.Name)
			s.poke()
		case theirs.Changed == s.changed && n.Known && theirs.Age >= 0:
			s.mark.ConfirmByPeer(n.Echoed, time.Duration(theirs.Age)*time.Millisecond)
		}
	}
}

func (s *state) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeAhead returns a peer with a newer copy, once.
func (i *Informer) takeAhead(s *state) (peer.HostID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	from, ok := i.ahead[s.Prefix]
	delete(i.ahead, s.Prefix)
	return from, ok
}

// copyRequest asks for a copy of a collection, or for what changed in it after
// the asking host's own copy.
type copyRequest struct {
	Prefix  string `json:"prefix"`
	Changed int64  `json:"changed"` // 0 without a copy
}

// copyAnswer is a whole copy, or the changes since the one of the request.
type copyAnswer struct {
	Known   bool           `json:"known"`
	Deltas  []delta        `json:"deltas,omitempty"`
	Objects []store.Object `json:"objects,omitempty"`
	Version int64          `json:"version"`
	Changed int64          `json:"changed"`
	Age     int64          `json:"age"` // ms, -1 when it was never confirmed
}

func (i *Informer) serveCopy(_ context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req copyRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for a copy")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.states[req.Prefix]
	if !ok {
		return nil, errors.Newf("no collection %q", req.Prefix)
	}
	out := copyAnswer{Known: s.known, Version: s.version, Changed: s.changed, Age: ageMillis(&s.mark, bootclock.Now())}
	if deltas, ok := s.since(req.Changed); ok {
		out.Deltas = deltas
		return out, nil
	}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		out.Objects = append(out.Objects, s.objects[key])
	}
	return out, nil
}

// fetch takes over a peer's newer copy.
func (i *Informer) fetch(ctx context.Context, s *state, from peer.HostID) {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	i.mu.Lock()
	request := copyRequest{s.Prefix, s.changed}
	i.mu.Unlock()
	var answer copyAnswer
	if err := i.opts.Peers.Call(ctx, from, method, request, &answer); err != nil {
		i.log.Warn("copy not fetched", "event", "copy_not_fetched", "step", "fetch copy", "peer", from, "collection", strings.TrimSuffix(s.Prefix, "/"), "error", err)
		return
	}
	if !answer.Known {
		return
	}
	i.mu.Lock()
	newer := s.take(answer)
	if answer.Changed == s.changed && answer.Age >= 0 {
		s.mark.ConfirmByPeer(asked, time.Duration(answer.Age)*time.Millisecond)
	}
	i.mu.Unlock()
	if newer {
		i.announce(s)
	}
}

// take adopts a peer's copy, or the changes that lead to it, when it is newer.
func (s *state) take(answer copyAnswer) bool {
	if s.known && answer.Changed <= s.changed {
		return false
	}
	if len(answer.Deltas) > 0 {
		return s.takeDeltas(answer)
	}
	s.objects = make(map[string]store.Object, len(answer.Objects))
	for _, o := range answer.Objects {
		s.objects[o.Key] = o
	}
	s.known, s.changed, s.log = true, answer.Changed, nil
	s.version = max(s.version, answer.Version)
	return true
}

// takeDeltas applies changes that begin at this copy's version. The copy may
// have moved on since the question; then the next digest asks again.
func (s *state) takeDeltas(answer copyAnswer) bool {
	newer := false
	objects := maps.Clone(s.objects)
	for _, d := range answer.Deltas {
		if d.From != s.changed {
			continue
		}
		for _, ev := range d.Events {
			applyEvent(objects, ev, s.changed)
		}
		s.remember(d)
		s.changed, newer = d.To, true
	}
	if newer {
		s.objects = objects
		s.version = max(s.version, s.changed)
	}
	return newer
}
