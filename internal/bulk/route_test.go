package bulk_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store/storetest"
)

// A configuration without a job's route, replaced by one that has it again, must not
// end the job's items. Those that were about to start became dead letters.
func TestItemsOutliveAMomentWithoutTheirRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t)
		route := f.longRoute()
		f.setRoutes(route)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, generate(50*time.Millisecond), "a")
		is.NoErr(service.Submit(t.Context(), submission("job", 200)))
		for _, gap := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			time.Sleep(time.Second)
			f.setRoutes()
			time.Sleep(gap)
			f.setRoutes(route)
		}
		time.Sleep(time.Minute)
		page, err := service.Results(t.Context(), "w", "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 200)
		completed := 0
		for _, r := range page.Results {
			if r.State == itemlist.Completed {
				completed++
			}
		}
		is.Equal(completed, 200)
	})
}

// The items of a job whose route stays away must become dead letters soon.
func TestItemsWithoutRouteAreDeadLetters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t)
		f.setRoutes(f.longRoute())
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, generate(50*time.Millisecond), "a")
		is.NoErr(service.Submit(t.Context(), submission("job", 200)))
		time.Sleep(time.Second)
		f.setRoutes()
		time.Sleep(10 * time.Second)
		page, err := service.Results(t.Context(), "w", "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 200)
	})
}

// Items that wait for a slot must follow a change of their route. They were sent to
// servers of the service before, or without any route, once a slot became free there,
// and not to those of the service after.
func TestWaitingItemsFollowTheirRoute(t *testing.T) {
	for name, moved := range map[string][]routing.Target{"moved": {{Service: otherService, Weight: 1}}, "removed": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testWaitingItems(t, moved) })
		})
	}
}

func testWaitingItems(t *testing.T, moved []routing.Target) {
	is := is.NewRelaxed(t)
	f := newFleet(t)
	route := f.longRoute()
	f.setRoutes(route)
	var mu sync.Mutex
	changed, started := false, 0
	service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, func(c *servertest.Conn) bool {
		instance := c.Header.Get("X-Instance")
		if strings.HasPrefix(instance, otherService) {
			return generate(50 * time.Millisecond)(c)
		}
		mu.Lock()
		if changed {
			t.Errorf("%s starts at %s after the change", c.ID, instance)
		}
		started++
		mu.Unlock()
		return generate(1500 * time.Millisecond)(c)
	}, "a", otherService+"1")
	is.NoErr(service.Submit(t.Context(), submission("job", 40)))
	time.Sleep(time.Second)
	mu.Lock()
	if f.setRoutes(); moved != nil {
		route.Targets = moved
		f.setRoutes(route)
	}
	changed = true
	mu.Unlock()
	time.Sleep(20 * time.Second)
	page, err := service.Results(t.Context(), "w", "job", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), 40)
	ofState := map[itemlist.State]int{}
	for _, r := range page.Results {
		ofState[r.State]++
	}
	if moved != nil {
		is.Equal(ofState[itemlist.Completed], 40)
	} else {
		mu.Lock()
		is.Equal(ofState[itemlist.Completed], started)
		mu.Unlock()
	}
}

// An item that waits for a slot must be given up when its retention is over, as one
// that runs. It waited until it got a slot.
func TestWaitingItemsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t)
		route := f.longRoute()
		route.Retention = 10 * time.Second
		f.setRoutes(route)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, func(c *servertest.Conn) bool {
			return generate(1900 * time.Millisecond)(c)
		}, "a")
		is.NoErr(service.Submit(t.Context(), submission("job", 40)))
		time.Sleep(17 * time.Second)
		page, err := service.Results(t.Context(), "w", "job", 0, 0)
		is.NoErr(err)
		is.True(len(page.Results) >= 32) // all but those that run
		time.Sleep(time.Minute)
	})
}

// An item that is about to start while its host gets a configuration must be run. Its
// goroutine panicked without a trace, and the item was never listed.
func TestItemsOutliveTheArrivalOfAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t)
		f.setRoutes(f.longRoute())
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, generate(50*time.Millisecond), "a")
		f.flickers.Store(true)
		is.NoErr(service.Submit(t.Context(), submission("job", 50)))
		time.Sleep(5 * time.Second)
		f.flickers.Store(false)
		time.Sleep(time.Minute)
		page, err := service.Results(t.Context(), "w", "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 50)
		for _, r := range page.Results {
			is.Equal(r.State, itemlist.Completed)
		}
	})
}

// The items of a job that cannot start, because their service has no servers or their
// route is missing, must not keep those of other jobs from running. They held all
// workers, one after the other until their retention was over.
func TestItemsThatCannotStartDelayNoOtherJob(t *testing.T) {
	for name, targets := range map[string][]routing.Target{"no server": {{Service: "gone", Weight: 1}}, "no route": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newFleet(t)
				route := f.longRoute()
				blocked := route
				blocked.Name, blocked.Prefix, blocked.Targets = "blocked", "/blocked/", targets
				if f.setRoutes(route); targets != nil {
					f.setRoutes(route, blocked)
				}
				service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, generate(50*time.Millisecond), "a")
				for i := range 2 {
					stuck := submission(fmt.Sprint("stuck", i), 150)
					stuck.Route = "blocked"
					is.NoErr(service.Submit(t.Context(), stuck))
				}
				is.NoErr(service.Submit(t.Context(), submission("job", 20)))
				time.Sleep(4 * time.Second)
				page, err := service.Results(t.Context(), "w", "job", 0, 0)
				is.NoErr(err)
				is.Equal(len(page.Results), 20)
				time.Sleep(time.Second)
			})
		})
	}
}

// The items of a route whose servers are busy must not keep those of other routes from
// running: they held all workers while the servers of the others were idle.
func TestBusyRouteDelaysNoOtherRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newFleet(t)
		route := f.longRoute()
		busy := route
		busy.Name, busy.Prefix, busy.Targets = "busy", "/busy/", []routing.Target{{Service: otherService, Weight: 1}}
		f.setRoutes(route, busy)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), fleet: f}.start(t, func(c *servertest.Conn) bool {
			if strings.HasPrefix(c.Header.Get("X-Instance"), otherService) {
				return generate(1500 * time.Millisecond)(c)
			}
			return generate(50 * time.Millisecond)(c)
		}, "a", otherService+"1")
		for i := range 2 {
			long := submission(fmt.Sprint("long", i), 150)
			long.Route = "busy"
			is.NoErr(service.Submit(t.Context(), long))
		}
		is.NoErr(service.Submit(t.Context(), submission("job", 20)))
		time.Sleep(4 * time.Second)
		page, err := service.Results(t.Context(), "w", "job", 0, 0)
		is.NoErr(err)
		is.Equal(len(page.Results), 20)
		time.Sleep(time.Second)
	})
}
