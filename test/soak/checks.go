package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"ragwortstep/test/harness"
	"ragwortstep/test/standin/engine"
	"ragwortstep/test/standin/service"
)

const (
	// serveTimeout is how long after the end of all faults a host may fail to serve.
	serveTimeout = 20 * time.Second
	// rateSlack extends the allowed burst, because a varying delay between the
	// admission of calls and their arrival at the service bunches them.
	rateSlack = 2 * time.Second
	// maxCrashesPerPrompt bounds the engines that one prompt may crash before it is
	// quarantined.
	maxCrashesPerPrompt = 3
)

// recordedCall is a call from a service's ledger.
type recordedCall struct {
	service.Call
	Service string
}

// ledgers holds the ledgers of all backend servers at the end of the run.
type ledgers struct {
	engines map[string][]engine.Record
	calls   []recordedCall
}

func readLedgers(ctx context.Context, d *harness.Deployment) (*ledgers, error) {
	l := &ledgers{engines: map[string][]engine.Record{}}
	for _, e := range d.Engines {
		records, err := e.Records(ctx, 0)
		if err != nil {
			return nil, err
		}
		l.engines[e.Spec.Name] = records
	}
	for _, s := range d.Services {
		calls, err := s.Calls(ctx, 0)
		if err != nil {
			return nil, err
		}
		for _, c := range calls {
			l.calls = append(l.calls, recordedCall{Call: c, Service: s.Spec.Name})
		}
	}
	return l, nil
}

// checkServing verifies that every host serves after the end of the faults.
func (l *load) checkServing(ctx context.Context) {
	workspace := l.d.Layout.Workspaces[0].Name
	for i, h := range l.d.Hosts {
		deadline := time.Now().Add(serveTimeout)
		for {
			a := l.d.Caller(i, workspace).Complete(ctx, harness.Completion{Tokens: 2})
			if a.Verdict == harness.Complete {
				break
			}
			if time.Now().After(deadline) {
				l.tl.addViolation("serving", h.Name, "does not serve %s after all faults ended: %s, status %d, code %q, %s", serveTimeout, a.Verdict, a.Status, a.Code, a.Detail)
				break
			}
			wait(ctx, resendDelay)
		}
	}
}

// checkCalls verifies I10, that no call ran twice, and I9, that no call ran
// although all its attempts were refused as not executed. It also verifies that
// every call answered as complete is in a ledger.
func (l *load) checkCalls(all *ledgers) {
	ran := map[string]int{}
	runs := map[string][]string{}
	for _, c := range all.calls {
		ran[c.ID]++
		runs[c.ID] = append(runs[c.ID], fmt.Sprintf("[%s at %d, request id %s, key %q, answer %s]", c.Service, c.RanMS, c.RequestID, c.IdempotencyKey, c.Answer))
	}
	for tag, attempts := range l.calls.attempts {
		if ran[tag] > 1 {
			l.tl.addViolation("I10", tag, "ran %d times: %v; attempts %v", ran[tag], runs[tag], attempts)
		}
		refused := !slices.ContainsFunc(attempts, func(a attempt) bool { return a.executed != "no" })
		if refused && ran[tag] > 0 {
			l.tl.addViolation("I9", tag, "ran although every attempt was refused as not executed: %v; attempts %v", runs[tag], attempts)
		}
		completed := slices.ContainsFunc(attempts, func(a attempt) bool { return a.verdict == harness.Complete })
		if completed && ran[tag] == 0 {
			l.tl.addViolation("ledger", tag, "answered as complete but missing from all ledgers")
		}
	}
	l.tl.add("check", "calls", "", "%d calls", len(l.calls.attempts))
}

// checkRate verifies I7 for the limited workspace: in any window of time, the
// fleet admits at most burst + rate x time calls, plus rateSlack.
func (l *load) checkRate(all *ledgers) {
	first := map[string]int64{}
	for _, c := range all.calls {
		if at, seen := first[c.ID]; strings.HasPrefix(c.ID, "limited-") && (!seen || c.ArrivedMS < at) {
			first[c.ID] = c.ArrivedMS
		}
	}
	var times []int64
	for _, at := range first {
		times = append(times, at)
	}
	slices.Sort(times)
	burst := l.limited.Burst + l.limited.Rate*rateSlack.Seconds()
	if worst := worstExcess(times, l.limited.Rate, burst); worst > 0 {
		l.tl.addViolation("I7", l.limited.Name, "%.0f more admissions than burst + rate x time", worst)
	}
	l.tl.add("check", "rate", l.limited.Name, "%d admitted", len(times))
}

// worstExcess returns the most by which the number of events in any window
// exceeds burst + rate x the window's length, or 0. times are in milliseconds
// and sorted.
func worstExcess(times []int64, rate, burst float64) float64 {
	tokens, worst := burst, 0.0
	for i, at := range times {
		if i > 0 {
			tokens = min(burst, tokens+rate*float64(at-times[i-1])/1000)
		}
		tokens--
		worst = max(worst, -tokens)
	}
	return worst
}

// checkCrashes verifies that no prompt crashed more than maxCrashesPerPrompt engines.
func (l *load) checkCrashes(all *ledgers) {
	for _, tag := range l.crashTags() {
		n := 0
		for _, records := range all.engines {
			for _, r := range records {
				if r.ID == tag && r.Outcome == "crashed" {
					n++
				}
			}
		}
		if n > maxCrashesPerPrompt {
			l.tl.addViolation("quarantine", tag, "prompt crashed %d engines, want at most %d", n, maxCrashesPerPrompt)
		}
		l.tl.add("check", "crash", tag, "%d engines", n)
	}
}

// checkCancelled verifies I2: no item of a cancelled job reaches an engine later
// than maxStartAfterCancel after the answer to the cancel request.
func (l *jobLoad) checkCancelled(all *ledgers) {
	for _, j := range l.jobs {
		if j.cancelledAt.IsZero() {
			continue
		}
		last := j.cancelledAt.Add(maxStartAfterCancel).UnixMilli()
		for name, records := range all.engines {
			for _, r := range records {
				if strings.HasPrefix(r.ID, j.prefix+"-") && r.ArrivedMS > last {
					l.tl.addViolation("I2", j.id, "item %s reached %s %d ms after the answer to the cancel request", r.ID, name, r.ArrivedMS-j.cancelledAt.UnixMilli())
				}
			}
		}
	}
}

// checkSecrets verifies I5: no backend server received a caller's key.
func (l *load) checkSecrets(all *ledgers) {
	var keys []string
	for _, k := range l.d.Keys {
		keys = append(keys, k.Raw)
	}
	sort.Strings(keys)
	leaked := func(header http.Header, query string) bool {
		texts := []string{query}
		for _, values := range header {
			texts = append(texts, values...)
		}
		return slices.ContainsFunc(texts, func(text string) bool {
			return slices.ContainsFunc(keys, func(key string) bool { return strings.Contains(text, key) })
		})
	}
	for name, records := range all.engines {
		for _, r := range records {
			if leaked(r.Header, r.Query) {
				l.tl.addViolation("I5", name, "request %s carried a caller's key", r.ID)
			}
		}
	}
	for _, c := range all.calls {
		if leaked(c.Header, c.Query) {
			l.tl.addViolation("I5", c.ID, "service call carried a caller's key")
		}
	}
}

// checkInvariants reports the invariant violations that the hosts counted.
func (l *load) checkInvariants(ctx context.Context) {
	for _, h := range l.d.Hosts {
		counts, err := h.Violations(ctx)
		if err != nil {
			l.tl.addViolation("metrics", h.Name, "%v", err)
		}
		for name, n := range counts {
			l.tl.addViolation("invariant", h.Name, "%s: %d times", name, n)
		}
	}
}
