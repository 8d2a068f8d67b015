package upstream

import (
	"slices"
	"sync"
)

// maxCarriers bounds the connections that Sends remembers one by one.
const maxCarriers = 64

// Sends remembers the connections to which a request was sent, so that none carries
// it again. A server may write an answer once more, later. Both copies name the same
// request, so on a connection that carried it before, the copy could not be told from
// the answer. The zero value is ready to use; it is safe for concurrent use.
type Sends struct {
	mu       sync.Mutex
	carriers []uint64 // numbers of connections, at most maxCarriers
	before   uint64   // connections up to this number count as carriers too
}

// add records a connection. Beyond maxCarriers it bars all connections as old as the
// one that it forgets.
func (s *Sends) add(c *conn) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.carriers) == maxCarriers {
		s.before = max(s.before, s.carriers[0])
		s.carriers = slices.Delete(s.carriers, 0, 1)
	}
	s.carriers = append(s.carriers, c.number)
}

// has reports whether the connection may have carried the request.
func (s *Sends) has(c *conn) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.number <= s.before || slices.Contains(s.carriers, c.number)
}
