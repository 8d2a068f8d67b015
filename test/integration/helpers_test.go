package integration

import (
	"context"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

// longVariable selects the full size of the tests when it is set to 1.
const longVariable = "RAGWORTSTEP_LONG"

func longRun() bool { return os.Getenv(longVariable) == "1" }

// sized returns the size of a test in CI, or its full size in a long run, and logs it.
func sized[T any](t *testing.T, what string, short, long T) T {
	t.Helper()
	size := short
	if longRun() {
		size = long
	}
	t.Logf("size: %s = %v (full size %v)", what, size, long)
	return size
}

// deployments are the slots of tests that run beside others. Most of their
// time is waiting; three at once keep the number of processes moderate.
var deployments = make(chan struct{}, 3)

// parallel lets the test run beside others whose results do not depend on latency.
func parallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	deployments <- struct{}{}
	t.Cleanup(func() { <-deployments })
}

// withServers keeps the first engines and services of the layout.
func withServers(engines, services int) startOptions {
	return func(o *harness.Options) {
		o.Layout.Engines = o.Layout.Engines[:engines]
		o.Layout.Services = o.Layout.Services[:services]
	}
}

// withRates sets the rate and burst of all workspaces, for tests in which no
// workspace reaches its rate.
func withRates(rate, burst float64) startOptions {
	return func(o *harness.Options) {
		for i := range o.Layout.Workspaces {
			o.Layout.Workspaces[i].Rate, o.Layout.Workspaces[i].Burst = rate, burst
		}
	}
}

// pace starts call n at n/rate seconds, whether or not earlier calls have
// ended, until ctx ends. It returns when all calls have ended.
func pace(ctx context.Context, rate float64, call func(n int)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	begin := time.Now()
	for n := 0; ; n++ {
		at := begin.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if !sleepUntil(ctx, at) {
			return
		}
		wg.Go(func() { call(n) })
	}
}

// sleepUntil reports whether the time was reached before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// outcome is an answer with the time of its call.
type outcome struct {
	harness.Answer
	Sent  time.Time
	Host  int
	Group string // chosen by the test
}

// outcomes collects outcomes of concurrent calls.
type outcomes struct {
	mu  sync.Mutex
	all []outcome
}

func (o *outcomes) add(one outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, one)
}

// where returns the outcomes for which keep is true, in the order of their calls.
func (o *outcomes) where(keep func(outcome) bool) []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []outcome
	for _, one := range o.all {
		if keep(one) {
			out = append(out, one)
		}
	}
	slices.SortFunc(out, func(a, b outcome) int { return a.Sent.Compare(b.Sent) })
	return out
}

// between keeps the outcomes of calls sent in the interval.
func between(from, to time.Time) func(outcome) bool {
	return func(o outcome) bool { return !o.Sent.Before(from) && o.Sent.Before(to) }
}

func withVerdict(verdict harness.Verdict) func(outcome) bool {
	return func(o outcome) bool { return o.Verdict == verdict }
}

func countWhere(list []outcome, keep func(outcome) bool) int {
	n := 0
	for _, o := range list {
		if keep(o) {
			n++
		}
	}
	return n
}

// verdicts counts the outcomes by verdict and error code, for logs.
func verdicts(list []outcome) map[string]int {
	counts := map[string]int{}
	for _, o := range list {
		counts[string(o.Verdict)+" "+o.Code]++
	}
	return counts
}

// hostCallers returns one caller per host, each with connections of its own.
func hostCallers(d *harness.Deployment, workspace string) []*harness.Caller {
	var out []*harness.Caller
	for i := range d.Hosts {
		out = append(out, d.Caller(i, workspace))
	}
	return out
}

// runAt calls the steps at their times from now and stops at the first error.
func runAt(ctx context.Context, t *testing.T, steps []step) {
	t.Helper()
	begin := time.Now()
	for _, s := range steps {
		if !sleepUntil(ctx, begin.Add(s.at)) {
			t.Errorf("%s: %v", s.what, ctx.Err())
			return
		}
		t.Logf("at %s: %s", time.Since(begin).Round(100*time.Millisecond), s.what)
		if err := s.do(); err != nil {
			t.Errorf("%s: %v", s.what, err)
			return
		}
	}
}

// step is one action of a fault plan.
type step struct {
	at   time.Duration
	what string
	do   func() error
}
