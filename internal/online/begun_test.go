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

// A call whose server broke off must not end because many calls wait for the other
// server: it is due before them, and gets the next place there.
func TestBegunCallWaitsBesideLongQueue(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testBegunCallBesideQueue(t, path) })
		})
	}
}

func testBegunCallBesideQueue(t *testing.T, path string) {
	const work = 3 * time.Second // of all other calls
	is := is.NewRelaxed(t)
	f := newPipedFixture(t, func(c *servertest.Conn) bool {
		switch server := c.Header.Get("X-Instance"); {
		case c.ID != "begun":
			time.Sleep(work)
			return ok(c)
		case server == "a" && path == "/resumable/1":
			c.StartStream()
			c.WriteEvents(1, 2)
			time.Sleep(500 * time.Millisecond)
			return false
		case server == "a":
			time.Sleep(200 * time.Millisecond)
			return false
		case path == "/resumable/1":
			return stream(c)
		}
		return ok(c)
	}, "b")
	f.setRoutes(func(r *routing.Route) { r.Timeout, r.GapObjective = 2*work, 400*time.Millisecond })
	var group sync.WaitGroup
	load := func(n int) {
		for i := range n {
			group.Go(func() { f.serveAs(fmt.Sprint("load-", i, time.Now()), "/once/1", "k") })
		}
	}
	for range 5 { // the time of a call becomes known
		load(5)
		group.Wait()
	}
	load(5)                          // occupy the server
	time.Sleep(work - 1*time.Second) // until a second before its places are free
	f.slots.SetServers([]placement.Server{entryOf("a"), entryOf("b")})
	group.Go(func() {
		status, body := f.serveBody("begun", path)
		is.Equal(status, http.StatusOK)
		want := "ok"
		if path == "/resumable/1" {
			want = events(1, 4)
		}
		is.Equal(body, want)
	})
	synctest.Wait()
	f.slots.SetServers([]placement.Server{entryOf("b")}) // a takes no more
	time.Sleep(10 * time.Millisecond)                    // the others are due later
	load(10)
	group.Wait()
	time.Sleep(work)
}

func entryOf(id string) placement.Server {
	return placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: 4, Ready: true}
}
