package bulk

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/store/storetest"
)

// A job is marked as done while callers read its results. Guards, with the race
// detector, against reading the head without its lock.
func TestResultsAreReadWhileJobIsMarkedAsDone(t *testing.T) {
	is := is.New(t)
	s := newLocal(t, storetest.New(), 0)
	j := newJob("job", Head{Workspace: "w", Items: []string{"x"}})
	j.list.ApplySegment(itemlist.Segment{Results: []itemlist.Result{{ID: "x", State: itemlist.Completed}}})
	var group sync.WaitGroup
	var read atomic.Bool
	group.Go(func() {
		for !read.Load() {
			j.markDone()
		}
	})
	for range 20_000 {
		_, err := s.localResults(t.Context(), j, "w", 0, time.Now())
		is.NoErr(err)
	}
	read.Store(true)
	group.Wait()
}
