package online_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// Calls that failed at one server and wait for the other one, which is full, must not
// keep the next calls of their workspace from the first one: these were held until the
// waiting ones were at the end of their time.
func TestCallsThatWaitForOneServerBlockNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if strings.HasPrefix(c.ID, "fails") {
				time.Sleep(10 * time.Millisecond)
				c.Respond(http.StatusInternalServerError, "e")
				return true
			}
			return ok(c)
		}, "a", "b")
		f.setRoutes(func(r *routing.Route) { r.Timeout = 4 * time.Second })
		request := f.onlineRequest()
		request.Only = []string{"b"}
		for range 5 { // 4 slots and one request that waits at the server
			slot, err := f.slots.Acquire(t.Context(), request)
			is.NoErr(err)
			defer slot.Done(placement.Neutral, 0)
		}
		var group sync.WaitGroup
		for i := range 4 {
			group.Go(func() {
				got, _ := f.serveAs(fmt.Sprint("fails-", i), "/get/1", "k")
				is.Equal(got.Code, http.StatusInternalServerError)
			})
		}
		time.Sleep(time.Second) // the first server was out of use for its failures
		got, took := f.serveAs("sound", "/get/1", "k")
		is.Equal(got.Code, http.StatusOK)
		is.True(took <= 500*time.Millisecond)
		group.Wait()
	})
}
