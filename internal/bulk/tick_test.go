package bulk

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a wake-up of the process for each item's events: streams that
// wait for the tick at different times are read together.
func TestItemsAreReadAtTheSameMoments(t *testing.T) {
	is := is.New(t)
	s := &Service{}
	var mu sync.Mutex
	var woke []time.Time
	var group sync.WaitGroup
	begin := time.Now()
	for i := range 20 {
		group.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			s.awaitReadTick(context.Background())
			mu.Lock()
			defer mu.Unlock()
			woke = append(woke, time.Now())
		})
	}
	group.Wait()
	for _, at := range woke {
		is.True(at.Sub(begin) >= readTick && at.Sub(begin) < 2*readTick)
		is.True(at.Sub(woke[0]).Abs() < readTick/2)
	}
}

// Guards against a run that is cancelled only at the next tick, while its
// server works on.
func TestACancelledRunDoesNotWaitForTheTick(t *testing.T) {
	s := &Service{}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	begin := time.Now()
	for range 20 {
		s.awaitReadTick(ctx)
	}
	if took := time.Since(begin); took > readTick {
		t.Errorf("20 cancelled waits took %s", took)
	}
}
