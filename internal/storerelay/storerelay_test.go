package storerelay_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
	"ragwortstep/internal/storerelay"
)

// hostStore is one host's direct access to the store, with injected faults.
type hostStore struct {
	*storetest.Fake
	fault  atomic.Pointer[error]
	silent atomic.Bool
	calls  atomic.Int64
}

func (w *hostStore) beforeCall(ctx context.Context) error {
	w.calls.Add(1)
	if w.silent.Load() {
		<-ctx.Done()
		return store.ErrUnknownOutcome
	}
	if err := w.fault.Load(); err != nil {
		return *err
	}
	return nil
}

func (w *hostStore) Get(ctx context.Context, key string) (store.Object, error) {
	if err := w.beforeCall(ctx); err != nil {
		if errors.Is(err, store.ErrUnknownOutcome) {
			err = store.ErrUnavailable
		}
		return store.Object{}, err
	}
	return w.Fake.Get(ctx, key)
}

func (w *hostStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if err := w.beforeCall(ctx); err != nil {
		return store.Object{}, err
	}
	return w.Fake.Put(ctx, key, value, v)
}

// newHosts returns the direct access of hosts a and b to one store, and the relaying
// store of host a.
func newHosts(reachable bool) (*hostStore, *hostStore, *storerelay.Store) {
	fake, network := storetest.New(), peertest.New()
	a, b := &hostStore{Fake: fake}, &hostStore{Fake: fake}
	options := func(name peer.HostID, w *hostStore, peers ...peer.HostID) storerelay.Options {
		return storerelay.Options{
			Direct: w, Peers: network.Node(name), Metrics: metrics.New(), Logger: slog.New(slog.DiscardHandler),
			Reachable: func() []peer.HostID {
				if !reachable {
					return nil
				}
				return peers
			},
		}
	}
	storerelay.New(options("b", b))
	return a, b, storerelay.New(options("a", a, "b"))
}

func setFault(w *hostStore, err error) { w.fault.Store(&err) }

// TestUnavailableStoreIsReachedThroughPeer guards against failing callers'
// jobs at a host whose direct calls to the store fail.
func TestUnavailableStoreIsReachedThroughPeer(t *testing.T) {
	is := is.New(t)
	a, b, s := newHosts(true)
	setFault(a, store.ErrUnavailable)
	ctx := context.Background()
	o, err := s.Put(ctx, "k/x", []byte("1"), 0)
	is.NoErr(err)
	got, err := s.Get(ctx, "k/x")
	is.NoErr(err)
	is.Equal(got, o)
	is.Equal(a.calls.Load(), int64(1)) // the second call goes to the peer at once
	is.Equal(b.calls.Load(), int64(2))
	conflict, err := s.Put(ctx, "k/x", []byte("2"), 0)
	is.True(errors.Is(err, store.ErrConflict))
	is.Equal(conflict.Version, o.Version)
	_, err = s.Get(ctx, "k/none")
	is.True(errors.Is(err, store.ErrNotFound))
}

// TestWriteWithUnknownOutcomeIsNotRetried guards against sending a write
// twice: the first one may have changed the version that the second expects.
func TestWriteWithUnknownOutcomeIsNotRetried(t *testing.T) {
	is := is.New(t)
	a, b, s := newHosts(true)
	a.silent.Store(true)
	started := time.Now()
	_, err := s.Put(context.Background(), "k/x", []byte("1"), 7)
	is.True(errors.Is(err, store.ErrUnknownOutcome))
	is.Equal(b.calls.Load(), int64(0))
	is.True(time.Since(started) < time.Second)
	_, err = s.Get(context.Background(), "k/x") // a read goes to the peer at once
	is.True(errors.Is(err, store.ErrNotFound))
	is.Equal(b.calls.Load(), int64(1))
}

// TestDirectCallWithoutReachablePeers guards against skipping the direct call after
// a failure when no peer can relay it.
func TestDirectCallWithoutReachablePeers(t *testing.T) {
	is := is.New(t)
	a, _, s := newHosts(false)
	_, err := s.Put(context.Background(), "k/x", []byte("1"), 0)
	is.NoErr(err)
	setFault(a, store.ErrUnavailable)
	_, err = s.Get(context.Background(), "k/x")
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(a.calls.Load(), int64(2))
}

// TestPeerStoreErrorIsReturned guards against returning the direct call's error in
// place of the one that the relaying peer reported.
func TestPeerStoreErrorIsReturned(t *testing.T) {
	is := is.New(t)
	a, b, s := newHosts(true)
	setFault(a, store.ErrRateLimited)
	setFault(b, store.ErrUnavailable)
	_, err := s.Put(context.Background(), "k/x", []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnavailable))
}

// Guards against a peer of another version, whose error has a name that is not known
// here: it ended the process. Whether its write was made cannot be told.
func TestUnknownErrorOfPeerIsAnError(t *testing.T) {
	is := is.New(t)
	network := peertest.New()
	network.Node("b").Handle("store.call", func(context.Context, peer.HostID, json.RawMessage) (any, error) {
		return map[string]string{"error": "other"}, nil
	})
	direct := &hostStore{Fake: storetest.New()}
	setFault(direct, store.ErrUnavailable)
	s := storerelay.New(storerelay.Options{
		Direct: direct, Peers: network.Node("a"), Metrics: metrics.New(), Logger: slog.New(slog.DiscardHandler),
		Reachable: func() []peer.HostID { return []peer.HostID{"b"} },
	})
	_, err := s.Put(t.Context(), "k/x", []byte("1"), 0)
	is.True(errors.Is(err, store.ErrUnknownOutcome))
	_, err = s.Get(t.Context(), "k/x")
	is.True(errors.Is(err, store.ErrUnavailable))
}
