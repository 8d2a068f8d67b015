package main

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

const (
	// overheadRate is the rate of calls in requests/s, far below saturation.
	overheadRate = 400.0

	// A streaming run has to reach at least 40,000 tokens/s over 500 streams. The
	// rate per stream is higher than the average of 80 that this needs, because
	// at the start all prompts are processed and no tokens are streamed.
	streamCount     = 500
	streamEngines   = 8
	streamTokenRate = 85 // tokens/s of each stream
	streamStep      = time.Second / streamTokenRate
	streamSlots     = 128
)

// overheadReport compares calls through one host with calls sent directly to the
// same server, in interleaved runs.
type overheadReport struct {
	Direct        quantiles        `json:"direct"`
	ThroughHost   quantiles        `json:"through_host"`
	AddedP50      float64          `json:"added_p50_ms"`
	AddedP99      float64          `json:"added_p99_ms"`
	CPUPerRequest float64          `json:"cpu_per_request_us"`
	Outcomes      outcomes         `json:"outcomes"`
	Streaming     *streamingReport `json:"streaming"`
}

// streamingReport compares streaming through the host with streaming directly
// from the engines.
type streamingReport struct {
	Direct      streamRun `json:"direct"`
	ThroughHost streamRun `json:"through_host"`
	CPUPerToken float64   `json:"cpu_per_token_us"`
	HostCores   float64   `json:"host_cores"`
	HostRSS     float64   `json:"host_rss_mb"`
}

type streamRun struct {
	Streams    int       `json:"streams"`
	Complete   int       `json:"complete"`
	TokensPerS float64   `json:"tokens_per_s"`
	FirstToken quantiles `json:"first_token"`
	Seconds    float64   `json:"seconds"`
}

// overheadLayout has one host, one service and engines for the streaming run,
// without delays between zones.
func overheadLayout() harness.Layout {
	l := harness.Layout{
		Name: "overhead", Zones: []string{"zone-a"}, Model: "bench-lm", Service: "bench-app", Prefix: "/bench/",
		Workspaces: []harness.WorkspaceSpec{{Name: "bench", Weight: 1, Rate: unlimitedRate, Burst: unlimitedBurst, MaxQueue: 10000}},
		Services:   []harness.ServiceSpec{{Name: "bench-app-01", Zone: "zone-a", Speed: 1, Slots: 256, Work: time.Millisecond}},
	}
	l.SetHosts(1)
	for i := range streamEngines {
		l.Engines = append(l.Engines, harness.EngineSpec{
			Name: "engine-0" + string(rune('1'+i)), Zone: "zone-a", Speed: 1, Slots: streamSlots, Knee: streamSlots, Step: streamStep,
		})
	}
	return l
}

// overhead measures the overhead of the host. It needs a deployment of
// overheadLayout.
func (r *runner) overhead(ctx context.Context) (*overheadReport, error) {
	rep := &overheadReport{}
	if err := r.measureCalls(ctx, rep); err != nil {
		return nil, err
	}
	var err error
	rep.Streaming, err = r.measureStreaming(ctx)
	return rep, err
}

func (r *runner) measureCalls(ctx context.Context, rep *overheadReport) error {
	host := r.d.Hosts[0]
	key := r.d.Keys["bench"].Raw
	targets := [2]*harness.Caller{
		{BaseURL: "http://" + r.d.Services[0].RelayAddress, Client: harness.NewHTTPClient()},
		{BaseURL: host.DirectURL(), Key: key, Client: harness.NewHTTPClient()},
	}
	var all [2][]result
	var cpu time.Duration
	path := r.d.Layout.ReadsPrefix() + "bench"
	for pair := range pairCount {
		rng := harness.Rand(r.seed + 300 + uint64(pair))
		plan := mixedPlan(rng, steady(overheadRate), overheadRate, r.segment/2, []float64{1}, 1)
		for i, target := range targets {
			before, err := cpuTime(host.PID())
			if err != nil {
				return err
			}
			all[i] = append(all[i], openLoop(ctx, plan, func(ctx context.Context, _ plannedRequest) harness.Answer {
				return target.Call(ctx, http.MethodGet, path, harness.NewTag(), "")
			})...)
			after, err := cpuTime(host.PID())
			if err != nil {
				return err
			}
			if i == 1 {
				cpu += after - before
			}
		}
	}
	direct, _ := collectLatencies(all[0])
	through, _ := collectLatencies(all[1])
	rep.Direct, rep.ThroughHost = direct.quantiles(), through.quantiles()
	rep.AddedP50 = rep.ThroughHost.P50 - rep.Direct.P50
	rep.AddedP99 = rep.ThroughHost.P99 - rep.Direct.P99
	rep.CPUPerRequest = ratio(float64(cpu.Microseconds()), float64(len(all[1])))
	rep.Outcomes = countOutcomes(all[1])
	return ctx.Err()
}

func (r *runner) measureStreaming(ctx context.Context) (*streamingReport, error) {
	host := r.d.Hosts[0]
	seconds := int(r.segment.Seconds())
	var direct []*harness.Caller
	for _, e := range r.d.Engines {
		direct = append(direct, &harness.Caller{BaseURL: "http://" + e.RelayAddress, Model: r.d.Layout.Model, Client: harness.NewHTTPClient()})
	}
	through := &harness.Caller{BaseURL: host.DirectURL(), Key: r.d.Keys["bench"].Raw, Model: r.d.Layout.Model, Client: harness.NewHTTPClient()}
	rep := &streamingReport{}
	rep.Direct = runStreams(ctx, seconds, func(i int) *harness.Caller { return direct[i%len(direct)] })
	before, err := cpuTime(host.PID())
	if err != nil {
		return nil, err
	}
	rep.ThroughHost = runStreams(ctx, seconds, func(int) *harness.Caller { return through })
	after, err := cpuTime(host.PID())
	if err != nil {
		return nil, err
	}
	tokens := rep.ThroughHost.TokensPerS * rep.ThroughHost.Seconds
	rep.CPUPerToken = ratio(float64((after - before).Microseconds()), tokens)
	rep.HostCores = ratio((after - before).Seconds(), rep.ThroughHost.Seconds)
	rep.HostRSS, err = residentMB(host.PID())
	return rep, errors.CombineErrors(err, ctx.Err())
}

// runStreams runs streamCount streams at the same time, each long enough for the
// given number of seconds.
func runStreams(ctx context.Context, seconds int, target func(i int) *harness.Caller) streamRun {
	plan := make([]plannedRequest, streamCount)
	for i := range plan {
		plan[i] = plannedRequest{Host: i, Tokens: seconds * streamTokenRate}
	}
	begin := time.Now()
	results := openLoop(ctx, plan, func(ctx context.Context, s plannedRequest) harness.Answer {
		return target(s.Host).Complete(ctx, harness.Completion{Tokens: s.Tokens, Stream: true, Chat: true})
	})
	run := streamRun{Streams: streamCount, Seconds: time.Since(begin).Seconds()}
	tokens := 0
	for _, res := range results {
		tokens += res.Answer.Tokens
		if res.Verdict == harness.Complete {
			run.Complete++
		}
	}
	run.TokensPerS = ratio(float64(tokens), run.Seconds)
	_, first := collectLatencies(results)
	run.FirstToken = first.quantiles()
	return run
}
