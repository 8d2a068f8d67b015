package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/limiter"
)

// Guards against a workspace without rate limit tokens or with slow items that
// blocks the job of another workspace.
func TestWorkspacesDoNotBlockEachOther(t *testing.T) {
	for _, fault := range []string{"no tokens", "slow items"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			if fault == "no tokens" {
				c.limiterError = func(workspace string) error {
					if workspace == "greedy" {
						return &limiter.RefusedError{Workspace: workspace, RetryAfter: 50 * time.Millisecond}
					}
					return nil
				}
			} else {
				c.serve = func(string) response {
					if len(c.starts) < 28 { // all slots but the reserve
						return response{status: 200, delay: time.Hour}
					}
					return response{status: 200}
				}
			}
			a := c.start("a", nil)
			for range 4 {
				a.submitAs("greedy", 3000, chatPath)
			}
			for fault == "slow items" && c.itemRuns() < 28 {
				time.Sleep(time.Millisecond)
			}
			job := a.submit(190, chatPath)
			is.Equal(c.awaitEnd(job.ID, func() *node { return a }).RequestCounts.Completed, 190)
		})
	}
}

// Guards against idle slots while only one workspace has items, a workspace that
// takes all slots, and more items in flight than slots.
func TestSlotLimits(t *testing.T) {
	is := is.New(t)
	s := newSlots(16)
	half := func() float64 { return 0.5 }
	tryFor := func(workspace string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return s.acquire(ctx, workspace, half)
	}
	for range 14 {
		is.NoErr(tryFor("a"))
	}
	is.True(tryFor("a") != nil)
	is.NoErr(tryFor("b"))
	is.NoErr(tryFor("b"))
	is.True(tryFor("b") != nil)
	waited := make(chan error)
	go func() { waited <- s.acquire(t.Context(), "b", half) }()
	s.release("a")
	is.NoErr(<-waited)
	is.Equal(s.inUse(), 16)
}

func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}
