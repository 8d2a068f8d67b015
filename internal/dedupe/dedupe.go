// Package dedupe ensures that a request with an idempotency key runs at most
// once on all hosts together.
//
// Each key has an owner among the first members of the epoch. The host that
// received a request claims the key at its owner before it sends the request to
// a server. The owner confirms a fresh claim only after it has stored the claim
// at the platform, so that a later owner can see that the request may have run.
package dedupe

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/internal/defaults"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

var counters = expvar.NewMap("dedupe")

// State is the outcome of a claim.
type State string

// States returned by Claim.
const (
	Fresh   State = "fresh"   // the caller runs the request
	Running State = "running" // another claim of this key is running
	Done    State = "done"    // the request has completed
	Unknown State = "unknown" // the request may or may not have run
)

// ErrUnavailable is returned by Claim if the owner's record could not be
// obtained. The request was not sent and must not be: respond with 503 and
// Executed no.
var ErrUnavailable = errors.New("idempotency record unavailable")

// StoredResponse is the response kept for repeated requests with a key.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// size returns the approximate memory use in bytes.
func (s *StoredResponse) size() int {
	n := len(s.Body)
	for name, values := range s.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Claim is the result of claiming a key. Response is set in state Done as long
// as the owner has the response in memory.
type Claim struct {
	State    State
	Response *StoredResponse
	key      keyHash
	id       string
}

// Options configures Records. Zero fields select the stated defaults.
type Options struct {
	Fleet       fleet.Service // required
	Peers       peer.Caller   // required: New registers dedupe.claim, dedupe.complete and dedupe.abandon
	Store       store.Store   // required
	Incarnation string        // incarnation of this process in the fleet, default a random one
	Logger      *slog.Logger  // default slog.Default()
	Retention   time.Duration // how long a record is kept, default 1 h
	// RunFor is the maximum run time of a claimed request, after which its
	// record changes from running to unknown, default 10 min.
	RunFor time.Duration
	// ClaimWait is how long Claim retries while an owner is not ready or not
	// reachable, default 2 s.
	ClaimWait time.Duration
	// GroupInterval is the least time between two writes of an owner, default
	// 100 ms.
	GroupInterval time.Duration
	MaxRecords    int // maximum records in memory, beyond which claims are refused, default 100000
	MaxStored     int // maximum bytes of responses in memory, default 16 MiB
}

// maxStoredBody bounds the size of a stored response in bytes.
const maxStoredBody = 256 << 10

func (o Options) withDefaults() Options {
	if o.Incarnation == "" {
		o.Incarnation = uuid.NewString()
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	defaults.Positive(&o.Retention, time.Hour)
	defaults.Positive(&o.RunFor, 10*time.Minute)
	defaults.Positive(&o.ClaimWait, 2*time.Second)
	defaults.Positive(&o.GroupInterval, 100*time.Millisecond)
	if o.MaxRecords <= 0 {
		o.MaxRecords = 100_000
	}
	if o.MaxStored <= 0 {
		o.MaxStored = 16 << 20
	}
	return o
}

// Records claims idempotency keys at their owners and serves the keys that
// this host owns. It is safe for concurrent use.
type Records struct {
	opts  Options
	owner *owner
}

// New returns the records of one host and registers its peer methods. Call it
// before the peer transport is started.
func New(opts Options) *Records {
	opts = opts.withDefaults()
	r := &Records{opts: opts, owner: newOwner(opts)}
	opts.Peers.Handle(methodClaim, handler(r.owner.claim))
	opts.Peers.Handle(methodComplete, handler(r.owner.complete))
	opts.Peers.Handle(methodAbandon, handler(r.owner.abandon))
	return r
}

// Start serves owned keys and cleans up expired records until ctx ends.
func (r *Records) Start(ctx context.Context) {
	go r.owner.writeLoop(ctx)
	go r.owner.loadLoop(ctx)
	go r.cleanupLoop(ctx)
}
