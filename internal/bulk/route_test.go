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
