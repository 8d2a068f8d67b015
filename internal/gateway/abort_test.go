package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/dispatch"
)

// cutStream responds with the first n bytes of a stream that then breaks off.
func cutStream(stream string, n int) func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
	return func(context.Context, *dispatch.Request) (*dispatch.Response, error) {
		return &dispatch.Response{
			Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			Body: io.NopCloser(io.MultiReader(strings.NewReader(stream[:n]), errReader{io.ErrUnexpectedEOF})),
		}, nil
	}
}

// Guards against writing an error into the middle of an event that was cut, which
// callers would then read as one event of the server.
func TestErrorEventFollowsWholeEvents(t *testing.T) {
	for _, stream := range []string{"data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DO", "data: {\"a\":1}\r\n\r\ndata: {\"a\":2}\r\n\r\ndata: [DO"} {
		for n := range len(stream) + 1 {
			is := is.New(t)
			g, _, _ := newTestGateway(cutStream(stream, n))
			srv := httptest.NewServer(g)
			_, raw, err := post(t, srv.URL, "/v1/completions", testKey, `{"model":"lm","prompt":"x","stream":true}`)
			srv.Close()
			is.True(err != nil) // aborted
			added, ok := strings.CutPrefix(raw, stream[:n])
			is.True(ok)
			whole := n == 0 || strings.HasSuffix(stream[:n], "}\n\n") || strings.HasSuffix(stream[:n], "}\r\n\r\n")
			if (added != "") != whole {
				t.Errorf("after %q: added %q", stream[:n], added)
			}
		}
	}
}

// callRaw sends a completion request with the given end of the request line and
// header, closes this side of the connection after a while if halfClose is set, and
// reads the response.
func callRaw(t *testing.T, address, head string, halfClose bool) (status int, body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	request := `{"model":"lm","prompt":"x","stream":true}`
	_, err = fmt.Fprintf(c, "POST /v1/completions %sAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", head, testKey, len(request), request)
	if err != nil {
		t.Fatal(err)
	}
	if halfClose {
		time.Sleep(30 * time.Millisecond)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

// callerHeads are the ends of request lines of the kinds of callers.
var callerHeads = []string{
	"HTTP/1.1\r\nHost: h\r\n", "HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", "HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n",
}

// Guards against an aborted stream that looks complete to a caller that speaks HTTP/1.0,
// for which it ends with the connection.
func TestAbortedStreamIsNotComplete(t *testing.T) {
	const stream = "data: {\"a\":1}\n\ndata: [DO"
	for _, head := range callerHeads {
		for _, n := range []int{0, 15, len(stream)} {
			is := is.New(t)
			g, _, _ := newTestGateway(cutStream(stream, n))
			srv := httptest.NewServer(g)
			_, _, err := callRaw(t, srv.Listener.Addr().String(), head, false)
			srv.Close()
			is.True(err != nil)
		}
	}
}

// Guards against an answer that looks like a success, or like the end of a stream, for
// a caller that closes its side of the connection and still reads.
func TestHalfClosedCallerGetsNoCompleteAnswer(t *testing.T) {
	const events = "data: {\"a\":1}\n\n"
	for _, head := range callerHeads {
		for _, begun := range []bool{false, true} {
			is := is.New(t)
			g, _, _ := newTestGateway(func(ctx context.Context, _ *dispatch.Request) (*dispatch.Response, error) {
				if !begun {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return &dispatch.Response{
					Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
					Body: io.NopCloser(io.MultiReader(strings.NewReader(events), waitReader{ctx})),
				}, nil
			})
			srv := httptest.NewServer(g)
			status, body, err := callRaw(t, srv.Listener.Addr().String(), head, true)
			srv.Close()
			if begun {
				is.True(err != nil)
			} else {
				is.NoErr(err)
				is.Equal(status, http.StatusBadGateway)
				is.True(strings.Contains(body, "backend_error"))
			}
		}
	}
}

// waitReader waits for the end of a context.
type waitReader struct{ ctx context.Context }

func (r waitReader) Read([]byte) (int, error) {
	<-r.ctx.Done()
	return 0, r.ctx.Err()
}
