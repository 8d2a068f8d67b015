package dedupe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// cluster is a set of hosts with fake fleets, connected by a fake peer
// transport, on one fake platform.
type cluster struct {
	t     *testing.T
	store *storetest.Fake
	opts  Options
	hosts map[peer.HostID]*host
	epoch uint64
	// lostCallPercent and lostAnswerPercent are the percentages of peer calls
	// that are not delivered and whose responses are lost.
	lostCallPercent, lostAnswerPercent atomic.Int64
}

// host implements the fleet service and the peer transport of one host.
type host struct {
	c            *cluster
	id           peer.HostID
	records      *Records
	stop         context.CancelFunc
	handlers     map[string]peer.HandlerFunc
	registered   map[string]peer.HandlerFunc // handlers of the process that is starting
	down         atomic.Bool
	leaseExpired atomic.Bool
	mu           sync.Mutex
	view         fleet.View
}

func newCluster(t *testing.T, names ...peer.HostID) *cluster {
	c := &cluster{t: t, store: storetest.New(), hosts: map[peer.HostID]*host{}}
	for _, name := range names {
		c.hosts[name] = &host{c: c, id: name}
		c.start(name, c.store)
	}
	c.setMembers(names...)
	c.waitReady()
	return c
}

// start starts a new incarnation of a host.
func (c *cluster) start(name peer.HostID, objects store.Store) {
	h := c.hosts[name]
	registered := map[string]peer.HandlerFunc{}
	h.mu.Lock()
	h.handlers, h.registered = nil, registered
	h.mu.Unlock()
	opts := c.opts
	opts.Fleet, opts.Peers, opts.Store = h, h, objects
	h.records = New(opts)
	h.mu.Lock()
	h.handlers = registered // a new process handles calls only after New returned
	h.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	c.t.Cleanup(cancel)
	h.records.Start(ctx)
}

// setMembers creates a new epoch. As in the fleet, it is settled only after
// every removed host has lost its lease and every member knows the epoch.
func (c *cluster) setMembers(names ...peer.HostID) {
	slices.Sort(names)
	c.epoch++
	view := fleet.View{Epoch: c.epoch, Alive: map[peer.HostID]bool{}}
	for _, name := range names {
		view.Members = append(view.Members, fleet.Member{Host: name})
		view.Alive[name] = true
	}
	for name, h := range c.hosts {
		if !view.Alive[name] {
			h.leaseExpired.Store(true)
			continue
		}
		h.setView(view)
	}
	view.Settled = true
	for _, name := range names {
		c.hosts[name].setView(view)
		c.hosts[name].leaseExpired.Store(false)
	}
}

func (h *host) setView(view fleet.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	view.Self = h.id
	h.view = view
}

// waitReady waits until all members have loaded the epoch's records.
func (c *cluster) waitReady() {
	for range 500 {
		ready := true
		for _, h := range c.hosts {
			o := h.records.owner
			o.mu.Lock()
			ready = ready && (h.leaseExpired.Load() || h.down.Load() || (o.ready && o.epoch == c.epoch))
			o.mu.Unlock()
		}
		if ready {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("records were not loaded")
}

// stopHost stops a host. Its calls fail and it handles none.
func (c *cluster) stopHost(name peer.HostID) {
	c.hosts[name].down.Store(true)
	c.hosts[name].stop()
}

// ownedBy returns a key that the host owns.
func (c *cluster) ownedBy(name peer.HostID) string {
	for i := range 10000 {
		key := fmt.Sprintf("key-%d", i)
		if to, _ := ownerOf(c.hosts[name].View(), hashKey("w", key)); to == name {
			return key
		}
	}
	c.t.Fatalf("%s owns no key", name)
	return ""
}

// Call implements peer.Caller.
func (h *host) Call(ctx context.Context, to peer.HostID, method string, params, result any) error {
	target := h.c.hosts[to]
	if h.down.Load() || target.down.Load() || rand.Int64N(100) < h.c.lostCallPercent.Load() {
		return peer.ErrPeerUnreachable
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	target.mu.Lock()
	handle := target.handlers[method]
	target.mu.Unlock()
	if handle == nil {
		return peer.ErrPeerUnreachable
	}
	out, err := handle(ctx, h.id, raw)
	if err != nil {
		return err
	}
	if h.down.Load() || target.down.Load() || rand.Int64N(100) < h.c.lostAnswerPercent.Load() {
		return peer.ErrNoResponse
	}
	raw, err = json.Marshal(out)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// Handle implements peer.Caller.
func (h *host) Handle(method string, fn peer.HandlerFunc) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.registered[method] = fn
}

// View implements fleet.Service.
func (h *host) View() fleet.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// MayAdmit implements fleet.Service.
func (h *host) MayAdmit(time.Time) error {
	if h.leaseExpired.Load() {
		return errors.New("lease lapsed")
	}
	return nil
}

func (h *host) Config() *config.Snapshot                             { return config.EmptySnapshot() }
func (h *host) OnConfig(func(*config.Snapshot))                      {}
func (h *host) OnView(func(fleet.View))                              {}
func (h *host) Publish(string, any)                                  {}
func (h *host) Subscribe(string, func(peer.HostID, json.RawMessage)) {}
func (h *host) HeartbeatNow()                                        {}

// blockingStore blocks writes until they are released.
type blockingStore struct {
	store.Store
	blocked chan struct{} // receives when a write is blocked
	release chan struct{}
}

// Put implements store.Store.
func (s *blockingStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	s.blocked <- struct{}{}
	<-s.release
	return s.Store.Put(ctx, key, value, ifVersion)
}
