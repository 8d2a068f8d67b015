package platform

import (
	"sync"
	"time"
)

// bucket is a token bucket that holds at most one second's worth of calls.
type bucket struct {
	rate   float64 // calls per second
	tokens float64
	last   time.Time
}

func (b *bucket) refill(now time.Time) {
	if b.last.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
}

// rates limits calls in total and per client, for reads and writes apart.
type rates struct {
	mu        sync.Mutex
	perClient float64
	total     bucket
	clients   map[string]*bucket
}

func newRates(total, perClient float64) *rates {
	return &rates{perClient: perClient, total: bucket{rate: total}, clients: map[string]*bucket{}}
}

// take reports whether the client's call is within both rates, and counts it if so.
func (r *rates) take(client string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.refilled(client, now)
	if r.total.tokens < 1 || own.tokens < 1 {
		return false
	}
	r.total.tokens--
	own.tokens--
	return true
}

// charge counts a call that cannot be refused because it is already running.
func (r *rates) charge(client string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.refilled(client, now)
	r.total.tokens--
	own.tokens--
}

func (r *rates) refilled(client string, now time.Time) *bucket {
	own, ok := r.clients[client]
	if !ok {
		own = &bucket{rate: r.perClient}
		r.clients[client] = own
	}
	own.refill(now)
	r.total.refill(now)
	return own
}
