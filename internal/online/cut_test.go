package online_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// cutConn is a connection that ends with an error in place of its regular end.
type cutConn struct {
	upstream.Conn
	end error
}

func (c cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end
	}
	return n, err
}

// cutAnswer is a server's answer, of which a server sends the first bytes.
type cutAnswer struct {
	status  int // 503 states that the request was not run
	framing string
	head    string
	body    string // as framed
	payload string
}

func newCutAnswer(status int, framing, payload string) cutAnswer {
	a := cutAnswer{status: status, framing: framing, body: payload, payload: payload}
	a.head = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: id-1\r\n", status, servertest.HeaderID)
	if status == http.StatusServiceUnavailable {
		a.head += servertest.HeaderNotRun + ": 1\r\n"
	} else {
		a.head += servertest.HeaderSeal + ": s\r\n"
	}
	switch framing {
	case "length":
		a.head += fmt.Sprintf("Content-Length: %d\r\n", len(payload))
	case "chunked":
		a.head += "Transfer-Encoding: chunked\r\n"
		half := len(payload) / 2
		a.body = fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, payload[:half], len(payload)-half, payload[half:])
	}
	a.head += "\r\n"
	return a
}

// want returns the status and body that a caller must get if all servers send the
// first n bytes and end the connection, with a reset or not. The status is 0 for a
// response that is aborted, in which case the body may be shorter.
func (a cutAnswer) want(n int, streams, reset bool) (int, string) {
	got := a.payload
	switch {
	case n < len(a.head):
		return http.StatusBadGateway, ""
	case a.status == http.StatusServiceUnavailable:
		return a.status, ""
	case a.framing == "until close" && !reset:
		got = a.payload[:n-len(a.head)]
		if got == "" && a.status == http.StatusOK {
			return http.StatusBadGateway, ""
		}
		if !streams || a.status != http.StatusOK || strings.HasSuffix(got, "\n\n") {
			return a.status, got
		}
	case a.framing != "until close" && n == len(a.head)+len(a.body):
		return a.status, got
	}
	if streams && a.status == http.StatusOK {
		return 0, got
	}
	return http.StatusBadGateway, ""
}

// A server that ends in the middle of its answer's head, or of its body, must not
// leave its caller with an answer that looks complete; and a refusal whose head was
// cut must not count as one, because only a whole head promises that nothing ran.
func TestCutAnswerIsNotComplete(t *testing.T) {
	for _, path := range []string{"/once/1", "/get/1", "/stream/1", "/resumable/1"} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusNotFound, http.StatusServiceUnavailable} {
			for _, framing := range []string{"length", "chunked", "until close"} {
				for _, reset := range []bool{false, true} {
					t.Run(fmt.Sprint(path, " ", status, " ", framing, " reset ", reset), func(t *testing.T) {
						streams := path == "/stream/1" || path == "/resumable/1"
						payload := "hello"
						if streams && status == http.StatusOK {
							payload = events(1, 2)
						}
						answer := newCutAnswer(status, framing, payload)
						for n := range len(answer.head) + len(answer.body) + 1 {
							synctest.Test(t, func(t *testing.T) { testCutAnswer(t, answer, n, path, streams, reset) })
						}
					})
				}
			}
		}
	}
}

func testCutAnswer(t *testing.T, answer cutAnswer, n int, path string, streams, reset bool) {
	is := is.NewRelaxed(t)
	server := servertest.NewPiped(t, func(c *servertest.Conn) bool {
		bytes := answer.head + answer.body
		if c.After > 0 {
			return false // nobody goes on with the stream
		}
		_, _ = io.WriteString(c, bytes[:n])
		return false
	})
	f := &fixture{t: t}
	end := io.EOF
	if reset {
		end = syscall.ECONNRESET
	}
	f.build(upstream.Options{Connect: func(ctx context.Context, address string) (upstream.Conn, error) {
		c, err := server.Connect(ctx, address)
		return cutConn{c, end}, err
	}}, nil)
	var list []placement.Server
	for _, id := range []string{"a", "b"} {
		list = append(list, placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: 4, Ready: true})
	}
	f.slots.SetServers(list)
	status, body := f.serveWhole(path, "k")
	wantStatus, wantBody := answer.want(n, streams, reset)
	report := fmt.Sprintf("after %d bytes: got %d %q, want %d %q", n, status, body, wantStatus, wantBody)
	switch {
	case wantStatus == 0 && status != http.StatusBadGateway: // or no event was complete
		is.Equal(status, 0) // aborted
		if !strings.HasPrefix(wantBody, body) {
			t.Error(report)
		}
	case wantStatus == 0:
	case status != wantStatus || status < http.StatusBadGateway && body != wantBody:
		t.Error(report)
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		is.True(n >= len(answer.head)) // the refusal's head was whole
	}
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}

// The answer to a HEAD request has no body, so one without a length is whole.
func TestAnswerToHEADIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool { c.WriteHead(http.StatusOK); return true })
		recorder := httptest.NewRecorder()
		f.service.Serve(t.Context(), recorder, &online.Call{
			ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodHead, Target: "/once/1", Path: "/once/1", Header: http.Header{}, Arrived: time.Now(),
		})
		is.Equal(recorder.Code, http.StatusOK)
	})
}
