package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// generation is a set of connections to one server that were opened between
// two replacements. No request starts on a replaced generation.
type generation struct {
	number   uint64
	requests *http.Transport
	polls    *http.Transport // its own connection, so that polls test a pooled one
}

func newGeneration(number uint64, opts Options) *generation {
	dial := opts.dialer()
	return &generation{
		number: number,
		requests: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: idlePerServer,
			IdleConnTimeout:     idleTimeout,
		},
		polls: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			MaxConnsPerHost:    1,
		},
	}
}

// retire closes idle connections. Connections in use close when their
// exchange ends, because the transport gets no further request.
func (g *generation) retire() {
	g.requests.CloseIdleConnections()
	g.polls.CloseIdleConnections()
}

// server is the pool of connections to one backend server.
type server struct {
	name      string
	address   string
	opts      Options
	pollEvery atomic.Int64  // ns
	pollNow   chan struct{} // capacity 1
	// pollUrgent asks for a poll after a connection broke, capacity 1.
	pollUrgent   chan struct{}
	pollFailures int // consecutive; used by the poll loop only
	stopPoll     context.CancelFunc

	mu        sync.Mutex
	gen       *generation
	exchanges map[*exchange]struct{}
	// replacedAt is when the current generation replaced a silent one, in ns
	// of the client's clock; 0 when there is nothing left to cut.
	replacedAt int64
}

func newServer(name, address string, opts Options) *server {
	return &server{
		name:       name,
		address:    address,
		opts:       opts,
		pollNow:    make(chan struct{}, 1),
		pollUrgent: make(chan struct{}, 1),
		gen:        newGeneration(1, opts),
		exchanges:  map[*exchange]struct{}{},
	}
}

// close stops polling and closes idle connections.
func (s *server) close() {
	if s.stopPoll != nil {
		s.stopPoll()
	}
	s.current().retire()
}

func (s *server) current() *generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gen
}

// register adds an exchange to the current generation.
func (s *server) register(ex *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ex.gen = s.gen
	s.exchanges[ex] = struct{}{}
}

func (s *server) unregister(ex *exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.exchanges, ex)
}

// replace retires the generation after one of its connections went silent.
// It does nothing when the generation was replaced already.
func (s *server) replace(silent *generation, now int64) bool {
	s.mu.Lock()
	if s.gen != silent {
		s.mu.Unlock()
		return false
	}
	s.gen = newGeneration(silent.number+1, s.opts)
	if s.replacedAt == 0 { // a further replacement does not extend the grace
		s.replacedAt = now
	}
	s.mu.Unlock()
	silent.retire()
	counters.Add("generations_replaced", 1)
	return true
}

// poke asks for a poll at once.
func (s *server) poke() {
	select {
	case s.pollNow <- struct{}{}:
	default:
	}
}

// check ends exchanges that are past a deadline and asks for a poll when one
// waits suspiciously long. now is the client's clock in ns.
func (s *server) check(now int64) {
	overdue, suspicious := s.scan(now)
	for _, ex := range overdue {
		ex.endSilent()
	}
	if len(overdue) > 0 {
		s.replace(overdue[0].gen, now)
	}
	if suspicious {
		s.poke()
	}
}

// scan returns the exchanges to end, and whether any waits suspiciously long.
func (s *server) scan(now int64) (overdue []*exchange, suspicious bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	graceOver := s.replacedAt != 0 && now-s.replacedAt > int64(s.opts.SilentGrace)
	for ex := range s.exchanges {
		since := ex.waitingSince.Load()
		if since == 0 {
			continue
		}
		waited := time.Duration(now - since)
		switch {
		case waited > ex.limit():
			overdue = append(overdue, ex)
		case graceOver && ex.gen != s.gen && since <= s.replacedAt && ex.mayCut():
			overdue = append(overdue, ex)
		case ex.gen == s.gen && waited > s.opts.Suspect:
			suspicious = true
		}
	}
	if graceOver {
		s.replacedAt = 0
	}
	return overdue, suspicious
}
