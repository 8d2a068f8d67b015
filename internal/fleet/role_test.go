package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/platform"
	"ragwortstep/internal/platform/platformtest"
)

// Guards against a role that is held twice, not taken over, or taken over with
// the same epoch, when answers are lost and the holder stops without notice.
func TestRoleIsTakenOver(t *testing.T) {
	is := is.New(t)
	store := platformtest.New()
	var roles []*Role
	var stops []context.CancelFunc
	for i := range 3 {
		r := NewRole(RoleOptions{
			Name: "controller", Store: store, Writer: platform.NewWriter(fmt.Sprint("host/", i)),
			Lease: lease.Options{
				Duration: 300 * time.Millisecond, Renew: 100 * time.Millisecond, Slack: 50 * time.Millisecond,
				OrderTimeout: 100 * time.Millisecond, Retry: 20 * time.Millisecond,
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		t.Cleanup(stop)
		go r.Run(ctx)
		roles, stops = append(roles, r), append(stops, stop)
	}
	last, stopped := uint64(0), map[int]bool{}
	for range 2 {
		deadline := time.Now().Add(5 * time.Second)
		for holder := -1; holder < 0; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
			held, now := 0, time.Now()
			for i, r := range roles {
				if epoch, ok := r.heldAt(now); ok {
					held++
					if !stopped[i] && epoch > last {
						holder, last = i, epoch
					}
				}
			}
			is.True(held <= 1)
			if holder >= 0 {
				store.LoseAnswers(1)
				time.Sleep(150 * time.Millisecond)
				_, still := roles[holder].Held()
				is.True(still) // a renewal with a lost answer is repeated
				_, may := roles[holder].MayOrder(true)
				is.True(may)
				stops[holder]()
				stopped[holder] = true
			}
		}
	}
	is.True(last >= 2)
}
