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

// A call that waits for a place at another server must not be sent there once its own
// server was heard meanwhile: both would work on it.
func TestNoOtherServerIsAskedOnceTheSilentOneIsHeard(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var first firstAsked
				var asked atomic.Int64
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if asked.Add(1); !first.is(c) {
						return ok(c)
					}
					time.Sleep(280 * time.Millisecond) // another one is asked after 250 ms
					if path == "/get/1" {
						return ok(c)
					}
					return stream(c)
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) { r.Timeout = 2 * time.Second })
				time.AfterFunc(100*time.Millisecond, func() {
					request := f.onlineRequest()
					request.Only = []string{"a"}
					if *first.id.Load() == "a" {
						request.Only = []string{"b"}
					}
					for range 5 { // 4 slots and one request that waits at the server
						slot, err := f.slots.Acquire(t.Context(), request)
						is.NoErr(err)
						time.AfterFunc(200*time.Millisecond, func() { slot.Done(placement.Success, 1) })
					}
				})
				status, _ := f.serveWhole(path, "k")
				is.Equal(status, http.StatusOK)
				is.Equal(asked.Load(), int64(1))
				is.True(!f.logs.contains("asking another server")) // its exchange may end before it has sent a byte
				time.Sleep(time.Second)                            // places are free again
			})
		})
	}
}
