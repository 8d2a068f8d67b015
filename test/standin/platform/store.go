package platform

import (
	"sort"
	"strings"
	"sync"

	client "ragwortstep/internal/store"
)

const (
	// maxPageBytes is the size of the values at which a listing page ends.
	maxPageBytes = 8 << 20
	// compactThreshold is the length of the change log that triggers compaction.
	compactThreshold = 1 << 18
)

// change is one entry of the change log. Values are looked up on delivery, so a
// watch that lags behind receives only the latest state of each key.
type change struct {
	version int64
	key     string
	deleted bool
}

// watcher is a waiting watch. A change under prefix signals wake.
type watcher struct {
	prefix string
	wake   chan struct{}
}

// store is an in-memory object store with a change log.
type store struct {
	mu       sync.RWMutex
	version  int64
	objects  map[string]client.Object
	keys     []string         // sorted
	latest   map[string]int64 // version of the last change of each key, deletions included
	log      []change
	watchers map[*watcher]struct{}
}

func newStore() *store {
	return &store{
		objects:  map[string]client.Object{},
		latest:   map[string]int64{},
		watchers: map[*watcher]struct{}{},
	}
}

func (s *store) get(key string) (client.Object, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	obj, ok := s.objects[key]
	if !ok {
		return obj, client.ErrNotFound
	}
	return obj, nil
}

func (s *store) list(prefix, after string, limit int) client.Page {
	s.mu.RLock()
	defer s.mu.RUnlock()
	page := client.Page{Objects: []client.Object{}, Version: s.version}
	size := 0
	for i := sort.SearchStrings(s.keys, max(prefix, after)); i < len(s.keys); i++ {
		key := s.keys[i]
		if key == after {
			continue
		}
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if len(page.Objects) == limit || size > maxPageBytes {
			page.Next = page.Objects[len(page.Objects)-1].Key
			break
		}
		page.Objects = append(page.Objects, s.objects[key])
		size += len(s.objects[key].Value)
	}
	return page
}

func (s *store) put(key string, value []byte, ifVersion int64) (client.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[key]
	if ifVersion != client.AnyVersion && old.Version != ifVersion {
		return client.Object{}, client.ErrConflict
	}
	s.version++
	obj := client.Object{Key: key, Version: s.version, Value: value}
	s.objects[key] = obj
	if !exists {
		s.insertKey(key)
	}
	s.appendChange(change{version: s.version, key: key})
	return obj, nil
}

func (s *store) remove(key string, ifVersion int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[key]
	if !exists {
		return 0, client.ErrNotFound
	}
	if ifVersion != client.AnyVersion && old.Version != ifVersion {
		return 0, client.ErrConflict
	}
	s.version++
	delete(s.objects, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
	s.appendChange(change{version: s.version, key: key, deleted: true})
	return s.version, nil
}

func (s *store) insertKey(key string) {
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys, "")
	copy(s.keys[i+1:], s.keys[i:])
	s.keys[i] = key
}

// appendChange appends the change to the log and wakes the watchers of its key.
// The caller holds mu.
func (s *store) appendChange(c change) {
	s.log = append(s.log, c)
	s.latest[c.key] = c.version
	if len(s.log) >= compactThreshold {
		s.compact()
	}
	for w := range s.watchers {
		if strings.HasPrefix(c.key, w.prefix) {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		}
	}
}

// compact drops superseded entries from the log, and deletions in its older
// half. A watch that starts from before a dropped deletion misses it.
func (s *store) compact() {
	kept := s.log[:0]
	for i, c := range s.log {
		superseded := s.latest[c.key] != c.version
		oldDeletion := c.deleted && i < compactThreshold/2
		if superseded {
			continue
		}
		if oldDeletion {
			delete(s.latest, c.key)
			continue
		}
		kept = append(kept, c)
	}
	s.log = kept
}

// changesSince returns the store's version, and the latest change of each key
// under the prefix that changed after version from.
func (s *store) changesSince(prefix string, from int64) (int64, []client.Event) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	events := []client.Event{}
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > from })
	for _, c := range s.log[start:] {
		if !strings.HasPrefix(c.key, prefix) || s.latest[c.key] != c.version {
			continue
		}
		events = append(events, client.Event{Object: s.eventObject(c), Deleted: c.deleted})
	}
	return s.version, events
}

func (s *store) eventObject(c change) client.Object {
	if c.deleted {
		return client.Object{Key: c.key, Version: c.version}
	}
	return s.objects[c.key]
}

func (s *store) addWatcher(prefix string) *watcher {
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[w] = struct{}{}
	return w
}

func (s *store) removeWatcher(w *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, w)
}
