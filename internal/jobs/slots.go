package jobs

import (
	"context"
	"sync"
	"time"
)

// reserveShare is the part of all slots, as a divisor, that a workspace beyond
// its share leaves free, so that another one can start at once.
const reserveShare = 8

// slots bounds the items in flight, in total and per workspace. A workspace
// may use more than its share while no other one waits, so that slots are
// not idle, but never all of them.
type slots struct {
	mu      sync.Mutex
	total   int
	used    int
	by      map[string]int
	waiting map[string]int
	changed chan struct{} // closed and replaced when a slot becomes free or a waiter leaves
}

func newSlots(total int) *slots {
	return &slots{total: total, by: map[string]int{}, waiting: map[string]int{}, changed: make(chan struct{})}
}

// enter waits for a slot. share is the workspace's part of all slots, 0 to 1,
// asked again after each change.
func (s *slots) enter(ctx context.Context, workspace string, share func() float64) error {
	s.mu.Lock()
	s.waiting[workspace]++
	s.mu.Unlock()
	defer s.stopWaiting(workspace)
	for {
		entered, changed := s.tryEnter(workspace, share())
		if entered {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *slots) tryEnter(workspace string, share float64) (bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := max(1, int(float64(s.total)*share))
	if s.by[workspace] >= limit {
		alone := len(s.waiting) == 1 // this one
		if !alone || s.used >= s.total-s.total/reserveShare {
			return false, s.changed
		}
	}
	if s.used >= s.total {
		return false, s.changed
	}
	s.used++
	s.by[workspace]++
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

func (s *slots) leave(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	if s.by[workspace]--; s.by[workspace] == 0 {
		delete(s.by, workspace)
	}
	s.broadcast()
}

func (s *slots) inUse() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// recoveryTime is how long commits are paced after the last failed platform
// call, so that all hosts together do not overload a platform that just came back.
const recoveryTime = 30 * time.Second

// pacer spaces commits after an outage.
type pacer struct {
	interval time.Duration
	now      func() time.Time

	mu     sync.Mutex
	failed time.Time // last failed call
	next   time.Time
}

func (p *pacer) failure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed = p.now()
}

// wait returns when a commit may be sent.
func (p *pacer) wait(ctx context.Context) error {
	d := p.reserve()
	if d > 0 && !sleep(ctx, d) {
		return ctx.Err()
	}
	return ctx.Err()
}

func (p *pacer) reserve() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	if p.failed.IsZero() || now.Sub(p.failed) > recoveryTime {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(jitter(p.interval))
	return p.next.Sub(now)
}
