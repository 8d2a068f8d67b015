package bulk

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/matryer/is"
)

// The workers of routes that have no items must not stay in memory: a host kept 19 KB for
// each route that had ever had a job. Those with an item at work or waiting stay.
func TestWorkersOfIdleRoutesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		s := &Service{workers: map[string]pond.Pool{}}
		on := func(route string) pond.Pool { return s.workersOf(&job{head: Head{Route: route}}) }
		finish := make(chan struct{})
		for range maxConcurrentItems + 1 { // one of them waits
			on("busy").Submit(func() { <-finish })
		}
		for n := range 100 {
			on(fmt.Sprint("idle", n)).Submit(func() {})
		}
		synctest.Wait()
		busy := on("busy")
		s.dropUnused(time.Now())
		is.Equal(len(s.workers), 1)
		is.Equal(on("busy"), busy)
		close(finish)
		synctest.Wait()
		s.dropUnused(time.Now())
		is.Equal(len(s.workers), 0)
	})
}
