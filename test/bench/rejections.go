package main

import (
	"context"
	"net/http"
	"sort"
	"time"

	"ragwortstep/test/harness"
)

const (
	// compliantLoad is the load, relative to their rate, of the workspaces that
	// stay within it.
	compliantLoad = 0.8
	// excessiveLoad is the load, relative to its rate, of the workspace that
	// exceeds it.
	excessiveLoad = 5.0
	// rateLimitedCode is the error code of a request that exceeds its workspace's rate.
	rateLimitedCode = "rate_limited"
)

// rejectionReport counts false rejections: requests that the fleet refused for
// their rate although an ideal token bucket admits them. For a workspace within
// its rate, every refusal for the rate is false. For a workspace over its rate,
// the ideal bucket and the fleet admit different requests of the same stream, so
// only the numbers of admitted requests are compared.
type rejectionReport struct {
	Sent            int                `json:"sent"`
	Entitled        int                `json:"entitled"` // admitted by the ideal bucket
	FalseRejections int                `json:"false"`    // entitled minus admitted requests, at most the refused ones
	Rate            float64            `json:"rate"`     // false rejections / entitled
	RateByWorkspace map[string]float64 `json:"rate_by_workspace"`
	// RefusedWithToken counts refusals at times when a bucket that is debited
	// only for requests the fleet admitted still held a token. It includes
	// refusals that a later admission makes up for.
	RefusedWithToken int       `json:"hindsight"`
	OverRate         string    `json:"beyond_rate"`   // workspace that exceeded its rate
	Latency          quantiles `json:"latency"`       // of admitted calls
	Outcomes         outcomes  `json:"outcomes"`      // of all calls
	OtherRefused     int       `json:"other_refused"` // refused for another reason, or broken
}

// idealBucket is a token bucket that limits the whole fleet exactly and without delay.
type idealBucket struct {
	rate, burst float64
	tokens      float64
	updatedAt   time.Duration
}

func newIdealBucket(rate, burst float64) *idealBucket {
	return &idealBucket{rate: rate, burst: burst, tokens: burst}
}

// entitled refills the bucket up to the time and reports whether it holds a token
// for a request at that time.
func (b *idealBucket) entitled(at time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(at-b.updatedAt).Seconds())
	b.updatedAt = at
	return b.tokens >= 1
}

func (b *idealBucket) takeToken() { b.tokens-- }

// replayCounts counts the requests of one workspace during a replay.
type replayCounts struct {
	sent, entitled, admitted, refused, refusedWithToken int
}

// falselyRejected returns the number of requests that the ideal bucket admitted
// beyond those that the fleet admitted, limited to the number refused.
func (w *replayCounts) falselyRejected() int { return min(w.refused, max(0, w.entitled-w.admitted)) }

// replayWorkspace replays the requests of one workspace, in the order in which
// they were sent, against ideal token buckets.
func replayWorkspace(rate, burst float64, results []result) replayCounts {
	var w replayCounts
	ideal, debited := newIdealBucket(rate, burst), newIdealBucket(rate, burst)
	for _, res := range results {
		w.sent++
		if ideal.entitled(res.At) {
			ideal.takeToken()
			w.entitled++
		}
		hadToken := debited.entitled(res.At)
		if res.Verdict == harness.Refused && res.Code == rateLimitedCode {
			w.refused++
			if hadToken {
				w.refusedWithToken++
			}
			continue
		}
		debited.takeToken()
		w.admitted++
	}
	return w
}

// evaluateRejections replays the requests of all workspaces and sums the counts.
func evaluateRejections(workspaces []harness.WorkspaceSpec, results []result) *rejectionReport {
	rep := &rejectionReport{RateByWorkspace: map[string]float64{}, Outcomes: countOutcomes(results)}
	byWorkspace := make([][]result, len(workspaces))
	for _, res := range results {
		byWorkspace[res.Workspace] = append(byWorkspace[res.Workspace], res)
		if res.Verdict != harness.Complete && res.Code != rateLimitedCode {
			rep.OtherRefused++
		}
	}
	for i, w := range workspaces {
		one := replayWorkspace(w.Rate, w.Burst, byWorkspace[i])
		rep.Sent += one.sent
		rep.Entitled += one.entitled
		rep.FalseRejections += one.falselyRejected()
		rep.RefusedWithToken += one.refusedWithToken
		rep.RateByWorkspace[w.Name] = ratio(float64(one.falselyRejected()), float64(one.entitled))
	}
	rep.Rate = ratio(float64(rep.FalseRejections), float64(rep.Entitled))
	total, _ := collectLatencies(results)
	rep.Latency = total.quantiles()
	return rep
}

// rejections sends idempotent service calls at compliantLoad of each workspace's
// rate, except for the last workspace, a small one, which sends at
// excessiveLoad. Each workspace's traffic is skewed towards some hosts.
func (r *runner) rejections(ctx context.Context) (*rejectionReport, error) {
	workspaces := r.d.Layout.Workspaces
	overRate := len(workspaces) - 1
	plan := r.ratePlan(workspaces, overRate)
	path := r.d.Layout.ReadsPrefix() + "bench"
	results := openLoop(ctx, plan, func(ctx context.Context, s plannedRequest) harness.Answer {
		return r.caller(s.Host, s.Workspace).Call(ctx, http.MethodGet, path, "online-"+harness.NewTag(), "")
	})
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	rep := evaluateRejections(workspaces, results)
	rep.OverRate = workspaces[overRate].Name
	return rep, nil
}

func (r *runner) ratePlan(workspaces []harness.WorkspaceSpec, overRate int) []plannedRequest {
	var out []plannedRequest
	for i, w := range workspaces {
		rng := harness.Rand(r.seed + 200 + uint64(i))
		hosts := skewedHostWeights(rng, len(r.d.Hosts))
		rate := compliantLoad * w.Rate
		if i == overRate {
			rate = excessiveLoad * w.Rate
		}
		for _, at := range arrivals(rng, steady(rate), rate, 2*r.segment) {
			out = append(out, plannedRequest{At: at, Workspace: i, Host: weightedIndex(rng, hosts)})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}
