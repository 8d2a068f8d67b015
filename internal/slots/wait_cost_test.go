package slots_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/slots"
)

// Batch items that wait for long come back to the queue each second. One that comes back
// must not cost time for each item that waits: the time of all together grew with the
// square of their number, up to most of a processor, and kept requests from their slots.
func TestReturningItemCostsNoTimeForEachWaitingOne(t *testing.T) {
	const (
		few, many  = 200, 2000
		returns    = 200 // items that come back in one measurement
		maxRatio   = 4   // of the times; the items' heap grows by its logarithm
		repeats    = 5   // of which the fastest counts
		otherNeeds = 8   // servers that items have tried
	)
	servers := make([]string, 2*otherNeeds)
	for i := range servers {
		servers[i] = fmt.Sprint("server", i)
	}
	item := func(n int) slots.Request {
		r := request(placement.Batch, "b")
		r.Deadline = time.Now().Add(time.Minute)
		if k := n % (otherNeeds + 1); k > 0 {
			r.Tried = servers[k : k+1]
		}
		return r
	}
	measure := func(waiting int) time.Duration {
		s := scheduler(t, 0, 0)
		s.SetServers(readyServers(servers...))
		for full := false; !full; {
			brief, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, err := s.Acquire(brief, request(placement.Batch, "b"))
			full = err != nil
			cancel()
		}
		left, leave := context.WithCancel(t.Context())
		leave()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		for n := range waiting {
			go func() { _, _ = s.Acquire(ctx, item(n)) }()
		}
		time.Sleep(300 * time.Millisecond) // they wait
		fastest := time.Hour
		for range repeats {
			began := time.Now()
			for n := range returns {
				_, _ = s.Acquire(left, item(n))
			}
			fastest = min(fastest, time.Since(began))
		}
		return fastest
	}
	short, long := measure(few), measure(many)
	t.Log(short, long)
	if long > maxRatio*short {
		t.Errorf("%d items that come back take %v behind %d others and %v behind %d", returns, long, many, short, few)
	}
}
