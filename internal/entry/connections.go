package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/rawconn"
)

// connections are the open connections of callers.
type connections struct {
	mu   sync.Mutex
	open map[*connection]struct{}
}

func newConnections() *connections {
	return &connections{open: map[*connection]struct{}{}}
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	connections *connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := rawconn.Wrap(accepted)
	if err != nil {
		_ = accepted.Close() // the error of Wrap is returned
		return nil, err
	}
	return l.connections.add(raw), nil
}

func (s *connections) add(raw *rawconn.Conn) *connection {
	c := &connection{Conn: raw, owner: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

func (s *connections) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

// connection is a caller's connection. It notes which side ended it.
type connection struct {
	*rawconn.Conn
	owner *connections

	mu       sync.Mutex
	isClosed bool   // by this host
	lostBy   string // how the caller or the network ended it, empty if neither did
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.noteEnd(err)
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.noteEnd(err)
	return n, err
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	c.isClosed = true
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

// withConnection is an http.Server's ConnContext.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// callerEnd returns how the caller ended the connection of a request, empty if it
// did not.
func callerEnd(r *http.Request) string {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok {
		return c.callerEnd()
	}
	return ""
}
