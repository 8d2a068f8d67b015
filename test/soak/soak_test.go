package main

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/test/harness"
	"ragwortstep/test/standin/service"
)

// Guards against a rate check that misses an excessive burst or reports an
// allowed one.
func TestWorstExcessOverAnyWindow(t *testing.T) {
	is := is.New(t)
	is.Equal(worstExcess([]int64{0, 0, 0, 1000, 2000}, 1, 3), 0.0)
	is.Equal(worstExcess([]int64{0, 0, 0, 0}, 1, 3), 1.0)
	is.Equal(worstExcess([]int64{0, 60000, 60000, 60000, 60000, 60000, 61000}, 1, 3), 2.0)
}

// Guards against a check that misses a call that ran twice, ran although it was
// refused as not executed, or was answered as complete without having run.
func TestCheckCalls(t *testing.T) {
	is := is.New(t)
	tl, err := newTimeline(filepath.Join(t.TempDir(), "timeline"))
	is.NoErr(err)
	notRun := attempt{verdict: harness.Refused, status: 503, executed: "no"}
	complete := attempt{verdict: harness.Complete, status: 200}
	l := &load{tl: tl, calls: &callLog{attempts: map[string][]attempt{
		"fine": {notRun, complete}, "twice": {complete}, "lied": {notRun, notRun}, "ghost": {complete}, "refused": {notRun},
		"unknown": {notRun, {verdict: harness.Broken}},
	}}}
	all := &ledgers{}
	for _, id := range []string{"fine", "twice", "twice", "lied", "unknown"} {
		all.calls = append(all.calls, recordedCall{Call: service.Call{ID: id}})
	}
	l.checkCalls(all)
	found := map[string]string{}
	for _, v := range tl.violations {
		found[v.Target] = v.Name
	}
	is.Equal(found, map[string]string{"twice": "I10", "lied": "I9", "ghost": "ledger"})
}
