package integration

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

const (
	crashRequestSends = 50
	// maxServerLosses is the most servers that one crashing request may cost.
	maxServerLosses = 3
	// crashPrompt holds the marker that crashes the engine stand-ins.
	crashPrompt = "crash-engine"
	// otherRequestRate is the rate of concurrent valid requests, in requests/s.
	otherRequestRate = 40.0
)

// Guards against a request that crashes one server after the other because its
// caller or a host sends it again, and against quarantine of requests that only
// ran on the same server.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	rounds := logSizeFor(t, "crashing requests", 3, 10)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(5, 1), withRates(2000, 4000))
	workspace := d.Layout.Workspaces[0].Name
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	callers := hostCallers(d, workspace)
	wg.Go(func() {
		callAtRate(load, otherRequestRate, func(n int) {
			sent := time.Now()
			a := callers[n%len(callers)].Complete(ctx, harness.Completion{Tokens: 5 + n%20})
			seen.add(outcome{Answer: a, Sent: sent, Host: n % len(callers)})
		})
	})
	time.Sleep(time.Second)
	for round := range rounds {
		before := totalCrashes(ctx, t, d)
		sendCrashingRequest(ctx, t, callers)
		time.Sleep(2 * time.Second) // crashed engines return after 1 s
		cost := totalCrashes(ctx, t, d) - before
		t.Logf("request %d: %d server losses", round, cost)
		if cost == 0 || cost > maxServerLosses {
			t.Errorf("request %d cost %d server losses, want 1 to %d", round, cost, maxServerLosses)
		}
	}
	stop()
	wg.Wait()
	all := seen.filter(func(outcome) bool { return true })
	t.Logf("other requests: %v", verdictCounts(all))
	for _, o := range all {
		if o.Verdict != harness.Complete {
			t.Errorf("a request other than the crashing one failed: %+v", o)
		}
	}
	is.True(len(all) > 0)
}

// sendCrashingRequest sends one request crashRequestSends times: once, and
// after that attempt has failed to all hosts in parallel. The first attempt is
// alone because hosts cannot recognize first attempts that arrive at several of
// them at the same time as resent: each may crash a server.
func sendCrashingRequest(ctx context.Context, t *testing.T, callers []*harness.Caller) {
	t.Helper()
	request := harness.Completion{Tag: harness.NewTag(), Prompt: crashPrompt, Tokens: 10}
	var seen outcomes
	seen.add(outcome{Answer: callers[0].Complete(ctx, request)})
	var wg sync.WaitGroup
	for n := range crashRequestSends - 1 {
		wg.Go(func() { seen.add(outcome{Answer: callers[n%len(callers)].Complete(ctx, request)}) })
		if n%len(callers) == len(callers)-1 {
			wg.Wait()
		}
	}
	wg.Wait()
	t.Logf("answers to the crashing request: %v", verdictCounts(seen.filter(func(outcome) bool { return true })))
}

func totalCrashes(ctx context.Context, t *testing.T, d *harness.Deployment) int64 {
	t.Helper()
	total := int64(0)
	for _, e := range d.Engines {
		summary, err := e.Summary(ctx)
		if err != nil {
			t.Fatal(err)
		}
		total += summary.Crashes
	}
	return total
}
