package lab

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Slots is the number of requests that a server runs at once.
const Slots = 8

// Server is a backend server. It answers requests with a Token-Count by a stream of
// events, and others by a short body. The answer depends only on the request's id.
type Server struct {
	Name, Service, Address string
	Events                 int64         // of a stream
	Pause                  time.Duration // between events, or before a short answer
	// Odd answers a request in another way and reports true, or false for the usual one.
	Odd func(s *Server, w http.ResponseWriter, r *http.Request, id string) bool
	// OnRun is called for each request that the server begins to run.
	OnRun func(s *Server, r *http.Request, id string, body []byte)

	store  *Store
	server *http.Server
	born   int64
	stop   chan struct{}
	once   sync.Once
	slots  chan struct{}
}

// Start starts the server and its heartbeat.
func (s *Server) Start(store *Store) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.store, s.born, s.stop, s.slots = store, time.Now().UnixMilli(), make(chan struct{}), make(chan struct{}, Slots)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }() // ends with Close
	s.beat(1)
	go s.beats()
	return nil
}

func (s *Server) beats() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for n := 2; ; n++ {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
			s.beat(n)
		}
	}
}

func (s *Server) beat(sequence int) {
	s.store.Set("servers", s.Name, map[string]any{
		"service": s.Service, "address": s.Address, "zone": "z1", "version": "1", "slots": Slots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": s.born,
	})
}

// Close ends the server. It leaves its entry, as a server that crashes does.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.stop)
		_ = s.server.Close()
	})
}

// EventData returns the data of event n of the answer to a request.
func EventData(id string, n int64) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%x-%d", h.Sum64(), n)
}

// ExpectedOutput returns the data of all events.
func ExpectedOutput(id string, events int64) string {
	var lines []string
	for n := int64(1); n <= events; n++ {
		lines = append(lines, EventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// ServeHTTP implements the server's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Instance-Id", s.Name)
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), Slots))
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(time.Second):
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	if s.OnRun != nil {
		s.OnRun(s, r, id, body)
	}
	h.Set("Response-Seal", "seal-"+EventData(id, 0))
	if s.Odd != nil && s.Odd(s, w, r, id) {
		return
	}
	if r.Header.Get("Token-Count") == "" {
		text := "answer " + EventData(id, 0)
		if !wait(r, s.Pause) {
			return
		}
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text) // the host may have left
		return
	}
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // 0 without one
	s.Stream(w, r, id, after, s.Events)
}

// Stream writes the events after one up to another.
func (s *Server) Stream(w http.ResponseWriter, r *http.Request, id string, after, last int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= last; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, EventData(id, n))
		if http.NewResponseController(w).Flush() != nil || !wait(r, s.Pause) {
			return
		}
	}
}

func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
