package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// Intervals of the tests, a tenth of the defaults.
const (
	testHeartbeat = 50 * time.Millisecond
	testLease     = 300 * time.Millisecond
	testPoll      = 100 * time.Millisecond
)

// cluster is a fleet of hosts over an in-memory network and store.
type cluster struct {
	t      *testing.T
	net    *peertest.Network
	store  *storetest.Fake
	stores map[string]store.Store // per host, instead of store
	hosts  map[string]*testHost
}

type testHost struct {
	*Fleet
	recorder *events.Recorder
	skew     atomic.Int64 // added to the host's clock, in nanoseconds
}

func newCluster(t *testing.T, names ...string) *cluster {
	t.Helper()
	c := &cluster{t: t, net: peertest.New(), store: storetest.New(), stores: map[string]store.Store{}, hosts: map[string]*testHost{}}
	for _, name := range names {
		c.start(name)
	}
	return c
}

// prepare creates a new process of the host without starting it.
func (c *cluster) prepare(name string, seeds ...string) *testHost {
	c.t.Helper()
	h := &testHost{recorder: events.NewRecorder(name, nil)}
	var objects store.Store = c.store
	if s, ok := c.stores[name]; ok {
		objects = s
	}
	h.Fleet = New(Options{
		Self:  Member{Host: peer.HostID(name), PeerAddress: name, Zone: "zone-" + name[len(name)-1:]},
		Store: objects, Peers: c.net.Node(peer.HostID(name)), Seeds: seeds,
		Heartbeat: testHeartbeat, Lease: testLease, Margin: 20 * time.Millisecond, Poll: testPoll,
		Recorder: h.recorder,
		Now:      func() time.Time { return time.Now().Add(time.Duration(h.skew.Load())) },
	})
	c.hosts[name] = h
	c.t.Cleanup(func() { _ = h.Close() })
	return h
}

func (c *cluster) start(name string, seeds ...string) *testHost {
	c.t.Helper()
	h := c.prepare(name, seeds...)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := h.Start(ctx); err != nil {
		c.t.Fatal(err)
	}
	return h
}

// kill stops a host without letting it leave the epoch.
func (c *cluster) kill(name string) {
	c.net.Remove(peer.HostID(name))
	_ = c.hosts[name].Close()
	delete(c.hosts, name)
}

// eventually fails the test when the condition does not become true.
func (c *cluster) eventually(what string, within time.Duration, condition func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for !condition() {
		if time.Now().After(deadline) {
			for name, h := range c.hosts {
				c.t.Logf("%s: %+v", name, h.Status())
			}
			c.t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// all reports whether the condition holds at every host.
func (c *cluster) all(condition func(*testHost) bool) bool {
	for _, h := range c.hosts {
		if !condition(h) {
			return false
		}
	}
	return true
}

// waitFormed waits until every host has a settled epoch of this size and a
// valid lease.
func (c *cluster) waitFormed(size int) {
	c.t.Helper()
	c.eventually(fmt.Sprintf("epoch of %d settled", size), 10*time.Second, func() bool {
		return c.all(func(h *testHost) bool {
			v := h.View()
			return len(v.Members) == size && v.Settled && h.MayAdmit(time.Now()) == nil
		})
	})
}

func (c *cluster) write(mutate func(*config.Snapshot)) *config.Snapshot {
	c.t.Helper()
	s, err := WriteSnapshot(context.Background(), c.store, store.NewWriter("test"), AnyRevision, func(s *config.Snapshot) error {
		mutate(s)
		return nil
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return s
}

func (c *cluster) setLimit(name string, rate, burst float64) *config.Snapshot {
	return c.write(func(s *config.Snapshot) {
		s.Workspaces[name] = config.Workspace{Name: name, Weight: 1, Rate: rate, Burst: burst}
	})
}

// Guards against hosts that form no common epoch, and against configuration
// changes that reach only the hosts that read the platform.
func TestFleetFormsAndDistributesConfiguration(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "a1", "b1", "c1", "d1", "e2")
	c.waitFormed(5)
	s := c.setLimit("w", 10, 20)
	c.eventually("revision everywhere", 2*time.Second, func() bool {
		return c.all(func(h *testHost) bool { return h.Config().Revision == s.Revision })
	})
	is.Equal(c.hosts["d1"].Config().Workspaces["w"].Rate, 10.0)
	c.waitFormed(5)

	status := c.hosts["e2"].Status()
	is.True(status.Fresh && status.Settled && status.Watcher && status.Self.Member)
	is.True(status.LeaseRemaining > 0 && status.LeaseRemaining <= testLease)
	is.Equal(len(status.Hosts), 4)
	for _, h := range status.Hosts {
		is.True(h.Alive && h.Member && h.LastHeartbeat < testLease)
		is.Equal(h.Revision, s.Revision)
	}
	watchers := 0
	for _, h := range c.hosts {
		if h.Status().Watcher {
			watchers++
		}
	}
	is.Equal(watchers, 3) // two of zone 1, one of zone 2
}
