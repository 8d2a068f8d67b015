package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/metrics"
)

// abortingPlatform aborts all responses after some bytes.
type abortingPlatform struct{ *fakePlatform }

func (abortingPlatform) Callers(Services) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "some bytes")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// TestAbortedResponseIsNotComplete guards against a host whose aborted responses look
// complete to callers that speak HTTP/1.0.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	is := is.New(t)
	h := &host{platform: abortingPlatform{&fakePlatform{}}, config: &configuration{}, settings: &Settings{Callers: "127.0.0.1:0"}, log: discardLogger, metrics: metrics.New()}
	servers, err := h.listen()
	is.NoErr(err)
	go func() { _ = servers[0].serve() }() // ends with the test
	defer servers[0].server.Close()
	for _, head := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n"} {
		c, err := net.Dial("tcp", servers[0].listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, err = fmt.Fprintf(c, "GET / %s\r\n", head)
		is.NoErr(err)
		_, err = io.ReadAll(c)
		is.True(err != nil) // reset
	}
}
