package jobs

import (
	"context"
	"sync"
	"time"
)

// recoveryPeriod is the time after the last failed platform call in which commits
// are paced, so that the hosts together do not overload a platform that has just
// recovered.
const recoveryPeriod = 30 * time.Second

// pacer limits the rate of commits after an outage.
type pacer struct {
	interval time.Duration
	now      func() time.Time

	mu          sync.Mutex
	lastFailure time.Time // last failed call
	nextCommit  time.Time
}

func (p *pacer) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastFailure = p.now()
}

// wait waits until a commit may be sent.
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
	if p.lastFailure.IsZero() || now.Sub(p.lastFailure) > recoveryPeriod {
		return 0
	}
	if p.nextCommit.Before(now) {
		p.nextCommit = now
	}
	p.nextCommit = p.nextCommit.Add(jitter(p.interval))
	return p.nextCommit.Sub(now)
}
