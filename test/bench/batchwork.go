package main

import (
	"context"
	"strings"
	"time"

	"ragwortstep/test/standin/engine"
)

// prefillPerToken is the default time that engine stand-ins take per prompt
// token at speed 1.
const prefillPerToken = 40 * time.Microsecond

// batchReport is the batch work that ended within a window of time. Work is
// counted in token equivalents: generated tokens, plus uncached prompt tokens
// weighted by the number of tokens that could be generated in the time of their
// prefill. Of batch work, only finished requests count, and a repeated item
// counts once.
type batchReport struct {
	Seconds     float64 `json:"seconds"`
	Items       int     `json:"items"`
	ItemsPerSec float64 `json:"items_per_s"`
	BatchWork   float64 `json:"batch_work"`
	OnlineWork  float64 `json:"online_work"`
	Capacity    float64 `json:"capacity"`      // tokens of all engines at their knee concurrency, over the window
	ShareOfLeft float64 `json:"share_of_left"` // batch work / (capacity - online work)
	Repeated    int     `json:"repeated"`      // finished again after an earlier finish
	Discarded   int     `json:"discarded"`     // did not finish: cancelled, crashed or cut off
}

// batchWork reports the work that the engines' ledgers show for the window, and
// clears the ledgers.
func (r *runner) batchWork(ctx context.Context, begin, end time.Time) (*batchReport, error) {
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
			rep.addRecord(rec, tokensPerPrompt, seen)
		}
		rep.Capacity += float64(e.Spec.Knee) * e.Spec.Speed / e.Spec.Step.Seconds() * rep.Seconds
		if err := e.ResetLedger(ctx); err != nil {
			return nil, err
		}
	}
	rep.computeRates()
	return rep, nil
}

func (b *batchReport) addRecord(rec engine.Record, tokensPerPrompt float64, seen map[string]bool) {
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

func (b *batchReport) computeRates() {
	b.ItemsPerSec = ratio(float64(b.Items), b.Seconds)
	b.ShareOfLeft = ratio(b.BatchWork, b.Capacity-b.OnlineWork)
}

func sumBatchReports(list []*batchReport) *batchReport {
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
	sum.computeRates()
	return sum
}
