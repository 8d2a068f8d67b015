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

// fakeFleet is a fleet.Service with a settled view that tests can replace.
type fakeFleet struct {
	mu           sync.Mutex
	view         fleet.View
	snapshot     *config.Snapshot
	onView       []func(fleet.View)
	leaseExpired atomic.Bool
}

var errLeaseExpired = errors.New("stale")

func (f *fakeFleet) View() fleet.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeFleet) Config() *config.Snapshot { return f.snapshot }

func (f *fakeFleet) MayAdmit(time.Time) error {
	if f.leaseExpired.Load() {
		return errLeaseExpired
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

func (f *fakeFleet) HeartbeatNow() {}

// group is a set of limiters with shares of workspace w.
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
	snapshot := config.EmptySnapshot()
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

// Guards against refusing requests within the workspace's rate because the
// tokens are at other hosts.
func TestBorrowedTokensAdmitAtEveryHost(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 200, 40, "a", "b", "c", "d")
	time.Sleep(750 * time.Millisecond) // 500ms until the shares apply, then the buckets fill
	for i := range 40 {
		is.NoErr(g.limiters[i%4].Acquire(context.Background(), "w", 1, Online))
		time.Sleep(6 * time.Millisecond)
	}
}

// Guards against lending one token twice, and against refusals without
// RetryAfter. With a burst of 1 all hosts share one bucket.
func TestSingleTokenIsAdmittedOnce(t *testing.T) {
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

// updateViews changes the view of every host.
func (g *group) updateViews(change func(*fleet.View)) {
	for _, f := range g.fleets {
		f.mu.Lock()
		change(&f.view)
		v, callbacks := f.view, f.onView
		f.mu.Unlock()
		for _, fn := range callbacks {
			fn(v)
		}
	}
}

// countAdmitted returns how many of n requests with a short timeout are
// admitted at the host.
func (g *group) countAdmitted(i, n int, class Class) int {
	count := 0
	for range n {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		if g.limiters[i].Acquire(ctx, "w", 1, class) == nil {
			count++
		}
		cancel()
	}
	return count
}

// Guards against admitting, waiting or lending without a freshness lease, and
// against using tokens from before the lease lapsed.
func TestNoTokensWithoutLease(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 8, 8, "a", "b")
	time.Sleep(1600 * time.Millisecond) // 500ms until the shares apply, then the buckets fill
	g.fleets[0].leaseExpired.Store(true)
	is.True(errors.Is(g.limiters[0].Acquire(context.Background(), "w", 1, Online), errLeaseExpired))
	is.True(g.countAdmitted(1, 8, Online) <= 5) // b's own 4 and the refill; a lends nothing
	g.fleets[0].leaseExpired.Store(false)
	g.updateViews(func(v *fleet.View) { v.Lapses++ })
	is.Equal(g.countAdmitted(0, 4, Online), 0)
}

// Guards against refusals when one lender cannot be reached although others
// have tokens.
func TestUnreachableLenderIsSkipped(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 300, 60, "a", "b", "c", "d")
	time.Sleep(800 * time.Millisecond)
	g.net.Cut("a", "b", true)
	g.net.DropMessages("c", "a", true)
	for range 60 { // at 100/s, of which a itself has 75/s and d as much
		is.NoErr(g.limiters[0].Acquire(context.Background(), "w", 1, Online))
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against batch items that take the tokens of online requests, and
// against starving batch items while online demand is below the rate.
func TestBatchUsesOnlyTokensLeftByOnline(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Owner, 100, 20, "a", "b")
	time.Sleep(800 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var batch atomic.Int64
	var wg sync.WaitGroup
	for _, l := range g.limiters {
		for range 8 {
			wg.Go(func() {
				for l.Acquire(ctx, "w", 1, Batch) == nil {
					batch.Add(1)
				}
			})
		}
	}
	refused, online, begin := 0, 0, time.Now()
	var waited time.Duration
	for ctx.Err() == nil {
		asked := time.Now()
		if g.limiters[online%2].Acquire(context.Background(), "w", 1, Online) != nil {
			refused++
		}
		waited += time.Since(asked)
		online++
		time.Sleep(15 * time.Millisecond)
	}
	wg.Wait()
	elapsed := time.Since(begin).Seconds()
	t.Logf("%d online, %d refused, mean wait %s, %d batch", online, refused, waited/time.Duration(online), batch.Load())
	is.Equal(refused, 0)
	is.True(batch.Load() >= 40) // of about 100 that online requests leave
	is.True(float64(batch.Load())+float64(online) <= 20+100*elapsed)
}

// Guards against lending under the static policy, and against replacing a lost
// owner before the epoch changes.
func TestPolicies(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Static, 8, 8, "a", "b", "c", "d")
	time.Sleep(1600 * time.Millisecond)
	is.True(g.countAdmitted(0, 8, Online) <= 3) // its own two and the refill
	g = newGroup(t, limit.Owner, 40, 8, "a", "b", "c")
	time.Sleep(800 * time.Millisecond)
	for i := range 3 {
		is.True(g.countAdmitted(i, 2, Online) == 2)
	}
	for _, h := range g.hosts[:2] {
		g.net.Isolate(peer.HostID(h), true)
	}
	time.Sleep(2100 * time.Millisecond) // borrowed tokens expire
	admitting := 0
	for i := range 3 {
		if g.countAdmitted(i, 4, Online) > 0 {
			admitting++
		}
	}
	is.Equal(admitting, 1) // only the owner
}

// Guards against requests that are neither admitted nor refused, and against
// applying limits to unknown workspaces.
func TestRefusalsAndErrors(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, limit.Lending, 2, 2, "a")
	is.True(errors.Is(g.limiters[0].Acquire(context.Background(), "x", 1, Online), ErrUnknownWorkspace))
	var refused *RefusedError
	is.True(errors.As(g.limiters[0].Acquire(context.Background(), "w", 3, Online), &refused)) // more than the burst
	is.NoErr(g.limiters[0].Acquire(context.Background(), "w", 2, Online))                     // waits while shares settle
	begin := time.Now()
	is.True(errors.As(g.limiters[0].Acquire(context.Background(), "w", 1, Online), &refused)) // 300ms bring 0.6 tokens
	is.True(time.Since(begin) >= 250*time.Millisecond)                                        // it waited
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(g.limiters[0].Acquire(ctx, "w", 1, Batch), context.Canceled))
	is.NoErr(g.limiters[0].Close())
	is.True(g.limiters[0].Acquire(context.Background(), "w", 2, Batch) != nil)
}
