package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

const (
	// pairs is the number of interleaved runs without and with batch.
	pairs = 3
	// settleTime lets batch work fill the servers, or leave them, before a run.
	settleTime = 3 * time.Second
	// burstPeriod is the period of the load from idle to full and back.
	burstPeriod = 4 * time.Second
	burstLow    = 0.05 // part of the capacity
	burstHigh   = 0.85
)

// impactReport compares online latency without and with batch, over runs with
// the same arrivals.
type impactReport struct {
	Without      quantiles      `json:"without"`
	With         quantiles      `json:"with"`
	FirstWithout quantiles      `json:"first_token_without"`
	FirstWith    quantiles      `json:"first_token_with"`
	RatioP99     float64        `json:"ratio_p99"`
	RatioP999    float64        `json:"ratio_p999"`
	RatioFirst99 float64        `json:"ratio_first_token_p99"`
	Outcomes     [2]outcomes    `json:"outcomes"` // without, with
	Batch        *batchReport   `json:"batch"`
	PairRatios   []float64      `json:"pair_ratios_p99"` // of each pair, for the spread
	Segments     []*batchReport `json:"-"`
}

// impact interleaves runs without and with batch under the profile.
func (r *runner) impact(ctx context.Context, p profile, peak float64) (*impactReport, error) {
	var sets [2][]result
	rep := &impactReport{}
	for pair := range pairs {
		plan := mixedPlan(harness.Rand(r.seed+uint64(pair)), p, peak, r.segment, r.weights(), len(r.d.Hosts))
		var p99 [2]float64
		for i := range 2 {
			results, err := r.impactRun(ctx, plan, i == 1, rep)
			if err != nil {
				return nil, errors.Wrapf(err, "pair %d, batch %t", pair+1, i == 1)
			}
			total, _ := latency(results)
			p99[i] = total.quantiles().P99
			sets[i] = append(sets[i], results...)
		}
		rep.PairRatios = append(rep.PairRatios, ratio(p99[1], p99[0]))
		r.logf("  pair %d: p99 %.1f ms without, %.1f ms with batch", pair+1, p99[0], p99[1])
	}
	rep.fill(sets)
	return rep, nil
}

func (r *runner) impactRun(ctx context.Context, plan []send, withBatch bool, rep *impactReport) ([]result, error) {
	if !withBatch {
		if err := sleep(ctx, settleTime); err != nil {
			return nil, err
		}
		return openLoop(ctx, plan, r.complete), ctx.Err()
	}
	jobs, err := r.startBatch(ctx, jobItems)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	begin := time.Now()
	results := openLoop(ctx, plan, r.complete)
	used, err := r.batchUse(ctx, begin, begin.Add(r.segment))
	if err != nil {
		return nil, err
	}
	rep.Segments = append(rep.Segments, used)
	return results, jobs.stop(ctx)
}

func (rep *impactReport) fill(sets [2][]result) {
	total0, first0 := latency(sets[0])
	total1, first1 := latency(sets[1])
	rep.Without, rep.With = total0.quantiles(), total1.quantiles()
	rep.FirstWithout, rep.FirstWith = first0.quantiles(), first1.quantiles()
	rep.RatioP99 = ratio(rep.With.P99, rep.Without.P99)
	rep.RatioP999 = ratio(rep.With.P999, rep.Without.P999)
	rep.RatioFirst99 = ratio(rep.FirstWith.P99, rep.FirstWithout.P99)
	rep.Outcomes = [2]outcomes{countOutcomes(sets[0]), countOutcomes(sets[1])}
	rep.Batch = sumBatch(rep.Segments)
}

// ratio is 0 when there is nothing to compare with.
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
