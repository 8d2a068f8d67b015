package bulk_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
	"ragwortstep/internal/upstream"
)

// hostStore is one host's connection to the store, which a test can cut.
type hostStore struct {
	*storetest.Fake
	cut      atomic.Bool
	onPut    func(key string) // called before each write
	getDelay atomic.Int64     // ns, delay of reads of segments
}

func (s *hostStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if s.cut.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	if s.onPut != nil {
		s.onPut(key)
	}
	return s.Fake.Put(ctx, key, value, v)
}

func (s *hostStore) Get(ctx context.Context, key string) (store.Object, error) {
	if s.cut.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	if strings.HasPrefix(key, "job-results/") {
		time.Sleep(time.Duration(s.getDelay.Load()))
	}
	return s.Fake.Get(ctx, key)
}

func (s *hostStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.Get(ctx, key)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, from int64, wait time.Duration) (store.WatchResult, error) {
	if s.cut.Load() {
		return store.WatchResult{}, store.ErrUnavailable
	}
	return s.Fake.Watch(ctx, prefix, from, wait)
}

// udpConn is a host's socket for digests, which a test can cut.
type udpConn struct {
	net.PacketConn
	cut atomic.Bool
}

func (c *udpConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, to)
}

func (c *udpConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || !c.cut.Load() {
			return n, from, err
		}
	}
}

// testHost is one host of a testFleet.
type testHost struct {
	name    string
	udp     *udpConn
	store   *hostStore
	cluster *cluster.Cluster
	bulk    *bulk.Service
	slots   *slots.Scheduler
	stop    context.CancelFunc
	address string
}

// testFleet consists of hosts, a store and servers in this process.
type testFleet struct {
	t        *testing.T
	store    *storetest.Fake
	network  *peertest.Network
	snapshot atomic.Pointer[routing.Snapshot]
	servers  []*servertest.Server
	upstream upstream.Options
	mu       sync.Mutex
	hosts    map[string]*testHost
	starts   int64
	flickers atomic.Bool // every other question finds no configuration
	asked    atomic.Int64
}

func (f *testFleet) Current() *routing.Snapshot {
	if f.flickers.Load() && f.asked.Add(1)%2 == 1 {
		return nil
	}
	return f.snapshot.Load()
}

func (f *testFleet) Fresh() bool        { return !f.flickers.Load() }
func (f *testFleet) Age() time.Duration { return 0 }

func newFleet(t *testing.T, servers ...*servertest.Server) *testFleet {
	f := &testFleet{t: t, store: storetest.New(), network: peertest.New(), servers: servers, hosts: map[string]*testHost{}}
	f.setRoutes(routing.Route{
		Name: "r", Host: "h", Prefix: "/r/", Kind: routing.Batch, MaxAttempts: 2, Targets: []routing.Target{{Service: "s", Weight: 1}},
		Completion: 10 * time.Second, Retention: time.Minute,
	})
	return f
}

func (f *testFleet) setRoutes(routes ...routing.Route) {
	f.snapshot.Store(routing.New(1, routes, nil, nil, nil))
}

// start starts a host, or restarts it as a new process.
func (f *testFleet) start(name string) *testHost {
	f.t.Helper()
	raw, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	udp := &udpConn{PacketConn: raw}
	f.starts++
	logger := slog.New(slog.DiscardHandler)
	h := &testHost{name: name, udp: udp, store: &hostStore{Fake: f.store}, address: udp.LocalAddr().String()}
	node := f.network.Node(peer.HostID(name))
	h.cluster = cluster.New(cluster.Options{Self: cluster.Member{Name: name, Incarnation: f.starts, Address: h.address}, Conn: udp, Logger: logger})
	inf := informer.New(informer.Options{
		Store: h.store, Cluster: h.cluster, Peers: node, Members: bulk.Collection, Logger: logger,
		Collections: []informer.Collection{{Prefix: bulk.Collection, Wait: 100 * time.Millisecond, TakeOver: 500 * time.Millisecond}},
	})
	h.slots = slots.New(slots.Options{Cluster: h.cluster, Logger: logger})
	h.bulk = bulk.New(bulk.Options{
		Store: h.store, Cluster: h.cluster, Informer: inf, Peers: node, Config: f, Codec: servertest.Codec{}, Items: servertest.Codec{},
		Slots: h.slots, Upstream: upstream.New(f.upstream), Metrics: metrics.New(), Logger: logger,
	})
	var list []placement.Server
	for i, s := range f.servers {
		list = append(list, s.PlacementServer(fmt.Sprint("server", i), "s", 8))
	}
	h.slots.SetServers(list)
	f.mu.Lock()
	f.hosts[name] = h
	var members []cluster.Member
	for _, other := range f.hosts {
		members = append(members, other.cluster.Self())
	}
	for _, other := range f.hosts {
		other.cluster.SetMembers(members)
	}
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = func() { cancel(); _ = udp.Close() }
	f.t.Cleanup(func() { f.kill(h) })
	go inf.Run(ctx)
	go h.cluster.Run(ctx)
	go h.slots.Run(ctx)
	go h.bulk.Run(ctx)
	return h
}

// kill simulates a crash: the host no longer reaches the store, peers or servers.
func (f *testFleet) kill(h *testHost) {
	h.store.cut.Store(true)
	f.network.Remove(peer.HostID(h.name))
	h.stop()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	h.bulk.Close(ctx) // stops the items; results cannot be written to the cut store
	f.mu.Lock()
	delete(f.hosts, h.name)
	f.mu.Unlock()
}

// waitForPeers waits until the hosts see each other as alive.
func (f *testFleet) waitForPeers() {
	f.t.Helper()
	f.eventually("hosts see each other", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, h := range f.hosts {
			if len(h.cluster.Alive()) < len(f.hosts)-1 {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func submission(id string, items int) *bulk.Submission {
	sub := &bulk.Submission{ID: id, Workspace: "w", Route: "r", Host: "h"}
	for i := range items {
		sub.Items = append(sub.Items, bulk.Item{ID: fmt.Sprintf("%s-%d", id, i), Path: "/r/x", Body: []byte(fmt.Sprint("body ", i)), Tokens: 10})
	}
	return sub
}

// read returns all results of a job at a host.
func (f *testFleet) read(h *testHost, id string) ([]itemlist.Result, error) {
	page, err := h.bulk.Results(context.Background(), "w", id, 0, 0)
	if err != nil {
		return nil, err
	}
	return page.Results, nil
}

// complete waits until a host returns all results, and checks them.
func (f *testFleet) complete(h *testHost, id string, items int) []itemlist.Result {
	f.t.Helper()
	var results []itemlist.Result
	f.eventually("job "+id+" complete at "+h.name, func() bool {
		var err error
		results, err = f.read(h, id)
		return err == nil && len(results) == items
	})
	seen := map[string]bool{}
	for _, r := range results {
		if seen[r.ID] {
			f.t.Errorf("item %s is listed twice", r.ID)
		}
		seen[r.ID] = true
		if r.State == itemlist.Completed && r.Output != wholeOutput {
			f.t.Errorf("item %s: output %q", r.ID, r.Output)
		}
	}
	return results
}

const (
	lastEvent   = 5
	wholeOutput = "token1\ntoken2\ntoken3\ntoken4\ntoken5"
)

// generate streams an item's events with a pause after each.
func generate(pause time.Duration) func(*servertest.Conn) bool {
	return func(c *servertest.Conn) bool {
		c.StartStream()
		for id := c.After + 1; id <= lastEvent; id++ {
			c.WriteEvent(id)
			select {
			case <-c.PeerClosed():
				return false
			case <-time.After(pause):
			}
		}
		c.EndStream()
		return true
	}
}
