package callers

import (
	"net"
	"sync"
	"time"

	"ragwortstep/internal/core/connlimit"
	"ragwortstep/internal/core/memory"
	"ragwortstep/internal/rawconn"
)

const (
	// freeHeaderBytes of the cost of a header are not counted: nearly all headers take
	// less.
	freeHeaderBytes = 16 << 10
	// byteCost and lineCost are what a header takes in memory for each of its bytes and
	// lines: it is held as read, as a map and as a copy of that for the server.
	byteCost = 2
	lineCost = 192
	// spareConnections is the part of the bound on connections that may be open beyond it
	// while those that make room are being closed.
	spareConnections = 0.25
	// roomTime bounds the wait for such a close, roomInterval is how often it looks.
	roomTime     = 50 * time.Millisecond
	roomInterval = time.Millisecond
	// writeTime bounds the time in which a caller reads maxWriteBytes of an answer; up to
	// half of it may have passed before. A caller inside its deadline needs no such time.
	writeTime     = time.Minute
	maxWriteBytes = 64 << 10
)

// noRoom is the answer to a request whose header takes more memory than is free.
const noRoom = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 0.5\r\n" +
	"Connection: close\r\n\r\nno memory is free for the header"

var lineFeed = []byte("\n")

// Reasons for which callers were refused or made room, for Bounds.Count.
const (
	refusedConnection = "connection_refused"
	yieldedConnection = "connection_yielded"
	refusedHeader     = "header_refused"
	yieldedHeader     = "header_yielded"
	refusedBody       = "body_refused"
	yieldedBody       = "body_yielded"
	lateBody          = "body_late"
)

// Bounds is what the callers of a listener may take together. A zero field is no bound.
type Bounds struct {
	Connections int
	Memory      int64               // bytes of headers and bodies, and of what they are decoded to
	Count       func(reason string) // is called for each caller that a bound ended or refused; may be nil
}

func (b Bounds) count(reason string) {
	if b.Count != nil {
		b.Count(reason)
	}
}

// SetBounds sets the bounds. It must be called before the first Accept.
func (l *Listener) SetBounds(b Bounds) {
	l.bounds = b
	if b.Memory > 0 {
		l.memory = &sharedMemory{account: memory.New(b.Memory), connections: map[*memory.Holder]*connection{}}
	}
}

// MemoryTaken returns the bytes that callers take of the bound.
func (l *Listener) MemoryTaken() int64 {
	if l.memory == nil {
		return 0
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	return l.memory.account.Taken()
}

// OpenConnections returns the number of open connections.
func (l *Listener) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// makeRoom reports whether there is room for one more connection. Above the bound
// another one is told to end.
func (l *Listener) makeRoom() bool {
	bound := l.bounds.Connections
	if bound <= 0 || l.OpenConnections() < bound {
		return true
	}
	var open []*connection
	var states []connlimit.Connection
	for _, c := range l.list() {
		if state, ok := c.state(); ok {
			open, states = append(open, c), append(states, state)
		}
	}
	missing := len(open) + 1 - bound
	for _, i := range connlimit.Order(states, time.Now()) {
		if missing <= 0 {
			break
		}
		if open[i].endUnread() {
			l.bounds.count(yieldedConnection)
			missing--
		}
	}
	if missing > 0 {
		return false
	}
	for until := time.Now().Add(roomTime); ; time.Sleep(roomInterval) {
		if l.OpenConnections() < bound+int(spareConnections*float64(bound)) {
			return true
		}
		if time.Now().After(until) {
			return false
		}
	}
}

// state returns what the connection is used for, false if it was told to end.
func (c *connection) state() (connlimit.Connection, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := connlimit.Connection{Owner: c.address, State: connlimit.Busy, Since: c.heardAt}
	switch {
	case c.discarding:
		out.State = connlimit.Ending
	case c.phase == idle:
		out.State, out.Since = connlimit.Idle, c.idleSince
	case c.isUnfinished():
		out.State = connlimit.Unfinished
	}
	return out, !c.retired && !c.yielded && !c.isClosed
}

// isUnfinished reports whether a request is being read, or none has arrived since the
// start. The caller holds mu.
func (c *connection) isUnfinished() bool {
	return c.phase == unused || c.phase == inHandshake || c.phase == inHeader || c.phase == inRequest && c.inBody
}

// endUnread tells a connection without a whole request to end. It reports false if bytes
// have arrived that the host has not read yet, as after a suspension.
func (c *connection) endUnread() bool {
	c.mu.Lock()
	discarding := c.discarding
	c.mu.Unlock()
	if !discarding && !c.IsIdle() {
		return false
	}
	if c.retire(false); c.isRetired() {
		return true
	}
	return c.yield()
}

func (c *connection) isRetired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired
}

// yield ends the read of an unfinished request.
func (c *connection) yield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isUnfinished() && !c.discarding {
		return false
	}
	c.yielded = true
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // fails if it is closed
	return true
}

// yieldsHeader reports whether the connection makes room before its header was read.
func (c *connection) yieldsHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.yielded && c.phase == inHeader
}

// awaitsEnd is called when the HTTP server's wait for the end of the connection, which
// follows the body, meets the deadline of the body or a yield that came too late. It
// removes the deadline and reports true then.
func (c *connection) awaitsEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	abortedByServer := c.readDeadline.Equal(aLongTimeAgo)
	if c.phase != inRequest || c.isClosed || c.discarding || abortedByServer {
		return false
	}
	c.yielded, c.readDeadline = false, time.Time{}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// addressOf returns the address of a connection's caller without the port.
func addressOf(c *rawconn.Conn) string {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

// sharedMemory is the memory that the connections of a listener share. Its lock is taken
// while that of a connection is held, never the other way round.
type sharedMemory struct {
	mu          sync.Mutex
	account     *memory.Account
	connections map[*memory.Holder]*connection // with a request that arrives
}

// headerCost returns the memory to take for a header.
func headerCost(size, lines int) int64 {
	return max(int64(byteCost*size+lineCost*lines)-freeHeaderBytes, 0)
}

// takeMemory takes a number of bytes in all for a request that arrives. Others may be
// told to end for it. It reports false if there is no room. A request that would take more
// than there is takes all of it, so that a small host in calm serves it too.
func (c *connection) takeMemory(bytes int64) bool {
	m := c.owner.memory
	if m == nil {
		return true
	}
	c.mu.Lock()
	if c.yielded {
		c.mu.Unlock()
		return false
	}
	begins := !c.holdsMemory
	c.holdsMemory = true
	c.mu.Unlock()
	now := time.Now()
	m.mu.Lock()
	if begins {
		m.account.Begin(&c.holder, c.address, now)
		m.connections[&c.holder] = c
	}
	yielded, ok := m.account.Resize(&c.holder, min(bytes, c.owner.bounds.Memory), now)
	ended := make([]*connection, 0, len(yielded))
	for _, h := range yielded {
		ended = append(ended, m.connections[h])
		delete(m.connections, h)
	}
	m.mu.Unlock()
	for _, other := range ended {
		other.yield()
	}
	return ok
}

// bodyArrives notes that bytes of a body arrived.
func (c *connection) bodyArrives(n int) {
	now := time.Now()
	c.mu.Lock()
	c.heardAt = now
	holds := c.holdsMemory
	c.mu.Unlock()
	if holds {
		m := c.owner.memory
		m.mu.Lock()
		c.holder.Arrive(n, now)
		m.mu.Unlock()
	}
}

// finishMemory keeps what a request takes until its answer: it has arrived whole. The
// caller holds mu.
func (c *connection) finishMemory() {
	if c.holdsMemory {
		m := c.owner.memory
		m.mu.Lock()
		m.account.Finish(&c.holder)
		delete(m.connections, &c.holder)
		m.mu.Unlock()
	}
}

// releaseMemory gives back what a request takes. The caller holds mu.
func (c *connection) releaseMemory() {
	if c.holdsMemory {
		m := c.owner.memory
		m.mu.Lock()
		m.account.Release(&c.holder)
		delete(m.connections, &c.holder)
		m.mu.Unlock()
		c.holdsMemory = false
	}
}
