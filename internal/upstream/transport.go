package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Transport is an http.Transport, for clients of other servers than backend servers,
// that reads responses by the rules of Client. It is for connections without TLS.
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
		return &transportConn{Conn: conn}, nil
	}
	return &Transport{t}
}

// transportConn is a connection of a Transport, which sends and reads at the same time.
type transportConn struct {
	net.Conn
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
	if err == io.EOF {
		c.sending.Lock() // a Write in progress may be the one that learns of a reset
		defer c.sending.Unlock()
		if c.sendErr != nil {
			err = c.sendErr
		}
	}
	return n, err
}
