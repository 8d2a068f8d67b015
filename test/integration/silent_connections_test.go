package integration

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/test/harness"
)

const (
	// recoveryBound bounds the time until the latency has recovered.
	recoveryBound = 5 * time.Second
	// recoveredFactor is the largest p99 that counts as recovered, relative to
	// the p99 before the fault. A request that waits until a silent connection is
	// detected takes several times as long.
	recoveredFactor = 2
	// recoveredMargin covers scheduling delays of a busy machine, which may
	// triple a p99 of 20 ms. A request on a silent connection waits longer than 1 s.
	recoveredMargin = 150 * time.Millisecond
	// openConnRequests is the number of concurrent requests of each kind that
	// fill the hosts' connection pools before the fault.
	openConnRequests = 60
	silenceRate      = 100.0 // requests/s of each kind
	// silenceDeadline is the deadline of all requests of the test.
	silenceDeadline = 8 * time.Second
	// deliveryTime allows for the time between a host's answer at the deadline
	// and the caller's clock reading, on a busy machine.
	deliveryTime = 200 * time.Millisecond
)

func p99(list []outcome) time.Duration {
	if len(list) == 0 {
		return 0
	}
	latencies := make([]time.Duration, len(list))
	for i, o := range list {
		latencies[i] = o.Latency
	}
	slices.Sort(latencies)
	return latencies[(len(latencies)*99-1)/100]
}

// shortenDeadlines sets silenceDeadline on the routes that the test uses.
func shortenDeadlines(ctx context.Context, d *harness.Deployment) error {
	deadline := silenceDeadline.Milliseconds()
	_, err := d.Operator(0).PutRoute(ctx, config.Route{
		Name: harness.RouteModel, Kind: config.RouteModel, Model: d.Layout.Model, Pool: "engines", Idempotent: true, TimeoutMS: deadline,
	})
	if err != nil {
		return err
	}
	for name, prefix := range map[string]string{harness.RouteService: d.Layout.Prefix, harness.RouteReads: d.Layout.ReadsPrefix()} {
		result, err := d.Operator(0).PutRoute(ctx, config.Route{
			Name: name, Kind: config.RouteService, Prefix: prefix, Pool: d.Layout.Service,
			Idempotent: name == harness.RouteReads, TimeoutMS: deadline,
		})
		if err != nil {
			return err
		}
		if _, err := d.AwaitRevision(ctx, result.Revision, editBound); err != nil {
			return err
		}
	}
	return nil
}

// requestKinds are the kinds of requests of the test.
var requestKinds = []string{"completion", "read", "call"}

func sendKind(ctx context.Context, d *harness.Deployment, caller *harness.Caller, kind string, n int) harness.Answer {
	switch kind {
	case "read":
		return caller.Call(ctx, http.MethodGet, d.Layout.ReadsPrefix()+"s", harness.NewTag(), "")
	case "call":
		return caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"s", harness.NewTag(), "")
	default:
		return caller.Complete(ctx, harness.Completion{Tokens: 8, Stream: n%2 == 0})
	}
}

func openConnections(ctx context.Context, d *harness.Deployment) {
	callers := hostCallers(d, d.Layout.Workspaces[0].Name)
	var wg sync.WaitGroup
	for n := range openConnRequests {
		for _, kind := range requestKinds {
			wg.Go(func() { sendKind(ctx, d, callers[n%len(callers)], kind, n) })
		}
	}
	wg.Wait()
}

// Guards against hosts that keep sending on connections that have become
// silent, or whose requests wait past their deadline for an answer.
func TestLatencyRecoversFromSilentConnections(t *testing.T) {
	is := is.New(t)
	rounds := logSizeFor(t, "silences", 1, 5)
	ctx, d := startDeployment(t, harness.Thies, withHosts(3), withServers(4, 3), withRates(2000, 4000))
	is.NoErr(shortenDeadlines(ctx, d))
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	for i, kind := range requestKinds {
		callers := hostCallers(d, d.Layout.Workspaces[i].Name)
		wg.Go(func() {
			callAtRate(load, silenceRate, func(n int) {
				sent := time.Now()
				a := sendKind(ctx, d, callers[n%len(callers)], kind, n)
				seen.add(outcome{Answer: a, Sent: sent, Group: kind})
			})
		})
	}
	openConnections(ctx, d)
	time.Sleep(2 * time.Second) // for the concurrency limits to converge
	var silences []time.Time
	for range rounds {
		time.Sleep(recoveryBound)
		silences = append(silences, time.Now())
		is.NoErr(d.Relay.Freeze(ctx, "server-*"))
		time.Sleep(2 * recoveryBound)
	}
	stop()
	wg.Wait()
	for _, silence := range silences {
		for _, kind := range requestKinds {
			requireRecovery(t, &seen, kind, silence)
		}
	}
	for _, o := range seen.filter(func(o outcome) bool { return o.Latency > silenceDeadline+deliveryTime }) {
		t.Errorf("a request waited past its deadline of %s: %+v", silenceDeadline, o)
	}
}

// requireRecovery compares the requests before the fault with those later than
// recoveryBound after it. An idempotent request counts at its end, so that one
// that was open at the fault must end in time as well. A call that is not
// idempotent counts at its start: as hosts do not retry it, it may wait for an
// answer on a silent connection until its deadline.
func requireRecovery(t *testing.T, seen *outcomes, kind string, silence time.Time) {
	t.Helper()
	end := func(o outcome) time.Time { return o.Sent.Add(o.Latency) }
	counted := end
	if kind == "call" {
		counted = func(o outcome) time.Time { return o.Sent }
	}
	inWindow := func(at func(outcome) time.Time, from, to time.Duration) []outcome {
		return seen.filter(func(o outcome) bool {
			since := at(o).Sub(silence)
			return o.Group == kind && since >= from && since < to
		})
	}
	// Requests that were open at the fault do not count as before it.
	before := inWindow(end, -recoveryBound, 0)
	during, after := inWindow(counted, 0, recoveryBound), inWindow(counted, recoveryBound, 2*recoveryBound)
	t.Logf("%s: p99 %s before, %s in the first %s, %s after it; %v, %v", kind, p99(before), p99(during), recoveryBound, p99(after), verdictCounts(during), verdictCounts(after))
	if len(before) == 0 || len(after) == 0 {
		t.Fatalf("%s: no requests to compare", kind)
	}
	if p99(after) > recoveredFactor*p99(before)+recoveredMargin {
		t.Errorf("%s: p99 is %s %s after the silence, and was %s before", kind, p99(after), recoveryBound, p99(before))
	}
	for _, o := range after {
		if o.Verdict != harness.Complete {
			t.Errorf("%s sent %s after the silence failed: %+v", kind, o.Sent.Sub(silence), o)
		}
	}
}
