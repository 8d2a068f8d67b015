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
	// serveAgain bounds how long after the end of all faults every host must serve.
	serveAgain = 20 * time.Second
	// rateSlack covers the time between the admission of a call and its
	// arrival at the service, which bunches calls.
	rateSlack = 2 * time.Second
	// maxCrashes is the most servers that one crashing prompt may cost.
	maxCrashes = 3
)

// serviceCall is a call that ran, with the service that ran it.
type serviceCall struct {
	service.Call
	Service string
}

// ledgers are the ledgers of all backend servers at the end.
type ledgers struct {
	engines map[string][]engine.Record
	calls   []serviceCall
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
			l.calls = append(l.calls, serviceCall{Call: c, Service: s.Spec.Name})
		}
	}
	return l, nil
}

// checkServing verifies that every host serves again.
func (l *load) checkServing(ctx context.Context) {
	workspace := l.d.Layout.Workspaces[0].Name
	for i, h := range l.d.Hosts {
		deadline := time.Now().Add(serveAgain)
		for {
			a := l.d.Caller(i, workspace).Complete(ctx, harness.Completion{Tokens: 2})
			if a.Verdict == harness.Complete {
				break
			}
			if time.Now().After(deadline) {
				l.tl.violate("serving", h.Name, "does not serve %s after all faults ended: %s, status %d, code %q, %s", serveAgain, a.Verdict, a.Status, a.Code, a.Detail)
				break
			}
			wait(ctx, resendPause)
		}
	}
}

// checkCalls verifies I10 and I9: no call ran twice, and no call ran whose
// every attempt was refused as not run.
func (l *load) checkCalls(all *ledgers) {
	ran := map[string]int{}
	runs := map[string][]string{}
	for _, c := range all.calls {
		ran[c.ID]++
		runs[c.ID] = append(runs[c.ID], fmt.Sprintf("[%s at %d, request id %s, key %q, answer %s]", c.Service, c.RanMS, c.RequestID, c.IdempotencyKey, c.Answer))
	}
	for tag, attempts := range l.calls.attempts {
		if ran[tag] > 1 {
			l.tl.violate("I10", tag, "ran %d times: %v; attempts %v", ran[tag], runs[tag], attempts)
		}
		refused := !slices.ContainsFunc(attempts, func(a attempt) bool { return a.executed != "no" })
		if refused && ran[tag] > 0 {
			l.tl.violate("I9", tag, "ran although refused as not run: %v; attempts %v", runs[tag], attempts)
		}
		completed := slices.ContainsFunc(attempts, func(a attempt) bool { return a.verdict == harness.Complete })
		if completed && ran[tag] == 0 {
			l.tl.violate("ledger", tag, "answered as complete but in no ledger")
		}
	}
	l.tl.add("check", "calls", "", "%d calls", len(l.calls.attempts))
}

// checkRate verifies I7 for the limited workspace over all windows of time.
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
		l.tl.violate("I7", l.limited.Name, "%.0f admissions more than burst + rate x time", worst)
	}
	l.tl.add("check", "rate", l.limited.Name, "%d admitted", len(times))
}

// worstExcess returns by how much the events exceed burst + rate x T over the
// worst window of any length T; times are in milliseconds and sorted.
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

// checkCrashes verifies that no prompt crashed more than maxCrashes engines.
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
		if n > maxCrashes {
			l.tl.violate("quarantine", tag, "the prompt crashed %d engines, at most %d allowed", n, maxCrashes)
		}
		l.tl.add("check", "crash", tag, "%d engines", n)
	}
}

// checkCancelled verifies that no item of a cancelled job started later than
// stopBound after the answer to the cancel request.
func (l *jobLoad) checkCancelled(all *ledgers) {
	for _, j := range l.jobs {
		if j.cancelled.IsZero() {
			continue
		}
		last := j.cancelled.Add(stopBound).UnixMilli()
		for name, records := range all.engines {
			for _, r := range records {
				if strings.HasPrefix(r.ID, j.prefix+"-") && r.ArrivedMS > last {
					l.tl.violate("I2", j.id, "item %s reached %s %d ms after the answer to the cancel request", r.ID, name, r.ArrivedMS-j.cancelled.UnixMilli())
				}
			}
		}
	}
}

// checkSecrets verifies that no backend server saw a caller's key (I5).
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
				l.tl.violate("I5", name, "request %s carried a caller's key", r.ID)
			}
		}
	}
	for _, c := range all.calls {
		if leaked(c.Header, c.Query) {
			l.tl.violate("I5", c.ID, "service call carried a caller's key")
		}
	}
}

// checkInvariants reads the hosts' own counts of violated invariants.
func (l *load) checkInvariants(ctx context.Context) {
	for _, h := range l.d.Hosts {
		counts, err := h.Violations(ctx)
		if err != nil {
			l.tl.violate("metrics", h.Name, "%v", err)
		}
		for name, n := range counts {
			l.tl.violate("invariant", h.Name, "%s: %d times", name, n)
		}
	}
}
