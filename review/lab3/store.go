package lab3

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What the pages say of the platform's store.
const (
	writesPerS   = 400
	readsPerS    = 2000
	answerTime   = 4 * time.Millisecond
	historyTime  = 20 * time.Second
	valueBytes   = 1 << 20
	pageObjects  = 500
	pageBytes    = 1 << 20
	maxWatchWait = 30 * time.Second
)

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
}

// object is one stored object.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	kind    string
	at      int64
	time    time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is the platform's store.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]object // by kind and name
	history  []change
	dropped  int64 // revision of the newest change that is not in history
	changed  chan struct{}
	second   int64 // to which the counts belong
	writes   int
	reads    int
	TooMany  int // calls that were answered 429
}

// NewStore starts a store at a free port.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's IP and port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Set writes an object as the operator or a server does.
func (s *Store) Set(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a bug of the case
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, raw
	s.write(kind, o)
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
	s.publish(change{kind: kind, at: s.revision, Object: o})
	return o
}

func (s *Store) publish(c change) {
	c.time = time.Now()
	s.history = append(s.history, c)
	for len(s.history) > 0 && time.Since(s.history[0].time) > historyTime {
		s.dropped = s.history[0].at
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// allow counts a call, and reports false if there are too many in this second.
func (s *Store) allow(write bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if write {
		s.writes++
	} else {
		s.reads++
	}
	if s.writes > writesPerS || s.reads > readsPerS {
		s.TooMany++
		return false
	}
	return true
}

// ServeHTTP implements the calls of PROTOCOL.md.
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
	query := r.URL.Query()
	if !query.Has("serializable") && !s.allow(r.Method != http.MethodGet) {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	if r.Method == http.MethodGet && name == "" && query.Has("watch") {
		s.watch(w, r, kind)
		return
	}
	status, answer := s.execute(r, body, kind, name, len(parts) > 3)
	writeJSON(w, status, answer)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body) // the caller may have disconnected
	}
}

func (s *Store) execute(r *http.Request, body []byte, kind, name string, isStatus bool) (int, any) {
	var sent object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.Unmarshal(body, &sent); err != nil {
			return http.StatusBadRequest, nil
		}
		if len(sent.Spec) > valueBytes {
			return http.StatusRequestEntityTooLarge, nil
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
		sent.Metadata.Revision, sent.Metadata.Created, sent.Status = 0, 0, nil
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
		s.revision++
		delete(s.objects[kind], name)
		s.publish(change{kind: kind, at: s.revision, Object: present, Deleted: true})
		return http.StatusOK, nil
	case isStatus:
		present.Status = sent.Status
	default:
		present.Spec = sent.Spec
	}
	return http.StatusOK, s.write(kind, present)
}

// list returns a page of at most pageObjects objects or about pageBytes.
func (s *Store) list(kind, after string) any {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	items, size := []object{}, 0
	for _, name := range names {
		o := s.objects[kind][name]
		if size += len(o.Spec); len(items) > 0 && (size > pageBytes || len(items) == pageObjects) {
			break
		}
		items = append(items, o)
	}
	return map[string]any{"items": items, "hasMore": len(items) < len(names), "at": s.revision}
}

// watch answers as soon as there is an event after the revision, or after waitMs without one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("watch"), 10, 64)    // the program sends numbers
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64) // likewise
	deadline := time.After(min(time.Duration(waitMs)*time.Millisecond, maxWatchWait))
	for expired := false; ; {
		s.mu.Lock()
		at, events, changed, gone := s.revision, []change{}, s.changed, from < s.dropped
		size := 0
		for _, c := range s.history {
			if c.kind != kind || c.at <= from {
				continue
			}
			if size += len(c.Object.Spec); len(events) > 0 && size > pageBytes {
				at = events[len(events)-1].at // the rest follows
				break
			}
			events = append(events, c)
		}
		s.mu.Unlock()
		switch {
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || expired:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
