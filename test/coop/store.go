// Package coop is a small stand-in for the cooperative's platform: its object
// store, a model server and a plain server, with the published protocol. Tests
// run the real program against it.
package coop

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

type change struct {
	kind       string
	atRevision int64  // revision of the change, also of a deletion
	Object     object `json:"object"`
	Deleted    bool   `json:"deleted"`
}

// Store is the platform's object store.
type Store struct {
	server *httptest.Server

	mu             sync.Mutex
	revision       int64
	objects        map[string]map[string]object // by kind and name
	history        []change
	changed        chan struct{}
	down           bool
	lostAnswerRate float64
	rng            *rand.Rand
	calls          int
}

// NewStore starts a store.
func NewStore(seed uint64) *Store {
	s := &Store{objects: map[string]map[string]object{}, changed: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 1))}
	s.server = httptest.NewServer(s)
	return s
}

// Close stops the store.
func (s *Store) Close() { s.server.CloseClientConnections(); s.server.Close() }

// Address returns the store's IP and port.
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// SetDown makes every call answer 503.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLostAnswerRate makes a fraction of the writes take effect without an answer.
func (s *Store) SetLostAnswerRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswerRate = rate
}

// DropHistory drops the history of changes, as the platform may at any time.
// Watches from an older revision then get 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Set writes an object as the operator or a server does. It also works while
// the store is down for hosts.
func (s *Store) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a bug in the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.write(kind, o)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// write stores an object under the next revision. The caller holds mu.
func (s *Store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.publish(change{kind: kind, atRevision: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.publish(change{kind: kind, atRevision: s.revision, Object: o, Deleted: true})
}

func (s *Store) publish(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the object calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	s.mu.Lock()
	s.calls++
	down := s.down
	lost := r.Method != http.MethodGet && s.rng.Float64() < s.lostAnswerRate
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	status, body := s.execute(r, kind, name, len(parts) > 3)
	if lost {
		panic(http.ErrAbortHandler) // applied, but not answered
	}
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
	}
}

type listing struct {
	Items []object `json:"items"`
	More  bool     `json:"hasMore"`
	At    int64    `json:"at"`
}

const pageSize = 50

// execute executes one request and returns its status and body.
func (s *Store) execute(r *http.Request, kind, name string, status bool) (int, any) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodPost:
		if taken, ok := s.objects[kind][sent.Metadata.Name]; ok {
			return http.StatusConflict, taken
		}
		sent.Metadata.Revision, sent.Status = 0, nil
		return http.StatusOK, s.write(kind, sent)
	case !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, present
	}
	wanted := sent.Metadata.Revision
	if r.Method == http.MethodDelete {
		wanted, _ = strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64) // 0 without one
	}
	if wanted != 0 && wanted != present.Metadata.Revision {
		return http.StatusConflict, present
	}
	if r.Method == http.MethodDelete {
		s.remove(kind, name)
		return http.StatusOK, nil
	}
	if status {
		present.Status = sent.Status
	} else {
		present.Spec = sent.Spec
	}
	return http.StatusOK, s.write(kind, present)
}

func (s *Store) list(kind, after string) listing {
	out := listing{At: s.revision, Items: []object{}}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names[:min(len(names), pageSize)] {
		out.Items = append(out.Items, s.objects[kind][name])
	}
	out.More = len(names) > pageSize
	return out
}

type watchResult struct {
	Events []change `json:"events"`
	At     int64    `json:"at"`
}

// watch answers as soon as there is an event after the revision, or after
// waitMs without one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("watch"), 10, 64)    // the program sends numbers
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64) // likewise
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		out := watchResult{At: s.revision, Events: []change{}}
		gone := s.revision > from && (len(s.history) == 0 || s.history[0].atRevision > from+1)
		for _, c := range s.history {
			if c.kind == kind && c.atRevision > from {
				out.Events = append(out.Events, c)
			}
		}
		changed, down := s.changed, s.down
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(out.Events) > 0:
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
