package integration

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
	"ragwortstep/test/standin/relay"
)

const (
	answerWorkers = 96
	// answerTimeout is short enough that some callers cancel while their answer is delayed.
	answerTimeout = 6 * time.Second
	// maxTruncateAfter bounds the bytes after which the relay truncates answers;
	// it reaches into the body.
	maxTruncateAfter = 700
)

// injectAnswerFaults delays, resets and truncates connections and answers at
// random until ctx ends.
func injectAnswerFaults(ctx context.Context, t *testing.T, d *harness.Deployment) {
	rng := harness.Rand(11)
	uncancelled := context.WithoutCancel(ctx)
	links := func() string {
		return []string{"server-*", "server-engine-01", "server-" + d.Services[0].Spec.Name, "callers-*", harness.CallersLink(d.Hosts[1].Name)}[rng.IntN(5)]
	}
	delay := func() error {
		us := int64(rng.IntN(60000))
		return d.Relay.Fault(uncancelled, relay.Fault{Link: links(), DelayUS: &us})
	}
	truncate := func() error {
		link := links()
		if err := d.Relay.Truncate(uncancelled, link, 1+rng.Int64N(maxTruncateAfter)); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		return d.Relay.Truncate(uncancelled, link, 0)
	}
	faults := []func() error{
		delay, delay, truncate,
		func() error { return d.Relay.Cut(uncancelled, links()) },
		func() error {
			return d.Engines[0].SetFault(uncancelled, map[string]any{"truncate_rate": 0.05, "fail_rate": 0.02, "fail_status": 503})
		},
		func() error { return d.Services[0].SetFault(uncancelled, map[string]any{"truncate_rate": 0.05}) },
	}
	for sleepUntil(ctx, time.Now().Add(150*time.Millisecond)) {
		if err := faults[rng.IntN(len(faults))](); err != nil {
			t.Errorf("fault: %v", err)
			return
		}
	}
}

// Guards against an answer that reaches another caller because a connection is
// reused after a reset or a late answer, and against a truncated answer that
// looks complete.
func TestNoTruncatedOrCrossedAnswers(t *testing.T) {
	is := is.New(t)
	total := logSizeFor(t, "answers", 5000, 100000)
	ctx, d := startDeployment(t, harness.QuangNam, withHosts(3), withServers(4, 2), withRates(5000, 10000))
	faulting, stop := context.WithCancel(ctx)
	defer stop()
	var faults sync.WaitGroup
	faults.Go(func() { injectAnswerFaults(faulting, t, d) })
	var seen outcomes
	var wg sync.WaitGroup
	for worker := range answerWorkers {
		wg.Go(func() {
			callers := hostCallers(d, d.Layout.Workspaces[worker%len(d.Layout.Workspaces)].Name)
			for n := worker; n < total && ctx.Err() == nil; n += answerWorkers {
				seen.add(outcome{Answer: sendTagged(ctx, d, callers[n/answerWorkers%len(callers)], n), Sent: time.Now()})
			}
		})
	}
	wg.Wait()
	stop()
	faults.Wait()
	all := seen.filter(func(outcome) bool { return true })
	t.Logf("%d answers: %v", len(all), verdictCounts(all))
	for _, o := range all {
		if o.Verdict == harness.Crossed || o.Verdict == harness.Short {
			t.Errorf("answer is %s: %+v", o.Verdict, o)
		}
	}
	is.Equal(len(all), total)
	complete := countMatching(all, withVerdict(harness.Complete))
	if complete < total/2 || complete == total {
		t.Errorf("%d of %d answers are complete: too few, or no fault had an effect", complete, total)
	}
}

// sendTagged sends request n of a mix of reads, calls and completions.
func sendTagged(ctx context.Context, d *harness.Deployment, caller *harness.Caller, n int) harness.Answer {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	switch n % 5 {
	case 0:
		return caller.Call(ctx, http.MethodGet, d.Layout.ReadsPrefix()+"t", harness.NewTag(), "")
	case 1:
		return caller.Call(ctx, http.MethodPost, d.Layout.Prefix+"t", harness.NewTag(), harness.NewTag())
	default:
		return caller.Complete(ctx, harness.Completion{Tokens: 2 + n%7, Chat: n%2 == 0, Stream: n%3 != 0})
	}
}
