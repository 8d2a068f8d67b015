// Package storerelay reaches the store through a peer when this host's own way
// to it fails. A store that is cut off from some hosts, or turns them away,
// stays usable for all that hear of one that it serves.
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
	// method is the call to a peer.
	method = "store.call"
	// directWait bounds a direct call while a peer could do it instead. It is
	// 100 times a usual answer; a store that is slow for all answers in 200 ms.
	directWait = 400 * time.Millisecond
	// avoidFor is how long peers are asked first after a direct call failed.
	avoidFor = time.Second
	// serveTimeout bounds a call for a peer.
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

// Store is the store by either way. It is safe for concurrent use.
type Store struct {
	opts Options

	mu    sync.Mutex
	avoid time.Time // until when peers are asked first
}

var _ store.Store = (*Store)(nil)

// New returns a store and serves calls of peers.
func New(opts Options) *Store {
	s := &Store{opts: opts}
	opts.Peers.Handle(method, s.serve)
	return s
}

// operation names a call.
type operation string

const (
	opGet      operation = "get"
	opGetStale operation = "get_stale"
	opPut      operation = "put"
	opDelete   operation = "delete"
)

// request is one call to the store.
type request struct {
	Op      operation `json:"op"`
	Key     string    `json:"key"`
	Value   []byte    `json:"value,omitempty"`
	Version int64     `json:"version"`
}

// answer is its result. Error is empty, or the name of a store's error.
type answer struct {
	Object store.Object `json:"object"`
	Error  string       `json:"error,omitempty"`
	Detail string       `json:"detail,omitempty"`
}

// faults names the errors that travel between hosts.
var faults = map[string]error{
	"not_found": store.ErrNotFound, "conflict": store.ErrConflict, "unavailable": store.ErrUnavailable,
	"unknown": store.ErrUnknownOutcome, "too_large": store.ErrTooLarge, "rate": store.ErrRateLimited,
}

func faultName(err error) string {
	for name, fault := range faults {
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

// List implements store.Store by the direct way only.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) (store.Page, error) {
	return s.opts.Direct.List(ctx, prefix, after, limit)
}

// Watch implements store.Store by the direct way only.
func (s *Store) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	return s.opts.Direct.Watch(ctx, prefix, from, wait)
}

// Hosts implements store.Store by the direct way only.
func (s *Store) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	return s.opts.Direct.Hosts(ctx)
}

// do calls the store by the way that worked last, and by the other when that
// certainly did nothing. A write whose outcome is unknown is not repeated here:
// only its caller knows how to tell whether it was applied.
func (s *Store) do(ctx context.Context, r request) (store.Object, error) {
	peers := s.opts.Reachable()
	if len(peers) == 0 {
		return direct(ctx, s.opts.Direct, r)
	}
	if s.avoided() {
		obj, err := s.relay(ctx, peers, r)
		if !failed(err) || (r.writes() && errors.Is(err, store.ErrUnknownOutcome)) {
			return obj, err
		}
		return direct(ctx, s.opts.Direct, r)
	}
	callCtx, cancel := context.WithTimeout(ctx, directWait)
	obj, err := direct(callCtx, s.opts.Direct, r)
	cancel()
	if !failed(err) || ctx.Err() != nil {
		return obj, err
	}
	s.avoidDirect()
	if r.writes() && errors.Is(err, store.ErrUnknownOutcome) {
		return obj, err
	}
	return s.relay(ctx, peers, r)
}

func (r request) writes() bool { return r.Op == opPut || r.Op == opDelete }

// failed reports whether an error says that the store was not reached, or
// may not have been.
func failed(err error) bool {
	return errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited)
}

func (s *Store) avoided() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.avoid)
}

func (s *Store) avoidDirect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid = time.Now().Add(avoidFor)
}

// relay asks a random reachable peer.
func (s *Store) relay(ctx context.Context, peers []peer.HostID, r request) (store.Object, error) {
	to := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	var a answer
	err := s.opts.Peers.Call(ctx, to, method, r, &a)
	s.opts.Metrics.Add("store_relayed_total", 1, "op", string(r.Op))
	if err != nil {
		fault := store.ErrUnavailable
		if r.writes() && !errors.Is(err, peer.ErrPeerUnreachable) {
			fault = store.ErrUnknownOutcome
		}
		return store.Object{}, errors.Mark(errors.Wrapf(err, "store %s %s through %s", r.Op, r.Key, to), fault)
	}
	if a.Error != "" {
		return a.Object, errors.Mark(errors.Newf("store %s %s through %s: %s", r.Op, r.Key, to, a.Detail), faults[a.Error])
	}
	return a.Object, nil
}

// serve calls the store for a peer, by the direct way only.
func (s *Store) serve(ctx context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var r request
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, errors.Wrap(err, "decode call to the store")
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	obj, err := direct(ctx, s.opts.Direct, r)
	if err != nil {
		return answer{Object: obj, Error: faultName(err), Detail: err.Error()}, nil
	}
	return answer{Object: obj}, nil
}

func direct(ctx context.Context, s store.Store, r request) (store.Object, error) {
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
