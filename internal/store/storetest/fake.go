// Package storetest provides an in-memory store.Store for tests that can simulate
// outages and lost responses.
package storetest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"ragwortstep/internal/store"
)

// watchWait is how long Watch waits for an event before it returns an empty set.
const watchWait = 200 * time.Millisecond

// Fake is an in-memory Store. The zero value is not usable; call New.
type Fake struct {
	mu            sync.Mutex
	version       int64
	objects       map[string]store.Object
	events        []store.Event
	changed       chan struct{}
	hosts         []store.HostEntry
	down          bool
	lostResponses int
	calls         map[string]int
}

var _ store.Store = (*Fake)(nil)

// New returns an empty store.
func New() *Fake {
	return &Fake{objects: map[string]store.Object{}, changed: make(chan struct{}), calls: map[string]int{}}
}

// SetDown makes every call fail with ErrUnavailable while down is true.
func (f *Fake) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// LoseResponses makes the next n writes take effect and return ErrUnknownOutcome.
func (f *Fake) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostResponses = n
}

// SetHosts sets the list that Hosts returns.
func (f *Fake) SetHosts(hosts []store.HostEntry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = hosts
}

// Calls returns how often the operation (get, list, put, delete, watch, hosts) was called.
func (f *Fake) Calls(op string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[op]
}

// recordCall counts the call and returns an error during an outage. The caller
// holds mu.
func (f *Fake) recordCall(op string) error {
	f.calls[op]++
	if f.down {
		return store.ErrUnavailable
	}
	return nil
}

// Get implements store.Store.
func (f *Fake) Get(_ context.Context, key string) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("get"); err != nil {
		return store.Object{}, err
	}
	obj, ok := f.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return obj, nil
}

// GetStale implements store.Store. It returns the current state.
func (f *Fake) GetStale(ctx context.Context, key string) (store.Object, error) {
	return f.Get(ctx, key)
}

// List implements store.Store.
func (f *Fake) List(_ context.Context, prefix, after string, limit int) (store.Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("list"); err != nil {
		return store.Page{}, err
	}
	var keys []string
	for key := range f.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := store.Page{Version: f.version}
	if limit > 0 && len(keys) > limit {
		keys = keys[:limit]
		page.Next = keys[limit-1]
	}
	for _, key := range keys {
		page.Objects = append(page.Objects, f.objects[key])
	}
	return page, nil
}

// Put implements store.Store.
func (f *Fake) Put(_ context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("put"); err != nil {
		return store.Object{}, err
	}
	if len(value) > store.MaxValueBytes {
		return store.Object{}, store.ErrTooLarge
	}
	if ifVersion != store.AnyVersion && f.objects[key].Version != ifVersion {
		return f.objects[key], store.ErrConflict
	}
	f.version++
	obj := store.Object{Key: key, Version: f.version, Value: append([]byte(nil), value...)}
	f.objects[key] = obj
	f.publish(store.Event{Object: obj})
	return obj, f.loseResponse()
}

// Delete implements store.Store.
func (f *Fake) Delete(_ context.Context, key string, ifVersion int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("delete"); err != nil {
		return err
	}
	obj, ok := f.objects[key]
	if !ok {
		return store.ErrNotFound
	}
	if ifVersion != store.AnyVersion && obj.Version != ifVersion {
		return store.ErrConflict
	}
	f.version++
	delete(f.objects, key)
	f.publish(store.Event{Object: store.Object{Key: key, Version: f.version}, Deleted: true})
	return f.loseResponse()
}

// Watch implements store.Store.
func (f *Fake) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	if wait <= 0 || wait > watchWait {
		wait = watchWait
	}
	deadline := time.After(wait)
	for {
		result, changed, err := f.eventsAfter(prefix, from)
		if err != nil || len(result.Events) > 0 {
			return result, err
		}
		select {
		case <-changed:
		case <-deadline:
			return result, nil
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

func (f *Fake) eventsAfter(prefix string, from int64) (store.WatchResult, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("watch"); err != nil {
		return store.WatchResult{}, nil, err
	}
	result := store.WatchResult{Version: f.version}
	for _, ev := range f.events {
		if ev.Version > from && strings.HasPrefix(ev.Key, prefix) {
			result.Events = append(result.Events, ev)
		}
	}
	return result, f.changed, nil
}

// Hosts implements store.Store.
func (f *Fake) Hosts(context.Context) ([]store.HostEntry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("hosts"); err != nil {
		return nil, err
	}
	return append([]store.HostEntry(nil), f.hosts...), nil
}

func (f *Fake) publish(ev store.Event) {
	f.events = append(f.events, ev)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) loseResponse() error {
	if f.lostResponses == 0 {
		return nil
	}
	f.lostResponses--
	return store.ErrUnknownOutcome
}
