package online_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// A stream whose server fails after a silence may only go on at one that was asked
// before. If that one is full for a moment the stream must wait for it while its
// caller waits: it was cut after 0.1 s.
func TestBegunStreamWaitsForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var first firstAsked
		var other atomic.Value
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if first.is(c) {
				c.StartStream()
				c.WriteEvents(1, 2)
				time.Sleep(time.Second)
				return false
			}
			other.Store(c.Header.Get("X-Instance"))
			time.Sleep(400 * time.Millisecond) // longer than servers may overlap
			return stream(c)
		}, "a", "b")
		f.setRoutes(func(r *routing.Route) { r.Timeout, r.Objective = 8*time.Second, 200*time.Millisecond })
		time.AfterFunc(900*time.Millisecond, func() {
			request := f.onlineRequest()
			request.Only = []string{other.Load().(string)}
			for range 5 { // 4 slots and one request that waits at the server
				slot, err := f.slots.Acquire(t.Context(), request)
				is.NoErr(err)
				time.AfterFunc(600*time.Millisecond, func() { slot.Done(placement.Success, 1) })
			}
		})
		status, body := f.serveWhole("/resumable/1", "k")
		is.Equal(status, http.StatusOK)
		is.Equal(body, events(1, 4))
		time.Sleep(time.Second)
	})
}
