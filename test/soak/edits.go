package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstep/test/harness"
)

// editInterval is the time between edits of a row.
const editInterval = 5 * time.Second

// rowState holds the weights that a workspace's row may have after the edits so far.
type rowState struct {
	revision       int64     // of the last acknowledged edit
	weight         float64   // of the last acknowledged edit
	unacknowledged []float64 // weights of later edits, which may or may not be applied
}

// editRows changes the weights of random rows. It keeps their rates, because
// checkRate computes the bound from a single rate. It waits for the outcome of
// each edit, so that a later acknowledged edit replaces all earlier ones.
func (l *load) editRows(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, editInterval) {
		row := l.d.Layout.Workspaces[rng.IntN(len(l.d.Layout.Workspaces))]
		row.Weight = float64(1 + rng.IntN(1000))
		l.editRow(rng.IntN(len(l.d.Hosts)), row)
	}
}

func (l *load) editRow(host int, row harness.WorkspaceSpec) {
	ctx, cancel := callContext()
	defer cancel()
	result, err := l.d.Operator(host).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	edited := l.rows[row.Name]
	if edited == nil {
		edited = &rowState{}
		l.rows[row.Name] = edited
	}
	if err != nil {
		edited.unacknowledged = append(edited.unacknowledged, row.Weight)
		l.tl.add("edit", "not acknowledged", row.Name, "%v", err)
		return
	}
	*edited = rowState{revision: result.Revision, weight: row.Weight}
	l.tl.add("edit", "acknowledged", row.Name, "revision %d by %s", result.Revision, l.d.Hosts[host].Name)
}

// allows reports whether the row may have the weight after all edits.
func (r *rowState) allows(weight float64) bool {
	return weight == r.weight || slices.Contains(r.unacknowledged, weight)
}

// checkEdits verifies I13: every host applies the last acknowledged edit of each
// row, or a later one that was not acknowledged.
func (l *load) checkEdits(ctx context.Context) {
	for i, h := range l.d.Hosts {
		got, err := l.d.Operator(i).Config(ctx)
		if err != nil {
			l.tl.addViolation("I13", h.Name, "%v", err)
			continue
		}
		for name, row := range l.rows {
			if row.revision == 0 {
				continue // no edit was acknowledged
			}
			if got.Revision < row.revision || !row.allows(got.Workspaces[name].Weight) {
				l.tl.addViolation("I13", h.Name, "row %s has weight %g at revision %d; the edit to %g was acknowledged at revision %d; later unacknowledged weights: %v",
					name, got.Workspaces[name].Weight, got.Revision, row.weight, row.revision, row.unacknowledged)
			}
		}
	}
	l.tl.add("check", "edits", "", "%d rows", len(l.rows))
}
