package lab3

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

// Run is one request that a server began to run.
type Run struct {
	ID     string
	Server string
	Tenant string
	After  int64
	At     time.Time
	Ended  time.Time // zero while it runs
}

// Server is a sound backend server with a number of slots. It answers requests with a
// Token-Count by a stream, and others by a body.
type Server struct {
	Name, Service, Address string
	Slots                  int
	Events                 int           // of a stream
	EventBytes             int           // of the data of an event
	Pace                   time.Duration // between events, and the work of a plain request
	slots                  chan struct{}
	server                 *http.Server

	mu   sync.Mutex
	runs []*Run
	born int64
}

// Start starts the server at an address.
func (s *Server) Start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.Address, s.born = listener.Addr().String(), time.Now().UnixMilli()
	s.slots = make(chan struct{}, s.Slots)
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// Register writes the server's entry.
func (s *Server) Register(store *Store, state string) {
	store.Set("servers", s.Name, map[string]any{
		"service": s.Service, "address": s.Address, "zone": "thies-nord", "version": "1", "slots": s.Slots, "state": state, "born": s.born, "sequence": 1,
	})
}

// Stop ends the server.
func (s *Server) Stop() { _ = s.server.Close() }

// Runs returns the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, len(s.runs))
	for i, r := range s.runs {
		out[i] = *r
	}
	return out
}

// EventData returns the data of event n of a request.
func (s *Server) EventData(id string, n int64) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	text := fmt.Sprintf("%016x-%d-", h.Sum64(), n)
	return text + strings.Repeat("x", max(s.EventBytes-len(text), 0))
}

// ServeHTTP implements the protocol of servers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), s.Slots))
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // 0 without one
	run := &Run{ID: id, Server: s.Name, Tenant: r.Header.Get("Tenant"), After: after, At: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		run.Ended = time.Now()
		s.mu.Unlock()
	}()
	w.Header().Set("Response-Seal", "seal-"+id)
	if r.Header.Get("Token-Count") == "" {
		select {
		case <-time.After(s.Pace):
		case <-r.Context().Done():
			return
		}
		body := "answer to " + id
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // the host may have disconnected
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= int64(s.Events); n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, s.EventData(id, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(s.Pace):
		case <-r.Context().Done():
			return
		}
	}
}
