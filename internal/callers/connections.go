// Package callers holds the connections of an HTTP server's callers: their limits,
// which side ended them, and their drain when the host stops.
package callers

import (
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/memory"
	"ragwortstep/internal/rawconn"
)

const (
	// newConnectionTime is how long a host that accepts no more connections waits for
	// the first request on those that it accepted before.
	newConnectionTime = time.Second
	// handshakeTime is how long a draining host waits for more on a connection of TLS
	// without a request: what was read may be the handshake or a part of the first one.
	handshakeTime = 5 * time.Second
	// drainInterval is how often a draining host looks for connections that have
	// become idle.
	drainInterval = 10 * time.Millisecond
	// MinHeaderBytes is the size of headers that are read in any configuration.
	MinHeaderBytes = 64 << 10
	// readSize bounds the bytes behind a header that are read with it.
	readSize = 4 << 10
	// refusalTime and refusalBytes bound what is read of a header that is refused, so
	// that its caller can receive the refusal.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 4 << 20
)

// protocolHTTP2 is the name of HTTP/2 in the handshake of TLS.
const protocolHTTP2 = "h2"

// headerTooLarge is the answer to a request whose header is too large.
const headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
	"Connection: close\r\n\r\n431 Request Header Fields Too Large"

// Limits is what the configuration allows callers. The HTTP server's own limits apply
// where they are larger.
type Limits struct {
	HeaderBytes int           // of a request
	HeaderTime  time.Duration // from the first to the last byte of the header
	IdleTime    time.Duration // of a connection
}

// Listener accepts callers' connections and keeps those that are open. The HTTP
// server needs StateChanged.
type Listener struct {
	net.Listener
	limits func() Limits
	bounds Bounds
	memory *sharedMemory // nil without a bound

	accepting sync.Mutex // held while a connection is accepted
	mu        sync.Mutex
	open      map[*connection]struct{}
}

// NewListener wraps a TCP listener. If limits is nil, the HTTP server's own limits are
// the only ones.
func NewListener(l net.Listener, limits func() Limits) *Listener {
	return &Listener{Listener: l, limits: limits, open: map[*connection]struct{}{}}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	l.accepting.Lock()
	defer l.accepting.Unlock()
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		raw, err := rawconn.Wrap(accepted)
		if err != nil {
			_ = accepted.Close() // the error of Wrap is returned
			return nil, err
		}
		if l.makeRoom() {
			return l.add(raw), nil
		}
		l.bounds.count(refusedConnection)
		_ = raw.Close() // unread: its caller may try again
	}
}

// Close implements net.Listener. The HTTP server closes the listener too.
func (l *Listener) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (l *Listener) add(raw *rawconn.Conn) *connection {
	now := time.Now()
	c := &connection{Conn: raw, owner: l, address: addressOf(raw), idleSince: now, heardAt: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// Drain accepts no more connections and closes idle ones until none of HTTP/1.1 is
// open or ctx ends. http.Server.Shutdown is no substitute: it drops requests that are
// read after its call, and may close a connection while a request is read from it.
func (l *Listener) Drain(ctx context.Context) error {
	if err := l.Close(); err != nil {
		return errors.Wrap(err, "close listener")
	}
	l.accepting.Lock() // all accepted connections are known
	defer l.accepting.Unlock()
	began := time.Now()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		open := slices.DeleteFunc(l.list(), (*connection).isMultiplexed)
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.retire(time.Since(began) < newConnectionTime)
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(context.Cause(ctx), "%d connections are open", len(open))
		case <-ticker.C:
		}
	}
}

func (l *Listener) list() []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open))
}

// StateChanged is an http.Server's ConnState.
func StateChanged(conn net.Conn, state http.ConnState) {
	protocol := ""
	encrypted, isTLS := conn.(*tls.Conn)
	if isTLS {
		conn, protocol = encrypted.NetConn(), encrypted.ConnectionState().NegotiatedProtocol
	}
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case state == http.StateNew && isTLS:
		c.isTLS, c.phase, c.readAt = true, inHandshake, time.Now()
	case protocol == protocolHTTP2:
		c.phase = multiplexed
		c.keep()
	case state == http.StateIdle:
		c.phase, c.idleSince, c.headerBytes, c.headerLines, c.awaitsRequest = idle, time.Now(), 0, 0, false
		c.releaseMemory()
	case state == http.StateActive:
		c.phase = inRequest
		c.keep()
	}
}

// phase is what a connection is used for.
type phase int

const (
	unused      phase = iota // no byte of the first request has arrived
	inHandshake              // of TLS, or behind it and before the first request
	inHeader                 // a request has begun to arrive
	inRequest                // a request is not answered yet
	idle                     // since the answer to a request
	multiplexed              // it carries HTTP/2
)

// connection is a caller's connection. It notes which side ended it.
type connection struct {
	*rawconn.Conn
	owner   *Listener
	address string        // of the caller, without the port
	holder  memory.Holder // guarded by the owner's memory

	mu            sync.Mutex
	isTLS         bool
	bufferSize    int // of the HTTP server, 0 before the first read
	phase         phase
	idleSince     time.Time
	awaitsRequest bool      // the HTTP server has set the deadline for the wait in phase idle
	readAt        time.Time // last, in the phase inHandshake
	headerBytes   int       // read of the current header
	headerLines   int       // their line feeds
	heardAt       time.Time // when the last part of the current request arrived
	holdsMemory   bool      // something was taken for holder
	inBody        bool      // the body of a request is being read
	bodyUntil     time.Time // when it must be complete; zero once the deadline for reads says so
	discarding    bool      // the request was refused before its end
	yielded       bool      // the unfinished request makes room for another one
	writeDeadline time.Time
	headerTime    time.Duration // allowed for a header at the start, 0 if there is no limit
	readDeadline  time.Time     // in force unless the connection is retired
	retired       bool          // the next read finds the end of the connection, unless it finds bytes
	isClosed      bool          // by this host
	lostBy        string        // how the caller or the network ended it, empty if neither did
}

// aLongTimeAgo is a deadline that ends a pending read.
var aLongTimeAgo = time.Unix(1, 0)

// retire ends an idle connection. A connection from which no request was read is
// spared if spareUnused is set. Bytes that have arrived are a request and are read.
func (c *connection) retire(spareUnused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isUnused := c.phase == unused || c.phase == inHandshake && time.Since(c.readAt) > handshakeTime
	if c.retired || c.phase != idle && (!isUnused || spareUnused) {
		return
	}
	c.retired = true
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // fails if it is closed
}

func (c *connection) isMultiplexed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == multiplexed
}

// keep revokes retire. The caller holds mu.
func (c *connection) keep() {
	if c.retired {
		c.retired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails if it is closed
	}
}

// SetReadDeadline implements net.Conn. The HTTP server's deadlines for headers and
// idle connections are extended to what the configuration allows.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteBufferedRequest()
	if now := time.Now(); t.After(now) {
		if c.phase == unused || c.phase == inHandshake {
			c.headerTime = max(t.Sub(now), c.limits().HeaderTime)
		}
		if allowed := now.Add(c.allowedTime()); allowed.After(t) {
			t = allowed
		}
	}
	c.readDeadline = t
	if c.retired || c.yielded {
		return c.Conn.SetReadDeadline(aLongTimeAgo)
	}
	return c.Conn.SetReadDeadline(t)
}

// noteBufferedRequest notes a request whose beginning was read together with the
// request before. The HTTP server does not read then, but sets the deadline for the
// header right after that for the wait. The caller holds mu.
func (c *connection) noteBufferedRequest() {
	if c.phase == idle && c.awaitsRequest {
		c.phase = inHeader
		c.keep()
	}
	c.awaitsRequest = c.phase == idle
}

// limits returns the limits of the configuration, none if the host has no such limits.
func (c *connection) limits() Limits {
	if c.owner.limits == nil {
		return Limits{}
	}
	return c.owner.limits()
}

// allowedTime returns how long the configuration lets the caller take in this phase.
// The caller holds mu.
func (c *connection) allowedTime() time.Duration {
	limits := c.limits()
	switch c.phase {
	case unused:
		return max(limits.HeaderTime, limits.IdleTime)
	case inHandshake, inHeader:
		return limits.HeaderTime
	case idle:
		return limits.IdleTime
	}
	return 0
}

// stayIdle sets a new deadline if the configuration has changed and allows a
// connection that is idle to be so for longer.
func (c *connection) stayIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.idleSince.Add(c.allowedTime())
	if c.phase != idle && c.phase != unused || c.retired || !time.Now().Before(until) {
		return false
	}
	c.readDeadline = until
	return c.Conn.SetReadDeadline(until) == nil
}

// noteBufferedBytes notes a request whose first bytes were read with the request before
// or behind it, but too few of them for noteBufferedRequest. The HTTP server reads into
// the rest of its buffer then. Over TLS the room for a read says nothing.
func (c *connection) noteBufferedBytes(room int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isTLS {
		return
	}
	if c.phase == unused {
		c.bufferSize = max(c.bufferSize, room)
	}
	if c.phase == idle && room < c.bufferSize {
		c.phase = inHeader
		c.keep()
	}
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	isWait := len(p) == 1 // of the HTTP server, for the end of the connection or the next request
	c.noteBufferedBytes(len(p))
	if !isWait {
		c.boundBody()
	}
	n, err := c.Conn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.stayIdle() {
		n, err = c.Conn.Read(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.endsUnused() {
		n, err = c.lastRead(p)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && isWait && c.awaitsEnd() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		allowed, cost := c.requestArrives(p[:n])
		if !allowed {
			c.refuseHeader(headerTooLarge)
			return 0, io.EOF
		}
		if cost > 0 && !c.takeMemory(cost) {
			c.owner.bounds.count(refusedHeader)
			c.refuseHeader(noRoom)
			return 0, io.EOF
		}
	}
	if err != nil && c.yieldsHeader() {
		c.owner.bounds.count(yieldedHeader)
		c.retiredUnread()
		_, _ = io.WriteString(c.Conn, noRoom) // the caller has fallen silent, and may have left
		return 0, io.EOF
	}
	c.noteEnd(err)
	return n, err
}

// endsUnused reports whether the connection has reached its end, by retire or by its
// time-out, without the begin of a request.
func (c *connection) endsUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired || c.phase == idle || c.phase == unused
}

// lastRead reads the bytes that have arrived on a connection that has reached its end,
// and returns io.EOF if there are none.
func (c *connection) lastRead(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	if c.IsIdle() {
		c.retiredUnread()
		return 0, io.EOF
	}
	return c.Conn.Read(p)
}

// refuseHeader answers a request whose header is not read to its end. No other request
// of the connection is open.
func (c *connection) refuseHeader(refusal string) {
	c.retiredUnread()
	_ = c.Conn.SetReadDeadline(time.Now().Add(refusalTime)) // the caller may have left, now and below
	_, _ = io.WriteString(c.Conn, refusal)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, refusalBytes)
}

// retiredUnread notes that this host ends the connection.
func (c *connection) retiredUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
}

// requestArrives notes that bytes of a request have arrived. It reports whether its
// header may have that size, and the memory to take for it.
func (c *connection) requestArrives(p []byte) (allowed bool, cost int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keep()
	switch c.phase {
	case inHandshake:
		c.readAt = time.Now()
		return true, 0
	case inRequest, multiplexed:
		return true, 0
	}
	c.heardAt = time.Now()
	c.boundHeader(c.heardAt)
	c.phase = inHeader
	c.headerBytes += len(p)
	if c.owner.memory != nil {
		c.headerLines += bytes.Count(p, lineFeed)
		cost = headerCost(c.headerBytes, c.headerLines)
	}
	return c.owner.limits == nil || c.headerBytes <= max(c.owner.limits().HeaderBytes, MinHeaderBytes)+readSize, cost
}

// boundHeader sets the limit for a header that begins to arrive, before the HTTP server
// does. Its limit for the first one began with the connection, and an idle connection
// may be at its time-out. The caller holds mu.
func (c *connection) boundHeader(now time.Time) {
	if c.headerTime == 0 {
		return
	}
	until := now.Add(c.headerTime)
	if c.phase == unused || c.phase == idle && !c.readDeadline.IsZero() && c.readDeadline.Before(until) {
		c.readDeadline = until
		_ = c.Conn.SetReadDeadline(until) // fails if it is closed
	}
}

// Write implements net.Conn. A caller that reads nothing for a long time is given up.
func (c *connection) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.boundWrite(); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(written+maxWriteBytes, len(p))])
		written += n
		c.noteEnd(err)
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// boundWrite renews the deadline for writes once half of it has passed, not for each of
// the many small writes of a stream.
func (c *connection) boundWrite() error {
	if c.owner.memory == nil {
		return nil
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeDeadline.Sub(now) > writeTime/2 {
		return nil
	}
	c.writeDeadline = now.Add(writeTime)
	return c.Conn.SetWriteDeadline(c.writeDeadline)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.releaseMemory()
	c.mu.Unlock()
	c.owner.remove(c)
	return c.Conn.Close()
}

// noteEnd notes an error that says that the connection has ended. Those after its
// close by this host say nothing about the caller.
func (c *connection) noteEnd(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed || c.lostBy != "" {
		return
	}
	switch {
	case err == io.EOF:
		c.lostBy = "closed"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		c.lostBy = "reset"
	default:
		c.lostBy = err.Error()
	}
}

// callerEnd returns how the caller or the network ended the connection, empty if
// neither did before this host closed it.
func (c *connection) callerEnd() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostBy
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// WithConnection is an http.Server's ConnContext.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// EndOf returns how the caller ended the connection of a request, empty if it
// did not.
func EndOf(r *http.Request) string {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return c.callerEnd()
	}
	return ""
}
