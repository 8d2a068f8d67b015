package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"ragwortstep/internal/rawconn"
)

// trackedConn counts the bytes that the kernel accepted for sending, which shows
// whether any part of a failed exchange was sent.
type trackedConn struct {
	net.Conn
	openedAt time.Time
	mu       sync.Mutex // held during Write
	written  int64
}

// tracked returns the trackedConn below a connection of the transport.
func tracked(conn net.Conn) (*trackedConn, bool) {
	outer, ok := conn.(interface{ NetConn() net.Conn })
	if !ok {
		return nil, false
	}
	inner, ok := outer.NetConn().(*trackedConn)
	return inner, ok
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// sent returns the number of bytes written so far.
func (c *trackedConn) sent() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// closeAndCount closes the connection and returns the final number of bytes
// written. Close interrupts a Write in progress and makes later ones fail, so the
// number cannot change afterwards.
func (c *trackedConn) closeAndCount() int64 {
	_ = c.Conn.Close()
	return c.sent()
}

// dialer returns a dial function that sets TCP keepalive and TCP_USER_TIMEOUT.
func (o Options) dialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: o.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     o.KeepAliveInterval,
			Interval: o.KeepAliveInterval,
			Count:    keepAliveProbes,
		},
		Control: rawconn.UserTimeout(o.UserTimeout),
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: conn, openedAt: time.Now()}, nil
	}
}
