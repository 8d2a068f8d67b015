package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.Transport that checks what it reads like a Client. It is for
// connections without TLS.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings and the DialContext of t, which must
// not be used afterwards.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &transportConn{Conn: conn}
		c.head.expect()
		return c, nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var carrier atomic.Pointer[transportConn]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, _ := info.Conn.(*transportConn)
			carrier.Store(c)
		},
		// Called by the goroutine that reads the connection, once the response has ended.
		PutIdleConn: func(err error) {
			if c := carrier.Load(); c != nil && err == nil {
				c.head.expect()
			}
		},
	}
	return t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}

// transportConn is a connection of a Transport, which sends and reads at the same time.
type transportConn struct {
	net.Conn
	head    headCheck  // used by one goroutine at a time, the one that reads
	sending sync.Mutex // held during Write
	sendErr error      // of the first failed Write; guarded by sending
}

// NetConn returns the connection that DialContext returned.
func (c *transportConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *transportConn) Write(p []byte) (int, error) {
	c.sending.Lock()
	defer c.sending.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.sendErr == nil {
		c.sendErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no Write has failed: the end of a
// connection on which sending failed completes no response.
func (c *transportConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.head.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	if err == io.EOF {
		c.sending.Lock() // a Write in progress may be the one that learns of a reset
		defer c.sending.Unlock()
		if c.sendErr != nil {
			err = c.sendErr
		}
	}
	return n, err
}
