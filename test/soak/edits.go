package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstep/test/harness"
)

// editEvery is the time between edits of a row.
const editEvery = 5 * time.Second

// editedRow is what the edits of a workspace's weight may have led to.
type editedRow struct {
	revision int64   // of the last acknowledged edit
	weight   float64 // of the last acknowledged edit
	unknown  []float64
}

// edits changes the weight of random rows. The rates stay as they are, so
// that the rate bound can be computed from one rate. Edits follow one another,
// so that a later acknowledged edit replaces all earlier ones.
func (l *load) edits(ctx context.Context, rng *rand.Rand) {
	for wait(ctx, editEvery) {
		row := l.d.Layout.Workspaces[rng.IntN(len(l.d.Layout.Workspaces))]
		row.Weight = float64(1 + rng.IntN(1000))
		l.edit(rng.IntN(len(l.d.Hosts)), row)
	}
}

func (l *load) edit(host int, row harness.WorkspaceSpec) {
	ctx, cancel := callContext()
	defer cancel()
	result, err := l.d.Operator(host).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	l.mu.Lock()
	defer l.mu.Unlock()
	edited := l.rows[row.Name]
	if edited == nil {
		edited = &editedRow{}
		l.rows[row.Name] = edited
	}
	if err != nil {
		edited.unknown = append(edited.unknown, row.Weight)
		l.tl.add("edit", "not acknowledged", row.Name, "%v", err)
		return
	}
	*edited = editedRow{revision: result.Revision, weight: row.Weight}
	l.tl.add("edit", "acknowledged", row.Name, "revision %d by %s", result.Revision, l.d.Hosts[host].Name)
}

// mayBe reports whether the weight can be in force after all edits.
func (r *editedRow) mayBe(weight float64) bool {
	return weight == r.weight || slices.Contains(r.unknown, weight)
}

// checkEdits verifies I13: every host has the last acknowledged edit of each
// row in force, or a later one whose outcome the operator was not told.
func (l *load) checkEdits(ctx context.Context) {
	for i, h := range l.d.Hosts {
		got, err := l.d.Operator(i).Config(ctx)
		if err != nil {
			l.tl.violate("I13", h.Name, "%v", err)
			continue
		}
		for name, row := range l.rows {
			if row.revision == 0 {
				continue // nothing was acknowledged
			}
			if got.Revision < row.revision || !row.mayBe(got.Workspaces[name].Weight) {
				l.tl.violate("I13", h.Name, "row %s has weight %g at revision %d; the edit to %g was acknowledged at revision %d, unknown since then: %v",
					name, got.Workspaces[name].Weight, got.Revision, row.weight, row.revision, row.unknown)
			}
		}
	}
	l.tl.add("check", "edits", "", "%d rows", len(l.rows))
}
