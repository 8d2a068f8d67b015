package slots_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/slots"
)

// Requests that wait for the one server at which they were not tried yet must not keep
// others of their workspace from free slots of another server.
func TestRequestsForOneServerBlockNoOthers(t *testing.T) {
	for _, waiting := range []int{3, 4, 5, 50} {
		t.Run(fmt.Sprint(waiting, " waiting"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := scheduler(t, 0, 0)
				s.SetServers(readyServers("a", "b"))
				for range 5 { // 4 slots of b and one request that waits at the server
					acquire(t, s, slots.Request{Service: "s", Class: placement.Online, Workspace: "w", Cost: 1, Only: []string{"b"}})
				}
				for range waiting {
					r := request(placement.Online, "w")
					r.Tried = []string{"a"}
					queueRequest(t, s, r)
				}
				time.Sleep(time.Millisecond) // the deadlines of the next ones are later
				server, failed := queueRequest(t, s, request(placement.Online, "w"))
				select {
				case id := <-server:
					is.Equal(id, "a")
				case err := <-failed:
					t.Error(err)
				case <-time.After(100 * time.Millisecond):
					t.Error("waits for 0.1 s while four slots are free")
				}
			})
		})
	}
}
