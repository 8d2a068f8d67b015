// Package dedupe keeps the records that make requests with an idempotency key
// run at most once over all hosts.
//
// Each key has an owner among the first members of the epoch. The host that
// received a request claims the key at its owner before it sends anything. The
// owner answers a fresh claim only after the claim is stored at the platform,
// so that a later owner knows that the request may have run.
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

// counters holds the package's expvar counters.
var counters = expvar.NewMap("dedupe")

// State is the state of a record as a claim finds it.
type State string

// States of a claim.
const (
	Fresh   State = "fresh"   // the claimer runs the request
	Running State = "running" // another claim of this key is running
	Done    State = "done"    // the request ran to its end
	Unknown State = "unknown" // it cannot be told whether the request ran
)

// ErrUnavailable is returned by Claim when the record cannot be had. The
// request must not be sent and was not: answer 503 with Executed no.
var ErrUnavailable = errors.New("idempotency record unavailable")

// StoredResponse is the response kept for repeated claims of a key.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// size returns the memory of a response in bytes, roughly.
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

// Claim is the outcome of claiming a key. Response is set in state Done while
// the owner still keeps the response in memory.
type Claim struct {
	State    State
	Response *StoredResponse
	key      keyHash
	id       string
}

// Options configures Records. Zero fields take the stated defaults.
type Options struct {
	Fleet       fleet.Service // required
	Peers       peer.Caller   // required: New registers dedupe.claim, dedupe.complete and dedupe.abandon
	Store       store.Store   // required
	Incarnation string        // this process's incarnation in the fleet, default a random one
	Logger      *slog.Logger  // default slog.Default()
	Retention   time.Duration // how long a record is kept, default 1 h
	// RunFor is the longest time a claimed request may run, after which its
	// record is unknown instead of running, default 10 min.
	RunFor time.Duration
	// ClaimWait is how long Claim tries again while an owner is not ready or
	// not reachable, default 2 s.
	ClaimWait time.Duration
	// GroupInterval is the least time between two writes of an owner, default
	// 100 ms.
	GroupInterval time.Duration
	MaxRecords    int // records in memory, above which claims are refused, default 100000
	MaxStored     int // bytes of stored responses in memory, default 16 MiB
}

// maxStoredBody is the largest response that is stored, in bytes.
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
// before the peer transport starts.
func New(opts Options) *Records {
	opts = opts.withDefaults()
	r := &Records{opts: opts, owner: newOwner(opts)}
	opts.Peers.Handle(methodClaim, handler(r.owner.claim))
	opts.Peers.Handle(methodComplete, handler(r.owner.complete))
	opts.Peers.Handle(methodAbandon, handler(r.owner.abandon))
	return r
}

// Start serves owned keys until ctx ends.
func (r *Records) Start(ctx context.Context) {
	go r.owner.writeLoop(ctx)
	go r.owner.loadLoop(ctx)
	go r.cleanLoop(ctx)
}
