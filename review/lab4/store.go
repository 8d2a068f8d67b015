package main

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the platform's store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

type storeEvent struct {
	kind    string
	at      int64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's metadata store, as PROTOCOL.md describes it. Each machine
// reaches it at an address of its own, so that a fault can be that of one machine's calls.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object
	history  []storeEvent
	names    map[string][]string // of a kind in order, until it changes
	changed  chan struct{}
	// fault is asked before each call of a machine. It returns what happens to the call.
	fault func(machine string, r *http.Request) verdict
	// written is called with each write that was done, without the lock.
	written func(machine, method, kind, name string, o object)
}

// verdict is what happens to a call of the store.
type verdict int

const (
	answered verdict = iota
	lostAnswer
	busy
	silent
)

func newStore() *Store {
	return &Store{objects: map[string]map[string]object{}, changed: make(chan struct{}), revision: 100}
}

// listen serves the store for one machine.
func (s *Store) listen(machine, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}).Serve(l)
	}()
	return nil
}

func (s *Store) publish(e storeEvent) {
	delete(s.names, e.kind)
	s.history = append(s.history, e)
	if len(s.history) > 20000 {
		s.history = append([]storeEvent(nil), s.history[10000:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores an object. The caller holds mu.
func (s *Store) put(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(storeEvent{kind: kind, at: s.revision, Object: o})
	return o
}

// set writes an object as the operator or a server does. It returns the time of its ack.
func (s *Store) set(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.put(kind, o)
	return time.Now()
}

func (s *Store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.EscapedPath(), "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name, _ = url.PathUnescape(parts[2])
	}
	v := answered
	if s.fault != nil {
		v = s.fault(machine, r)
	}
	switch v {
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	status, body, written := s.execute(r, kind, name, len(parts) > 3)
	if written != nil && s.written != nil {
		s.written(machine, r.Method, kind, written.Metadata.Name, *written)
	}
	if v == lostAnswer {
		panic(http.ErrAbortHandler)
	}
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

const maxValue = 1 << 20

// execute carries out one call. It returns the object if one was written.
func (s *Store) execute(r *http.Request, kind, name string, status bool) (int, any, *object) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			return http.StatusBadRequest, nil, nil
		}
		if len(sent.Spec) > maxValue {
			return http.StatusRequestEntityTooLarge, nil, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, exists := s.objects[kind][name]
	revision := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		revision, _ = strconv.ParseInt(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after")), nil
	case r.Method == http.MethodPost:
		if taken, ok := s.objects[kind][sent.Metadata.Name]; ok {
			return http.StatusConflict, taken, nil
		}
		sent.Metadata.Revision, sent.Status = 0, nil
		o := s.put(kind, sent)
		return http.StatusOK, o, &o
	case !exists:
		return http.StatusNotFound, nil, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, present, nil
	case revision != 0 && revision != present.Metadata.Revision:
		return http.StatusConflict, present, nil
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.publish(storeEvent{kind: kind, at: s.revision, Object: present, Deleted: true})
		return http.StatusOK, present, &present
	case r.Method == http.MethodPut && status:
		present.Status = sent.Status
	case r.Method == http.MethodPut:
		present.Spec = sent.Spec
	default:
		return http.StatusMethodNotAllowed, nil, nil
	}
	o := s.put(kind, present)
	return http.StatusOK, o, &o
}

const pageObjects, pageBytes = 500, 1 << 20

// sorted returns the names of a kind in order. The caller holds mu.
func (s *Store) sorted(kind string) []string {
	if s.names == nil {
		s.names = map[string][]string{}
	}
	names, ok := s.names[kind]
	if !ok {
		for name := range s.objects[kind] {
			names = append(names, name)
		}
		slices.Sort(names)
		s.names[kind] = names
	}
	return names
}

// list returns a page of a kind. The caller holds mu.
func (s *Store) list(kind, after string) any {
	names := s.sorted(kind)
	at, found := slices.BinarySearch(names, after)
	if found {
		at++
	}
	names = names[at:]
	items, size, more := []object{}, 0, false
	for _, name := range names {
		o := s.objects[kind][name]
		if size += len(o.Spec); len(items) > 0 && (size > pageBytes || len(items) == pageObjects) {
			more = true
			break
		}
		items = append(items, o)
	}
	return map[string]any{"items": items, "hasMore": more, "at": s.revision}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []storeEvent{}, s.revision, s.changed
		for i := len(s.history) - 1; i >= 0 && s.history[i].at > from; i-- {
			if s.history[i].kind == kind {
				events = append(events, s.history[i])
			}
		}
		s.mu.Unlock()
		slices.Reverse(events)
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
		return
	}
}
