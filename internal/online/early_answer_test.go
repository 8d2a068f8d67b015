package online_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// earlyParts are answers without a length of which a part is sent.
var earlyParts = map[string]string{
	"text":         sealedHead + "\r\nhello",
	"event stream": sealedHead + "Content-Type: text/event-stream\r\n\r\n" + "id: 1\ndata: hello\n\n",
}

// A server that answered a long upload at once, sent a part of an answer without a length
// and reset the connection must not pass for one that answered: callers got the part as a
// whole answer, with a length that the host had computed.
func TestEarlyAnswerOfResetConnectionIsNotComplete(t *testing.T) {
	for name, part := range earlyParts {
		for path, sends := range map[string]int64{"/once/1": 1, "/get/1": 2, "/stream/1": 1, "/resumable/1": 2} {
			for read, bytesRead := range map[string]int64{"a byte read": 1, "60 KB read": 60_000} {
				t.Run(name+path+" "+read, func(t *testing.T) {
					is := is.NewRelaxed(t)
					var cut atomic.Int64
					script := func(c *net.TCPConn) {
						if _, err := io.CopyN(io.Discard, c, bytesRead); err != nil {
							return // the host didn't wait for the connection
						}
						cut.Add(1)
						_, _ = io.WriteString(c, part)
						time.Sleep(15 * time.Millisecond) // the bytes arrive before the reset
						_ = c.SetLinger(0)
					}
					f := newFixture(t, servertest.NewRaw(t, script), servertest.NewRaw(t, script))
					recorder := httptest.NewRecorder()
					complete := func() (complete bool) {
						defer func() { complete = recover() == nil }() // a response that is cut
						f.service.Serve(t.Context(), recorder, &online.Call{
							ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: path, Path: path, Header: http.Header{},
							Body: bytes.Repeat([]byte("x"), 8<<20), Arrived: time.Now(),
						})
						return true
					}()
					is.True(!complete || recorder.Code == http.StatusBadGateway)
					is.Equal(cut.Load(), sends)
				})
			}
		}
	}
}
