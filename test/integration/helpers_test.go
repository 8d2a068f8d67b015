package integration

import (
	"context"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

// longRunVariable selects the full size of the tests when it is set to 1.
const longRunVariable = "RAGWORTSTEP_LONG"

func longRun() bool { return os.Getenv(longRunVariable) == "1" }

// sizeFor returns the size for CI or, in a long run, the full size.
func sizeFor[T any](ci, long T) T {
	if longRun() {
		return long
	}
	return ci
}

// logSizeFor is sizeFor with a log line that names the size.
func logSizeFor[T any](t *testing.T, what string, short, long T) T {
	t.Helper()
	size := short
	if longRun() {
		size = long
	}
	t.Logf("size: %s = %v (full size %v)", what, size, long)
	return size
}

// seeds returns the seeds to run: one, or as many as RAGWORTSTEP_SEEDS says.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	n := 1
	if raw := os.Getenv("RAGWORTSTEP_SEEDS"); raw != "" {
		var err error
		if n, err = strconv.Atoi(raw); err != nil || n < 1 {
			t.Fatalf("RAGWORTSTEP_SEEDS=%q: want a number above 0", raw)
		}
	}
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(i) + 1
	}
	return out
}

// testContext returns a context with the timeout, which also ends with the test.
func testContext(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// deploymentSlots bounds the number of tests that run in parallel. These tests
// mostly wait and can share the machine; three at once limit the processes.
var deploymentSlots = make(chan struct{}, 3)

// runParallel runs the test in parallel with others whose results do not
// depend on latency.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
}

func withSeed(seed uint64) startOption {
	return func(o *harness.Options) { o.Seed = seed }
}

// withServers keeps the first engines and services of the layout.
func withServers(engines, services int) startOption {
	return func(o *harness.Options) {
		o.Layout.Engines = o.Layout.Engines[:engines]
		o.Layout.Services = o.Layout.Services[:services]
	}
}

// withRates sets the rate and burst of all workspaces, for tests in which no
// workspace reaches its rate.
func withRates(rate, burst float64) startOption {
	return func(o *harness.Options) {
		for i := range o.Layout.Workspaces {
			o.Layout.Workspaces[i].Rate, o.Layout.Workspaces[i].Burst = rate, burst
		}
	}
}

// editBound bounds the time until an edit is in force on all hosts.
const editBound = 5 * time.Second

// shareSettleTime is how long a killed host's shares stay unused after its
// restart: 3 s without a heartbeat, the lease of 3.2 s and the write to the
// platform. Tests that lose one host at a time wait for this.
const shareSettleTime = 7 * time.Second

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// repeatCall repeats a caller's request until it succeeds or ctx ends.
func repeatCall(ctx context.Context, t *testing.T, step string, fn func() error) {
	t.Helper()
	for {
		err := fn()
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			t.Fatalf("%s: %v", step, err)
		case <-time.After(callRetryDelay):
		}
	}
}

// callAtRate generates open-loop load: it starts call n at n/rate seconds,
// whether or not earlier calls have ended, until ctx ends. It returns when all
// calls have ended.
func callAtRate(ctx context.Context, rate float64, call func(n int)) {
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

// sleepFor returns false when ctx ended first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// outcome is an answer with the time of its call.
type outcome struct {
	harness.Answer
	Sent  time.Time
	Host  int
	Group string // set by the test, to filter by
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

// filter returns the outcomes for which keep is true, in the order of their calls.
func (o *outcomes) filter(keep func(outcome) bool) []outcome {
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

// sentBetween keeps the outcomes of calls sent in the interval.
func sentBetween(from, to time.Time) func(outcome) bool {
	return func(o outcome) bool { return !o.Sent.Before(from) && o.Sent.Before(to) }
}

func withVerdict(verdict harness.Verdict) func(outcome) bool {
	return func(o outcome) bool { return o.Verdict == verdict }
}

func countMatching(list []outcome, keep func(outcome) bool) int {
	n := 0
	for _, o := range list {
		if keep(o) {
			n++
		}
	}
	return n
}

// verdictCounts counts the outcomes by verdict and error code, for logs.
func verdictCounts(list []outcome) map[string]int {
	counts := map[string]int{}
	for _, o := range list {
		counts[string(o.Verdict)+" "+o.Code]++
	}
	return counts
}

// hostCallers returns one caller per host, each with its own connection pool.
func hostCallers(d *harness.Deployment, workspace string) []*harness.Caller {
	var out []*harness.Caller
	for i := range d.Hosts {
		out = append(out, d.Caller(i, workspace))
	}
	return out
}

// runSteps runs each step at its time from now and stops at the first error.
func runSteps(ctx context.Context, t *testing.T, steps []step) {
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

// step is one timed action of a test, such as a fault.
type step struct {
	at   time.Duration
	what string
	do   func() error
}
