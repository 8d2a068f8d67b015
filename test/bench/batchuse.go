package main

import (
	"context"
	"strings"
	"time"

	"ragwortstep/test/standin/engine"
)

// prefillPerToken is the engines' time per prompt token at speed 1, their default.
const prefillPerToken = 40 * time.Microsecond

// batchReport is the batch work within a window of time. Work is counted in
// token equivalents: tokens made, and prompt tokens processed at the rate at
// which they displace made tokens. Only requests that finished count, and a
// repeated item counts once.
type batchReport struct {
	Seconds     float64 `json:"seconds"`
	Items       int     `json:"items"`
	ItemsPerSec float64 `json:"items_per_s"`
	BatchWork   float64 `json:"batch_work"`
	OnlineWork  float64 `json:"online_work"`
	Capacity    float64 `json:"capacity"`      // of all engines at their knees, over the window
	ShareOfLeft float64 `json:"share_of_left"` // batch work / (capacity - online work)
	Repeated    int     `json:"repeated"`      // finished again after an earlier finish
	Discarded   int     `json:"discarded"`     // cancelled, crashed or cut
}

// batchUse reads the engines' ledgers for the window.
func (r *runner) batchUse(ctx context.Context, begin, end time.Time) (*batchReport, error) {
	rep := &batchReport{Seconds: end.Sub(begin).Seconds()}
	seen := map[string]bool{}
	for _, e := range r.d.Engines {
		records, err := e.Records(ctx, 0)
		if err != nil {
			return nil, err
		}
		tokensPerPrompt := prefillPerToken.Seconds() * float64(e.Spec.Knee) / e.Spec.Step.Seconds()
		for _, rec := range records {
			if rec.EndedMS < begin.UnixMilli() || rec.EndedMS >= end.UnixMilli() {
				continue
			}
			rep.count(rec, tokensPerPrompt, seen)
		}
		rep.Capacity += float64(e.Spec.Knee) * e.Spec.Speed / e.Spec.Step.Seconds() * rep.Seconds
		if err := e.Reset(ctx); err != nil {
			return nil, err
		}
	}
	rep.finish()
	return rep, nil
}

func (b *batchReport) count(rec engine.Record, tokensPerPrompt float64, seen map[string]bool) {
	work := float64(rec.Tokens) + float64(rec.PromptTokens+rec.ResumeFrom-rec.CachedTokens)*tokensPerPrompt
	finished := rec.Outcome == "finished"
	switch {
	case !strings.HasPrefix(rec.ID, "batch"):
		b.OnlineWork += work
	case !finished:
		b.Discarded++
	case seen[rec.ID]:
		b.Repeated++
	default:
		seen[rec.ID] = true
		b.Items++
		b.BatchWork += work
	}
}

func (b *batchReport) finish() {
	b.ItemsPerSec = ratio(float64(b.Items), b.Seconds)
	b.ShareOfLeft = ratio(b.BatchWork, b.Capacity-b.OnlineWork)
}

func sumBatch(list []*batchReport) *batchReport {
	sum := &batchReport{}
	for _, b := range list {
		sum.Seconds += b.Seconds
		sum.Items += b.Items
		sum.BatchWork += b.BatchWork
		sum.OnlineWork += b.OnlineWork
		sum.Capacity += b.Capacity
		sum.Repeated += b.Repeated
		sum.Discarded += b.Discarded
	}
	sum.finish()
	return sum
}
