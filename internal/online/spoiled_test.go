package online_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// Bytes of a faulty server that are no event of a stream must not reach the caller:
// streams ended as complete with an error text among their events. A stream that may not
// be resumed must not look complete.
func TestSpoiledEventReachesNoCaller(t *testing.T) {
	t.Parallel()
	for _, sound := range []int64{0, 2} {
		for name, bytes := range servertest.SpoiledEvents(sound + 1) {
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
		c.WriteSpoiled(sound, spoiled)
		return false
	}
	return newFixture(t, servertest.New(t, script), servertest.New(t, script)).call(path, "k")
}
