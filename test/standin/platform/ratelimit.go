package platform

import (
	"sync"
	"time"
)

// bucket is a token bucket that holds at most one second's worth of calls.
type bucket struct {
	rate       float64 // calls per second
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// rateLimiter limits the rate of calls in total and per client. Reads and writes
// have separate limiters.
type rateLimiter struct {
	mu        sync.Mutex
	perClient float64
	total     bucket
	clients   map[string]*bucket
}

func newRateLimiter(total, perClient float64) *rateLimiter {
	return &rateLimiter{perClient: perClient, total: bucket{rate: total}, clients: map[string]*bucket{}}
}

// allow reports whether the client's call is within both limits, and counts it if so.
func (r *rateLimiter) allow(client string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientBucket := r.refilledBucket(client, now)
	if r.total.tokens < 1 || clientBucket.tokens < 1 {
		return false
	}
	r.total.tokens--
	clientBucket.tokens--
	return true
}

// charge counts a call without a check of the limits, because it is already running.
func (r *rateLimiter) charge(client string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clientBucket := r.refilledBucket(client, now)
	r.total.tokens--
	clientBucket.tokens--
}

// refilledBucket refills both buckets and returns the one of the client.
func (r *rateLimiter) refilledBucket(client string, now time.Time) *bucket {
	clientBucket, ok := r.clients[client]
	if !ok {
		clientBucket = &bucket{rate: r.perClient}
		r.clients[client] = clientBucket
	}
	clientBucket.refill(now)
	r.total.refill(now)
	return clientBucket
}
