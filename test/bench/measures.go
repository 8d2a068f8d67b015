package main

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"ragwortstep/test/harness"
)

// report is the JSON report of one run. Measurements that did not run are absent.
type report struct {
	Deployment  string           `json:"deployment"`
	Seed        uint64           `json:"seed"`
	Policy      policy           `json:"policy"`
	Segment     float64          `json:"segment_s"`
	Load        float64          `json:"load"`
	StartedAt   time.Time        `json:"started_at"`
	LoadAverage [2]float64       `json:"load_average"` // at the start and at the end
	Online      *onlineReport    `json:"online,omitempty"`
	Impact      *impactReport    `json:"impact,omitempty"`
	Batch       *batchReport     `json:"batch,omitempty"`
	Fairness    *fairnessReport  `json:"fairness,omitempty"`
	Rejections  *rejectionReport `json:"rejections,omitempty"`
	Overhead    *overheadReport  `json:"overhead,omitempty"`
}

// onlineReport describes a run of steady online load without batch work.
type onlineReport struct {
	Total      quantiles `json:"total"`
	FirstToken quantiles `json:"first_token"`
	Outcomes   outcomes  `json:"outcomes"`
}

// measure is a measurement that fills in one entry of the report.
type measure struct {
	name string
	run  func(ctx context.Context, r *runner, rep *report) error
}

// measureAll runs the selected measurements. When one fails, it still writes a
// report with the results of the earlier ones.
func measureAll(ctx context.Context, c *cli.Command) error {
	names, err := selectedMeasures(c)
	if err != nil {
		return err
	}
	opts, err := options(c)
	if err != nil {
		return err
	}
	rep := &report{
		Deployment: opts.Layout.Name, Seed: opts.Seed, Policy: policyFromFlags(c), Segment: c.Duration("segment").Seconds(),
		Load: c.Float64("load"), StartedAt: time.Now(),
		LoadAverage: [2]float64{loadAverage()},
	}
	runErr := runMeasures(ctx, c, opts, deploymentMeasures(names), rep)
	if runErr == nil && names["overhead"] {
		opts.Layout = overheadLayout()
		runErr = runMeasures(ctx, c, opts, []measure{{"overhead", measureOverhead}}, rep)
	}
	rep.LoadAverage[1] = loadAverage()
	return errors.CombineErrors(runErr, writeReport(c, "bench", rep))
}

func deploymentMeasures(names map[string]bool) []measure {
	var out []measure
	for _, m := range []measure{
		{"online", measureOnline},
		{"impact", measureImpact},
		{"batch", measureBatch},
		{"fairness", measureFairness},
		{"rejections", measureRejections},
	} {
		if names[m.name] {
			out = append(out, m)
		}
	}
	return out
}

// runMeasures starts a deployment and runs the measurements on it.
func runMeasures(ctx context.Context, c *cli.Command, opts harness.Options, measures []measure, rep *report) error {
	if len(measures) == 0 {
		return nil
	}
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return err
	}
	defer d.Close()
	r := newRunner(d, opts.Seed, c.Duration("segment"), c.Float64("load"), os.Stdout)
	for _, m := range measures {
		r.logf("%s:", m.name)
		if err := m.run(ctx, r, rep); err != nil {
			return errors.Wrapf(err, "measure %s", m.name)
		}
	}
	return nil
}

func measureOnline(ctx context.Context, r *runner, rep *report) error {
	if err := r.setUnlimitedTable(ctx); err != nil {
		return err
	}
	rate := r.requestRate(r.load)
	plan := mixedPlan(harness.Rand(r.seed), steady(rate), rate, 2*r.segment, r.weights(), len(r.d.Hosts))
	results := openLoop(ctx, plan, r.complete)
	total, first := collectLatencies(results)
	rep.Online = &onlineReport{Total: total.quantiles(), FirstToken: first.quantiles(), Outcomes: countOutcomes(results)}
	r.logf("  %.0f requests/s at %.0f%% load: p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms; first token p99 %.1f ms; %v",
		rate, 100*r.load, rep.Online.Total.P50, rep.Online.Total.P99, rep.Online.Total.P999, rep.Online.FirstToken.P99, rep.Online.Outcomes.Verdicts)
	return ctx.Err()
}

func measureImpact(ctx context.Context, r *runner, rep *report) error {
	if err := r.setUnlimitedTable(ctx); err != nil {
		return err
	}
	high := r.requestRate(burstHighLoad)
	var err error
	if rep.Impact, err = r.impact(ctx, bursts(r.requestRate(burstLowLoad), high, burstPeriod), high); err != nil {
		return err
	}
	out := rep.Impact
	r.logf("  latency ratios with / without batch: p99 %.2f, p99.9 %.2f, first token p99 %.2f; batch %.1f items/s, %.0f%% of the capacity left by online work",
		out.RatioP99, out.RatioP999, out.RatioFirstP99, out.Batch.ItemsPerSec, 100*out.Batch.ShareOfLeft)
	return nil
}

// measureBatch runs batch jobs during steady online load at half of the capacity.
func measureBatch(ctx context.Context, r *runner, rep *report) error {
	if err := r.setUnlimitedTable(ctx); err != nil {
		return err
	}
	const onlineLoad = 0.5
	rate := r.requestRate(onlineLoad)
	plan := mixedPlan(harness.Rand(r.seed+50), steady(rate), rate, 2*r.segment, r.weights(), len(r.d.Hosts))
	jobs, err := r.startBatch(ctx, itemsPerJob)
	if err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	begin := time.Now()
	openLoop(ctx, plan, r.complete)
	if rep.Batch, err = r.batchWork(ctx, begin, begin.Add(2*r.segment)); err != nil {
		return err
	}
	r.logf("  %.1f items/s, %.0f%% of the capacity left by online work; %d repeated, %d discarded",
		rep.Batch.ItemsPerSec, 100*rep.Batch.ShareOfLeft, rep.Batch.Repeated, rep.Batch.Discarded)
	return jobs.stop(ctx)
}

func measureFairness(ctx context.Context, r *runner, rep *report) error {
	err := r.setUnlimitedTable(ctx)
	if err == nil {
		rep.Fairness, err = r.fairness(ctx)
	}
	if err != nil {
		return err
	}
	r.logf("  lowest share: %s received %.3f of its entitlement; %.0f tokens/s, %.0f%% of the capacity",
		rep.Fairness.Workspace, rep.Fairness.Worst, rep.Fairness.TokensPerS, 100*rep.Fairness.OfCapacity)
	return nil
}

func measureRejections(ctx context.Context, r *runner, rep *report) error {
	err := r.setTable(ctx, r.d.Layout.Workspaces)
	if err == nil {
		rep.Rejections, err = r.rejections(ctx)
	}
	if err != nil {
		return err
	}
	out := rep.Rejections
	r.logf("  false rejections: %d of %d entitled requests, %.3f%%; %d of %d requests failed for other reasons", out.FalseRejections, out.Entitled, 100*out.Rate, out.OtherRefused, out.Sent)
	return nil
}

func measureOverhead(ctx context.Context, r *runner, rep *report) error {
	var err error
	if rep.Overhead, err = r.overhead(ctx); err != nil {
		return err
	}
	out := rep.Overhead
	r.logf("  latency added by the host: p50 %.2f ms, p99 %.2f ms; %.0f us CPU per request", out.AddedP50, out.AddedP99, out.CPUPerRequest)
	r.logf("  streaming: %.0f tokens/s through the host, %.0f directly; host uses %.2f us CPU per token, %.2f cores",
		out.Streaming.ThroughHost.TokensPerS, out.Streaming.Direct.TokensPerS, out.Streaming.CPUPerToken, out.Streaming.HostCores)
	return nil
}
