package coop

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

// Server is a backend server. It answers requests with a Token-Count by a
// stream of events, and others at once. The answer depends only on the request's
// id, so that tests can check it.
type Server struct {
	Name        string
	Service     string
	StartedAtMS int64
	Pause       time.Duration // between events
	CrashPart   string        // a part of prompts; the server crashes when it begins to answer on it
	OnCrash     func()        // called when it has received such a request
	// Silence returns how long the server falls silent before a part of its answer to
	// a request; nil if it never does. The parts are the head, each event and its
	// second half, and the end, in order.
	Silence func(id string, part int64) time.Duration
	server  *httptest.Server

	mu      sync.Mutex
	runs    []Run
	leaving bool
}

// Run is one request that a server began to run.
type Run struct {
	ID        string
	Start     string // of the server, see Server.start
	After     int64
	Tenant    string
	KeyLeaked bool // the caller's key reached the server
	At        time.Time
}

// A server tries to listen at the address that it had for a second.
const (
	maxListenTries = 50
	listenPause    = 20 * time.Millisecond
)

// headerStart names the start of the server that answers. Hosts pass it on like any
// other header.
const headerStart = "Instance-Id"

// slots is the number of concurrent requests that a server reports as its capacity.
const slots = 8

// NewServer starts a server and registers it in the store.
func NewServer(store *Store, name, service string, pause time.Duration) *Server {
	s := &Server{Name: name, Service: service, Pause: pause}
	s.Start(store)
	return s
}

// serverNetwork is that of all servers of this process.
var serverNetwork = sync.OnceValues(harness.ReserveNetwork)

// Servers listen at ports from firstServerPort on, below the range of ephemeral ports.
// None is used for two servers, as a server may start again at its address.
const (
	serverByte      = 2 // last byte of the address
	firstServerPort = 20_000
)

var serversStarted atomic.Int64

// Start starts the server at a new address and registers it in the store.
func (s *Server) Start(store *Store) {
	network, err := serverNetwork()
	if err == nil {
		err = s.startAt(store, network.Address(serverByte, firstServerPort+int(serversStarted.Add(1))))
	}
	if err != nil {
		panic(err) // no address is free
	}
}

// StartAtSameAddress starts a server that has ended again at its address.
func (s *Server) StartAtSameAddress(store *Store) error {
	return s.startAt(store, s.address())
}

func (s *Server) startAt(store *Store, address string) error {
	listener, err := net.Listen("tcp", address)
	// A process that is being started holds copies of all sockets for a moment.
	for tries := 0; errors.Is(err, syscall.EADDRINUSE) && tries < maxListenTries; tries++ {
		time.Sleep(listenPause)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		return errors.Wrapf(err, "start %s", s.Name)
	}
	s.noteStart()
	next := httptest.NewUnstartedServer(s)
	_ = next.Listener.Close() // nothing uses it
	next.Listener = listener
	next.Start()
	s.server = next
	s.Register(store, "ready")
	return nil
}

func (s *Server) noteStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.StartedAtMS = time.Now().UnixMilli()
}

// start names the current start of the server.
func (s *Server) start() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s@%d", s.Name, s.StartedAtMS)
}

func (s *Server) address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Register writes the server's entry.
func (s *Server) Register(store *Store, state string) {
	store.Set("servers", s.Name, map[string]any{
		"service": s.Service, "address": s.address(), "zone": "z1", "slots": slots, "state": state, "born": s.StartedAtMS,
	})
}

// Stop ends the server once its open requests have ended.
func (s *Server) Stop() { s.server.Close() }

// Crash resets all connections and stops the server.
func (s *Server) Crash() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetLeaving makes the server say in all its answers that it is leaving, or no
// longer. It goes on serving, and its entry stays as it is.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Server) isLeaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// Runs returns the requests that the server began to run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// EventCount returns the number of events in the answer to a request.
func EventCount(id string) int64 { return 5 + int64(idHash(id)%20) }

// EventData returns the data of event n.
func EventData(id string, n int64) string { return fmt.Sprintf("%x-%d", idHash(id), n) }

// ExpectedOutput returns the data of all events of a request.
func ExpectedOutput(id string) string {
	var lines []string
	for n := int64(1); n <= EventCount(id); n++ {
		lines = append(lines, EventData(id, n))
	}
	return strings.Join(lines, "\n")
}

// PlainBody returns the answer to a request without a Token-Count.
func PlainBody(id string) string { return fmt.Sprintf("answer %x", idHash(id)) }

func idHash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash does not fail
	return h.Sum64()
}

// ServeHTTP implements the server's protocol.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	start := s.start()
	w.Header().Set("Attempt-Id", id)
	w.Header().Set(headerStart, start)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", slots))
	if s.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.Name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	after, _ := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64) // 0 without one
	s.mu.Lock()
	s.runs = append(s.runs, Run{ID: id, Start: start, After: after, Tenant: r.Header.Get("Tenant"), KeyLeaked: r.Header.Get("Authorization") != "", At: time.Now()})
	s.mu.Unlock()
	w.Header().Set("Response-Seal", fmt.Sprintf("%x", idHash(id)))
	if r.Header.Get("Token-Count") == "" {
		s.writePlain(w, id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if s.CrashPart != "" && strings.Contains(r.Header.Get("Prompt-Prefix"), s.CrashPart+":") {
		_ = http.NewResponseController(w).Flush() // the host may have disconnected
		go s.OnCrash()
		<-r.Context().Done()
		return
	}
	for n := after + 1; n <= EventCount(id); n++ {
		s.fallSilent(id, 2*(n-after)-1)
		fmt.Fprintf(w, "id: %d\nda", n)
		if pause := s.silence(id, 2*(n-after)); pause > 0 {
			_ = http.NewResponseController(w).Flush() // the next one fails too if the host has disconnected
			time.Sleep(pause)
		}
		fmt.Fprintf(w, "ta: %s\n\n", EventData(id, n))
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(s.Pause):
		case <-r.Context().Done():
			return
		}
	}
	s.fallSilent(id, 2*(EventCount(id)-after)+1)
}

// writePlain writes the answer to a request without a Token-Count.
func (s *Server) writePlain(w http.ResponseWriter, id string) {
	body := PlainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.fallSilent(id, 0)
	_, _ = io.WriteString(w, body[:3]) // the host may have disconnected
	if pause := s.silence(id, 1); pause > 0 {
		_ = http.NewResponseController(w).Flush() // the host may have disconnected
		time.Sleep(pause)
	}
	_, _ = io.WriteString(w, body[3:]) // the host may have disconnected
}

func (s *Server) silence(id string, part int64) time.Duration {
	if s.Silence == nil {
		return 0
	}
	return s.Silence(id, part)
}

func (s *Server) fallSilent(id string, part int64) { time.Sleep(s.silence(id, part)) }
