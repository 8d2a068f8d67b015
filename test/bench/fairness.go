package main

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"ragwortstep/test/harness"
)

const (
	// overload is each workspace's offered load relative to its entitlement.
	overload = 2.0
	// hostSkew is the ratio of the traffic of one host to that of the next.
	hostSkew = 1.5
	// fillTime is the beginning of the run that is not counted, in which queues fill.
	fillTime = 4 * time.Second
)

// fairnessReport compares what each workspace received with its entitlement
// by weight while all are backlogged.
type fairnessReport struct {
	Worst      float64            `json:"worst"` // least received / entitled
	Workspace  string             `json:"workspace"`
	Received   map[string]float64 `json:"received_of_entitled"`
	TokensPerS float64            `json:"tokens_per_s"`
	OfCapacity float64            `json:"of_capacity"`
	Outcomes   outcomes           `json:"outcomes"`
}

// fairness offers each workspace's double entitlement, spread unevenly over the hosts.
func (r *runner) fairness(ctx context.Context) (*fairnessReport, error) {
	length := fillTime + r.segment
	results := openLoop(ctx, r.skewedPlan(length), r.complete)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	received := make([]float64, len(r.d.Layout.Workspaces))
	total := 0.0
	for _, res := range results {
		end := res.At + res.Total
		if res.Verdict != harness.Complete || end < fillTime || end >= length {
			continue
		}
		received[res.Workspace] += float64(res.Answer.Tokens)
		total += float64(res.Answer.Tokens)
	}
	rep := &fairnessReport{
		Received: map[string]float64{}, Outcomes: countOutcomes(results),
		TokensPerS: total / r.segment.Seconds(), OfCapacity: total / r.segment.Seconds() / r.d.Layout.Capacity(),
	}
	rep.judge(r.d.Layout.Workspaces, received, total)
	return rep, nil
}

func (rep *fairnessReport) judge(workspaces []harness.WorkspaceSpec, received []float64, total float64) {
	weights := 0.0
	for _, w := range workspaces {
		weights += w.Weight
	}
	for i, w := range workspaces {
		part := ratio(received[i], total*w.Weight/weights)
		rep.Received[w.Name] = part
		if rep.Workspace == "" || part < rep.Worst {
			rep.Worst, rep.Workspace = part, w.Name
		}
	}
}

// skewedPlan draws the arrivals of each workspace by itself, with an order of
// hosts of its own in which each gets hostSkew times the traffic of the next.
func (r *runner) skewedPlan(length time.Duration) []send {
	var out []send
	weights := r.weights()
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		rng := harness.Rand(r.seed + 100 + uint64(i))
		hosts := skewedHosts(rng, len(r.d.Hosts))
		rate := overload * r.requestRate(1) * w / sum
		for _, at := range arrivals(rng, steady(rate), rate, length) {
			out = append(out, send{At: at, Workspace: i, Host: pick(rng, hosts), Tokens: answerLength(rng), Stream: rng.Float64() < streamedPart})
		}
	}
	sort.SliceStable(out, func(a, b int) bool { return out[a].At < out[b].At })
	return out
}

func skewedHosts(rng *rand.Rand, n int) []float64 {
	weights := make([]float64, n)
	weight := 1.0
	for _, host := range rng.Perm(n) {
		weights[host] = weight
		weight /= hostSkew
	}
	return weights
}
