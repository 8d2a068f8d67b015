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
	crashSends = 50
	// maxServerLosses is the most servers that one crashing request may cost.
	maxServerLosses = 3
	// crashPrompt holds the marker that crashes the engine stand-ins.
	crashPrompt = "crash-engine"
	// innocentRate is the rate of the requests beside it, in requests/s.
	innocentRate = 40.0
)

// Guards against a request that takes down one server after the other because
// its caller, or a host, sends it again, and against quarantine of requests
// that only ran beside it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	parallel(t)
	is := is.New(t)
	rounds := sized(t, "crashing requests", 3, 10)
	ctx, d := start(t, harness.Thies, withHosts(4), withServers(5, 1), withRates(2000, 4000))
	workspace := d.Layout.Workspaces[0].Name
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	callers := hostCallers(d, workspace)
	wg.Go(func() {
		pace(load, innocentRate, func(n int) {
			sent := time.Now()
			a := callers[n%len(callers)].Complete(ctx, harness.Completion{Tokens: 5 + n%20})
			seen.add(outcome{Answer: a, Sent: sent, Host: n % len(callers)})
		})
	})
	time.Sleep(time.Second)
	for round := range rounds {
		before := crashes(ctx, t, d)
		sendCrashing(ctx, t, callers)
		time.Sleep(2 * time.Second) // crashed engines return after 1 s
		cost := crashes(ctx, t, d) - before
		t.Logf("request %d: %d server losses", round, cost)
		if cost == 0 || cost > maxServerLosses {
			t.Errorf("request %d cost %d server losses, want 1 to %d", round, cost, maxServerLosses)
		}
	}
	stop()
	wg.Wait()
	all := seen.where(func(outcome) bool { return true })
	t.Logf("innocent requests: %v", verdicts(all))
	for _, o := range all {
		if o.Verdict != harness.Complete {
			t.Errorf("an innocent request failed: %+v", o)
		}
	}
	is.True(len(all) > 0)
}

// sendCrashing sends one request crashSends times. Its caller learns of the
// first failure, then resends to all hosts at once. First sends that reach
// several hosts at the same time are not resends: each may cost a server.
func sendCrashing(ctx context.Context, t *testing.T, callers []*harness.Caller) {
	t.Helper()
	request := harness.Completion{Tag: harness.NewTag(), Prompt: crashPrompt, Tokens: 10}
	var seen outcomes
	seen.add(outcome{Answer: callers[0].Complete(ctx, request)})
	var wg sync.WaitGroup
	for n := range crashSends - 1 {
		wg.Go(func() { seen.add(outcome{Answer: callers[n%len(callers)].Complete(ctx, request)}) })
		if n%len(callers) == len(callers)-1 {
			wg.Wait()
		}
	}
	wg.Wait()
	t.Logf("answers to the crashing request: %v", verdicts(seen.where(func(outcome) bool { return true })))
}

func crashes(ctx context.Context, t *testing.T, d *harness.Deployment) int64 {
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
