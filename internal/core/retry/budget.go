// Package retry decides which failed requests are repeated: it holds the
// retry budget of a host, the fingerprints of requests suspected of crashing
// their server, and the states of idempotency records. It performs no I/O and
// reads no clock.
package retry

import "time"

const (
	budgetPart  = 0.1   // retries per request
	budgetRate  = 3.0   // retries per second on top
	budgetBurst = 100.0 // most saved-up retries, about the work in flight on a few lost servers
)

// Budget bounds the retries of a host to a part of its requests plus a small
// rate, so that failing servers are not loaded with repeats.
type Budget struct {
	tokens float64
	last   time.Time
}

// Request notes a first attempt, which adds to the budget.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.tokens = min(budgetBurst, b.tokens+budgetPart)
}

// Take spends one retry. It reports false when the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		b.tokens = budgetBurst
		return
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(budgetBurst, b.tokens+budgetRate*elapsed.Seconds())
		b.last = now
	}
}
