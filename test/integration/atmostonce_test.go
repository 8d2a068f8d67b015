package integration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortstep/test/harness"
	"ragwortstep/test/standin/service"
)

const (
	atMostOnceRate = 70.0 // calls/s
	// maxCallTries bounds how often a caller sends a call that does not complete.
	maxCallTries         = 5
	atMostOnceRetryDelay = 300 * time.Millisecond
	// atMostOnceTryTimeout is the caller's timeout for one attempt.
	atMostOnceTryTimeout = 8 * time.Second
)

// nonIdempotentLoad sends non-idempotent calls, each with an idempotency key,
// and records the answers to their attempts.
type nonIdempotentLoad struct {
	d       *harness.Deployment
	callers []*harness.Caller
	mu      sync.Mutex
	tries   map[string][]harness.Answer
}

// call sends call n and retries it if n is even. Every tenth call starts with
// two attempts at two hosts at the same time.
func (l *nonIdempotentLoad) call(ctx context.Context, n int) {
	tag := fmt.Sprintf("once-%d", n)
	if n%10 == 0 {
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { l.send(ctx, n+i, tag) })
		}
		wg.Wait()
	}
	for try := range maxCallTries {
		a := l.send(ctx, n+try, tag)
		if a.Verdict == harness.Complete || n%2 == 1 {
			return
		}
		time.Sleep(atMostOnceRetryDelay)
	}
}

func (l *nonIdempotentLoad) send(ctx context.Context, n int, tag string) harness.Answer {
	ctx, cancel := context.WithTimeout(ctx, atMostOnceTryTimeout)
	defer cancel()
	a := l.callers[n%len(l.callers)].Call(ctx, http.MethodPost, l.d.Layout.Prefix+"pay", tag, tag)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries[tag] = append(l.tries[tag], a)
	return a
}

// serviceLedgers collects the ledgers of services over their restarts.
type serviceLedgers struct {
	d     *harness.Deployment
	calls []service.Call
}

// collect adds the ledger of a running service.
func (l *serviceLedgers) collect(ctx context.Context, s *harness.Service) error {
	calls, err := s.Calls(ctx, 0)
	l.calls = append(l.calls, calls...)
	return err
}

// restart kills a service and starts it again. As a killed process loses its
// ledger, restart first disconnects the service and reads the ledger.
func (l *serviceLedgers) restart(ctx context.Context, s *harness.Service) error {
	link := harness.ServerLink(s.Spec.Name)
	if err := l.d.Relay.Refuse(ctx, link, true); err != nil {
		return err
	}
	if err := l.d.Relay.Cut(ctx, link); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond) // for calls that arrived before the cut to end
	if err := l.collect(ctx, s); err != nil {
		return err
	}
	if err := s.Kill(); err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	return l.d.Relay.Refuse(ctx, link, false)
}

// injectAtMostOnceFaults kills and restarts hosts and services, and cuts and
// freezes connections, until ctx ends.
func injectAtMostOnceFaults(ctx context.Context, t *testing.T, d *harness.Deployment, ledgers *serviceLedgers) {
	uncancelled := context.WithoutCancel(ctx)
	faults := []func(round int) error{
		func(int) error { return d.Relay.Cut(uncancelled, "server-*") },
		func(round int) error { return d.Hosts[round%len(d.Hosts)].Kill() },
		func(int) error { return d.Relay.Cut(uncancelled, "callers-*") },
		func(round int) error { return startIfDown(d.Hosts[round%len(d.Hosts)]) },
		func(round int) error { return ledgers.restart(uncancelled, d.Services[round%len(d.Services)]) },
		func(int) error { return d.Relay.Freeze(uncancelled, "server-*") },
		func(round int) error {
			return d.Relay.Cut(uncancelled, harness.PlatformLink(d.Hosts[round%len(d.Hosts)].Name))
		},
	}
	for n := 0; sleepUntil(ctx, time.Now().Add(700*time.Millisecond)); n++ {
		if err := faults[n%len(faults)](n / len(faults)); err != nil {
			t.Errorf("fault %d: %v", n, err)
		}
	}
	for _, h := range d.Hosts {
		if err := startIfDown(h); err != nil {
			t.Error(err)
		}
	}
}

func startIfDown(h *harness.Host) error {
	if h.Running() {
		return nil
	}
	return h.Start()
}

// Guards against a non-idempotent call that runs twice because its caller sent
// it again after the loss of a host, a service or a connection, and against a
// call that ran although its refusal says that it did not.
func TestNonIdempotentCallsRunAtMostOnce(t *testing.T) {
	runParallel(t)
	calls := logSizeFor(t, "calls", 1500, 10000)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(1, 3), withRates(2000, 4000))
	for _, s := range d.Services { // some answers are lost after the call ran
		if err := s.SetFault(ctx, map[string]any{"cut_rate": 0.02, "drop_rate": 0.02}); err != nil {
			t.Fatal(err)
		}
	}
	load := &nonIdempotentLoad{d: d, callers: hostCallers(d, d.Layout.Workspaces[0].Name), tries: map[string][]harness.Answer{}}
	ledgers := &serviceLedgers{d: d}
	faulting, stop := context.WithCancel(ctx)
	var faults sync.WaitGroup
	faults.Go(func() { injectAtMostOnceFaults(faulting, t, d, ledgers) })
	var sent atomic.Int64
	sending, sentAll := context.WithCancel(ctx)
	callAtRate(sending, atMostOnceRate, func(n int) {
		if sent.Add(1) >= int64(calls) {
			sentAll()
		}
		load.call(ctx, n)
	})
	stop()
	faults.Wait()
	time.Sleep(time.Second) // for calls whose callers timed out to end
	for _, s := range d.Services {
		if err := ledgers.collect(ctx, s); err != nil {
			t.Fatal(err)
		}
	}
	requireAtMostOnce(t, load.tries, ledgers.calls)
}

func requireAtMostOnce(t *testing.T, tries map[string][]harness.Answer, ledger []service.Call) {
	t.Helper()
	ran := map[string]int{}
	for _, c := range ledger {
		ran[c.ID]++
	}
	complete, single, refusedNo, counts := 0, 0, 0, map[string]int{}
	for tag, list := range tries {
		for _, a := range list {
			counts[fmt.Sprintf("%s %s %s", a.Verdict, a.Code, a.Executed)]++
		}
		if ran[tag] > 1 {
			t.Errorf("%s ran %d times: %+v", tag, ran[tag], list)
		}
		refused := !slices.ContainsFunc(list, func(a harness.Answer) bool { return a.Executed != "no" })
		if refused && ran[tag] > 0 {
			t.Errorf("%s ran although it was refused as not run: %+v", tag, list)
		}
		answered := slices.ContainsFunc(list, func(a harness.Answer) bool { return a.Verdict == harness.Complete })
		if answered && ran[tag] == 0 {
			t.Errorf("%s got a complete answer and is in no ledger", tag)
		}
		if answered {
			complete++
		}
		if len(list) == 1 {
			single++
		}
		if refused && len(list) == 1 {
			refusedNo++
		}
	}
	t.Logf("%d calls, %d complete, %d sent once, of these %d refused as not run; %d in ledgers; attempts: %v", len(tries), complete, single, refusedNo, len(ran), counts)
	if complete < len(tries)/2 {
		t.Errorf("only %d of %d calls completed, too few to judge", complete, len(tries))
	}
}
