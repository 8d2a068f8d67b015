package main

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

// Server is a stand-in for a model server or a plain service.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	Step                       time.Duration // between events
	// Answer, if set, may answer a request instead. It reports whether it did.
	Answer func(s *Server, w http.ResponseWriter, r *http.Request, id string, body []byte) bool
	// Ran is called with each request that the server begins to run.
	Ran    func(s *Server, id string, r *http.Request)
	born   int64
	server *http.Server

	mu      sync.Mutex
	running int
}

func (s *Server) listen(store *Store) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	server := &http.Server{Handler: s}
	s.server = server
	go func() { _ = server.Serve(l) }()
	s.register(store, "ready")
	return nil
}

func (s *Server) register(store *Store, state string) {
	store.set("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "1", "slots": s.Slots, "state": state, "coldRemainingMs": 0, "sequence": 1, "born": s.born,
	})
}

func (s *Server) load(d int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += d
	return s.running
}

// ServeHTTP implements the protocol of servers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	running := s.load(1)
	defer s.load(-1)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", min(running, s.Slots), s.Slots))
	if running > s.Slots+24 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.Ran != nil {
		s.Ran(s, id, r)
	}
	w.Header().Set("Response-Seal", seal(id))
	if s.Answer != nil && s.Answer(s, w, r, id, body) {
		return
	}
	if r.Header.Get("Token-Count") == "" {
		text := plainBody(id)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.stream(w, r, id, after)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	ticker := time.NewTicker(max(s.Step, time.Microsecond))
	defer ticker.Stop()
	for n := after + 1; n <= events; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		if err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			return
		}
	}
}

// events is the number of events of an output, and eventBytes the size of the data of
// one: those of `route-sheet` in the site file.
const events, eventBytes = 242, 65

func hashOf(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

func seal(id string) string { return fmt.Sprintf("%x", hashOf(id)) }

func eventData(id string, n int) string {
	text := fmt.Sprintf("%016x-%04d ", hashOf(id), n)
	return text + strings.Repeat("x", eventBytes-len(text))
}

func plainBody(id string) string { return strings.Repeat("answer "+seal(id)+" ", 32) }
