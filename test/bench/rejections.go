package main

import (
	"context"
	"net/http"
	"sort"
	"time"

	"ragwortstep/test/harness"
)

const (
	// withinRate is the load of the workspaces that keep to their rate.
	withinRate = 0.8
	// beyondRate is the load of the workspace that does not.
	beyondRate = 5.0
	// rateCode is the error code of a request beyond its workspace's rate.
	rateCode = "rate_limited"
)

// rejectionReport counts refusals for the rate of requests that an ideal
// bucket admits. For a workspace within its rate that is every such refusal.
// For one beyond its rate, the ideal bucket and the fleet admit different
// requests of the same stream, so the numbers admitted are compared.
type rejectionReport struct {
	Sent     int                `json:"sent"`
	Entitled int                `json:"entitled"` // admitted by the ideal bucket
	False    int                `json:"false"`    // entitled beyond what the fleet admitted
	Rate     float64            `json:"rate"`     // false / entitled
	ByName   map[string]float64 `json:"rate_by_workspace"`
	// Hindsight counts refusals at moments at which a bucket debited by the
	// fleet's own admissions held a token. It also counts refusals that a
	// later admission makes up for.
	Hindsight int       `json:"hindsight"`
	Beyond    string    `json:"beyond_rate"`   // workspace that sent several times its rate
	Latency   quantiles `json:"latency"`       // of admitted calls
	Outcomes  outcomes  `json:"outcomes"`      // of all calls
	Other     int       `json:"other_refused"` // refused or broken for another reason
}

// idealBucket is one token bucket for the whole fleet, without delay.
type idealBucket struct {
	rate, burst float64
	tokens      float64
	last        time.Duration
}

func newIdealBucket(rate, burst float64) *idealBucket {
	return &idealBucket{rate: rate, burst: burst, tokens: burst}
}

// entitled advances to the time and reports whether a token is left.
func (b *idealBucket) entitled(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.last).Seconds())
	b.last = at
	return b.tokens >= 1
}

func (b *idealBucket) take() { b.tokens-- }

// replay is the comparison for one workspace.
type replay struct {
	sent, entitled, admitted, refused, hindsight int
}

func (w *replay) falsely() int { return min(w.refused, max(0, w.entitled-w.admitted)) }

// replayOne judges the results of one workspace in the order of their sends.
func replayOne(rate, burst float64, results []result) replay {
	var w replay
	ideal, debited := newIdealBucket(rate, burst), newIdealBucket(rate, burst)
	for _, res := range results {
		w.sent++
		if ideal.entitled(res.At) {
			ideal.take()
			w.entitled++
		}
		had := debited.entitled(res.At)
		if res.Verdict == harness.Refused && res.Code == rateCode {
			w.refused++
			if had {
				w.hindsight++
			}
			continue
		}
		debited.take()
		w.admitted++
	}
	return w
}

// judgeRejections replays the results of all workspaces.
func judgeRejections(workspaces []harness.WorkspaceSpec, results []result) *rejectionReport {
	rep := &rejectionReport{ByName: map[string]float64{}, Outcomes: countOutcomes(results)}
	byWorkspace := make([][]result, len(workspaces))
	for _, res := range results {
		byWorkspace[res.Workspace] = append(byWorkspace[res.Workspace], res)
		if res.Verdict != harness.Complete && res.Code != rateCode {
			rep.Other++
		}
	}
	for i, w := range workspaces {
		one := replayOne(w.Rate, w.Burst, byWorkspace[i])
		rep.Sent += one.sent
		rep.Entitled += one.entitled
		rep.False += one.falsely()
		rep.Hindsight += one.hindsight
		rep.ByName[w.Name] = ratio(float64(one.falsely()), float64(one.entitled))
	}
	rep.Rate = ratio(float64(rep.False), float64(rep.Entitled))
	total, _ := latency(results)
	rep.Latency = total.quantiles()
	return rep
}

// rejections sends idempotent service calls at 0.8 of each workspace's rate,
// except for one small workspace that sends five times its rate. Each
// workspace prefers some hosts.
func (r *runner) rejections(ctx context.Context) (*rejectionReport, error) {
	workspaces := r.d.Layout.Workspaces
	beyond := len(workspaces) - 1
	plan := r.ratePlan(workspaces, beyond)
	path := r.d.Layout.ReadsPrefix() + "bench"
	results := openLoop(ctx, plan, func(ctx context.Context, s send) harness.Answer {
		return r.caller(s.Host, s.Workspace).Call(ctx, http.MethodGet, path, "online-"+harness.NewTag(), "")
	})
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	rep := judgeRejections(workspaces, results)
	rep.Beyond = workspaces[beyond].Name
	return rep, nil
}

func (r *runner) ratePlan(workspaces []harness.WorkspaceSpec, beyond int) []send {
	var out []send
	for i, w := range workspaces {
		rng := harness.Rand(r.seed + 200 + uint64(i))
		hosts := skewedHosts(rng, len(r.d.Hosts))
		rate := withinRate * w.Rate
		if i == beyond {
			rate = beyondRate * w.Rate
		}
		for _, at := range arrivals(rng, steady(rate), rate, 2*r.segment) {
			out = append(out, send{At: at, Workspace: i, Host: pick(rng, hosts)})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}
