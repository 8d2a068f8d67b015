package limiter_test

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// node is one host that communicates over loopback.
type node struct {
	peers   *peer.Node
	fleet   *fleet.Fleet
	limiter *limiter.Limiter
}

// nodeOptions holds the settings that tests vary.
type nodeOptions struct {
	policy limit.Policy
	scale  time.Duration // divides the default timers
}

func startNode(t testing.TB, objects store.Store, name string, o nodeOptions) *node {
	t.Helper()
	address := freeAddress(t)
	peers, err := peer.New(peer.Options{
		Self: peer.HostID(name), Listen: address, Secret: "secret", Logger: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	n := &node{peers: peers}
	n.fleet = fleet.New(fleet.Options{
		Self:  fleet.Member{Host: peer.HostID(name), PeerAddress: address, Zone: "z" + name[len(name)-1:]},
		Store: objects, Peers: peers,
		Heartbeat: 500 * time.Millisecond / o.scale, Lease: 3 * time.Second / o.scale,
		Margin: 200 * time.Millisecond / o.scale, Poll: time.Second / o.scale,
	})
	n.limiter = limiter.New(limiter.Options{Fleet: n.fleet, Peers: peers, Incarnation: n.fleet.Incarnation(), Policy: o.policy})
	n.serve(t)
	return n
}

// freeAddress returns an unused loopback address.
func freeAddress(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// serve starts the components of the node in the order of a host process.
func (n *node) serve(t testing.TB) {
	t.Helper()
	if err := n.peers.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := n.fleet.Start(ctx); err != nil {
		t.Fatal(err)
	}
	n.limiter.Start(context.Background())
	t.Cleanup(n.close)
}

func (n *node) close() {
	_ = n.limiter.Close()
	_ = n.fleet.Close()
	_ = n.peers.Close()
}

func mustWrite(t testing.TB, objects store.Store, limits map[string]limit.Limit) {
	t.Helper()
	_, err := fleet.WriteSnapshot(context.Background(), objects, store.NewWriter("t"), fleet.AnyRevision, func(s *config.Snapshot) error {
		for name, l := range limits {
			s.Workspaces[name] = config.Workspace{Name: name, Weight: 1, Rate: l.Rate, Burst: l.Burst}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// awaitFormed waits until all nodes are members of one settled epoch.
func awaitFormed(t testing.TB, nodes []*node) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for {
			v := n.fleet.View()
			if len(v.Members) == len(nodes) && v.Settled && n.fleet.MayAdmit(time.Now()) == nil {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("nodes did not form an epoch: %+v", n.fleet.Status())
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// sentRequest is a log entry from which false rejections are counted.
type sentRequest struct {
	at      time.Time
	refused bool
}

// countFalseRejections counts the requests that an ideal token bucket, full at
// the first request, would have admitted, and how many of them were refused.
func countFalseRejections(log []sentRequest, l limit.Limit) (refused, entitled int) {
	level, last := l.Burst, time.Time{}
	for _, s := range log {
		if !last.IsZero() {
			level = min(l.Burst, level+l.Rate*s.at.Sub(last).Seconds())
		}
		last = s.at
		if level < 1 {
			continue
		}
		level--
		entitled++
		if s.refused {
			refused++
		}
	}
	return refused, entitled
}

// sendToRandomNodes sends requests at random times to hosts with unequal
// probabilities.
func sendToRandomNodes(nodes []*node, name string, perSecond float64, duration time.Duration, seed uint64) []sentRequest {
	pick := func(rng *rand.Rand) *node { return nodes[min(rng.IntN(len(nodes)), rng.IntN(len(nodes)))] }
	return sendRequests(pick, name, perSecond, duration, seed)
}

// sendRequests sends requests at random times to the hosts that pick returns.
func sendRequests(pick func(*rand.Rand) *node, name string, perSecond float64, duration time.Duration, seed uint64) []sentRequest {
	rng := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	var log []sentRequest
	var wg sync.WaitGroup
	next, end := time.Now(), time.Now().Add(duration)
	for next.Before(end) {
		time.Sleep(time.Until(next))
		n := pick(rng)
		wg.Go(func() {
			at := time.Now()
			err := n.limiter.Acquire(context.Background(), name, 1, limiter.Online)
			mu.Lock()
			defer mu.Unlock()
			log = append(log, sentRequest{at: at, refused: err != nil})
		})
		next = next.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	wg.Wait()
	return log
}

func counterOf(group, name string) int64 {
	m, _ := expvar.Get(group).(*expvar.Map)
	if v, ok := m.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Guards against refusing workspaces within their rate, for various rates and
// bursts, when requests arrive at all hosts. It logs the traffic between hosts.
func TestFewFalseRejectionsInSteadyState(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 12s")
	}
	is := is.New(t)
	objects := storetest.New()
	limits := map[string]limit.Limit{
		"slow": {Rate: 1, Burst: 5}, "small": {Rate: 10, Burst: 10},
		"middle": {Rate: 100, Burst: 50}, "large": {Rate: 400, Burst: 400},
	}
	mustWrite(t, objects, limits)
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 1}))
	}
	awaitFormed(t, nodes)
	const fillTime = 5500 * time.Millisecond // until the slowest bucket is full
	idle := counterOf("peer", "bytes_sent")
	time.Sleep(fillTime)
	t.Logf("idle, per host per second: %.0f bytes sent", float64(counterOf("peer", "bytes_sent")-idle)/float64(len(nodes))/fillTime.Seconds())
	bytes, calls, borrows := counterOf("peer", "bytes_sent"), counterOf("peer", "calls"), counterOf("limiter", "borrow_calls")
	polls := objects.Calls("get")
	const duration = 6 * time.Second
	var mu sync.Mutex
	refused, entitled := 0, 0
	var wg sync.WaitGroup
	for name, l := range limits {
		wg.Go(func() {
			log := sendToRandomNodes(nodes, name, 0.9*l.Rate, duration, uint64(l.Rate))
			r, e := countFalseRejections(log, l)
			mu.Lock()
			defer mu.Unlock()
			refused, entitled = refused+r, entitled+e
			t.Logf("%s: %d of %d falsely refused", name, r, e)
		})
	}
	wg.Wait()
	perHost := float64(len(nodes)) * duration.Seconds()
	t.Logf("per host per second: %.0f bytes sent, %.1f calls, of which %.1f limit.borrow; %.2f platform reads",
		float64(counterOf("peer", "bytes_sent")-bytes)/perHost, float64(counterOf("peer", "calls")-calls)/perHost,
		float64(counterOf("limiter", "borrow_calls")-borrows)/perHost, float64(objects.Calls("get")-polls)/perHost)
	is.True(entitled > 2000)
	is.True(float64(refused) <= 0.001*float64(entitled))
}

// Guards against refusing workspaces within their rate after a host and its
// share of the tokens are lost.
func TestFewFalseRejectionsAfterLoss(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 20s")
	}
	is := is.New(t)
	objects := storetest.New()
	limits := map[string]limit.Limit{
		"slow": {Rate: 1, Burst: 5}, "small": {Rate: 10, Burst: 20}, "middle": {Rate: 100, Burst: 50}, "large": {Rate: 400, Burst: 400},
	}
	mustWrite(t, objects, limits)
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 1}))
	}
	awaitFormed(t, nodes)
	time.Sleep(5500 * time.Millisecond) // the slowest bucket fills
	// The host that holds all tokens of the slowest workspace.
	var members []limit.Identity
	for _, m := range nodes[0].fleet.View().Members {
		members = append(members, limit.Identity{Host: string(m.Host), Incarnation: m.Incarnation})
	}
	holder := limit.Holders(limit.Lending, "slow", limits["slow"], members)[0]
	lost := slices.IndexFunc(nodes, func(n *node) bool { return string(n.fleet.View().Self) == holder.Host })
	nodes[lost].close()
	alive := slices.Delete(slices.Clone(nodes), lost, lost+1)
	var mu sync.Mutex
	refused, entitled := 0, 0
	var wg sync.WaitGroup
	for name, l := range limits {
		wg.Go(func() {
			log := sendToRandomNodes(alive, name, 0.8*l.Rate, 10*time.Second, uint64(l.Rate))
			r, e := countFalseRejections(log, l)
			mu.Lock()
			defer mu.Unlock()
			refused, entitled = refused+r, entitled+e
			t.Logf("%s: %d of %d falsely refused", name, r, e)
		})
	}
	wg.Wait()
	is.True(entitled > 2000)
	is.True(float64(refused) <= 0.01*float64(entitled))
}

// Guards against exceeding a limit with real transports and clocks. All hosts
// acquire as many tokens as possible while hosts are killed and restarted, the
// platform is down, and the limit is edited.
func TestRateBoundDuringRestartsAndOutage(t *testing.T) {
	is := is.New(t)
	objects := storetest.New()
	l := limit.Limit{Rate: 40, Burst: 24}
	mustWrite(t, objects, map[string]limit.Limit{"w": l})
	const hosts = 4
	nodes := make([]*node, hosts)
	start := func(i int) { nodes[i] = startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 5}) }
	for i := range hosts {
		start(i)
	}
	awaitFormed(t, nodes)
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var log []time.Time
	var wg sync.WaitGroup
	load := func(n *node) {
		for range 6 {
			wg.Go(func() {
				for ctx.Err() == nil && n.fleet.View().Epoch > 0 {
					if err := n.limiter.Acquire(ctx, "w", 1, limiter.Online); err != nil {
						time.Sleep(5 * time.Millisecond)
						if errors.Is(err, context.Canceled) {
							return
						}
						continue
					}
					mu.Lock()
					log = append(log, time.Now())
					mu.Unlock()
				}
			})
		}
	}
	for _, n := range nodes {
		load(n)
	}
	for round := range 6 {
		i := round % hosts
		nodes[i].close()
		time.Sleep(time.Duration(round) * 150 * time.Millisecond)
		objects.SetDown(round == 3)
		time.Sleep(300 * time.Millisecond)
		objects.SetDown(false)
		start(i)
		load(nodes[i])
		mustWrite(t, objects, map[string]limit.Limit{"w": {Rate: l.Rate, Burst: l.Burst - float64(round%2)}})
		time.Sleep(900 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	t.Logf("%d admissions in %s", len(log), log[len(log)-1].Sub(log[0]))
	is.True(len(log) > 100)
	checkWindows(t, log, l)
}

// schedulingSlack is the maximum delay on a busy machine between an admission
// and its log entry.
const schedulingSlack = 50 * time.Millisecond

// checkWindows checks the token bucket bound for every window between two
// admissions.
func checkWindows(t *testing.T, log []time.Time, l limit.Limit) {
	t.Helper()
	slices.SortFunc(log, func(a, b time.Time) int { return a.Compare(b) })
	for i := range log {
		for j := i; j < len(log); j++ {
			window := log[j].Sub(log[i]) + schedulingSlack
			if bound := l.Burst + l.Rate*window.Seconds(); float64(j-i+1) > bound {
				t.Fatalf("%d admissions in %s, bound %.1f", j-i+1, window, bound)
			}
		}
	}
}

// Guards against refusing workspaces within their rate during a rolling restart
// in which each host leaves the epoch first.
func TestNoFalseRejectionsInRollingRestart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for 25s")
	}
	is := is.New(t)
	objects := storetest.New()
	limits := map[string]limit.Limit{
		"slow": {Rate: 1, Burst: 5}, "small": {Rate: 10, Burst: 20}, "middle": {Rate: 100, Burst: 50},
	}
	mustWrite(t, objects, limits)
	nodes := make([]*node, 4)
	for i := range nodes {
		nodes[i] = startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 1})
	}
	awaitFormed(t, nodes)
	time.Sleep(5500 * time.Millisecond) // the slowest bucket fills
	var mu sync.Mutex
	ready := slices.Clone(nodes) // as the load balancer sees them
	pick := func(rng *rand.Rand) *node {
		mu.Lock()
		defer mu.Unlock()
		return ready[rng.IntN(len(ready))]
	}
	var wg sync.WaitGroup
	refused, entitled := 0, 0
	for name, l := range limits {
		wg.Go(func() {
			log := sendRequests(pick, name, 0.8*l.Rate, 16*time.Second, uint64(l.Rate))
			r, e := countFalseRejections(log, l)
			mu.Lock()
			defer mu.Unlock()
			refused, entitled = refused+r, entitled+e
			t.Logf("%s: %d of %d falsely refused", name, r, e)
		})
	}
	for i := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		left := time.Now()
		is.NoErr(nodes[i].fleet.Leave(ctx))
		cancel()
		t.Logf("host-%d left after %s", i, time.Since(left))
		mu.Lock()
		ready = slices.Delete(slices.Clone(nodes), i, i+1)
		mu.Unlock()
		time.Sleep(1500 * time.Millisecond) // requests in flight finish
		nodes[i].close()
		fresh := startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 1})
		mu.Lock()
		nodes[i] = fresh
		ready = slices.Clone(nodes)
		mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
	wg.Wait()
	is.True(entitled > 1000)
	is.True(float64(refused) <= 0.001*float64(entitled))
}

// Guards against refusing the first request of a slow workspace after the fleet
// has formed. It is within the rate, but its token is available only 1.7s after
// the epoch has settled: 0.7s until shares are in force and 1s for the refill.
func TestFirstRequestAfterFleetStartIsAdmitted(t *testing.T) {
	is := is.New(t)
	objects := storetest.New()
	mustWrite(t, objects, map[string]limit.Limit{"slow": {Rate: 1, Burst: 1}})
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, startNode(t, objects, fmt.Sprintf("host-%d", i), nodeOptions{scale: 5}))
	}
	awaitFormed(t, nodes)
	is.NoErr(nodes[0].limiter.Acquire(context.Background(), "slow", 1, limiter.Online))
}
