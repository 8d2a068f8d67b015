package integration

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

const (
	// overloadFactor is the load of an overloaded workspace relative to its rate.
	overloadFactor = 5
	// maxQueueingDelay bounds how much the time between the admission of a call
	// and its arrival at the service varies. Calls take 5 ms, so that none waits
	// for a slot.
	maxQueueingDelay = 100 * time.Millisecond
	// hostPause is how long a host is paused: longer than its lease of 3 s.
	hostPause = 10 * time.Second
)

// rateChange is the largest rate that may be in force on any host from a time
// on, in requests/s.
type rateChange struct {
	at   time.Time
	rate float64
}

// worstExcess returns by how many admissions the times, in ms and sorted,
// exceed burst + rate x T, over the window T where they do so most. The first
// rate must start before the first time.
func worstExcess(times []int64, burst float64, rates []rateChange) float64 {
	tokens, worst := burst, 0.0
	last := times[0]
	for _, at := range times {
		tokens = min(burst, tokens+refill(rates, last, at))
		tokens--
		worst = max(worst, -tokens)
		last = at
	}
	return worst
}

// refill integrates the rates between two times in ms.
func refill(rates []rateChange, from, to int64) float64 {
	total := 0.0
	for i, r := range rates {
		begin, end := max(from, r.at.UnixMilli()), to
		if i+1 < len(rates) {
			end = min(to, rates[i+1].at.UnixMilli())
		}
		if end > begin {
			total += r.rate * float64(end-begin) / 1000
		}
	}
	return total
}

// firstArrivals returns the first arrival of each call whose tag has the prefix,
// in ms and sorted. A call that a host retried was admitted only once.
func firstArrivals(ctx context.Context, t *testing.T, d *harness.Deployment, prefix string) []int64 {
	t.Helper()
	first := map[string]int64{}
	for _, s := range d.Services {
		calls, err := s.Calls(ctx, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range calls {
			at, seen := first[c.ID]
			if strings.HasPrefix(c.ID, prefix) && (!seen || c.ArrivedMS < at) {
				first[c.ID] = c.ArrivedMS
			}
		}
	}
	var times []int64
	for _, at := range first {
		times = append(times, at)
	}
	slices.Sort(times)
	return times
}

func requireRateBound(t *testing.T, times []int64, burst float64, rates []rateChange) {
	t.Helper()
	if len(times) == 0 {
		t.Fatal("no call was admitted")
	}
	largest := 0.0
	for _, r := range rates {
		largest = max(largest, r.rate)
	}
	excess := worstExcess(times, burst, rates)
	t.Logf("%d admitted; worst excess over burst + rate x T: %.2f admissions", len(times), excess)
	if excess > largest*maxQueueingDelay.Seconds() {
		t.Errorf("%.2f admissions more than burst + rate x T", excess)
	}
}

// rateLog edits one workspace's rate and logs the largest rate in force.
type rateLog struct {
	d       *harness.Deployment
	spec    harness.WorkspaceSpec
	changes []rateChange
}

// edit changes the rate. Until the new rate is in force on every host, it logs
// the larger of the old and the new one.
func (l *rateLog) edit(ctx context.Context, rate float64) error {
	old := l.spec.Rate
	l.changes = append(l.changes, rateChange{time.Now(), max(old, rate)})
	l.spec.Rate = rate
	result, err := l.d.Operator(0).PutTable(ctx, []harness.WorkspaceSpec{l.spec}, 0)
	if err != nil {
		return err
	}
	if _, err := l.d.AwaitRevision(ctx, result.Revision, editBound); err != nil {
		return err
	}
	l.changes = append(l.changes, rateChange{time.Now(), rate})
	return nil
}

// Guards against hosts that together admit more than burst + rate x T because
// tokens are counted twice after a kill, a pause or a restart, during a platform
// outage, or while an edit of the rate spreads.
func TestRateBoundUnderFaults(t *testing.T) {
	runParallel(t)
	outage := logSizeFor(t, "platform outage", 15*time.Second, 60*time.Second)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(1, 2))
	spec := d.Layout.Workspaces[4]
	rates := &rateLog{d: d, spec: spec, changes: []rateChange{{time.Now(), spec.Rate}}}
	load, stop := context.WithCancel(ctx)
	var wg sync.WaitGroup
	callers := hostCallers(d, spec.Name)
	wg.Go(func() {
		callAtRate(load, overloadFactor*spec.Rate, func(n int) {
			callCtx, cancel := context.WithTimeout(ctx, 15*time.Second)
			defer cancel()
			callers[n%len(callers)].Call(callCtx, http.MethodGet, d.Layout.ReadsPrefix()+"r", "limited-"+harness.NewTag(), "")
		})
	})
	const outageAt = 11 * time.Second
	runSteps(ctx, t, []step{
		{3 * time.Second, "rate x 1.5", func() error { return rates.edit(ctx, 1.5*spec.Rate) }},
		{7 * time.Second, "kill host 1", d.Hosts[1].Kill},
		{8 * time.Second, "pause host 2", d.Hosts[2].Pause},
		{outageAt, "platform down", func() error { return d.Platform.SetFault(ctx, map[string]any{"outage": "refuse"}) }},
		{8*time.Second + hostPause, "resume host 2", d.Hosts[2].Resume},
		{outageAt + outage, "platform up", func() error { return d.Platform.ClearFaults(ctx) }},
		{outageAt + outage + time.Second, "restart host 1", d.Hosts[1].Start},
		{outageAt + outage + 2*time.Second, "rate x 0.5", func() error { return rates.edit(ctx, 0.5*spec.Rate) }},
		{outageAt + outage + 8*time.Second, "end", func() error { return nil }},
	})
	stop()
	wg.Wait()
	requireRateBound(t, firstArrivals(ctx, t, d, "limited-"), spec.Burst, rates.changes)
}

// Guards against wrong shares of a rate that is smaller than the number of
// hosts: shares that round to 0, or to one token per host.
func TestOneRequestPerSecondOverEightHosts(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	length := logSizeFor(t, "time within the rate", 8*time.Second, 60*time.Second)
	slow := harness.WorkspaceSpec{Name: "payouts", Weight: 1, Rate: 1, Burst: 1, MaxQueue: 100}
	ctx, d := startDeployment(t, harness.Thies, withHosts(8), withServers(1, 1), func(o *harness.Options) {
		o.Layout.Workspaces[4] = slow
	})
	began := time.Now()
	callers := hostCallers(d, slow.Name)
	var seen outcomes
	call := func(n int) {
		a := callers[n%len(callers)].Call(ctx, http.MethodGet, d.Layout.ReadsPrefix()+"r", "slow-"+harness.NewTag(), "")
		seen.add(outcome{Answer: a})
	}
	belowRate, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	callAtRate(belowRate, 0.9*slow.Rate, call)
	answers := seen.filter(func(outcome) bool { return true })
	t.Logf("at 0.9 of the rate: %v", verdictCounts(answers))
	is.Equal(countMatching(answers, withVerdict(harness.Complete)), len(answers))

	aboveRate, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	callAtRate(aboveRate, overloadFactor*slow.Rate, call)
	times := firstArrivals(ctx, t, d, "slow-")
	requireRateBound(t, times, slow.Burst, []rateChange{{began, slow.Rate}})
	if entitled := slow.Rate * length.Seconds(); float64(len(times)-len(answers)) < 0.8*entitled {
		t.Errorf("at 5 times the rate %d calls were admitted in %s, want about %.0f", len(times)-len(answers), length, entitled)
	}
}

const (
	// maxSteadyRejections and maxLossRejections bound the fraction of false
	// rejections in steady state and after the loss of a host.
	maxSteadyRejections = 0.001
	maxLossRejections   = 0.01
	lossObservation     = 10 * time.Second
)

// Guards against hosts whose shares are exhausted so that they refuse calls of a
// workspace within its rate, in steady state and after the loss of a host.
func TestFalseRejections(t *testing.T) {
	is := is.New(t)
	steady := logSizeFor(t, "steady time", 10*time.Second, 60*time.Second)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(1, 3))
	spec := d.Layout.Workspaces[0]
	callers := hostCallers(d, spec.Name)
	time.Sleep(shareSettleTime) // buckets of new hosts fill only after this
	var seen outcomes
	var lost sync.Map
	load, stop := context.WithCancel(ctx)
	defer stop()
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		callAtRate(load, 0.8*spec.Rate, func(n int) {
			host := skewedHost(n, len(callers))
			if _, dead := lost.Load(host); dead {
				host = 0
			}
			sent := time.Now()
			a := callers[host].Call(ctx, http.MethodGet, d.Layout.ReadsPrefix()+"r", harness.NewTag(), "")
			seen.add(outcome{Answer: a, Sent: sent, Host: host})
		})
	})
	time.Sleep(steady)
	killed := time.Now()
	lost.Store(2, true) // the load balancer stops sending to it at once; calls in flight fail
	is.NoErr(d.Hosts[2].Kill())
	time.Sleep(lossObservation)
	stop()
	wg.Wait()
	requireFewRefused(t, "steady", seen.filter(sentBetween(began, killed)), maxSteadyRejections)
	requireFewRefused(t, "after the loss of a host", seen.filter(sentBetween(killed, killed.Add(lossObservation))), maxLossRejections)
}

// skewedHost sends half of the calls to the first host.
func skewedHost(n, hosts int) int {
	if n%2 == 0 {
		return 0
	}
	return n / 2 % hosts
}

func requireFewRefused(t *testing.T, when string, list []outcome, bound float64) {
	t.Helper()
	refused := countMatching(list, withVerdict(harness.Refused))
	part := float64(refused) / float64(len(list))
	t.Logf("%s: %d of %d refused (%.3f%%), %v", when, refused, len(list), 100*part, verdictCounts(list))
	if len(list) == 0 || part > bound {
		t.Errorf("%s: %.3f%% refused, at most %.1f%% allowed", when, 100*part, 100*bound)
	}
}
