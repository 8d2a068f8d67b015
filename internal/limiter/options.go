package limiter

import (
	"expvar"
	"math/rand/v2"
	"time"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

const (
	// defaultWait covers the time to get one token of a workspace with a rate
	// of one request per second: 1s for the refill, and up to two calls of
	// borrowTimeout to collect it from the lenders.
	defaultWait = 2 * time.Second
	// settlingExtraWait is added to the wait while shares settle after a change
	// of members. It covers the lease of a lost member (3s), its margin (0.2s)
	// and the delay before shares grow (0.7s).
	settlingExtraWait = 4 * time.Second
	borrowTimeout     = 300 * time.Millisecond
	// minBorrowInterval is the least time between two calls to one lender, so
	// that one call carries the wants of many requests.
	minBorrowInterval = 10 * time.Millisecond
	// Intervals of the loop while requests wait, while workspaces are active,
	// and otherwise.
	waitingInterval = 5 * time.Millisecond
	activeInterval  = 50 * time.Millisecond
	idleInterval    = 100 * time.Millisecond
)

// Options configures a Limiter. Fleet, Peers and Incarnation are required.
type Options struct {
	Fleet       fleet.Service
	Peers       peer.Caller
	Incarnation string // incarnation of this process, from Fleet.Incarnation

	Policy        limit.Policy  // lending (default), static or owner
	Wait          time.Duration // maximum wait of an online request for tokens, default 2s, negative for none
	GrantLifetime time.Duration // lifetime of borrowed tokens, default 2s
	GrantMargin   time.Duration // added to the lifetime at the lender, default 200ms

	Now  func() time.Time // default time.Now; must be monotonic
	Rand *rand.Rand       // default randomly seeded; used under the limiter's lock
}

func (o Options) withDefaults() Options {
	if o.Wait == 0 {
		o.Wait = defaultWait
	}
	o.Wait = max(o.Wait, 0)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}

// stats holds counters of all limiters of the process: admitted,
// admitted_batch, waited, refused, not_fresh, borrow_calls, borrow_failures,
// lend_calls, tokens_borrowed, tokens_lent.
var stats = expvar.NewMap("limiter")
