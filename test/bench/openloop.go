package main

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ragwortstep/test/harness"
)

const (
	// Range of the histograms in microseconds, and their significant digits.
	histogramMin    = 1
	histogramMax    = int64(5 * time.Minute / time.Microsecond)
	histogramDigits = 3
	// pollThreshold is how long before the intended time waitUntil changes from
	// one long sleep to short ones, because timers of the runtime fire up to 1 ms
	// late.
	pollThreshold = time.Millisecond
)

// result is the outcome of a planned request. Total and ToFirst count from the
// intended send time, so that they include the lag.
type result struct {
	plannedRequest
	harness.Answer
	Lag     time.Duration // delay of the send after its intended time
	Total   time.Duration // until the end of the answer
	ToFirst time.Duration // until the first token, 0 without one
}

// requestFunc sends one planned request and waits for its answer.
type requestFunc func(ctx context.Context, s plannedRequest) harness.Answer

// openLoop sends each request of the plan at its intended time, whether or not
// earlier ones are answered, and returns the results in the plan's order. If ctx
// ends, it returns the results of the requests sent so far.
func openLoop(ctx context.Context, plan []plannedRequest, do requestFunc) []result {
	results := make([]result, len(plan))
	begin := time.Now()
	var wg sync.WaitGroup
	for i, s := range plan {
		waitUntil(begin.Add(s.At))
		if ctx.Err() != nil {
			results = results[:i]
			break
		}
		wg.Go(func() { results[i] = runRequest(ctx, begin.Add(s.At), s, do) })
	}
	wg.Wait()
	return results
}

func runRequest(ctx context.Context, intended time.Time, s plannedRequest, do requestFunc) result {
	lag := time.Since(intended)
	a := do(ctx, s)
	r := result{plannedRequest: s, Answer: a, Lag: lag, Total: lag + a.Latency}
	if a.FirstToken > 0 {
		r.ToFirst = lag + a.FirstToken
	}
	return r
}

// waitUntil sleeps until pollThreshold before the time, then in short steps
// until the time has come.
func waitUntil(at time.Time) {
	if d := time.Until(at) - pollThreshold; d > 0 {
		time.Sleep(d)
	}
	for rest := time.Until(at); rest > 0; rest = time.Until(at) {
		time.Sleep(min(rest, 50*time.Microsecond))
	}
}

// latencies is a histogram of durations.
type latencies struct{ h *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

// quantiles summarizes a latency histogram, in milliseconds.
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

// outcomes counts the answers of a run by verdict and error code.
type outcomes struct {
	Sent     int            `json:"sent"`
	Verdicts map[string]int `json:"verdicts"`
	Refusals map[string]int `json:"refusals,omitempty"` // by error code
	Lag      quantiles      `json:"send_lag"`           // delay of the sends after their intended times
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

// collectLatencies returns the total and the first-token latencies of the
// complete answers.
func collectLatencies(results []result) (total, first latencies) {
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
