package jobs

import (
	"context"
	"sync"
)

// slotReserveDivisor determines the slots that a workspace beyond its share leaves
// free, as total/slotReserveDivisor, so that another workspace can start items
// at once.
const slotReserveDivisor = 8

// slots bounds the items in flight, in total and per workspace. While no other
// workspace waits, a workspace may exceed its share, so that slots do not stay
// idle, but it leaves a reserve free.
type slots struct {
	mu          sync.Mutex
	total       int
	used        int
	byWorkspace map[string]int
	waiting     map[string]int
	changed     chan struct{} // closed and replaced when a slot becomes free or a waiter leaves
}

func newSlots(total int) *slots {
	return &slots{total: total, byWorkspace: map[string]int{}, waiting: map[string]int{}, changed: make(chan struct{})}
}

// acquire waits for a slot. share returns the workspace's share of all slots, from
// 0 to 1, and is called again after each change.
func (s *slots) acquire(ctx context.Context, workspace string, share func() float64) error {
	s.mu.Lock()
	s.waiting[workspace]++
	s.mu.Unlock()
	defer s.stopWaiting(workspace)
	for {
		acquired, changed := s.tryAcquire(workspace, share())
		if acquired {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *slots) tryAcquire(workspace string, share float64) (bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := max(1, int(float64(s.total)*share))
	if s.byWorkspace[workspace] >= limit {
		alone := len(s.waiting) == 1 // this one
		if !alone || s.used >= s.total-s.total/slotReserveDivisor {
			return false, s.changed
		}
	}
	if s.used >= s.total {
		return false, s.changed
	}
	s.used++
	s.byWorkspace[workspace]++
	return true, nil
}

func (s *slots) stopWaiting(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[workspace]--; s.waiting[workspace] == 0 {
		delete(s.waiting, workspace)
		s.broadcast()
	}
}

func (s *slots) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *slots) release(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	if s.byWorkspace[workspace]--; s.byWorkspace[workspace] == 0 {
		delete(s.byWorkspace, workspace)
	}
	s.broadcast()
}
