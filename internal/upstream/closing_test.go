package upstream_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// TestConnectionIsClosedWhenTheServerSaysSo guards against sending a request on a
// connection that its server is about to close: it may be lost.
func TestConnectionIsClosedWhenTheServerSaysSo(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		c.WriteHead(200, "Connection: close", "Content-Length: 0")
		return true // the server closes it later
	})
	c := upstream.New(upstream.Options{})
	send(t, c, s.Address(), nil)
	send(t, c, s.Address(), nil)
	is.Equal(s.AcceptedConnections(), 2)
}

// TestConnectionWithExtraBytesIsClosed guards against keeping a connection open on
// which bytes follow a response: it would count against those that the server allows.
func TestConnectionWithExtraBytesIsClosed(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	s := servertest.New(t, func(c *servertest.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nokextra")
		<-c.PeerClosed()
		close(closed)
		return false
	})
	send(t, upstream.New(upstream.Options{}), s.Address(), nil)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		is.Fail() // it is kept
	}
}

// brokenConn is a connection that its server reset after it had read a part of the
// request and sent its response.
type brokenConn struct {
	net.Conn
	response io.Reader
}

func (brokenConn) Write(p []byte) (int, error)     { return len(p) / 2, syscall.ECONNRESET }
func (c brokenConn) Read(p []byte) (int, error)    { return c.response.Read(p) }
func (brokenConn) IsIdle() bool                    { return false }
func (brokenConn) SetDeadline(time.Time) error     { return nil }
func (brokenConn) SetReadDeadline(time.Time) error { return nil }
func (brokenConn) Close() error                    { return nil }

// TestResponseBeforeTheEndOfTheRequestIsRead guards against losing the refusal of a
// server that does not read a long request to its end.
func TestResponseBeforeTheEndOfTheRequestIsRead(t *testing.T) {
	is := is.New(t)
	c := upstream.New(upstream.Options{Connect: func(context.Context, string) (upstream.Conn, error) {
		return brokenConn{response: strings.NewReader("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")}, nil
	}})
	resp, err := c.Do(context.Background(), "a", request())
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.Status, 503)
}
