package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

const (
	// pairCount is the number of pairs of interleaved runs in a comparison.
	pairCount = 3
	// settleTime is the wait before a run in which batch work fills the servers,
	// or the rest of earlier batch work leaves them.
	settleTime = 3 * time.Second
	// burstPeriod is the period in which the load alternates between
	// burstLowLoad and burstHighLoad.
	burstPeriod   = 4 * time.Second
	burstLowLoad  = 0.05 // fraction of the capacity
	burstHighLoad = 0.85 // fraction of the capacity
)

// impactReport compares online latency without and with batch work, over pairs
// of runs with the same arrivals.
type impactReport struct {
	Without       quantiles      `json:"without"`
	With          quantiles      `json:"with"`
	FirstWithout  quantiles      `json:"first_token_without"`
	FirstWith     quantiles      `json:"first_token_with"`
	RatioP99      float64        `json:"ratio_p99"`
	RatioP999     float64        `json:"ratio_p999"`
	RatioFirstP99 float64        `json:"ratio_first_token_p99"`
	Outcomes      [2]outcomes    `json:"outcomes"` // without, with
	Batch         *batchReport   `json:"batch"`
	PairRatios    []float64      `json:"pair_ratios_p99"` // with / without batch of each pair
	Segments      []*batchReport `json:"-"`               // of each run with batch
}

// impact interleaves runs without and with batch work, with arrivals that follow
// the profile.
func (r *runner) impact(ctx context.Context, p rateProfile, peak float64) (*impactReport, error) {
	var sets [2][]result
	rep := &impactReport{}
	for pair := range pairCount {
		plan := mixedPlan(harness.Rand(r.seed+uint64(pair)), p, peak, r.segment, r.weights(), len(r.d.Hosts))
		var p99 [2]float64
		for i := range 2 {
			results, err := r.impactRun(ctx, plan, i == 1, rep)
			if err != nil {
				return nil, errors.Wrapf(err, "pair %d, batch %t", pair+1, i == 1)
			}
			total, _ := collectLatencies(results)
			p99[i] = total.quantiles().P99
			sets[i] = append(sets[i], results...)
		}
		rep.PairRatios = append(rep.PairRatios, ratio(p99[1], p99[0]))
		r.logf("  pair %d: p99 %.1f ms without, %.1f ms with batch", pair+1, p99[0], p99[1])
	}
	rep.summarize(sets)
	return rep, nil
}

func (r *runner) impactRun(ctx context.Context, plan []plannedRequest, withBatch bool, rep *impactReport) ([]result, error) {
	if !withBatch {
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		return openLoop(ctx, plan, r.complete), ctx.Err()
	}
	jobs, err := r.startBatch(ctx, itemsPerJob)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	begin := time.Now()
	results := openLoop(ctx, plan, r.complete)
	used, err := r.batchWork(ctx, begin, begin.Add(r.segment))
	if err != nil {
		return nil, err
	}
	rep.Segments = append(rep.Segments, used)
	return results, jobs.stop(ctx)
}

func (rep *impactReport) summarize(sets [2][]result) {
	total0, first0 := collectLatencies(sets[0])
	total1, first1 := collectLatencies(sets[1])
	rep.Without, rep.With = total0.quantiles(), total1.quantiles()
	rep.FirstWithout, rep.FirstWith = first0.quantiles(), first1.quantiles()
	rep.RatioP99 = ratio(rep.With.P99, rep.Without.P99)
	rep.RatioP999 = ratio(rep.With.P999, rep.Without.P999)
	rep.RatioFirstP99 = ratio(rep.FirstWith.P99, rep.FirstWithout.P99)
	rep.Outcomes = [2]outcomes{countOutcomes(sets[0]), countOutcomes(sets[1])}
	rep.Batch = sumBatchReports(rep.Segments)
}

// ratio returns a / b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
