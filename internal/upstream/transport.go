package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"ragwortstep/internal/defaults"
)

// Transport is an http.Transport that checks what it reads like a Client. It is for
// connections without TLS.
type Transport struct {
	*http.Transport
	bodies *AnswerMemory // nil without bounds
}

// BodyBounds bounds the bytes of the bodies of responses. Without a bound on one body
// there is none at all.
type BodyBounds struct {
	Each int   // of one body
	All  int64 // of all bodies that are not closed, beyond 64 KiB each; 32 MiB by default
}

// NewTransport returns a Transport with the settings and the DialContext of t, which must
// not be used afterwards. A body beyond its bounds ends with ErrAnswerTooLarge or
// ErrAnswerMemory.
func NewTransport(t *http.Transport, bounds BodyBounds) *Transport {
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
	out := &Transport{Transport: t}
	if bounds.Each > 0 {
		defaults.Set(&bounds.All, DefaultAnswerMemory)
		out.bodies = NewAnswerMemory(bounds.Each, bounds.All)
	}
	return out
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
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if c := carrier.Load(); err != nil && c != nil && c.headErr.Load() != nil {
		err = *c.headErr.Load() // the parser may report the line that it ends
	}
	if err == nil && t.bodies != nil {
		resp.Body = &boundedBody{ReadCloser: resp.Body, held: t.bodies.Hold()}
	}
	return resp, err
}

// boundedBody is a body whose bytes count as held until it is closed.
type boundedBody struct {
	io.ReadCloser
	held *HeldAnswer
	read int
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += n
	if held := b.held.Resize(b.read); held != nil {
		return 0, held
	}
	return n, err
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	b.held.Release()
	return b.ReadCloser.Close()
}

// transportConn is a connection of a Transport, which sends and reads at the same time.
type transportConn struct {
	net.Conn
	head    headCheck             // used by one goroutine at a time, the one that reads
	headErr atomic.Pointer[error] // of head
	sending sync.Mutex            // held during Write
	sendErr error                 // of the first failed Write; guarded by sending
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
	if broken := c.head.check(p[:n]); broken != nil {
		c.headErr.Store(&broken)
		return 0, broken
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
