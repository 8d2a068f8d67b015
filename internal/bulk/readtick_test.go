package bulk

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Streams that start waiting at different times must be read together, rather than
// with one wake-up of the process for each.
func TestReadTickIsShared(t *testing.T) {
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

// A canceled run must not wait for the next tick while its server keeps working.
func TestReadTickEndsOnCancel(t *testing.T) {
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
