package online_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// panickingWriter is a response whose header cannot be written.
type panickingWriter struct{ *httptest.ResponseRecorder }

// WriteHeader implements http.ResponseWriter.
func (panickingWriter) WriteHeader(int) { panic("a fault") }

// A call that panicked kept its slot for the rest of the process's life, and its
// server worked on.
func TestPanicKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := make(chan struct{})
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvent(1)
			<-c.PeerClosed()
			close(closed)
			return false
		})
		func() {
			defer func() { is.Equal(recover(), "a fault") }()
			f.service.Serve(t.Context(), panickingWriter{httptest.NewRecorder()}, &online.Call{
				ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: "/stream/x", Path: "/stream/x", Header: http.Header{}, Arrived: time.Now(),
			})
		}()
		<-closed
		load, _ := f.slots.ServiceLoad("s")
		is.Equal(load, 0)
	})
}

// faultyConn is a connection whose use panics once the marker was read from it.
type faultyConn struct {
	upstream.Conn
	armed  *atomic.Bool // cleared by the panic
	write  bool         // panic in writes too
	marker string
	read   []byte
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	if bytes.Contains(c.read, []byte(c.marker)) && c.armed.CompareAndSwap(true, false) {
		panic("a fault in a read")
	}
	n, err := c.Conn.Read(p)
	c.read = append(c.read, p[:n]...)
	return n, err
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	if c.write && c.armed.CompareAndSwap(true, false) {
		panic("a fault in a write")
	}
	return c.Conn.Write(p)
}

// panicsInExchange are the points of an exchange at which a test panics.
var panicsInExchange = []struct {
	name           string
	connect, write bool
	marker         string
}{
	{name: "connect", connect: true},
	{name: "write", write: true},
	{name: "head"},
	{name: "begin", marker: "token1"},
	{name: "middle", marker: "token2"},
	{name: "end", marker: "token3"},
}

// A panic while an answer was awaited or read ended the process, with all its calls.
func TestPanicInExchangeFailsOneExchange(t *testing.T) {
	for _, at := range panicsInExchange {
		for path, want := range map[string]int{"/get/x": 200, "/resumable/x": 200, "/once/x": 502, "/stream/x": 502} {
			isStream := path == "/stream/x" || path == "/resumable/x"
			switch {
			case at.connect:
				want = 200 // it was not sent
			case at.marker == "token3" && !isStream:
				continue // a whole body has arrived
			case at.marker == "token3", at.marker != "" && path == "/stream/x":
				want = 0 // cut
			}
			t.Run(at.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { panicInExchange(t, path, want, at.connect, at.write, at.marker) })
			})
		}
	}
}

func panicInExchange(t *testing.T, path string, want int, connect, write bool, marker string) {
	is := is.New(t)
	var armed atomic.Bool
	script := func(c *servertest.Conn) bool {
		if strings.Contains(path, "stream") || strings.Contains(path, "resumable") {
			c.StartStream()
			c.WriteEvents(c.After+1, 3)
			c.EndStream()
			return true
		}
		c.WriteHead(http.StatusOK, "Content-Length: 18")
		for _, part := range []string{"token1", "token2", "token3"} {
			_, _ = io.WriteString(c, part) // fails if the peer closed the connection
		}
		return true
	}
	server := servertest.NewPiped(t, script)
	f := newConnectedFixture(t, func(ctx context.Context, address string) (upstream.Conn, error) {
		if connect && armed.CompareAndSwap(true, false) {
			panic("a fault in a connect")
		}
		c, err := server.Connect(ctx, address)
		return &faultyConn{Conn: c, armed: &armed, write: write, marker: marker}, err
	}, script, "a", "b")
	for range 4 { // such a request is not quarantined either
		armed.Store(true)
		status, body := f.serveWhole(path, "k")
		is.True(!armed.Load())
		is.Equal(status, want)
		if want == http.StatusOK {
			is.Equal(strings.Count(body, "token"), 3)
		}
		status, _ = f.serveWhole(path, "k")
		is.Equal(status, http.StatusOK)
		load, _ := f.slots.ServiceLoad("s")
		is.Equal(load, 0)
		time.Sleep(10 * time.Second) // both servers are in use again
	}
	is.True(strings.Contains(f.logs.String(), `"event":"exchange_panicked"`))
}

// A call that panicked between the grant of its slot and its exchange, or when the
// header of an answer had arrived, kept its slot or the connection to its server.
func TestPanicBesideExchangeKeepsNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := make(chan struct{})
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			c.StartStream()
			<-c.PeerClosed()
			close(closed)
			return false
		})
		for _, fault := range []*atomic.Bool{&f.codec.inHeader, &f.codec.inMeta} {
			for range 4 { // all slots of the server
				fault.Store(true)
				status, _ := f.serveWhole("/stream/x", "k")
				is.Equal(status, 0)
				load, _ := f.slots.ServiceLoad("s")
				is.Equal(load, 0)
				if fault == &f.codec.inMeta {
					<-closed
					closed = make(chan struct{})
				}
			}
			fault.Store(false)
		}
	})
}
