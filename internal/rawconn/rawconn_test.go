package rawconn_test

import (
	"bytes"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/rawconn"
)

// pair returns both ends of a loopback connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	accepted, err := rawconn.Listener{Listener: l}.Accept()
	is.NoErr(err)
	wrapped, err := rawconn.Wrap(dialed)
	is.NoErr(err)
	t.Cleanup(func() { _ = wrapped.Close(); _ = accepted.Close() })
	return wrapped, accepted
}

// Guards against lost or duplicated bytes when the socket buffers are full and a
// write is only partly accepted.
func TestLargeWriteArrivesComplete(t *testing.T) {
	is := is.New(t)
	a, b := pair(t)
	sent := make([]byte, 8<<20) // more than both sockets' buffers hold
	_, _ = rand.Read(sent)      // never fails
	var group sync.WaitGroup
	group.Go(func() {
		n, err := a.Write(sent)
		is.NoErr(err)
		is.Equal(n, len(sent))
		is.NoErr(a.Close())
	})
	got, err := io.ReadAll(b)
	group.Wait()
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	n, err := b.Read(nil)
	is.NoErr(err)
	is.Equal(n, 0)
}

// Guards against reads and writes that block past their deadline or Close.
func TestDeadlinesAndClose(t *testing.T) {
	is := is.New(t)
	a, b := pair(t)
	is.NoErr(a.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err := a.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(a.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = a.Write(make([]byte, 32<<20)) // b does not read
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	time.AfterFunc(20*time.Millisecond, func() { _ = b.Close() })
	_, err = io.Copy(io.Discard, b)
	is.True(errors.Is(err, net.ErrClosed))
}

// Guards against treating a reset by the peer as a regular end of the stream.
func TestResetIsAnError(t *testing.T) {
	is := is.New(t)
	a, b := pair(t)
	is.NoErr(b.(*rawconn.Conn).SetLinger(0))
	is.NoErr(b.Close())
	_, err := a.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = a.Write([]byte("x"))
	is.True(errors.Is(err, syscall.EPIPE))
	var network net.Error
	is.True(errors.As(err, &network))
}

// Guards against breaking http.Server, which reads in the background, sets
// deadlines and detects callers that disconnect.
func TestHTTPServerOverListener(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-r.Context().Done()
			close(left)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	server.Listener = rawconn.Listener{Listener: server.Listener}
	server.Start()
	defer server.Close()
	for range 3 {
		resp, err := http.Post(server.URL, "text/plain", bytes.NewReader(make([]byte, 1<<20)))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(len(body), 1<<20)
	}
	client := http.Client{Timeout: 50 * time.Millisecond}
	_, err := client.Get(server.URL + "/wait")
	is.True(err != nil)
	select {
	case <-left:
	case <-time.After(2 * time.Second):
		t.Error("the server did not detect that its caller disconnected")
	}
}
