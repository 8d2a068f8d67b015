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

	// A streaming run of at least 40,000 tokens/s over 500 streams. The rate
	// per stream makes up for the beginning, in which all prompts are processed.
	streams       = 500
	streamEngines = 8
	tokensPerStr  = 85 // per stream and second
	streamStep    = time.Second / tokensPerStr
	streamSlots   = 128
)

// overheadReport compares calls through one host with calls sent directly to
// the same server, interleaved.
type overheadReport struct {
	Direct        quantiles    `json:"direct"`
	Through       quantiles    `json:"through_host"`
	AddedP50      float64      `json:"added_p50_ms"`
	AddedP99      float64      `json:"added_p99_ms"`
	CPUPerRequest float64      `json:"cpu_per_request_us"`
	Outcomes      outcomes     `json:"outcomes"`
	Streaming     *streamSpeed `json:"streaming"`
}

// streamSpeed is a streaming run, through the host and directly.
type streamSpeed struct {
	Direct      streamRun `json:"direct"`
	Through     streamRun `json:"through_host"`
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
		Workspaces: []harness.WorkspaceSpec{{Name: "bench", Weight: 1, Rate: openRate, Burst: openBurst, MaxQueue: 10000}},
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

// overhead runs on a deployment of overheadLayout.
func (r *runner) overhead(ctx context.Context) (*overheadReport, error) {
	rep := &overheadReport{}
	if err := r.calls(ctx, rep); err != nil {
		return nil, err
	}
	var err error
	rep.Streaming, err = r.streaming(ctx)
	return rep, err
}

func (r *runner) calls(ctx context.Context, rep *overheadReport) error {
	host := r.d.Hosts[0]
	key := r.d.Keys["bench"].Raw
	targets := [2]*harness.Caller{
		{BaseURL: "http://" + r.d.Services[0].Via, Client: harness.NewHTTPClient()},
		{BaseURL: host.DirectURL(), Key: key, Client: harness.NewHTTPClient()},
	}
	var all [2][]result
	var cpu time.Duration
	path := r.d.Layout.ReadsPrefix() + "bench"
	for pair := range pairs {
		rng := harness.Rand(r.seed + 300 + uint64(pair))
		plan := mixedPlan(rng, steady(overheadRate), overheadRate, r.segment/2, []float64{1}, 1)
		for i, target := range targets {
			before, err := cpuTime(host.PID())
			if err != nil {
				return err
			}
			all[i] = append(all[i], openLoop(ctx, plan, func(ctx context.Context, _ send) harness.Answer {
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
	direct, _ := latency(all[0])
	through, _ := latency(all[1])
	rep.Direct, rep.Through = direct.quantiles(), through.quantiles()
	rep.AddedP50 = rep.Through.P50 - rep.Direct.P50
	rep.AddedP99 = rep.Through.P99 - rep.Direct.P99
	rep.CPUPerRequest = ratio(float64(cpu.Microseconds()), float64(len(all[1])))
	rep.Outcomes = countOutcomes(all[1])
	return ctx.Err()
}

func (r *runner) streaming(ctx context.Context) (*streamSpeed, error) {
	host := r.d.Hosts[0]
	seconds := int(r.segment.Seconds())
	var direct []*harness.Caller
	for _, e := range r.d.Engines {
		direct = append(direct, &harness.Caller{BaseURL: "http://" + e.Via, Model: r.d.Layout.Model, Client: harness.NewHTTPClient()})
	}
	through := &harness.Caller{BaseURL: host.DirectURL(), Key: r.d.Keys["bench"].Raw, Model: r.d.Layout.Model, Client: harness.NewHTTPClient()}
	rep := &streamSpeed{}
	rep.Direct = streamAll(ctx, seconds, func(i int) *harness.Caller { return direct[i%len(direct)] })
	before, err := cpuTime(host.PID())
	if err != nil {
		return nil, err
	}
	rep.Through = streamAll(ctx, seconds, func(int) *harness.Caller { return through })
	after, err := cpuTime(host.PID())
	if err != nil {
		return nil, err
	}
	tokens := rep.Through.TokensPerS * rep.Through.Seconds
	rep.CPUPerToken = ratio(float64((after - before).Microseconds()), tokens)
	rep.HostCores = ratio((after - before).Seconds(), rep.Through.Seconds)
	rep.HostRSS, err = residentMB(host.PID())
	return rep, errors.CombineErrors(err, ctx.Err())
}

// streamAll runs all streams at once for the given time.
func streamAll(ctx context.Context, seconds int, target func(i int) *harness.Caller) streamRun {
	plan := make([]send, streams)
	for i := range plan {
		plan[i] = send{Host: i, Tokens: seconds * tokensPerStr}
	}
	begin := time.Now()
	results := openLoop(ctx, plan, func(ctx context.Context, s send) harness.Answer {
		return target(s.Host).Complete(ctx, harness.Completion{Tokens: s.Tokens, Stream: true, Chat: true})
	})
	run := streamRun{Streams: streams, Seconds: time.Since(begin).Seconds()}
	tokens := 0
	for _, res := range results {
		tokens += res.Answer.Tokens
		if res.Verdict == harness.Complete {
			run.Complete++
		}
	}
	run.TokensPerS = ratio(float64(tokens), run.Seconds)
	_, first := latency(results)
	run.FirstToken = first.quantiles()
	return run
}
