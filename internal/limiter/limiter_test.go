package limiter

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
)

// fakeFleet is a fleet.Service with a settled view that tests replace.
type fakeFleet struct {
	mu       sync.Mutex
	view     fleet.View
	snapshot *config.Snapshot
	onView   []func(fleet.View)
	stale    atomic.Bool
}

var errStale = errors.New("stale")

func (f *fakeFleet) View() fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFleet) Config() *config.Snapshot { return f.snapshot }

func (f *fakeFleet) MayAdmit(time.Time) error {
	if f.stale.Load() {
		return errStale
	}
	return nil
}

func (f *fakeFleet) OnConfig(func(*config.Snapshot)) {}

func (f *fakeFleet) OnView(fn func(fleet.View)) {
	f.mu.Lock()
	f.onView = append(f.onView, fn)
	v := f.view
	f.mu.Unlock()
	fn(v)
}

func (f *fakeFleet) Publish(string, any) {}

func (f *fakeFleet) Subscribe(string, func(peer.HostID, json.RawMessage)) {}

func (f *fakeFleet) Nudge() {}

// group is a number of limiters that hold shares of workspace w.
type group struct {
	net      *peertest.Network
	hosts    []string
	fleets   []*fakeFleet
	limiters []*Limiter
}

func newGroup(t *testing.T, policy limit.Policy, rate, burst float64, hosts ...string) *group {
	t.Helper()
	g := &group{net: peertest.New(), hosts: hosts}
	var members []fleet.Member
	for _, h := range hosts {
		members = append(members, fleet.Member{Host: peer.HostID(h), Incarnation: h + "/1"})
	}
	snapshot := config.Empty()
	snapshot.Workspaces["w"] = config.Workspace{Name: "w", Rate: rate, Burst: burst}
	for _, h := range hosts {
		f := &fakeFleet{snapshot: snapshot, view: fleet.View{
			Self: peer.HostID(h), Epoch: 1, Members: members, Settled: true, EpochSettled: true,
		}}
		l := New(Options{Fleet: f, Peers: g.net.Node(peer.HostID(h)), Incarnation: h + "/1", Policy: policy, Wait: 300 * time.Millisecond})
		l.Start(context.Background())
		t.Cleanup(func() { _ = l.Close() })
		g.fleets, g.limiters = append(g.fleets, f), append(g.limiters, l)
	}
	return g
}

// Guards against requests that are refused although the workspace is within
// its rate, because the tokens are at other hosts.
func TestBorrowingServesEveryHost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 200, 40, "a", "b", "c", "d")
	time.Sleep(750 * time.Millisecond) // 500ms until the shares apply, then the buckets fill
	for i := range 40 {
		is.NoErr(g.limiters[i%4].Acquire(context.Background(), "w", 1, Online))
		time.Sleep(6 * time.Millisecond)
	}
}

// Guards against one token lent twice, and against refusals without a hint:
// with a burst of 1 every host draws on one bucket.
func TestSlowWorkspaceOverManyHosts(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 2, 1, "a", "b", "c", "d", "e", "f", "g", "h")
	time.Sleep(1100 * time.Millisecond) // 500ms until the share applies, 500ms for one token
	var admitted atomic.Int64
	var wg sync.WaitGroup
	for _, l := range g.limiters {
		wg.Go(func() {
			err := l.Acquire(context.Background(), "w", 1, Online)
			var refused *RefusedError
			switch {
			case err == nil:
				admitted.Add(1)
			case !errors.As(err, &refused) || refused.RetryAfter <= 0:
				t.Errorf("unexpected error %v", err)
			}
		})
	}
	wg.Wait()
	is.Equal(admitted.Load(), int64(1)) // 300ms of waiting bring 0.6 tokens more
}
