package upstream_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// earlyResponses are responses that a server sends before it has read the request, and
// whether their own framing shows that they are complete.
var earlyResponses = map[string]struct {
	response string
	complete bool
}{
	"no length":              {"HTTP/1.1 200 X\r\n\r\nhello", false},
	"no length, no body":     {"HTTP/1.1 200 X\r\n\r\n", false},
	"no length, 500":         {"HTTP/1.1 500 X\r\n\r\nhello", false},
	"no length, HTTP/1.0":    {"HTTP/1.0 200 X\r\n\r\nhello", false},
	"length beyond the body": {"HTTP/1.1 200 X\r\nContent-Length: 6\r\n\r\nhello", false},
	"no last chunk":          {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
	"length":                 {"HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nhello", true},
	"chunks":                 {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
}

// TestEarlyResponseOfResetConnection guards against taking the part of a response that
// arrived before the connection was reset for a whole response. The failed send reports
// the reset, so that the read after it finds a regular end of the connection.
func TestEarlyResponseOfResetConnection(t *testing.T) {
	for name, early := range earlyResponses {
		t.Run(name+", fake connection", func(t *testing.T) {
			testEarlyResponse(t, early.complete, "a", upstream.Options{Connect: func(context.Context, string) (upstream.Conn, error) {
				return brokenConn{response: strings.NewReader(early.response)}, nil
			}})
		})
		for read, bytesRead := range map[string]int64{"a byte read": 1, "60 KB read": 60_000} {
			t.Run(name+", "+read, func(t *testing.T) {
				s := servertest.NewRaw(t, func(c *net.TCPConn) {
					_, _ = io.CopyN(io.Discard, c, bytesRead) // a shorter request fails the test
					_, _ = io.WriteString(c, early.response)
					time.Sleep(15 * time.Millisecond) // the bytes arrive before the reset
					_ = c.SetLinger(0)
				})
				for range 5 {
					testEarlyResponse(t, early.complete, s.Address(), upstream.Options{})
				}
			})
		}
	}
}

func testEarlyResponse(t *testing.T, complete bool, address string, options upstream.Options) {
	t.Helper()
	is := is.New(t)
	req := request()
	req.Body = bytes.Repeat([]byte("x"), 8<<20) // more than the buffers of the connection hold
	resp, err := upstream.New(options).Do(t.Context(), address, req)
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if complete {
		is.NoErr(err)
		is.Equal(string(body), "hello")
		return
	}
	var failure *upstream.Error
	is.True(errors.As(err, &failure)) // an incomplete response
	is.Equal(failure.Stage, upstream.InResponse)
}
