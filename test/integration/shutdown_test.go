package integration

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

const (
	restartRate = 60.0 // requests/s
	// readyPeriod is the interval of the balancer's readiness checks.
	readyPeriod = 250 * time.Millisecond
	// restartWait bounds one host's graceful end: 2 s unready, then up to 30 s of draining.
	restartWait = 35 * time.Second
	// restartPause is the time between two hosts' restarts.
	restartPause = 2 * time.Second
)

// balancer sends requests only to hosts whose last readiness check succeeded.
type balancer struct {
	hosts   []*harness.Host
	callers []*harness.Caller
	mu      sync.Mutex
	ready   []int
}

// watch checks all hosts until ctx ends.
func (b *balancer) watch(ctx context.Context) {
	client := &http.Client{Timeout: readyPeriod}
	for sleepUntil(ctx, time.Now().Add(readyPeriod)) {
		b.check(client)
	}
}

func (b *balancer) check(client *http.Client) {
	var mu sync.Mutex
	var ready []int
	var wg sync.WaitGroup
	for i, h := range b.hosts {
		wg.Go(func() {
			resp, err := client.Get(h.DirectURL() + "/readyz")
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				ready = append(ready, i)
			}
		})
	}
	wg.Wait()
	slices.Sort(ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// pick returns a ready host, or -1 when there is none.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return -1
	}
	return b.ready[rand.IntN(len(b.ready))]
}

// sendMixed sends request n: mostly short ones, and streams that last longer
// than the time for which an ending host is not ready.
func sendMixed(ctx context.Context, d *harness.Deployment, caller *harness.Caller, n int) harness.Answer {
	switch n % 10 {
	case 0:
		return caller.Complete(ctx, harness.Completion{Tokens: 200, Stream: true})
	case 1, 2, 3:
		return caller.Complete(ctx, harness.Completion{Tokens: 5, Stream: n%2 == 0})
	default:
		return caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"s", harness.NewTag(), "")
	}
}

// sendKeyed sends a call with an idempotency key that no other call has.
func sendKeyed(ctx context.Context, d *harness.Deployment, caller *harness.Caller, _ int) harness.Answer {
	return caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"s", harness.NewTag(), harness.NewTag())
}

// Guards against a graceful shutdown that cuts requests, and against hosts
// that refuse requests while another host leaves or joins.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	rollingRestart(t, sendMixed)
}

// Guards against calls with a new idempotency key that are refused while the
// owner of the key's record changes.
func TestRollingRestartRefusesNoKeyedCall(t *testing.T) {
	rollingRestart(t, sendKeyed)
}

func rollingRestart(t *testing.T, send func(context.Context, *harness.Deployment, *harness.Caller, int) harness.Answer) {
	t.Helper()
	is := is.New(t)
	rounds := sized(t, "restarts of each host", 1, 5)
	ctx, d := start(t, harness.Thies, withHosts(3), withServers(6, 2))
	time.Sleep(sharesSettle)
	workspace := d.Layout.Workspaces[0].Name
	balancer := &balancer{hosts: d.Hosts, callers: hostCallers(d, workspace), ready: []int{0, 1, 2}}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	wg.Go(func() { balancer.watch(load) })
	wg.Go(func() {
		pace(load, restartRate, func(n int) {
			host, sent := balancer.pick(), time.Now()
			if host < 0 {
				t.Error("no host is ready")
				return
			}
			a := send(ctx, d, balancer.callers[host], n)
			seen.add(outcome{Answer: a, Sent: sent, Host: host})
		})
	})
	began := time.Now()
	for range rounds {
		for _, h := range d.Hosts {
			time.Sleep(restartPause)
			t.Logf("at %s: restart of %s", time.Since(began), h.Name)
			is.NoErr(h.Restart(ctx, restartWait))
			t.Logf("at %s: %s is ready", time.Since(began), h.Name)
		}
	}
	time.Sleep(restartPause)
	stop()
	wg.Wait()
	all := seen.where(func(outcome) bool { return true })
	t.Logf("%d requests: %v", len(all), verdicts(all))
	is.True(len(all) > 0)
	for _, o := range all {
		if o.Verdict != harness.Complete {
			t.Errorf("at %s, host %d: %+v", o.Sent.Sub(began), o.Host, o.Answer)
		}
	}
}
