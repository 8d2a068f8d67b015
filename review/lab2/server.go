package lab2

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstep/test/coop"
)

// Run is a request that a server began to run.
type Run struct {
	ID, Server, Tenant, Path string
	SentMS                   int64 // Sent-Ms of the client's request, 0 without one
	At                       time.Time
}

// Servers is a group of servers and what they ran.
type Servers struct {
	Store  *coop.Store
	Net    Network
	Record *Record
	// Events and EventBytes are the length of a stream, Step is the time to the next event.
	Events, EventBytes int
	Step               time.Duration
	Work               time.Duration // of a request that is no stream
	// EventsOf returns the length of a stream instead of Events; may be nil.
	EventsOf func(r *http.Request) int
	// Crashes reports whether a request crashes the server that begins to run it.
	Crashes func(r *http.Request) bool
	// Back is how long after a crash a server is back.
	Back time.Duration

	mu   sync.Mutex
	runs []Run
	list []*Server
	next int
}

// Server is a stand-in of a backend server.
type Server struct {
	group               *Servers
	service, zone       string
	slots, queue, index int
	mu                  sync.Mutex
	id                  string
	born                int64
	running             int
	waiting             int
	freed               chan struct{}
	http                *http.Server
}

// Add starts a server and registers it.
func (g *Servers) Add(service, zone string, slots, queue int) error {
	s := &Server{group: g, service: service, zone: zone, slots: slots, queue: queue, index: len(g.list)}
	g.list = append(g.list, s)
	return s.start()
}

func (s *Server) address() string { return s.group.Net.Address(100+s.index, portServer) }

func (s *Server) start() error {
	l, err := net.Listen("tcp", s.address())
	if err != nil {
		return err
	}
	s.group.mu.Lock()
	s.group.next++
	id := fmt.Sprintf("i-%06x", s.group.next*7919)
	s.group.mu.Unlock()
	s.mu.Lock()
	s.id, s.born, s.running, s.waiting, s.freed = id, time.Now().UnixMilli(), 0, 0, make(chan struct{})
	s.http = &http.Server{Handler: s}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	s.register("ready")
	return nil
}

func (s *Server) register(state string) {
	s.group.Store.Set("servers", s.id, map[string]any{
		"service": s.service, "address": s.address(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": s.born,
	})
}

// crash ends the server. Another one is back at its address after some seconds.
func (s *Server) crash() {
	s.mu.Lock()
	server, id := s.http, s.id
	s.mu.Unlock()
	_ = server.Close()
	go func() {
		time.Sleep(s.group.Back)
		s.group.Store.Remove("servers", id)
		if err := s.start(); err != nil {
			s.group.Record.Say("cannot start a server again: %v", err)
		}
	}()
}

// Runs returns what the servers began to run.
func (g *Servers) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// admit waits for a slot, and reports false if the server is full.
func (s *Server) admit(r *http.Request) bool {
	s.mu.Lock()
	if s.running >= s.slots && s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	for s.running >= s.slots {
		freed := s.freed
		s.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			s.mu.Lock()
			s.waiting--
			s.mu.Unlock()
			return false
		}
		s.mu.Lock()
	}
	s.waiting--
	s.running++
	s.mu.Unlock()
	return true
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	close(s.freed)
	s.freed = make(chan struct{})
}

// ServeHTTP implements the server's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	self, load := s.id, fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Server-Load", load)
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != self {
		h.Set("Instance-Id", self)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.admit(r) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	sent, _ := strconv.ParseInt(r.Header.Get("Sent-Ms"), 10, 64)
	g := s.group
	g.mu.Lock()
	g.runs = append(g.runs, Run{ID: id, Server: self, Tenant: r.Header.Get("Tenant"), Path: r.URL.Path, SentMS: sent, At: time.Now()})
	g.mu.Unlock()
	if g.Crashes != nil && g.Crashes(r) {
		g.Record.Add("server %s crashes on %s %s", self, id, r.URL.Path)
		s.crash()
		panic(http.ErrAbortHandler)
	}
	h.Set("Response-Seal", Seal(id))
	if r.Header.Get("Token-Count") == "" {
		time.Sleep(g.Work)
		body := "answer to " + id
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body) // the host may have left
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Content-Type", "text/event-stream")
	events := g.Events
	if g.EventsOf != nil {
		events = g.EventsOf(r)
	}
	for n := after + 1; n <= events; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, g.eventData(id, n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush() // the host may have left
		if s.pause(r, g.Step) {
			return
		}
	}
}

func (s *Server) pause(r *http.Request, d time.Duration) (left bool) {
	select {
	case <-r.Context().Done():
		return true
	case <-time.After(d):
		return false
	}
}

// Seal is the signature of the answers to a request.
func Seal(id string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return fmt.Sprintf("%x", h.Sum64())
}

func (g *Servers) eventData(id string, n int) string {
	text := fmt.Sprintf("%s-%d ", id, n)
	return text + strings.Repeat("x", max(g.EventBytes-len(text), 0))
}

// Output returns the whole output of an item.
func (g *Servers) Output(id string) string {
	lines := make([]string, 0, g.Events)
	for n := 1; n <= g.Events; n++ {
		lines = append(lines, g.eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// Configure writes a configuration.
func (g *Servers) Configure(version int64, routes, tenants []map[string]any) {
	services := []map[string]any{}
	seen := map[string]bool{}
	for _, s := range g.list {
		if !seen[s.service] {
			seen[s.service] = true
			services = append(services, map[string]any{"name": s.service, "healthPath": "/health", "maxConnections": 300, "protocol": "h1", "tls": false})
		}
	}
	g.Store.Set("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

// JSON encodes a value.
func JSON(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err) // a bug in the script
	}
	return raw
}

// Close ends the servers.
func (g *Servers) Close() {
	for _, s := range g.list {
		s.mu.Lock()
		server := s.http
		s.mu.Unlock()
		_ = server.Close()
	}
}
