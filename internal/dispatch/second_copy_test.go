package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// attemptHeader is echoed by servers that tell which attempt they answer.
const attemptHeader = "Ragwortstep-Attempt"

// startCopyingServer replaces a server by a faulty one that fails each request with
// its number and echoes a header. Before an answer it writes the one before on the
// connection once more.
func startCopyingServer(t *testing.T, echoed string) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var received atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveCopies(conn, echoed, &received)
		}
	}()
	return &fakeServer{name: "s0", address: listener.Addr().String(), slots: 2}
}

func serveCopies(conn net.Conn, echoed string, received *atomic.Int64) {
	defer conn.Close()
	in, last := bufio.NewReader(conn), ""
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if req.URL.Path == "/load" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		_, _ = io.Copy(io.Discard, req.Body)
		body := fmt.Sprint("failure ", received.Add(1))
		answer := fmt.Sprintf("HTTP/1.1 500 X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", echoed, req.Header.Get(echoed), len(body), body)
		_, _ = io.WriteString(conn, last+answer)
		last = answer
	}
}

// Guards against taking a second copy of an earlier answer for the answer to a request
// with the same id: an item of a job keeps its id in all of its attempts, and would be
// given up after fewer failures than allowed; a caller may use an id again.
func TestSecondCopyIsNoAnswerToRequestWithSameID(t *testing.T) {
	for _, echoed := range []string{attemptHeader, "X-Request-Id"} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprint(echoed, " idempotent ", idempotent), func(t *testing.T) {
				is := is.New(t)
				n := newNetwork(t, snapshot([]*fakeServer{startCopyingServer(t, echoed)}, nil), "h")
				d := n.start(t, "h", Options{})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				run := func() (string, error) {
					return call(ctx, d, &Request{ID: "item", Idempotent: idempotent, Body: []byte("x")})
				}
				got, err := run()
				is.NoErr(err)
				is.Equal(got, "failure 1")
				got, err = run()
				if idempotent {
					is.NoErr(err)
					is.Equal(got, "failure 3") // its second attempt's own
					return
				}
				is.Equal(got, "")
				is.Equal(refusedError(t, err).Executed, ExecutedUnknown)
			})
		}
	}
}

// Guards against taking a second copy of a refusal for the answer to the next attempt of
// the same call at the same server: the server would run that one on beside the next.
func TestSecondCopyOfRefusalIsNoAnswerToNextAttempt(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		conn, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		if received.Add(1) > 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", attemptHeader, r.Header.Get(attemptHeader))
		_, _ = io.WriteString(conn, answer)
		if next, err := http.ReadRequest(rw.Reader); err == nil {
			_, _ = io.Copy(io.Discard, next.Body)
			_, _ = io.WriteString(conn, answer)
			if _, err := http.ReadRequest(rw.Reader); err == nil {
				t.Error("a further attempt came while the second one was running")
			}
		}
	}))
	defer server.Close()
	n := newNetwork(t, snapshot([]*fakeServer{{name: "s0", address: server.Listener.Addr().String(), slots: 2}}, nil), "h")
	d := n.start(t, "h", Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	got, err := call(ctx, d, &Request{ID: "item", Idempotent: true, Body: []byte("x")})
	is.NoErr(err)
	is.Equal(got, "ok")
}
