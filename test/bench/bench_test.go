package main

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
	"ragwortstep/test/standin/engine"
)

// Guards against a replay that counts a legitimate refusal as false or misses a
// false one.
func TestReplayCountsFalseRejections(t *testing.T) {
	is := is.New(t)
	refused := harness.Answer{Verdict: harness.Refused, Code: rateLimitedCode}
	admitted := harness.Answer{Verdict: harness.Complete}
	at := func(s float64, a harness.Answer) result {
		return result{plannedRequest: plannedRequest{At: time.Duration(s * float64(time.Second))}, Answer: a}
	}
	legitimate := replayWorkspace(1, 2, []result{at(0, admitted), at(0.1, admitted), at(0.2, refused), at(5, admitted)})
	is.Equal(legitimate.falselyRejected(), 0)
	is.Equal(legitimate.refusedWithToken, 0)
	falselyRejected := replayWorkspace(1, 2, []result{at(0, admitted), at(0.1, refused), at(5, admitted)})
	is.Equal(falselyRejected.falselyRejected(), 1)
	is.Equal(falselyRejected.refusedWithToken, 1)
	shifted := replayWorkspace(1, 1, []result{at(0, refused), at(0.1, admitted), at(0.2, refused)})
	is.Equal(shifted.falselyRejected(), 0)
	is.Equal(shifted.refusedWithToken, 1)
}

// Guards against arrivals that do not follow the rate profile or that differ
// between runs with the same seed.
func TestArrivalsFollowProfileAndSeed(t *testing.T) {
	is := is.New(t)
	p := bursts(10, 100, 2*time.Second)
	times := arrivals(harness.Rand(7), p, 100, 100*time.Second)
	is.Equal(times, arrivals(harness.Rand(7), p, 100, 100*time.Second))
	low, high := 0, 0
	for _, at := range times {
		if p(at) == 10 {
			low++
		} else {
			high++
		}
	}
	is.True(low > 400 && low < 600)
	is.True(high > 4700 && high < 5300)
}

// Guards against latencies that omit the delay of a request that was sent late.
func TestTotalCountsFromIntendedTime(t *testing.T) {
	is := is.New(t)
	do := func() result {
		intended := time.Now().Add(-100 * time.Millisecond)
		return runRequest(t.Context(), intended, plannedRequest{}, func(_ context.Context, _ plannedRequest) harness.Answer {
			return harness.Answer{Verdict: harness.Complete, Latency: 5 * time.Millisecond, FirstToken: time.Millisecond}
		})
	}
	r := do()
	is.True(r.Total >= 105*time.Millisecond && r.Total < 200*time.Millisecond)
	is.True(r.ToFirst >= 101*time.Millisecond)
}

// Guards against batch work that is counted although it ended without a result,
// or counted twice for a repeated item.
func TestBatchWorkCountsOnce(t *testing.T) {
	is := is.New(t)
	b := &batchReport{Seconds: 1, Capacity: 100}
	seen := map[string]bool{}
	for _, rec := range []engine.Record{
		{ID: "batch-1", Outcome: "finished", Tokens: 10},
		{ID: "batch-1", Outcome: "finished", Tokens: 10},
		{ID: "batch-2", Outcome: "cancelled", Tokens: 10},
		{ID: "online-1", Outcome: "finished", Tokens: 60},
	} {
		b.addRecord(rec, 0, seen)
	}
	b.computeRates()
	is.Equal(b.ShareOfLeft, 0.25)
	is.Equal(b.Repeated, 1)
	is.Equal(b.Discarded, 1)
}

// Guards against entitlements that ignore the workspaces' weights.
func TestSharesAreWeighted(t *testing.T) {
	is := is.New(t)
	rep := &fairnessReport{Received: map[string]float64{}}
	rep.compareShares([]harness.WorkspaceSpec{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}, []float64{90, 10}, 100)
	is.Equal(rep.Workspace, "b")
	is.Equal(rep.Worst, 0.4)
}
