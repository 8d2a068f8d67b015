package limiter

import (
	"expvar"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

// ErrUnknownWorkspace is returned by Acquire for a workspace that is not configured.
var ErrUnknownWorkspace = errors.New("unknown workspace")

const (
	// defaultWait covers the next token of a workspace of one request per
	// second: it refills in 1s, and two tries of borrowTimeout may be needed to
	// collect it from the lenders.
	defaultWait = 2 * time.Second
	// settleWait is added to the wait while shares settle after a change of
	// members: the lease of a lost member (3s), its margin (0.2s) and the delay
	// of larger shares (0.7s).
	settleWait    = 4 * time.Second
	borrowTimeout = 300 * time.Millisecond
	// borrowGap is the least time between two messages to one lender, so that
	// one message carries the wants of many requests.
	borrowGap = 10 * time.Millisecond
	// Intervals of the loop, by whether requests wait, tokens are borrowed
	// ahead, or neither.
	waitingTick = 5 * time.Millisecond
	activeTick  = 50 * time.Millisecond
	idleTick    = 100 * time.Millisecond
)

// Options configures a Limiter. Fleet, Peers and Incarnation are required.
type Options struct {
	Fleet       fleet.Service
	Peers       peer.Caller
	Incarnation string // of this process, from Fleet.Incarnation

	Policy        limit.Policy  // lending (default), static or owner
	Wait          time.Duration // longest wait of an online request for tokens, default 2s, negative for none
	GrantLifetime time.Duration // of borrowed tokens, default 2s
	GrantMargin   time.Duration // added to it at the lender, default 200ms

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

// stats counts over all limiters of the process: admitted, admitted_batch,
// waited, refused, not_fresh, borrow_calls, borrow_failures, lend_calls,
// tokens_borrowed, tokens_lent.
var stats = expvar.NewMap("limiter")
