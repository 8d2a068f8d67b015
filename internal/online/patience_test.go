package online_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// A call whose servers all need some seconds must be answered as soon as by one of
// them alone, give or take the wait for a further server: servers that were given up
// for one another in turn never ended it.
func TestSlowServersAreNotGivenUpInTurn(t *testing.T) {
	for _, ids := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}} {
		for work := 500 * time.Millisecond; work <= 5*time.Second; work += 500 * time.Millisecond {
			t.Run(fmt.Sprint(len(ids), " servers, work of ", work), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					f := newPipedFixture(t, func(c *servertest.Conn) bool {
						select {
						case <-c.PeerClosed():
							return false
						case <-time.After(work):
							return ok(c)
						}
					}, ids...)
					f.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = 10*time.Second, 3 })
					began := time.Now()
					status, body := f.serveWhole("/get/1", "k")
					is.Equal(status, http.StatusOK)
					is.Equal(body, "ok")
					is.True(time.Since(began) <= work+500*time.Millisecond)
				})
			})
		}
	}
}
