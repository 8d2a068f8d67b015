package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

func addWorkspace(name string) func(*config.Snapshot) error {
	return func(s *config.Snapshot) error {
		s.Workspaces[name] = config.Workspace{Name: name, Weight: 1, Rate: 1, Burst: 4}
		return nil
	}
}

// Guards against a configuration of the design size that exceeds the platform's
// object size, and against an edit of one row that rewrites all shards.
func TestFullSizeConfigurationFits(t *testing.T) {
	is := is.New(t)
	ctx, objects, w := context.Background(), storetest.New(), store.NewWriter("t")
	_, err := WriteSnapshot(ctx, objects, w, 0, func(s *config.Snapshot) error {
		for i := range 6600 {
			name := fmt.Sprintf("workspace-%04d", i)
			s.Workspaces[name] = config.Workspace{Name: name, Weight: 1.5, Rate: 12.5, Burst: 50, MaxQueue: 100, Note: "a note of some length"}
			for k := range 2 {
				id := fmt.Sprintf("%s-key-%d", name, k)
				s.Keys[id] = config.Key{ID: id, Workspace: name, Hash: strings.Repeat("ab", 32), CreatedAt: 1_700_000_000}
			}
		}
		for i := range 11000 {
			name := fmt.Sprintf("server-%05d", i)
			s.Servers[name] = config.Server{Name: name, Pool: "pool-of-model", Address: "10.200.100.200:8000", Zone: "zone-a", Concurrency: 64, Speed: 1}
		}
		return nil
	})
	is.NoErr(err)
	largest, total := 0, 0
	page, err := objects.List(ctx, "config/", "", 1000)
	is.NoErr(err)
	for _, obj := range page.Objects {
		largest, total = max(largest, len(obj.Value)), total+len(obj.Value)
	}
	t.Logf("%d objects, %d bytes, largest %d", len(page.Objects), total, largest)
	is.True(largest < store.MaxValueBytes/4)

	before := objects.Calls("put")
	s, err := WriteSnapshot(ctx, objects, w, 1, addWorkspace("one-more"))
	is.NoErr(err)
	is.Equal(objects.Calls("put")-before, 2) // a shard and the head
	read, err := ReadSnapshot(ctx, objects)
	is.NoErr(err)
	is.Equal(read, s)
	page, err = objects.List(ctx, shardPrefix, "", 1000)
	is.NoErr(err)
	is.Equal(len(page.Objects), shardCount) // the replaced shard was deleted
}

// Guards against edits that are lost, applied twice or reported as failed when
// responses of the platform are lost, and against concurrent writers that
// overwrite each other's edits.
func TestConcurrentWritersWithLostResponses(t *testing.T) {
	is := is.New(t)
	ctx, objects := context.Background(), storetest.New()
	const writers, edits = 4, 12
	var applied, calls atomic.Int64
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			w := store.NewWriter(fmt.Sprint("writer/", i))
			for n := range edits {
				objects.LoseResponses(1)
				_, err := WriteSnapshot(ctx, objects, w, AnyRevision, func(s *config.Snapshot) error {
					calls.Add(1)
					return addWorkspace(fmt.Sprintf("w%d-%d", i, n))(s)
				})
				if err != nil {
					t.Errorf("unexpected error %v", err)
					return
				}
				applied.Add(1)
			}
		})
	}
	wg.Wait()
	s, err := ReadSnapshot(ctx, objects)
	is.NoErr(err)
	is.Equal(len(s.Workspaces), writers*edits)
	is.Equal(s.Revision, applied.Load()) // every success is one revision, every failure none
	t.Logf("%d conflicts", calls.Load()-applied.Load())
}

// Guards against applying a change to a revision that its author has not seen.
func TestConflictNamesBothRevisions(t *testing.T) {
	is := is.New(t)
	ctx, objects, w := context.Background(), storetest.New(), store.NewWriter("t")
	for range 3 {
		_, err := WriteSnapshot(ctx, objects, w, AnyRevision, addWorkspace("x"))
		is.NoErr(err)
	}
	_, err := WriteSnapshot(ctx, objects, w, 2, addWorkspace("y"))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, ConflictError{Expected: 2, Actual: 3})
	refused := errors.New("weight must be positive")
	_, err = WriteSnapshot(ctx, objects, w, 3, func(*config.Snapshot) error { return refused })
	is.True(errors.Is(err, refused))
	objects.SetDown(true)
	_, err = WriteSnapshot(ctx, objects, w, 3, addWorkspace("y"))
	is.True(errors.Is(err, store.ErrUnavailable))
}

// outageAfterPut is a platform that applies a write of the head, loses the
// response and is unavailable from then on.
type outageAfterPut struct{ *storetest.Fake }

func (s outageAfterPut) Put(ctx context.Context, key string, value []byte, version int64) (store.Object, error) {
	obj, err := s.Fake.Put(ctx, key, value, version)
	if key == headKey && err == nil {
		s.SetDown(true)
		return store.Object{}, store.ErrUnknownOutcome
	}
	return obj, err
}

// Guards against reporting a committed change as failed when the response was
// lost and the platform cannot be read back.
func TestUnresolvedWriteIsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	fake := storetest.New()
	_, err := WriteSnapshot(context.Background(), outageAfterPut{fake}, store.NewWriter("t"), 0, addWorkspace("x"))
	is.True(errors.Is(err, store.ErrUnknownOutcome))
	fake.SetDown(false)
	s, err := ReadSnapshot(context.Background(), fake)
	is.NoErr(err)
	is.Equal(s.Revision, int64(1))
}

// Guards against using a larger limit while some host may still apply the limit
// of a revision that this host skipped.
func TestSkippedRevisionsExtendEarlierLimits(t *testing.T) {
	is := is.New(t)
	limits := []Limit{{Rate: 10, Burst: 8}, {Rate: 3, Burst: 2}, {Rate: 20, Burst: 40}}
	states := []*configState{emptyState()}
	for _, l := range limits {
		next, err := prepare(states[len(states)-1], func(s *config.Snapshot) error {
			s.Workspaces["w"] = config.Workspace{Name: "w", Rate: l.Rate, Burst: l.Burst}
			return nil
		})
		is.NoErr(err)
		states = append(states, next)
	}
	f := &Fleet{earlierLimits: map[string][]Limit{}}
	f.recordEarlierLimits(states[1], states[3])
	is.Equal(f.earlierLimits["w"], limits[:2])
	is.True(!f.limitsUnknown)

	last := states[3]
	for range recentEdits + 1 {
		next, err := prepare(last, addWorkspace("other"))
		is.NoErr(err)
		last = next
	}
	f.recordEarlierLimits(states[1], last)
	is.True(f.limitsUnknown) // the head no longer lists the edit of w
}

// Guards against an edit that some host with a valid lease has not adopted
// within the bound, and against a host that returns to an earlier revision.
func TestEditsReachAllHostsAndNeverRevert(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3", "d4")
	c.stores["e5"] = unavailableStore{}
	c.start("e5", "a1")
	c.waitFormed(5)
	var reverted atomic.Bool
	for _, h := range c.hosts {
		last := int64(0)
		h.OnConfig(func(s *config.Snapshot) {
			if s.Revision < last {
				reverted.Store(true)
			}
			last = s.Revision
		})
	}
	names := []string{"a1", "b2", "c3", "d4"}
	bound := testPoll + testHeartbeat + testLease
	worst := time.Duration(0)
	for i := range 40 {
		if i%4 == 0 {
			c.store.LoseResponses(1)
		}
		s, err := c.hosts[names[i%4]].WriteSnapshot(context.Background(), AnyRevision, addWorkspace(fmt.Sprint("w", i)))
		is.NoErr(err)
		begin := time.Now()
		c.eventually("edit adopted by every host with a lease", 2*bound, func() bool {
			return c.all(func(h *testHost) bool { return h.Config().Revision >= s.Revision || h.MayAdmit(time.Now()) != nil })
		})
		worst = max(worst, time.Since(begin))
	}
	is.True(!reverted.Load())
	t.Logf("slowest of 40 edits adopted after %s (bound %s)", worst, bound)
	is.True(worst <= bound)
}

// Guards against an incrementally merged snapshot that differs from one built
// from all shards, for example when a key moves to another workspace's shard,
// and against a merge that modifies the snapshot it starts from.
func TestMergedSnapshotEqualsFullSnapshot(t *testing.T) {
	is := is.New(t)
	change := func(base *configState, mutate func(*config.Snapshot)) *configState {
		next, err := prepare(base, func(s *config.Snapshot) error { mutate(s); return nil })
		is.NoErr(err)
		return next
	}
	assembled := func(next, base *configState) *config.Snapshot {
		raw := map[int][]byte{}
		for _, i := range next.head.missingShards(base) {
			raw[i] = next.raw[i]
		}
		state, err := assemble(next.head, base, raw)
		is.NoErr(err)
		return state.snapshot
	}
	base := change(emptyState(), func(s *config.Snapshot) {
		for i := range 200 {
			name := fmt.Sprintf("w%d", i)
			s.Workspaces[name] = config.Workspace{Name: name}
			s.Keys["k-"+name] = config.Key{ID: "k-" + name, Workspace: name}
			s.Servers["s-"+name] = config.Server{Name: "s-" + name}
		}
	})
	for i := range 100 {
		former := assembled(base, emptyState())
		next := change(base, func(s *config.Snapshot) {
			from, to := fmt.Sprintf("w%d", i), fmt.Sprintf("w%d", i+100)
			s.Keys["k-"+from] = config.Key{ID: "k-" + from, Workspace: to}
			s.Workspaces[to] = config.Workspace{Name: to, Rate: float64(i)}
			delete(s.Workspaces, from)
		})
		is.Equal(assembled(next, base), next.snapshot)
		is.Equal(assembled(next, emptyState()), next.snapshot)
		is.Equal(base.snapshot, former)
		base = next
	}
	removed := change(base, func(s *config.Snapshot) { clear(s.Servers) })
	is.Equal(len(assembled(removed, base).Servers), 0)
}
