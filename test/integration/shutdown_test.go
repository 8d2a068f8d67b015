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
	restartRequestRate = 60.0 // requests/s
	// readyCheckInterval is the interval of the balancer's readiness checks.
	readyCheckInterval = 250 * time.Millisecond
	// restartTimeout bounds one host's graceful shutdown: 2 s unready, then up to 30 s of draining.
	restartTimeout = 35 * time.Second
	// restartInterval is the time between two hosts' restarts.
	restartInterval = 2 * time.Second
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
	client := &http.Client{Timeout: readyCheckInterval}
	for sleepUntil(ctx, time.Now().Add(readyCheckInterval)) {
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

// sendMixed sends request n of a mix: mostly short requests, and streams that
// last longer than the time between a host's SIGTERM and the start of its drain.
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

// sendWithIdempotencyKey sends a call with an idempotency key that no other call has.
func sendWithIdempotencyKey(ctx context.Context, d *harness.Deployment, caller *harness.Caller, _ int) harness.Answer {
	return caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"s", harness.NewTag(), harness.NewTag())
}

// Guards against a graceful shutdown that interrupts requests, and against
// hosts that refuse requests while another host leaves or joins.
func TestRollingRestartInterruptsNoRequest(t *testing.T) {
	rollingRestart(t, sendMixed)
}

// Guards against calls with a new idempotency key that are refused while the
// owner of the key's record changes.
func TestRollingRestartRefusesNoCallWithIdempotencyKey(t *testing.T) {
	rollingRestart(t, sendWithIdempotencyKey)
}

func rollingRestart(t *testing.T, send func(context.Context, *harness.Deployment, *harness.Caller, int) harness.Answer) {
	t.Helper()
	is := is.New(t)
	rounds := logSizeFor(t, "restarts of each host", 1, 5)
	ctx, d := startDeployment(t, harness.Thies, withHosts(3), withServers(6, 2))
	time.Sleep(shareSettleTime)
	workspace := d.Layout.Workspaces[0].Name
	balancer := &balancer{hosts: d.Hosts, callers: hostCallers(d, workspace), ready: []int{0, 1, 2}}
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	wg.Go(func() { balancer.watch(load) })
	wg.Go(func() {
		callAtRate(load, restartRequestRate, func(n int) {
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
			time.Sleep(restartInterval)
			t.Logf("at %s: restart of %s", time.Since(began), h.Name)
			is.NoErr(h.Restart(ctx, restartTimeout))
			t.Logf("at %s: %s is ready", time.Since(began), h.Name)
		}
	}
	time.Sleep(restartInterval)
	stop()
	wg.Wait()
	all := seen.filter(func(outcome) bool { return true })
	t.Logf("%d requests: %v", len(all), verdictCounts(all))
	is.True(len(all) > 0)
	for _, o := range all {
		if o.Verdict != harness.Complete {
			t.Errorf("at %s, host %d: %+v", o.Sent.Sub(began), o.Host, o.Answer)
		}
	}
}
