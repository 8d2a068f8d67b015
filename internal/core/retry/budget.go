// Package retry decides which failed requests are retried: it holds a host's
// retry budget, the fingerprints of requests suspected of crashing their server,
// and the states of idempotency records. It performs no I/O and reads no clock.
package retry

import "time"

const (
	retriesPerRequest = 0.1
	retriesPerSecond  = 3.0   // in addition to retriesPerRequest
	maxSavedRetries   = 100.0 // about the requests in flight on a few lost servers
)

// Budget bounds the retries of a host to a share of its requests plus a small
// rate, so that retries don't overload failing servers.
type Budget struct {
	tokens     float64
	lastRefill time.Time
}

// Request records the first attempt of a request, which adds to the budget.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerRequest)
}

// TakeRetry spends one retry. It reports false when the budget is exhausted.
func (b *Budget) TakeRetry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
		b.tokens = maxSavedRetries
		return
	}
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(maxSavedRetries, b.tokens+retriesPerSecond*elapsed.Seconds())
		b.lastRefill = now
	}
}
