package jobs

import (
	"context"
	"sync"
	"time"
)

// slots bounds the items in flight, in total and per workspace, so that a
// workspace whose items wait at the dispatcher leaves room for the others.
type slots struct {
	mu      sync.Mutex
	total   int
	used    int
	by      map[string]int
	changed chan struct{} // closed and replaced when a slot becomes free
}

func newSlots(total int) *slots {
	return &slots{total: total, by: map[string]int{}, changed: make(chan struct{})}
}

// enter waits for a slot. share is the workspace's part of all slots, 0 to 1,
// asked again after each change.
func (s *slots) enter(ctx context.Context, workspace string, share func() float64) error {
	for {
		limit := max(1, int(float64(s.total)*share()))
		s.mu.Lock()
		if s.used < s.total && s.by[workspace] < limit {
			s.used++
			s.by[workspace]++
			s.mu.Unlock()
			return nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (s *slots) leave(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used--
	if s.by[workspace]--; s.by[workspace] == 0 {
		delete(s.by, workspace)
	}
	close(s.changed)
	s.changed = make(chan struct{})
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
