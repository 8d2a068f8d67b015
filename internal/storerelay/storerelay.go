// Package storerelay calls the store through a peer when this host's direct calls
// fail. Hosts that cannot reach the store, or that it rejects, can still use it
// through any peer whose calls succeed.
package storerelay

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	// relayMethod is the peer method that relays a store call.
	relayMethod = "store.call"
	// directCallTimeout bounds a direct call when a peer is available instead. It
	// is 100 times the usual response time; a store that is slow for all hosts
	// responds within 200 ms.
	directCallTimeout = 400 * time.Millisecond
	// directBackoff is how long calls go to peers first after a direct call failed.
	directBackoff = time.Second
	// serveTimeout bounds a store call made on behalf of a peer.
	serveTimeout = time.Second
)

// Options configures a Store. All fields are required.
type Options struct {
	Direct store.Store
	Peers  peer.Caller
	// Reachable returns the peers whose own calls to the store succeed.
	Reachable func() []peer.HostID
	Metrics   *metrics.Registry
	Logger    *slog.Logger
}

// Store is a store.Store that calls the store directly or through a peer. It is
// safe for concurrent use.
type Store struct {
	opts Options

	mu               sync.Mutex
	avoidDirectUntil time.Time // calls go to peers first until this time
}

var _ store.Store = (*Store)(nil)

// New returns a store and registers the handler for calls relayed by peers.
func New(opts Options) *Store {
	s := &Store{opts: opts}
	opts.Peers.Handle(relayMethod, s.serve)
	return s
}

// operation is the kind of a relayed call.
type operation string

const (
	opGet      operation = "get"
	opGetStale operation = "get_stale"
	opPut      operation = "put"
	opDelete   operation = "delete"
)

// request is a store call relayed to a peer.
type request struct {
	Op      operation `json:"op"`
	Key     string    `json:"key"`
	Value   []byte    `json:"value,omitempty"`
	Version int64     `json:"version"`
}

// response is the result of a relayed call. Error is empty or a name in
// errorsByName.
type response struct {
	Object store.Object `json:"object"`
	Error  string       `json:"error,omitempty"`
	Detail string       `json:"detail,omitempty"`
}

// errorsByName maps the error names used between hosts to store errors.
var errorsByName = map[string]error{
	"not_found": store.ErrNotFound, "conflict": store.ErrConflict, "unavailable": store.ErrUnavailable,
	"unknown": store.ErrUnknownOutcome, "too_large": store.ErrTooLarge, "rate": store.ErrRateLimited,
}

func errorName(err error) string {
	for name, fault := range errorsByName {
		if errors.Is(err, fault) {
			return name
		}
	}
	return "unknown"
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	return s.do(ctx, request{Op: opGet, Key: key})
}

// GetStale implements store.Store.
func (s *Store) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.do(ctx, request{Op: opGetStale, Key: key})
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	return s.do(ctx, request{opPut, key, value, ifVersion})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, key string, ifVersion int64) error {
	_, err := s.do(ctx, request{Op: opDelete, Key: key, Version: ifVersion})
	return err
}

// List implements store.Store. It is never relayed.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	return s.opts.Direct.List(ctx, prefix, after, limit)
}

// Watch implements store.Store. It is never relayed.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	return s.opts.Direct.Watch(ctx, prefix, from, wait)
}

// Hosts implements store.Store. It is never relayed.
func (s *Store) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	return s.opts.Direct.Hosts(ctx)
}

// do calls the store directly, or through a peer if a recent direct call failed.
// If that fails it tries the other path, except for a write whose outcome is
// unknown: only the caller can determine whether it was applied.
func (s *Store) do(ctx context.Context, r request) (store.Object, error) {
	peers := s.opts.Reachable()
	if len(peers) == 0 {
		return callDirect(ctx, s.opts.Direct, r)
	}
	if s.directAvoided() {
		obj, err := s.relay(ctx, peers, r)
		if !isCallFailure(err) || (r.writes() && errors.Is(err, store.ErrUnknownOutcome)) {
			return obj, err
		}
		return callDirect(ctx, s.opts.Direct, r)
	}
	callCtx, cancel := context.WithTimeout(ctx, directCallTimeout)
	obj, err := callDirect(callCtx, s.opts.Direct, r)
	cancel()
	if !isCallFailure(err) || ctx.Err() != nil {
		return obj, err
	}
	s.avoidDirect()
	if r.writes() && errors.Is(err, store.ErrUnknownOutcome) {
		return obj, err
	}
	return s.relay(ctx, peers, r)
}

func (r request) writes() bool { return r.Op == opPut || r.Op == opDelete }

// isCallFailure reports whether the call did not reach the store, may not have
// reached it, or was rejected by its rate limit.
func isCallFailure(err error) bool {
	return errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited)
}

func (s *Store) directAvoided() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoidDirectUntil)
}

func (s *Store) avoidDirect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidDirectUntil = time.Now().Add(directBackoff)
}

// relay makes the call through a random reachable peer.
func (s *Store) relay(ctx context.Context, peers []peer.HostID, r request) (store.Object, error) {
	to := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	var a response
	err := s.opts.Peers.Call(ctx, to, relayMethod, r, &a)
	s.opts.Metrics.Add("store_relayed_total", 1, "op", string(r.Op))
	if err != nil {
		fault := lostResponseError(r)
		if errors.Is(err, peer.ErrPeerUnreachable) {
			fault = store.ErrUnavailable
		}
		return store.Object{}, errors.Mark(errors.Wrapf(err, "store %s %s through %s", r.Op, r.Key, to), fault)
	}
	if a.Error != "" {
		fault, ok := errorsByName[a.Error]
		if !ok { // the peer may run another version
			fault = lostResponseError(r)
		}
		return a.Object, errors.Mark(errors.Newf("store %s %s through %s: %s: %s", r.Op, r.Key, to, a.Error, a.Detail), fault)
	}
	return a.Object, nil
}

// lostResponseError returns the error for a call whose outcome is not known. A lost
// read changes nothing, so it counts as unavailable.
func lostResponseError(r request) error {
	if r.writes() {
		return store.ErrUnknownOutcome
	}
	return store.ErrUnavailable
}

// serve handles a call relayed by a peer. It only calls the store directly, so
// calls are not relayed twice.
func (s *Store) serve(ctx context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var r request
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errors.Wrap(err, "decode call to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	obj, err := callDirect(ctx, s.opts.Direct, r)
	if err != nil {
		return response{Object: obj, Error: errorName(err), Detail: err.Error()}, nil
	}
	return response{Object: obj}, nil
}

func callDirect(ctx context.Context, s store.Store, r request) (store.Object, error) {
	switch r.Op {
	case opGet:
		return s.Get(ctx, r.Key)
	case opGetStale:
		return s.GetStale(ctx, r.Key)
	case opPut:
		return s.Put(ctx, r.Key, r.Value, r.Version)
	case opDelete:
		return store.Object{}, s.Delete(ctx, r.Key, r.Version)
	}
	return store.Object{}, errors.Newf("no operation %q", r.Op)
}
