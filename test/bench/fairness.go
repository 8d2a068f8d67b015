package main

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"ragwortstep/test/harness"
)

const (
	// overloadFactor is each workspace's offered load relative to its entitled
	// share of the capacity.
	overloadFactor = 2.0
	// hostSkew is the ratio of the traffic of one host to that of the next.
	hostSkew = 1.5
	// warmUpTime is the time at the start of a run that is not counted, because
	// the queues are still filling.
	warmUpTime = 4 * time.Second
)

// fairnessReport compares the tokens that each workspace received with its
// entitlement by weight while all workspaces are backlogged.
type fairnessReport struct {
	Worst      float64            `json:"worst"`     // lowest ratio of received to entitled tokens
	Workspace  string             `json:"workspace"` // the one with the lowest ratio
	Received   map[string]float64 `json:"received_of_entitled"`
	TokensPerS float64            `json:"tokens_per_s"`
	OfCapacity float64            `json:"of_capacity"`
	Outcomes   outcomes           `json:"outcomes"`
}

// fairness offers overloadFactor times each workspace's entitlement, spread
// unevenly over the hosts, and compares what the workspaces receive.
func (r *runner) fairness(ctx context.Context) (*fairnessReport, error) {
	length := warmUpTime + r.segment
	results := openLoop(ctx, r.skewedPlan(length), r.complete)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	received := make([]float64, len(r.d.Layout.Workspaces))
	total := 0.0
	for _, res := range results {
		end := res.At + res.Total
		if res.Verdict != harness.Complete || end < warmUpTime || end >= length {
			continue
		}
		received[res.Workspace] += float64(res.Answer.Tokens)
		total += float64(res.Answer.Tokens)
	}
	rep := &fairnessReport{
		Received: map[string]float64{}, Outcomes: countOutcomes(results),
		TokensPerS: total / r.segment.Seconds(), OfCapacity: total / r.segment.Seconds() / r.d.Layout.Capacity(),
	}
	rep.compareShares(r.d.Layout.Workspaces, received, total)
	return rep, nil
}

// compareShares sets the ratio of received to entitled tokens of each workspace,
// and the lowest of them.
func (rep *fairnessReport) compareShares(workspaces []harness.WorkspaceSpec, received []float64, total float64) {
	weights := 0.0
	for _, w := range workspaces {
		weights += w.Weight
	}
	for i, w := range workspaces {
		share := ratio(received[i], total*w.Weight/weights)
		rep.Received[w.Name] = share
		if rep.Workspace == "" || share < rep.Worst {
			rep.Worst, rep.Workspace = share, w.Name
		}
	}
}

// skewedPlan draws the arrivals of each workspace independently. Each workspace
// has its own random order of hosts, in which each host gets hostSkew times the
// traffic of the next.
func (r *runner) skewedPlan(length time.Duration) []plannedRequest {
	var out []plannedRequest
	weights := r.weights()
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		rng := harness.Rand(r.seed + 100 + uint64(i))
		hosts := skewedHostWeights(rng, len(r.d.Hosts))
		rate := overloadFactor * r.requestRate(1) * w / sum
		for _, at := range arrivals(rng, steady(rate), rate, length) {
			out = append(out, plannedRequest{At: at, Workspace: i, Host: weightedIndex(rng, hosts), Tokens: answerLength(rng), Stream: rng.Float64() < streamedFraction})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

// skewedHostWeights returns weights that fall by hostSkew from host to host, in
// random order.
func skewedHostWeights(rng *rand.Rand, n int) []float64 {
	weights := make([]float64, n)
	weight := 1.0
	for _, host := range rng.Perm(n) {
		weights[host] = weight
		weight /= hostSkew
	}
	return weights
}
