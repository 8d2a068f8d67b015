package bulk_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/peer/peertest"
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
