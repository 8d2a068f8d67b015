package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ragwortstep/internal/upstream"
)

// generation is the set of connections to one server that were opened between two
// replacements. No request starts on a replaced generation.
type generation struct {
	number   uint64
	requests *upstream.Transport
	polls    *upstream.Transport // keeps its own connection open, so that polls test an older one
}

func newGeneration(number uint64, opts Options) *generation {
	dial := opts.dialer()
	return &generation{
		number: number,
		requests: upstream.NewTransport(&http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerServer,
			IdleConnTimeout:     idleConnTimeout,
		}, upstream.BodyBounds{}), // who reads a body bounds it
		polls: upstream.NewTransport(&http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			MaxConnsPerHost:    1,
		}, upstream.BodyBounds{}),
	}
}

// closeIdle closes idle connections. Connections in use close when their exchange
// ends, because the transport receives no further requests.
func (g *generation) closeIdle() {
	g.requests.CloseIdleConnections()
	g.polls.CloseIdleConnections()
}

// server is the pool of connections to one backend server.
type server struct {
	name           string
	address        string
	opts           Options
	pollIntervalNS atomic.Int64
	pollAfterSlow  chan struct{} // requests a poll for a slow exchange; capacity 1
	// pollAfterBroken requests a poll after a connection broke; capacity 1.
	pollAfterBroken chan struct{}
	pollFailures    int // consecutive failures; used by the poll loop only
	stopPoll        context.CancelFunc

	mu        sync.Mutex
	gen       *generation
	exchanges map[*exchange]struct{}
	// replacedAt is the client's clock in ns when a generation was replaced; 0
	// once the exchanges on replaced connections have been cancelled.
	replacedAt int64
	// unansweredSince is when the poll was sent that got no answer on it, in ns; 0 if it
	// was replaced for another reason.
	unansweredSince int64
}

func newServer(name, address string, opts Options) *server {
	return &server{
		name:            name,
		address:         address,
		opts:            opts,
		pollAfterSlow:   make(chan struct{}, 1),
		pollAfterBroken: make(chan struct{}, 1),
		gen:             newGeneration(1, opts),
		exchanges:       map[*exchange]struct{}{},
	}
}

// close stops polling and closes idle connections.
func (s *server) close() {
	if s.stopPoll != nil {
		s.stopPoll()
	}
	s.currentGeneration().closeIdle()
}

func (s *server) currentGeneration() *generation {
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

// replaceGeneration starts a new generation of connections after one of the given
// generation stopped delivering data. It does nothing when that generation has
// been replaced already. unansweredSince is when a poll was sent that got no answer on
// it, 0 if there is none.
func (s *server) replaceGeneration(old *generation, now, unansweredSince int64) bool {
	s.mu.Lock()
	if s.gen != old {
		s.mu.Unlock()
		return false
	}
	s.gen = newGeneration(old.number+1, s.opts)
	if s.replacedAt == 0 { // a further replacement does not extend the grace period
		s.replacedAt = now
	}
	s.unansweredSince = max(s.unansweredSince, unansweredSince)
	s.mu.Unlock()
	old.closeIdle()
	counters.Add("generations_replaced", 1)
	return true
}

// requestPoll requests a poll because of a slow exchange.
func (s *server) requestPoll() {
	select {
	case s.pollAfterSlow <- struct{}{}:
	default:
	}
}

// checkDeadlines cancels overdue exchanges and requests a poll when an exchange
// is slow. now is the client's clock in ns.
func (s *server) checkDeadlines(now int64) {
	overdue, slow := s.findOverdue(now)
	for _, ex := range overdue {
		ex.abortSilent()
	}
	if len(overdue) > 0 {
		s.replaceGeneration(overdue[0].gen, now, 0)
	}
	if slow {
		s.requestPoll()
	}
}

// findOverdue returns the exchanges to cancel, and whether another one has waited
// longer than PollAfterSilence for a byte.
func (s *server) findOverdue(now int64) (overdue []*exchange, slow bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	graceExpired := s.replacedAt != 0 && now-s.replacedAt > int64(s.opts.ReplacedConnGrace)
	for ex := range s.exchanges {
		since := ex.waitingSince.Load()
		if since == 0 {
			continue
		}
		waited := time.Duration(now - since)
		switch {
		case waited > ex.nextByteTimeout():
			overdue = append(overdue, ex)
		case graceExpired && ex.gen != s.gen && ex.canAbort(since, s.replacedAt, s.unansweredSince):
			overdue = append(overdue, ex)
		case ex.gen == s.gen && waited > s.opts.PollAfterSilence:
			slow = true
		}
	}
	if graceExpired {
		s.replacedAt, s.unansweredSince = 0, 0
	}
	return overdue, slow
}
