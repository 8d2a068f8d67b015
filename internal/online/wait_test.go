package online_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// holdPlaces sends n calls that stay at their server until the end of their time.
func (f *fixture) holdPlaces(group *sync.WaitGroup, n int) {
	for i := range n {
		group.Go(func() { f.serveAs(fmt.Sprint("hold-", i), "/once/1", "k") })
	}
}

func hold(c *servertest.Conn) bool {
	<-c.PeerClosed()
	return false
}

// A call that gets no place at a server must be refused while its caller still waits:
// at the end of its time the caller leaves, without an answer or a refusal.
func TestWaitingCallIsRefusedBeforeItsTimeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newPipedFixture(t, hold)
		var group sync.WaitGroup
		f.holdPlaces(&group, 5) // 4 slots and one request that waits at the server
		synctest.Wait()
		got, took := f.serve("/short/1", "k")
		is.Equal(got.Code, http.StatusServiceUnavailable)
		is.True(got.Header().Get("Retry-After") != "")
		is.True(took <= 150*time.Millisecond-10*time.Millisecond) // the route's timeout, and the way to the caller
		group.Wait()
	})
}

// A call that all servers of its attempts rejected as full must be refused when half
// of its objective is over, also when none of them has a place by then: it was held
// until its caller left.
func TestRejectedCallIsRefusedWhenNoPlaceIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if c.ID != "id-1" {
				return hold(c)
			}
			time.Sleep(50 * time.Millisecond)
			c.RespondNotRun(http.StatusServiceUnavailable)
			return true
		})
		var group sync.WaitGroup
		f.holdPlaces(&group, 4)
		synctest.Wait()
		time.AfterFunc(20*time.Millisecond, func() { // the places that are held fill the server
			f.slots.SetServers([]placement.Server{{ID: "a", Instance: "a", Service: "s", Address: "a", Zone: "z", Slots: 2, Ready: true}})
		})
		got, took := f.serve("/busy/1", "k")
		is.Equal(got.Code, http.StatusServiceUnavailable)
		is.True(got.Header().Get("Retry-After") != "")
		is.Equal(took, 500*time.Millisecond)
		group.Wait()
		time.Sleep(time.Second)
	})
}

// A call whose server has failed, and that may only return to one that was full, must
// not wait for a place there until its caller leaves.
func TestFailedCallWaitsShortlyForFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var first firstAsked
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if first.is(c) {
				time.Sleep(time.Second)
				return false
			}
			c.RespondNotRun(http.StatusServiceUnavailable)
			return true
		}, "a", "b")
		f.setRoutes(func(r *routing.Route) { r.Timeout = 8 * time.Second })
		time.AfterFunc(800*time.Millisecond, func() {
			request := f.onlineRequest()
			request.Only = []string{"a"}
			if *first.id.Load() == "a" {
				request.Only = []string{"b"}
			}
			for range 5 { // 4 slots and one request that waits at the server
				slot, err := f.slots.Acquire(t.Context(), request)
				is.NoErr(err)
				time.AfterFunc(6*time.Second, func() { slot.Done(placement.Success, 1) })
			}
		})
		got, took := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusBadGateway) // the first one may have run it
		is.True(took < 1500*time.Millisecond)
		time.Sleep(8 * time.Second)
	})
}
