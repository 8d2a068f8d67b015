package backend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against reporting as complete the part of a response that a server sent before
// it reset the connection on which a long request was still being sent.
func TestEarlyResponseOfResetConnectionIsTruncated(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		stream   bool
	}{
		"no length":          {"HTTP/1.1 200 X\r\n\r\n{}", false},
		"no length, no body": {"HTTP/1.1 200 X\r\n\r\n", false},
		"event stream":       {"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n", true},
		"unexpected stream":  {"HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, c, 60_000) // a shorter request fails the test
					_, _ = io.WriteString(c, test.response)
					time.Sleep(15 * time.Millisecond) // the bytes arrive before the reset
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
				}
			}()
			c := New(Options{})
			s := newServer("s", l.Addr().String(), c.opts)
			c.servers["s"] = s
			for range 5 {
				resp, err := c.Do(t.Context(), "s", &Request{Method: "POST", Path: "/v1/x", Body: bytes.Repeat([]byte("x"), 8<<20), Stream: test.stream})
				if err != nil {
					continue // the reset was noticed before the response
				}
				_, err = io.ReadAll(resp.Body)
				is.Equal(err, io.ErrUnexpectedEOF)
				is.NoErr(resp.Body.Close())
			}
		})
	}
}
