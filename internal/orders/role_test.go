package orders

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/store/storetest"
)

// Guards against two simultaneous holders, a role that is not taken over, and a
// takeover with the same epoch, when platform responses are lost and the holder
// stops abruptly.
func TestRoleIsTakenOver(t *testing.T) {
	is := is.New(t)
	objects := storetest.New()
	var roles []*role
	var stops []context.CancelFunc
	for i := range 3 {
		opts := lease.Options{
			Self:     fmt.Sprint("host/", i),
			Duration: 300 * time.Millisecond, Renew: 100 * time.Millisecond, Slack: 50 * time.Millisecond,
			OrderTimeout: 100 * time.Millisecond, Retry: 20 * time.Millisecond,
		}
		r := &role{
			store: objects, opts: opts, leaseRole: lease.New(opts), logger: slog.Default(),
			candidate: func() bool { return true }, onChange: func(bool, uint64) {},
		}
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go r.run(ctx)
		roles, stops = append(roles, r), append(stops, stop)
	}
	last, stopped := uint64(0), map[int]bool{}
	for range 2 {
		deadline := time.Now().Add(5 * time.Second)
		for holder := -1; holder < 0; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
			held, now := 0, time.Now()
			for i, r := range roles {
				if epoch, ok := heldBy(r, now); ok {
					held++
					if !stopped[i] && epoch > last {
						holder, last = i, epoch
					}
				}
			}
			is.True(held <= 1)
			if holder >= 0 {
				objects.LoseResponses(1)
				time.Sleep(150 * time.Millisecond)
				is.True(roles[holder].heldAt(last)) // a renewal whose response was lost is repeated
				is.True(roles[holder].mayOrder(last, true))
				stops[holder]()
				stopped[holder] = true
			}
		}
	}
	is.True(last >= 2)
}

// heldBy returns the epoch of a role at the given time, so that several roles
// can be compared at one point in time.
func heldBy(r *role, now time.Time) (epoch uint64, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaseRole.Held(now)
}
