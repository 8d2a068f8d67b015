// Package lab holds the stand-ins for the scripts of the review: the platform's
// object store, model servers, callers, and the hosts' processes. They behave as the
// users' pages say and, where a page is silent, like sound ones.
package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Metadata is an object's metadata.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"created"`
	Finalizers []string `json:"finalizers,omitempty"`
}

// Object is one object of the store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	at      int64
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Mode is how the store treats the calls of one machine.
type Mode int

// Modes.
const (
	Serves  Mode = iota
	Refuses      // 503, nothing is done
	Silent       // no answer, nothing is done
)

// Store is the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]Object
	history  []change
	changed  chan struct{}
	modes    map[string]Mode // by the machine's name
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{revision: 100, objects: map[string]map[string]Object{}, changed: make(chan struct{}), modes: map[string]Mode{}}
}

// Listen serves the calls of one machine at an address.
func (s *Store) Listen(machine, address string) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(machine, w, r) })}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server, nil
}

// SetMode sets how the store treats a machine.
func (s *Store) SetMode(machine string, mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.modes[machine] = mode
	s.wake()
}

// Set writes an object as the operator or a server does, and returns its revision.
func (s *Store) Set(kind, name string, spec any) int64 {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	return s.write(kind, o).Metadata.Revision
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(kind string, o Object) Object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{kind: kind, at: s.revision, Object: o})
	s.wake()
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.history = append(s.history, change{kind: kind, at: s.revision, Object: o, Deleted: true})
	s.wake()
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func (s *Store) serve(machine string, w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	s.mu.Lock()
	mode := s.modes[machine]
	s.mu.Unlock()
	switch mode {
	case Refuses:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) < 2 || parts[0] != "objects" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name := parts[1], ""
	if len(parts) > 2 {
		name = parts[2]
	}
	if r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch") {
		s.watch(machine, w, r, kind)
		return
	}
	status, body := s.execute(r, kind, name, len(parts) > 3)
	answer(w, status, body)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may have left
	}
}

func (s *Store) execute(r *http.Request, kind, name string, status bool) (int, any) {
	var sent Object
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
		sent.Metadata = Metadata{Name: sent.Metadata.Name, Finalizers: sent.Metadata.Finalizers}
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
	switch {
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	case status && string(present.Status) == string(sent.Status), !status && string(present.Spec) == string(sent.Spec):
		return http.StatusOK, present // nothing changes
	case status:
		present.Status = sent.Status
	default:
		present.Spec, present.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	return http.StatusOK, s.write(kind, present)
}

const pageSize = 500

type listing struct {
	Items []Object `json:"items"`
	More  bool     `json:"hasMore"`
	At    int64    `json:"at"`
}

func (s *Store) list(kind, after string) listing {
	out := listing{At: s.revision, Items: []Object{}}
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

func (s *Store) watch(machine string, w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		mode, changed := s.modes[machine], s.changed
		out := struct {
			Events []change `json:"events"`
			At     int64    `json:"at"`
		}{[]change{}, s.revision}
		for _, c := range s.history {
			if c.kind == kind && c.at > from {
				out.Events = append(out.Events, c)
			}
		}
		s.mu.Unlock()
		if mode != Serves {
			panic(http.ErrAbortHandler) // a watch that waits may be cut off
		}
		if len(out.Events) > 0 {
			answer(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}
