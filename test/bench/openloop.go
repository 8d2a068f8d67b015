package main

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortstep/test/harness"
)

const (
	// Range of the histograms, in microseconds.
	histogramMin    = 1
	histogramMax    = int64(5 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// spinBelow is the rest of a wait that is not slept, because timers of
	// the runtime are up to 1 ms late.
	spinBelow = time.Millisecond
)

// result is the outcome of a planned send. Times count from the intended time.
type result struct {
	send
	harness.Answer
	Lag     time.Duration // how late it was sent
	Total   time.Duration // until the whole answer
	ToFirst time.Duration // until the first token, 0 without a stream
}

// doer runs one planned request.
type doer func(ctx context.Context, s send) harness.Answer

// openLoop runs the plan, sending each request at its intended time whatever
// became of the earlier ones, and returns the results in the plan's order.
func openLoop(ctx context.Context, plan []send, do doer) []result {
	results := make([]result, len(plan))
	begin := time.Now()
	var wg sync.WaitGroup
	for i, s := range plan {
		waitUntil(begin.Add(s.At))
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = runOne(ctx, begin.Add(s.At), s, do) })
	}
	wg.Wait()
	return results
}

func runOne(ctx context.Context, intended time.Time, s send, do doer) result {
	lag := time.Since(intended)
	a := do(ctx, s)
	r := result{send: s, Answer: a, Lag: lag, Total: lag + a.Latency}
	if a.FirstToken > 0 {
		r.ToFirst = lag + a.FirstToken
	}
	return r
}

// waitUntil sleeps until shortly before the time and yields for the rest.
func waitUntil(at time.Time) {
	if d := time.Until(at) - spinBelow; d > 0 {
		time.Sleep(d)
	}
	for rest := time.Until(at); rest > 0; rest = time.Until(at) {
		time.Sleep(min(rest, 50*time.Microsecond))
	}
}

// latencies collects durations.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// quantiles are in milliseconds.
type quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

func (l latencies) quantiles() quantiles {
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return quantiles{
		Count: l.h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(l.h.Max()) / 1000,
	}
}

// outcomes counts the answers of a run.
type outcomes struct {
	Sent     int            `json:"sent"`
	Verdicts map[string]int `json:"verdicts"`
	Refusals map[string]int `json:"refusals,omitempty"` // by error code
	Lag      quantiles      `json:"send_lag"`           // how late requests were sent
}

func countOutcomes(results []result) outcomes {
	o := outcomes{Sent: len(results), Verdicts: map[string]int{}, Refusals: map[string]int{}}
	lag := newLatencies()
	for _, r := range results {
		o.Verdicts[string(r.Verdict)]++
		if r.Verdict == harness.Refused {
			o.Refusals[r.Code]++
		}
		lag.add(r.Lag)
	}
	o.Lag = lag.quantiles()
	return o
}

// latency returns the latencies of complete answers, and of first tokens.
func latency(results []result) (total, first latencies) {
	total, first = newLatencies(), newLatencies()
	for _, r := range results {
		if r.Verdict != harness.Complete {
			continue
		}
		total.add(r.Total)
		if r.ToFirst > 0 {
			first.add(r.ToFirst)
		}
	}
	return total, first
}
