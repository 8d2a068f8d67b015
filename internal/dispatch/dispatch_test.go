package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

func newFakeServers(t *testing.T, n, slots int, handle func(*fakeServer, http.ResponseWriter, *http.Request, []byte)) []*fakeServer {
	var out []*fakeServer
	for i := range n {
		out = append(out, newFakeServer(t, fmt.Sprintf("s%d", i), slots, handle))
	}
	return out
}

// refusedError returns the *RefusedError in err, or fails the test.
func refusedError(t *testing.T, err error) *RefusedError {
	t.Helper()
	var refused *RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("not a refusal: %v", err)
	}
	return refused
}

// Guards against service that departs from the workspace weights when hosts
// receive unequal traffic. Each workspace must get at least 0.95 of its share.
func TestWeightedSharesAcrossHosts(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 3, 4, respondAfter(20*time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1, "b": 3}), "h1", "h2")
	hosts := map[peer.HostID]*Dispatcher{}
	for host := range n.hosts {
		hosts[host] = n.start(t, host, Options{})
	}
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	measureFrom := time.Now().Add(2 * time.Second)
	var served [2]atomic.Int64
	var group sync.WaitGroup
	client := func(host peer.HostID, workspace string, count *atomic.Int64) {
		for ctx.Err() == nil {
			_, err := call(ctx, hosts[host], &Request{Workspace: workspace, Idempotent: true, Cost: 100})
			if err == nil && time.Now().After(measureFrom) {
				count.Add(1)
			}
		}
	}
	for range 36 {
		group.Go(func() { client("h1", "a", &served[0]) })
		group.Go(func() { client("h2", "b", &served[1]) })
	}
	for range 8 {
		group.Go(func() { client("h2", "a", &served[0]) })
		group.Go(func() { client("h1", "b", &served[1]) })
	}
	group.Wait()
	a, b := float64(served[0].Load()), float64(served[1].Load())
	t.Logf("served a %.0f, b %.0f; part of the entitled work: a %.3f, b %.3f", a, b, a/((a+b)/4), b/((a+b)*3/4))
	is.True(a >= 0.95*(a+b)/4)
	is.True(b >= 0.95*(a+b)*3/4)
	for _, e := range list {
		is.True(e.peakRunning.Load() <= 8) // the queues at the servers stay short
	}
}

// Guards against hosts that divide different limits of a server after one host
// has learned a new limit.
func TestHostsAgreeOnLimits(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 1, 8, respondAfter(time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1", "h2")
	d1, d2 := n.start(t, "h1", Options{}), n.start(t, "h2", Options{})
	d1.mu.Lock()
	defer d1.mu.Unlock()
	d2.mu.Lock()
	defer d2.mu.Unlock()
	d1.bal.ApplyReport(time.Now(), "s0", balance.Report{Running: 4, Waiting: 3, Slots: 4, At: time.Now()})
	demand := func(d *Dispatcher) poolDemand {
		return poolDemand{Limits: d.learnedLimits(d.pools["p"], time.Now()), Workspaces: []workspaceDemand{{Workspace: "a", OnlineTokens: 10, OnlineItems: 1}}}
	}
	agreed := map[string]int{}
	for name, pair := range map[string][2]*Dispatcher{"h1": {d1, d2}, "h2": {d2, d1}} {
		p := newPoolState("p")
		p.peers["other"] = peerDemand{demand(pair[1]), time.Now()}
		agreed[name] = pair[0].averageLimit(p, pair[0].bal.Capacities(time.Now(), "p")[0], time.Now())
	}
	is.Equal(d1.bal.Limit("s0"), 4)
	is.Equal(d2.bal.Limit("s0"), 8)
	is.Equal(agreed, map[string]int{"h1": 6, "h2": 6})
}

// Guards against online requests that wait behind batch work of the same or
// another host, and against preempted batch items that are lost.
func TestOnlinePreemptsBatch(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 2, 4, func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		d := 10 * time.Millisecond
		if string(body) == "batch" {
			d = 5 * time.Second
		}
		respondAfter(d)(e, w, r, body)
	})
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1", "h2")
	d1, d2 := n.start(t, "h1", Options{}), n.start(t, "h2", Options{})
	ctx, cancel := context.WithCancel(context.Background())
	var preempted atomic.Int64
	var group sync.WaitGroup
	for i := range 24 {
		d := d1
		if i >= 12 {
			d = d2
		}
		group.Go(func() {
			for ctx.Err() == nil {
				_, err := call(ctx, d, &Request{Workspace: "a", Class: Batch, Idempotent: true, Body: []byte("batch")})
				var preemptedErr *PreemptedError
				switch {
				case errors.As(err, &preemptedErr):
					preempted.Add(1)
				case ctx.Err() == nil:
					t.Errorf("batch item: %v", err)
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	running := list[0].running.Load() + list[1].running.Load()
	is.True(running >= 6) // batch work uses the free slots
	var worst atomic.Int64
	var online sync.WaitGroup
	for range 8 { // as many as there are slots, on one host
		online.Go(func() {
			start := time.Now()
			_, err := call(ctx, d1, &Request{Workspace: "a", Idempotent: true, Body: []byte("online")})
			if err != nil {
				t.Errorf("online request: %v", err)
			}
			took := time.Since(start).Milliseconds()
			for w := worst.Load(); took > w && !worst.CompareAndSwap(w, took); w = worst.Load() {
			}
		})
	}
	online.Wait()
	t.Logf("batch running %d, preempted %d, slowest online request %d ms", running, preempted.Load(), worst.Load())
	is.True(preempted.Load() > 0)
	is.True(worst.Load() < 500)
	cancel()
	group.Wait()
}

// Guards against non-idempotent calls that run twice, and against wrong values
// of Executed, while servers crash and connections break.
func TestNonIdempotentCallsRunOnce(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 4, 8, func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		switch rand.IntN(60) {
		case 0:
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
			return
		case 1:
			w.Header().Set("Content-Length", "100")
			return // truncated
		}
		respondAfter(time.Millisecond)(e, w, r, body)
	})
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	d := n.start(t, "h1", Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(400 * time.Millisecond)
			list[rand.IntN(len(list))].crash()
		}
	}()
	const calls = 3000
	var group sync.WaitGroup
	var refusedNo sync.Map
	var failed, completed atomic.Int64
	for c := range 30 {
		group.Go(func() {
			for i := range calls / 30 {
				id := fmt.Sprintf("call-%d-%d", c, i)
				out, err := call(ctx, d, &Request{ID: id, Workspace: "a", Body: []byte(id), Deadline: time.Now().Add(5 * time.Second)})
				var refused *RefusedError
				switch {
				case err == nil && out == "did "+id:
					completed.Add(1)
				case err == nil:
					t.Errorf("call %s got %q", id, out)
				case errors.As(err, &refused) && refused.Executed == ExecutedNo:
					refusedNo.Store(id, true)
				default:
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	runCounts := map[string]int64{}
	for _, e := range list {
		e.runCounts.Range(func(id, n any) bool {
			runCounts[id.(string)] += n.(*atomic.Int64).Load()
			return true
		})
	}
	no := 0
	refusedNo.Range(func(id, _ any) bool {
		no++
		is.Equal(runCounts[id.(string)], int64(0)) // a call refused with ExecutedNo must not have run
		return true
	})
	for id, times := range runCounts {
		if times > 1 {
			t.Errorf("call %s ran %d times", id, times)
		}
	}
	t.Logf("completed %d, outcome unknown %d, refused unsent %d", completed.Load(), failed.Load(), no)
	is.True(completed.Load() > calls/2)
	is.True(failed.Load() > 0)
}

// Guards against idempotent requests that fail when one server crashes.
func TestIdempotentRequestsSurviveCrash(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 4, 8, respondAfter(50*time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	d := n.start(t, "h1", Options{})
	time.AfterFunc(300*time.Millisecond, list[0].crash)
	var group sync.WaitGroup
	for c := range 24 {
		group.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("%d-%d", c, i)
				out, err := call(context.Background(), d, &Request{ID: id, Workspace: "a", Idempotent: true, Body: []byte(id)})
				if err != nil || out != "did "+id {
					t.Errorf("request %s: %q, %v", id, out, err)
				}
			}
		})
	}
	group.Wait()
	is.Equal(list[0].crashes.Load(), int64(1))
}

// Guards against a request that crashes servers repeatedly when callers resend
// it to all hosts, and against refusals of other requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 6, 8, func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		if string(body) == "poison" {
			e.crash()
			return
		}
		respondAfter(30*time.Millisecond)(e, w, r, body)
	})
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1, "b": 1}), "h1", "h2", "h3")
	var hosts []*Dispatcher
	for _, host := range []peer.HostID{"h1", "h2", "h3"} {
		hosts = append(hosts, n.start(t, host, Options{}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var otherRequests sync.WaitGroup
	var served atomic.Int64
	for c := range 18 {
		otherRequests.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%d-%d", c, i)
				if _, err := call(context.Background(), hosts[c%3], &Request{ID: id, Workspace: "b", Idempotent: true, Body: []byte(id)}); err != nil {
					t.Errorf("unrelated request %s: %v", id, err)
				}
				served.Add(1)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	refused := 0
	for i := range 50 {
		_, err := call(context.Background(), hosts[i%3], &Request{ID: fmt.Sprint("poison-", i), Workspace: "a", Idempotent: i%2 == 0, Body: []byte("poison")})
		if refusedError(t, err).Status == http.StatusUnprocessableEntity {
			refused++
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	cancel()
	otherRequests.Wait()
	var crashes int64
	for _, e := range list {
		crashes += e.crashes.Load()
	}
	t.Logf("server losses %d, quarantine refusals %d, unrelated requests served %d", crashes, refused, served.Load())
	is.True(crashes <= 3)
	is.True(refused >= 45)
}

// Guards against a batch item that is refused for good because servers crashed under
// it, and against an error that does not tell such losses from other failures. The
// same request of an online caller is quarantined.
func TestItemUnderCrashingServersIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	list := newFakeServers(t, 6, 4, func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		if string(body) == "unlucky" && crashes.Add(1) <= 5 {
			e.crash()
			return
		}
		respondAfter(time.Millisecond)(e, w, r, body)
	})
	d := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1").start(t, "h1", Options{})
	item := &Request{ID: "item", Workspace: "a", Class: Batch, Idempotent: true, Body: []byte("unlucky")}
	lost := 0
	for range 100 {
		_, err := call(context.Background(), d, item)
		if err == nil {
			break
		}
		refused := refusedError(t, err)
		is.True(refused.Code != "request_quarantined")
		if refused.ServerLost {
			lost++
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.True(crashes.Load() > 5) // the item has run
	is.True(lost > 0)
}

// Guards against an item whose attempts are used up by crashes: a send that ended
// with its server's connection was counted when the next send of the same attempt
// ended for another reason.
func TestCrashBeforeATimeoutUsesNoAttemptOfAnItem(t *testing.T) {
	is := is.New(t)
	var sends atomic.Int64
	list := newFakeServers(t, 2, 4, func(e *fakeServer, w http.ResponseWriter, r *http.Request, _ []byte) {
		if sends.Add(1) == 1 {
			e.crash()
			return
		}
		<-r.Context().Done() // never answers
	})
	d := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1").start(t, "h1", Options{})
	_, err := call(context.Background(), d, &Request{
		ID: "item", Workspace: "a", Class: Batch, Idempotent: true, MaxUnanswered: 2, Body: []byte("x"), Deadline: time.Now().Add(time.Second),
	})
	is.Equal(sends.Load(), int64(2))
	is.Equal(refusedError(t, err).Unanswered, 1)
}

// Guards against refusals with a wrong status or Executed value, and against
// requests that wait past their deadline.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 1, 1, respondAfter(400*time.Millisecond))
	cfg := snapshot(list, map[string]float64{"a": 1})
	w := cfg.Workspaces["a"]
	w.MaxQueue = 1
	cfg.Workspaces["a"] = w
	n := newNetwork(t, cfg, "h1")
	d := n.start(t, "h1", Options{})
	ctx := context.Background()
	_, err := call(ctx, d, &Request{Method: "GET", Path: "/", Pool: "none"})
	is.Equal(refusedError(t, err).Code, "no_server")
	var group sync.WaitGroup
	group.Go(func() { _, _ = call(ctx, d, &Request{Workspace: "a"}) })
	time.Sleep(50 * time.Millisecond)
	group.Go(func() {
		start := time.Now()
		_, err := call(ctx, d, &Request{Workspace: "a", Deadline: start.Add(100 * time.Millisecond)})
		refused := refusedError(t, err)
		is.Equal(refused.Status, http.StatusGatewayTimeout)
		is.Equal(refused.Executed, ExecutedNo) // it was still queued
		is.True(time.Since(start) < 300*time.Millisecond)
	})
	time.Sleep(50 * time.Millisecond)
	_, err = call(ctx, d, &Request{Workspace: "a"})
	refused := refusedError(t, err)
	is.Equal(refused.Status, http.StatusTooManyRequests)
	is.Equal(refused.Executed, ExecutedNo)
	is.True(refused.RetryAfter > 0)
	group.Wait()
	_, err = call(ctx, d, &Request{Workspace: "a", Deadline: time.Now().Add(100 * time.Millisecond)})
	is.Equal(refusedError(t, err).Executed, ExecutedUnknown) // its deadline passed at the server
	list[0].restartDelay = time.Hour
	list[0].crash()
	start := time.Now()
	_, err = call(ctx, d, &Request{Workspace: "a", Deadline: start.Add(10 * time.Second)})
	is.Equal(refusedError(t, err).Code, "no_server")
	is.Equal(refusedError(t, err).Executed, ExecutedNo)
	is.True(time.Since(start) < 8*time.Second)
}

// Guards against sending requests to a server that the platform lists as
// leaving.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 2, 4, respondAfter(time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1", "h2", "h3")
	objects := storetest.New()
	d := n.start(t, "h3", Options{Store: objects}) // not a watcher, gets the list from a peer
	n.start(t, "h1", Options{Store: objects})
	objects.SetHosts([]store.HostEntry{{Name: "s0", Kind: "server", State: "leaving"}})
	time.Sleep(4 * time.Second)
	before := list[0].running.Load()
	for range 50 {
		_, err := call(context.Background(), d, &Request{Workspace: "a"})
		is.NoErr(err)
	}
	count := 0
	list[0].runCounts.Range(func(any, any) bool { count++; return true })
	is.Equal(before, int64(0))
	is.Equal(count, 0)
}

// Guards against a drain that returns while a response is open, and against
// batch items that start during a drain.
func TestDrainWaitsForOpenResponses(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 1, 4, respondAfter(50*time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	d := n.start(t, "h1", Options{})
	resp, err := d.Do(context.Background(), &Request{Method: "GET", Path: "/", Pool: "p", Workspace: "a"})
	is.NoErr(err)
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(d.Drain(short) != nil) // a response is open
	_, err = call(context.Background(), d, &Request{Workspace: "a", Class: Batch, Idempotent: true})
	is.Equal(refusedError(t, err).Executed, ExecutedNo)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	resp.Body.Close()
	is.NoErr(d.Drain(context.Background()))
}

// Guards against batch items that start without the freshness lease.
func TestBatchStopsWithoutLease(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 1, 4, respondAfter(time.Millisecond))
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	n.hosts["h1"].leaseExpired.Store(true)
	d := n.start(t, "h1", Options{})
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := call(ctx, d, &Request{Workspace: "a", Class: Batch, Idempotent: true})
	is.True(err != nil)
	is.Equal(list[0].peakRunning.Load(), int64(0))
	n.hosts["h1"].leaseExpired.Store(false)
	_, err = call(context.Background(), d, &Request{Workspace: "a", Class: Batch, Idempotent: true})
	is.NoErr(err)
}

// Guards against slots that are not freed after a response is truncated, closed
// early or cancelled.
func TestSlotsAreReturned(t *testing.T) {
	is := is.New(t)
	list := newFakeServers(t, 2, 3, func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		if rand.IntN(10) == 0 {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
			return
		}
		respondAfter(time.Duration(rand.IntN(5))*time.Millisecond)(e, w, r, body)
	})
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	d := n.start(t, "h1", Options{})
	var group sync.WaitGroup
	for c := range 16 {
		group.Go(func() {
			for i := range 100 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rand.IntN(20)+1)*time.Millisecond)
				class := []Class{Online, Batch}[c%2]
				resp, err := d.Do(ctx, &Request{ID: fmt.Sprint(c, i), Method: "POST", Path: "/", Pool: "p", Workspace: "a", Class: class, Idempotent: true, Body: []byte(fmt.Sprint(c, i))})
				if err == nil {
					if rand.IntN(2) == 0 {
						_, _ = io.ReadAll(resp.Body)
					}
					resp.Body.Close()
				}
				cancel()
			}
		})
	}
	group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pools["p"]
	is.Equal(d.active, 0)
	is.Equal(len(p.runs), 0)
	is.Equal(len(p.waiting), 0)
	is.Equal(len(p.batchInFlight), 0)
	is.Equal(len(p.running), 0)
	is.Equal(p.inFlight, [2]int{})
	is.Equal(d.bal.InFlight("s0")+d.bal.InFlight("s1"), 0)
	names := d.bal.Pools()
	is.True(slices.Contains(names, "p"))
}

// Guards against running a batch item more often than its remaining attempts
// allow: sends without a response are retried only up to MaxUnanswered.
func TestUnansweredSendsAreBounded(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	list := newFakeServers(t, 4, 8, func(e *fakeServer, _ http.ResponseWriter, _ *http.Request, _ []byte) {
		crashes.Add(1)
		e.crash()
	})
	n := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1")
	d := n.start(t, "h1", Options{})
	_, err := call(context.Background(), d, &Request{ID: "once", Workspace: "a", Idempotent: true, MaxUnanswered: 1, Body: []byte("x")})
	var refused *RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Unanswered, 1)
	is.Equal(crashes.Load(), int64(1))
}
