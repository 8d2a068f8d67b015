package online_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// A server that sends interim responses while it works must not be given up for their
// number: the sixth one ended the call with 502.
func TestServerAtWorkMaySendManyInterimResponses(t *testing.T) {
	for path, answer := range map[string]func(*servertest.Conn) bool{"/get/1": ok, "/once/1": ok, "/stream/1": stream, "/resumable/1": stream} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					for range 12 {
						time.Sleep(500 * time.Millisecond)
						if _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err != nil {
							return false
						}
					}
					return answer(c)
				})
				f.setPatience(8 * time.Second)
				status, body := f.serveWhole(path, "k")
				is.Equal(status, http.StatusOK)
				is.True(body == "ok" || body == events(1, 4))
				time.Sleep(time.Second) // a server that was given up finds its connection closed
			})
		})
	}
}
