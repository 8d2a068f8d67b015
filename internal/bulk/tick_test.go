package bulk

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a wake-up of the process for each item's events: streams that
// wait for the tick from different times on are read together.
func TestItemsAreReadAtTheSameMoments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Service{}
		begin := time.Now()
		var mu sync.Mutex
		woke := map[time.Duration]int{}
		for i := range 20 {
			go func() {
				time.Sleep(time.Duration(i) * 4 * time.Millisecond)
				s.awaitReadTick(context.Background())
				mu.Lock()
				defer mu.Unlock()
				woke[time.Since(begin)]++
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(woke, map[time.Duration]int{readTick: 13, 2*readTick + 2*time.Millisecond: 7})
	})
}

// Guards against a run that is cancelled only at the next tick, while its
// server works on.
func TestACancelledRunDoesNotWaitForTheTick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Service{}
		ctx, cancel := context.WithCancel(context.Background())
		begin := time.Now()
		time.AfterFunc(time.Millisecond, cancel)
		s.awaitReadTick(ctx)
		is.Equal(time.Since(begin), time.Millisecond)
	})
}
