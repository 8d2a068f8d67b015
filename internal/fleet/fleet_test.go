package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// unavailableStore is a platform that cannot be reached.
type unavailableStore struct{ store.Store }

func (unavailableStore) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, store.ErrUnavailable
}

func (unavailableStore) Put(context.Context, string, []byte, int64) (store.Object, error) {
	return store.Object{}, store.ErrUnavailable
}

func (unavailableStore) Watch(context.Context, string, int64, time.Duration) (store.WatchResult, error) {
	return store.WatchResult{}, store.ErrUnavailable
}

func (unavailableStore) Hosts(context.Context) ([]store.HostEntry, error) {
	return nil, store.ErrUnavailable
}

func (h *testHost) hasEvent(kind, peer string) bool {
	for _, e := range h.recorder.EventsAfter(0, 1<<20) {
		if e.Kind == kind && (peer == "" || e.Peer == peer) {
			return true
		}
	}
	return false
}

// Guards against a dead host that stays in the epoch, and against a restarted
// host that is mistaken for its former process.
func TestLostHostIsRemovedAndRestartJoins(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	former := c.hosts["c3"].Incarnation()
	c.kill("c3")
	c.waitFormed(2)
	is.True(c.hosts["a1"].hasEvent("peer.lost", "c3"))
	c.start("c3")
	c.waitFormed(3)
	is.True(c.hosts["c3"].Incarnation() != former)
	c.kill("c3")
	c.start("c3") // restarts before it counts as silent
	c.eventually("new process in the epoch", 5*time.Second, func() bool {
		for _, m := range c.hosts["a1"].View().Members {
			if m.Incarnation == c.hosts["c3"].Incarnation() {
				return true
			}
		}
		return false
	})
	c.waitFormed(3)
}

// Guards against removing a host that only some members cannot reach, here over
// a cut link and a link that loses messages.
func TestPartialPartitionKeepsEpoch(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3", "d4")
	c.waitFormed(4)
	epoch := c.hosts["a1"].View().Epoch
	c.net.Cut("a1", "b2", true)
	c.net.DropMessages("b2", "c3", true)
	for range 20 {
		time.Sleep(testLease / 4)
		is.True(c.all(func(h *testHost) bool { return h.MayAdmit(time.Now()) == nil }))
	}
	is.Equal(c.hosts["c3"].View().Epoch, epoch)
}

// Guards against an endless series of epochs, in which the members remove a
// host that reaches only the platform and the host adds itself again.
func TestIsolatedHostDoesNotFlap(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	c.net.Isolate("b2", true)
	c.eventually("removed", 3*time.Second, func() bool { return len(c.hosts["a1"].View().Members) == 2 })
	epoch := c.hosts["a1"].View().Epoch
	time.Sleep(10 * testLease)
	is.True(c.hosts["a1"].View().Epoch <= epoch+2) // one attempt to join, one removal
	c.net.Isolate("b2", false)
	c.waitFormed(3)
}

// Guards against an isolated host that continues to admit requests, and against
// a majority that stops admitting them in a platform outage.
func TestLeaseInPartitionAndOutage(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2")
	c.stores["c3"] = unavailableStore{}
	c.start("c3", "a1", "b2")
	c.waitFormed(3)
	c.store.SetDown(true)
	time.Sleep(3 * testLease)
	is.True(c.all(func(h *testHost) bool { return h.MayAdmit(time.Now()) == nil }))

	c.net.Isolate("c3", true)
	time.Sleep(testLease + testHeartbeat)
	is.True(errors.Is(c.hosts["c3"].MayAdmit(time.Now()), ErrNotFresh))
	is.NoErr(c.hosts["a1"].MayAdmit(time.Now()))
	c.eventually("lapse recorded", time.Second, func() bool { return c.hosts["c3"].hasEvent("lease.lapsed", "") })
	c.net.Isolate("c3", false)
	c.eventually("lease regained", 2*time.Second, func() bool { return c.hosts["c3"].MayAdmit(time.Now()) == nil })
	is.Equal(c.hosts["c3"].View().Lapses, uint64(1))
	c.eventually("peer back", 2*time.Second, func() bool { return c.hosts["a1"].hasEvent("peer.back", "c3") })
}

// Guards against a host that cannot start in a platform outage, and against one
// that starts from its seeds with an outdated revision.
func TestStartFromSeedsWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	s := c.setLimit("w", 5, 10)
	c.eventually("revision everywhere", 2*time.Second, func() bool {
		return c.all(func(h *testHost) bool { return h.Config().Revision == s.Revision })
	})
	c.store.SetDown(true)
	d := c.start("d4", "gone", "b2")
	is.Equal(d.Config().Revision, s.Revision)
	c.eventually("new host is fresh", 2*time.Second, func() bool { return d.MayAdmit(time.Now()) == nil })
	is.Equal(len(d.View().Members), 3) // no epoch change in an outage
	c.store.SetDown(false)
	c.waitFormed(4)
}

// Guards against a process that was paused for longer than its lease and then
// keeps using state from before the pause. The view must report the lapse even
// if the lease is renewed at once.
func TestPausedProcessReportsLeaseLapse(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	h := c.hosts["b2"]
	var mu sync.Mutex
	var seen []uint64
	h.OnView(func(v View) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, v.Lapses)
	})
	h.skew.Add(int64(10 * time.Second)) // the process was stopped for 10s
	is.True(h.MayAdmit(h.opts.Now()) != nil)
	c.eventually("lease regained", 2*time.Second, func() bool { return h.MayAdmit(h.opts.Now()) == nil })
	mu.Lock()
	defer mu.Unlock()
	is.Equal(seen[len(seen)-1], uint64(1)) // the lapse was reported although the lease is held again
}

// Guards against a leaving host whose shares remain unused until its lease
// expires.
func TestLeaveSettlesWithoutWaiting(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(c.hosts["b2"].Leave(ctx))
	is.Equal(len(c.hosts["b2"].View().Members), 2)
	time.Sleep(5 * testHeartbeat) // the host is not added again
	is.Equal(len(c.hosts["a1"].View().Members), 2)
	c.kill("b2")
	c.waitFormed(2)
}

// Guards against a fleet that cannot leave its former epoch after all hosts
// were restarted, because no process of that epoch is left to confirm a new one.
func TestRestartOfAllHosts(t *testing.T) {
	c := newCluster(t, "a1", "b2", "c3")
	c.waitFormed(3)
	for _, name := range []string{"a1", "b2", "c3"} {
		c.kill(name)
	}
	for _, name := range []string{"a1", "b2", "c3"} {
		c.start(name)
	}
	c.waitFormed(3)
}

// Guards against published sections that do not reach the subscribers of peers.
func TestHeartbeatsDeliverSections(t *testing.T) {
	c := newCluster(t, "a1", "b2")
	c.waitFormed(2)
	var mu sync.Mutex
	got := map[peer.HostID]string{}
	c.hosts["a1"].Subscribe("demand", func(from peer.HostID, raw json.RawMessage) {
		mu.Lock()
		defer mu.Unlock()
		got[from] = string(raw)
	})
	c.hosts["b2"].Publish("demand", map[string]int{"waiting": 3})
	c.hosts["b2"].HeartbeatNow()
	c.eventually("section received", 5*testHeartbeat, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return got["b2"] == `{"waiting":3}`
	})
}

// Guards against accepting a heartbeat whose sender claims another host's name.
func TestHeartbeatWithForgedHostIsRejected(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1")
	c.waitFormed(1)
	forged := c.net.Node("x")
	var in heartbeatParams
	in.From.Host, in.From.Incarnation, in.Epoch = "y", "y/1", 99
	err := forged.Call(context.Background(), "a1", methodHeartbeat, in, nil)
	var remote *peer.RemoteError
	is.True(errors.As(err, &remote))
}
