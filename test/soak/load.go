package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	completionRate    = 40.0 // completions/s
	callRate          = 40.0 // non-idempotent calls/s
	limitedLoadFactor = 5.0  // load of the limited workspace, relative to its rate
	callTimeout       = 40 * time.Second
	// maxResends bounds how often a caller repeats a call that did not complete.
	maxResends  = 3
	resendDelay = 500 * time.Millisecond
	// crashInterval is the time between prompts that crash engines. Each of them
	// is sent sendsPerCrashPrompt times.
	crashInterval       = 45 * time.Second
	sendsPerCrashPrompt = 20
	// crashMarker is the default text by which an engine stand-in recognizes a
	// prompt that crashes it.
	crashMarker = "crash-engine"
)

// attempt is one attempt of a service call.
type attempt struct {
	verdict  harness.Verdict
	status   int
	code     string
	executed string
	url      string    // of the host
	sentAt   time.Time // zero in tests only
	latency  time.Duration
}

// String describes the attempt for the timeline.
func (a attempt) String() string {
	return fmt.Sprintf("[%s %s %d %s executed=%q at %d for %s]", a.url, a.verdict, a.status, a.code, a.executed, a.sentAt.UnixMilli(), a.latency.Round(time.Millisecond))
}

// callLog keeps the attempts of all calls, by tag.
type callLog struct {
	mu       sync.Mutex
	attempts map[string][]attempt
}

func (l *callLog) add(tag, url string, a harness.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[tag] = append(l.attempts[tag], attempt{
		verdict: a.Verdict, status: a.Status, code: a.Code, executed: a.Executed,
		url: url, sentAt: time.Now().Add(-a.Latency), latency: a.Latency,
	})
}

// load sends the online load and operators' edits, and keeps what the checks need.
type load struct {
	d            *harness.Deployment
	tl           *timeline
	calls        *callLog
	limited      harness.WorkspaceSpec // its rate is never edited
	clients      []*http.Client        // one per host
	mu           sync.Mutex
	verdicts     map[string]int
	crashingTags []string // tags of prompts that crash engines
	rows         map[string]*rowState
}

func newLoad(d *harness.Deployment, tl *timeline) *load {
	l := &load{
		d: d, tl: tl, calls: &callLog{attempts: map[string][]attempt{}}, verdicts: map[string]int{}, rows: map[string]*rowState{},
		limited: d.Layout.Workspaces[len(d.Layout.Workspaces)-1],
	}
	for range d.Hosts {
		l.clients = append(l.clients, harness.NewHTTPClient())
	}
	return l
}

// caller returns a caller of a random host that sends its key in a randomly
// chosen way.
func (l *load) caller(rng *rand.Rand, workspace string) *harness.Caller {
	i := rng.IntN(len(l.d.Hosts))
	return &harness.Caller{
		BaseURL: l.d.Hosts[i].CallersURL(), Key: l.d.Keys[workspace].Raw, Carrier: harness.RandomCarrier(rng),
		Model: l.d.Layout.Model, Client: l.clients[i],
	}
}

// otherWorkspace draws a workspace other than the limited one and returns its name.
func (l *load) otherWorkspace(rng *rand.Rand) string {
	return l.d.Layout.Workspaces[rng.IntN(len(l.d.Layout.Workspaces)-1)].Name
}

// recordAnswer counts the answer by verdict. It reports content that is
// incomplete or not the caller's own (I8), and errors without a valid
// Ragwortstep-Executed header.
func (l *load) recordAnswer(kind string, a harness.Answer) {
	l.mu.Lock()
	l.verdicts[kind+" "+string(a.Verdict)]++
	l.mu.Unlock()
	if a.Verdict == harness.Crossed || a.Verdict == harness.Short {
		l.tl.addViolation("I8", a.Tag, "%s answer: %s", a.Verdict, a.Detail)
	}
	// The failure status of an engine is passed through without an error code.
	fromEngine := a.Status == engineFailStatus && a.Code == ""
	if a.Verdict == harness.Refused && !fromEngine && a.Executed != "no" && a.Executed != "unknown" {
		l.tl.addViolation("executed header", a.Tag, "status %d, code %q with an invalid Ragwortstep-Executed header: %q", a.Status, a.Code, a.Executed)
	}
}

// runPoisson starts fn at the times of a Poisson process with the given rate
// until ctx ends, and waits for all calls of fn.
func runPoisson(ctx context.Context, rng *rand.Rand, rate float64, fn func(rng *rand.Rand)) {
	var wg sync.WaitGroup
	for wait(ctx, time.Duration(rng.ExpFloat64()/rate*float64(time.Second))) {
		eventRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { fn(eventRNG) })
	}
	wg.Wait()
}

// callContext returns a context that is independent of the run's, so that a call
// that started during the run can complete after its end.
func callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

func (l *load) sendCompletions(ctx context.Context, rng *rand.Rand) {
	runPoisson(ctx, rng, completionRate, func(rng *rand.Rand) {
		ctx, cancel := callContext()
		defer cancel()
		q := harness.Completion{Tokens: 4 + rng.IntN(60), Stream: rng.IntN(2) == 0, Chat: rng.IntN(2) == 0, Prompt: "soak"}
		l.recordAnswer("completion", l.caller(rng, l.otherWorkspace(rng)).Complete(ctx, q))
	})
}

// sendServiceCalls sends non-idempotent calls, half of them with an idempotency
// key. Only calls with a key are repeated if they do not complete.
func (l *load) sendServiceCalls(ctx context.Context, rng *rand.Rand) {
	runPoisson(ctx, rng, callRate, func(rng *rand.Rand) {
		ctx, cancel := callContext()
		defer cancel()
		tag, workspace := harness.NewTag(), l.otherWorkspace(rng)
		key, tries := "", 1
		if rng.IntN(2) == 0 {
			key, tries = tag, 1+maxResends
		}
		for range tries {
			caller := l.caller(rng, workspace)
			a := caller.Call(ctx, http.MethodPost, l.d.Layout.Prefix+"soak", tag, key)
			l.recordAnswer("call", a)
			l.calls.add(tag, caller.BaseURL, a)
			if a.Verdict == harness.Complete || !wait(ctx, resendDelay) {
				return
			}
		}
	})
}

// sendLimitedCalls sends calls at limitedLoadFactor times the limited workspace's
// rate. Their tags start with "limited-", by which checkRate finds the admitted
// calls in the ledgers.
func (l *load) sendLimitedCalls(ctx context.Context, rng *rand.Rand) {
	runPoisson(ctx, rng, limitedLoadFactor*l.limited.Rate, func(rng *rand.Rand) {
		ctx, cancel := callContext()
		defer cancel()
		tag := "limited-" + harness.NewTag()
		l.recordAnswer("limited", l.caller(rng, l.limited.Name).Call(ctx, http.MethodGet, l.d.Layout.ReadsPrefix()+"soak", tag, ""))
	})
}

// sendCrashingPrompts sends prompts that crash engines, each many times to
// random hosts.
func (l *load) sendCrashingPrompts(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, crashInterval) {
		tag := "crash-" + harness.NewTag()
		l.mu.Lock()
		l.crashingTags = append(l.crashingTags, tag)
		l.mu.Unlock()
		workspace := l.otherWorkspace(rng)
		for range sendsPerCrashPrompt {
			callCtx, cancel := callContext()
			l.recordAnswer("crash", l.caller(rng, workspace).Complete(callCtx, harness.Completion{Tag: tag, Tokens: 4, Prompt: crashMarker}))
			cancel()
			if !wait(ctx, resendDelay) {
				return
			}
		}
	}
}

func (l *load) crashTags() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.crashingTags...)
}

func (l *load) summary() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprint(l.verdicts)
}
