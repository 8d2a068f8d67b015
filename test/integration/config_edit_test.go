package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

const (
	// editsPerFault is the number of edits between two changes of the active fault.
	editsPerFault   = 4
	observeInterval = 50 * time.Millisecond
)

// Guards against acknowledged edits that do not reach a host, are reverted, or
// differ between hosts, while watch events and answers are lost and hosts are
// disconnected from the platform, paused, restarted and killed.
func TestEditsAreInForceAndNeverRevert(t *testing.T) {
	edits := sizeFor(40, 200)
	ctx := testContext(t, sizeFor(2*time.Minute, 10*time.Minute))
	_, d := startDeployment(t, harness.Thies, withTestLayout(5, 3))
	for _, seed := range seeds(t) {
		rng := harness.Rand(seed)
		fields := map[string]any{"drop_events": 0.5, "lose_answers": 0.3}
		if err := d.Platform.SetFault(ctx, fields); err != nil {
			t.Fatal(err)
		}
		r := &editRun{d: d, cut: -1, down: map[int]bool{}, rows: map[string]ackedRow{}, contents: map[int64]map[string]float64{}}
		observed := make(chan struct{})
		watchCtx, stop := context.WithCancel(ctx)
		go func() { defer close(observed); r.observe(watchCtx, t) }()
		slowest := time.Duration(0)
		for i := range edits {
			if i%editsPerFault == 0 {
				r.changeFault(ctx, t, rng)
			}
			slowest = max(slowest, r.edit(ctx, t, rng))
		}
		r.heal(ctx, t)
		r.awaitAllHosts(ctx, t)
		stop()
		<-observed
		t.Logf("seed %d: %d edits on %d hosts, %d not acknowledged, slowest in force after %s; faults %v; %d revisions observed",
			seed, edits, len(d.Hosts), r.unacknowledged, slowest.Round(time.Millisecond), r.faults, len(r.contents))
	}
}

// ackedRow is the last acknowledged edit of a row. unknown holds the weights of
// later edits that got no answer and may have been applied.
type ackedRow struct {
	revision int64
	weight   float64
	unknown  []float64
}

type editRun struct {
	d              *harness.Deployment
	faults         []string
	healFault      func(context.Context, *testing.T)
	unacknowledged int

	mu       sync.Mutex
	down     map[int]bool // hosts that are paused or killed
	cut      int          // host without the platform, -1 for none; it takes no edits
	rows     map[string]ackedRow
	contents map[int64]map[string]float64 // weights by revision, as first observed on any host
}

func (r *editRun) setDown(i int, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down[i] = down
}

// changeFault ends the current fault and starts another at a random host.
func (r *editRun) changeFault(ctx context.Context, t *testing.T, rng *rand.Rand) {
	t.Helper()
	r.heal(ctx, t)
	i := rng.IntN(len(r.d.Hosts))
	h := r.d.Hosts[i]
	kind := []string{"cut", "pause", "restart", "kill"}[len(r.faults)%4]
	r.faults = append(r.faults, kind)
	var err error
	switch kind {
	case "cut":
		r.cut = i
		err = r.d.Platform.SetFault(ctx, map[string]any{"cut_clients": []string{h.Name}})
		r.healFault = func(ctx context.Context, t *testing.T) {
			r.cut = -1
			requireNoError(t, r.d.Platform.SetFault(ctx, map[string]any{"cut_clients": []string{}}))
		}
	case "pause":
		r.setDown(i, true)
		err = h.Pause()
		r.healFault = func(ctx context.Context, t *testing.T) {
			requireNoError(t, h.Resume())
			r.awaitAckedEdits(ctx, t, i)
			r.setDown(i, false)
		}
	case "restart":
		r.setDown(i, true)
		err = h.Restart(ctx, 40*time.Second)
		r.awaitAckedEdits(ctx, t, i)
		r.setDown(i, false)
	case "kill":
		r.setDown(i, true)
		err = h.Kill()
		r.healFault = func(ctx context.Context, t *testing.T) {
			requireNoError(t, h.Start())
			requireNoError(t, h.AwaitReady(ctx))
			r.awaitAckedEdits(ctx, t, i)
			r.setDown(i, false)
		}
	}
	requireNoError(t, err)
}

func (r *editRun) heal(ctx context.Context, t *testing.T) {
	t.Helper()
	if r.healFault != nil {
		r.healFault(ctx, t)
		r.healFault = nil
	}
}

// edit changes one row at a random host and waits until it is in force.
func (r *editRun) edit(ctx context.Context, t *testing.T, rng *rand.Rand) time.Duration {
	t.Helper()
	row := r.d.Layout.Workspaces[rng.IntN(len(r.d.Layout.Workspaces))]
	row.Weight = float64(1 + rng.IntN(1_000))
	at := rng.IntN(len(r.d.Hosts))
	for r.down[at] || at == r.cut {
		at = rng.IntN(len(r.d.Hosts))
	}
	result, err := r.d.Operator(at).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	acked := time.Now()
	r.mu.Lock()
	before := r.rows[row.Name]
	if err != nil {
		before.unknown = append(before.unknown, row.Weight)
		r.rows[row.Name] = before
		r.unacknowledged++
		r.mu.Unlock()
		return 0
	}
	if result.Revision <= before.revision {
		t.Errorf("edit of %s got revision %d after revision %d", row.Name, result.Revision, before.revision)
	}
	r.rows[row.Name] = ackedRow{revision: result.Revision, weight: row.Weight}
	r.mu.Unlock()
	for i := range r.d.Hosts {
		if !r.down[i] {
			r.awaitAckedEdits(ctx, t, i)
		}
	}
	return time.Since(acked)
}

// awaitAckedEdits waits until the host has all acknowledged edits in force.
func (r *editRun) awaitAckedEdits(ctx context.Context, t *testing.T, i int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, editBound)
	defer cancel()
	for {
		err := r.checkAckedEdits(ctx, i)
		if err == nil {
			return
		}
		if !sleepFor(ctx, 10*time.Millisecond) {
			t.Fatalf("%s after the answer: %v", editBound, err)
		}
	}
}

// checkAckedEdits returns an error if the host lacks an acknowledged edit.
func (r *editRun) checkAckedEdits(ctx context.Context, i int) error {
	got, err := r.d.Operator(i).Config(ctx)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, row := range r.rows {
		if row.revision == 0 {
			continue
		}
		weight, ok := got.Workspaces[name].Weight, false
		for _, allowed := range append([]float64{row.weight}, row.unknown...) {
			ok = ok || weight == allowed
		}
		if got.Revision < row.revision || !ok {
			return errors.Newf("%s has row %s with weight %g at revision %d, acknowledged was %g at revision %d, unknown since then %v",
				r.d.Hosts[i].Name, name, weight, got.Revision, row.weight, row.revision, row.unknown)
		}
	}
	return nil
}

func (r *editRun) awaitAllHosts(ctx context.Context, t *testing.T) {
	t.Helper()
	for i := range r.d.Hosts {
		r.awaitAckedEdits(ctx, t, i)
	}
}

// observe polls all hosts until ctx ends. A host's revision must not decrease,
// and a revision must have the same content on all hosts.
func (r *editRun) observe(ctx context.Context, t *testing.T) {
	last := make([]int64, len(r.d.Hosts))
	for sleepFor(ctx, observeInterval) {
		for i, h := range r.d.Hosts {
			r.mu.Lock()
			down := r.down[i]
			r.mu.Unlock()
			if down {
				continue
			}
			got, err := r.d.Operator(i).Config(ctx)
			if err != nil {
				continue
			}
			if got.Revision < last[i] {
				t.Errorf("%s went back from revision %d to %d", h.Name, last[i], got.Revision)
			}
			last[i] = got.Revision
			r.checkContent(t, h.Name, got)
		}
	}
}

func (r *editRun) checkContent(t *testing.T, host string, got harness.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.contents[got.Revision]
	if !ok {
		known = map[string]float64{}
		for name, w := range got.Workspaces {
			known[name] = w.Weight
		}
		r.contents[got.Revision] = known
	}
	for name, w := range got.Workspaces {
		if known[name] != w.Weight {
			t.Errorf("revision %d has weight %g of %s at %s, and %g elsewhere", got.Revision, w.Weight, name, host, known[name])
		}
	}
}

// Guards against lost updates: two edits based on the same revision that both
// succeed, or whose fields are mixed.
func TestConcurrentEditsConflict(t *testing.T) {
	rounds := sizeFor(20, 100)
	ctx := testContext(t, 2*time.Minute)
	_, d := startDeployment(t, harness.Thies, withTestLayout(3, 3))
	conflicts := 0
	for round := range rounds {
		conflicts += raceEdits(ctx, t, d, round)
	}
	if conflicts == 0 {
		t.Error("no two edits conflicted")
	}
	t.Logf("%d rounds on 3 hosts, %d conflicts reported", rounds, conflicts)
}

// raceEdits sends two edits based on one revision to two hosts at the same
// time. It returns 1, the number of edits that must be refused.
func raceEdits(ctx context.Context, t *testing.T, d *harness.Deployment, round int) int {
	t.Helper()
	revision, err := d.Operator(0).Revision(ctx)
	requireNoError(t, err)
	_, err = d.AwaitRevision(ctx, revision, editBound)
	requireNoError(t, err)
	rows := [2]harness.WorkspaceSpec{d.Layout.Workspaces[0], d.Layout.Workspaces[0]}
	var results [2]harness.WriteResult
	var failures [2]error
	var wg sync.WaitGroup
	for k := range rows {
		// Both edits change the same two columns of one row, to detect a mixture.
		rows[k].Weight = float64(2*round + k + 1)
		rows[k].MaxQueue = 1000 + 2*round + k
		wg.Go(func() {
			op := d.Operator((round + k) % len(d.Hosts))
			results[k], failures[k] = op.WriteOnce(ctx, http.MethodPut, "/table", harness.FormatTable(rows[k:k+1]), revision, 0)
		})
	}
	wg.Wait()
	winner, loser := 0, 1
	if failures[0] != nil {
		winner, loser = 1, 0
	}
	if failures[winner] != nil || failures[loser] == nil {
		t.Fatalf("round %d at revision %d: outcomes %v and %v, want one success and one refusal", round, revision, failures[0], failures[1])
	}
	requireConflict(t, failures[loser], revision, results[winner].Revision)
	_, err = d.AwaitRevision(ctx, results[winner].Revision, editBound)
	requireNoError(t, err)
	for i, h := range d.Hosts {
		got, err := d.Operator(i).Config(ctx)
		requireNoError(t, err)
		w := got.Workspaces[rows[winner].Name]
		if w.Weight != rows[winner].Weight || w.MaxQueue != rows[winner].MaxQueue {
			t.Errorf("round %d: %s has %+v, the winner wrote %+v", round, h.Name, w, rows[winner])
		}
	}
	return 1
}

// requireConflict verifies that the refusal states both revisions.
func requireConflict(t *testing.T, err error, expected, current int64) {
	t.Helper()
	var status *harness.StatusError
	var body struct {
		Error struct {
			Expected int64 `json:"expected_revision"`
			Current  int64 `json:"current_revision"`
		} `json:"error"`
	}
	if !errors.As(err, &status) || status.Status != http.StatusPreconditionFailed {
		t.Fatalf("the losing edit got %v, want status 412", err)
	}
	requireNoError(t, json.Unmarshal([]byte(status.Body), &body))
	if body.Error.Expected != expected || body.Error.Current != current {
		t.Errorf("the refusal states the revisions %s, want %d and %d", fmt.Sprint(body.Error), expected, current)
	}
}
