package online_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// spoiledEvents are bytes that a faulty server sends in place of the next event, N,
// before its connection ends. None of them is an event with the next id and data.
var spoiledEvents = map[string]string{
	"data without id":         "data: boom\n\n",
	"error without id":        "event: error\ndata: boom\n\n",
	"id without data":         "id: N\n\n",
	"cut field":               "id: N\nda\n\n",
	"cut field without colon": "id: N\ndata\n\n",
	"text":                    "boom\n\n",
	"text in an event":        "id: N\ndata: boom\nboom\n\n",
	"head of an answer":       "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nboom",
	"id that is no number":    "id: Nx\ndata: boom\n\n",
	"two ids":                 "id: 9\nid: N\ndata: boom\n\n",
	"later event":             "id: 9\ndata: boom\n\n",
	"line feeds":              "\n\n\n",
}

// Bytes of a faulty server that are no event of a stream must not reach the caller:
// streams ended as complete with an error text among their events, or with a comment that
// was the last word of a server that broke off. A stream that may not be resumed must not
// look complete.
func TestSpoiledEventReachesNoCaller(t *testing.T) {
	t.Parallel()
	for name, bytes := range spoiledEvents {
		for _, sound := range []int64{0, 2} {
			t.Run(fmt.Sprintf("%s after %d, resumable", name, sound), func(t *testing.T) {
				got := callSpoiled(t, "/resumable/1", bytes, sound)
				is := is.New(t)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusOK)
				is.Equal(got.body, events(1, 4))
			})
			t.Run(fmt.Sprintf("%s after %d, not resumable", name, sound), func(t *testing.T) {
				got := callSpoiled(t, "/stream/1", bytes, sound)
				is := is.New(t)
				is.True(got.err != nil || got.status != http.StatusOK)
				if got.status == http.StatusOK {
					is.Equal(got.body, events(1, sound))
				}
			})
		}
	}
}

// callSpoiled calls servers of which the first to be asked sends sound events, then other
// bytes, and then breaks off.
func callSpoiled(t *testing.T, path, spoiled string, sound int64) response {
	t.Parallel()
	var spoiledOnce atomic.Bool
	script := func(c *servertest.Conn) bool {
		if spoiledOnce.Swap(true) {
			return stream(c)
		}
		c.StartStream()
		c.WriteEvents(1, sound)
		text := servertest.Numbered(spoiled, sound+1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		_, _ = io.WriteString(c, "7\r\nid: ") // the server breaks off within a chunk
		return false
	}
	return newFixture(t, servertest.New(t, script), servertest.New(t, script)).call(path, "k")
}
