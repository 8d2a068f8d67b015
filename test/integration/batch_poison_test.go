package integration

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/test/harness"
)

const (
	poisonTokens = 10
	// poisonTimeout is the deadline of a request to the model, so that an
	// attempt of an item that is never answered ends.
	poisonTimeout = 5 * time.Second
	// mostAttempts is the bound of tries per item.
	mostAttempts = 3
	// othersBound is how long the other items may take beside the poison ones:
	// far less than the attempts of the item that is never answered.
	othersBound = 12 * time.Second
	// poisonBound is the time in which the poison items must have failed:
	// their attempts, the pauses between them, and a commit.
	poisonBound = mostAttempts*poisonTimeout + 20*time.Second
)

// Guards against poison items: one that is never answered or crashes each
// server must not hold up or fail the others, nor be tried without end.
func TestPoisonItemsFailAlone(t *testing.T) {
	items := sizeFor(600, 6000)
	ctx := within(t, 2*time.Minute)
	_, d := start(t, harness.QuangNam, withTestLayout(3, 6))
	workspace := d.Layout.Workspaces[0].Name
	route := config.Route{
		Name: harness.RouteModel, Kind: config.RouteModel, Model: d.Layout.Model, Pool: "engines",
		Idempotent: true, TimeoutMS: poisonTimeout.Milliseconds(),
	}
	if _, err := d.Operator(0).PutRoute(ctx, route); err != nil {
		t.Fatal(err)
	}
	lines := slices.Concat(
		itemLine(d.Layout.Model, "poison-stuck", "never-ends", poisonTokens),
		itemLine(d.Layout.Model, "poison-crash", "crash-engine", poisonTokens),
		harness.Items(d.Layout.Model, "plain", items, poisonTokens),
	)
	began := time.Now()
	job := createJob(ctx, t, d.Jobs(0, workspace), "poison", lines)
	awaitDone(ctx, t, d.Jobs(0, workspace), job.ID, items)
	others := time.Since(began)
	if limit := sizeFor(othersBound, 10*othersBound); others > limit {
		t.Errorf("the other items took %s, want at most %s", others, limit)
	}
	done, err := d.Jobs(1, workspace).Await(ctx, job.ID)
	if err != nil {
		t.Fatal(err)
	}
	ended := time.Since(began)
	if limit := sizeFor(poisonBound, 10*poisonBound); ended > limit {
		t.Errorf("the job ended after %s, want at most %s", ended, limit)
	}
	requirePoisonFailed(t, resultsOf(t, d, workspace, done.ErrorFileID))
	if done.Counts.Completed != items {
		t.Errorf("%d of %d plain items completed", done.Counts.Completed, items)
	}
	tries := map[string]int{}
	for _, r := range engineRecords(ctx, t, d, "poison-") {
		tries[r.ID]++
	}
	for _, id := range []string{"poison-stuck", "poison-crash"} {
		if tries[id] == 0 || tries[id] > mostAttempts {
			t.Errorf("%s was sent to engines %d times, want 1 to %d", id, tries[id], mostAttempts)
		}
	}
	t.Logf("%d items; the others ended after %s, the job after %s; tries %v", items, others, ended, tries)
}

func resultsOf(t *testing.T, d *harness.Deployment, workspace, file string) []harness.Result {
	t.Helper()
	results, err := d.Jobs(0, workspace).Results(t.Context(), file)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// requirePoisonFailed verifies that exactly the poison items failed, each with a reason.
func requirePoisonFailed(t *testing.T, failed []harness.Result) {
	t.Helper()
	reasons := map[string]string{}
	for _, r := range failed {
		switch {
		case r.Error != nil && r.Error.Code != "":
			reasons[r.CustomID] = r.Error.Code + ": " + r.Error.Message
		case r.Response != nil && r.Response.Status >= http.StatusBadRequest:
			reasons[r.CustomID] = http.StatusText(r.Response.Status)
		default:
			t.Errorf("item %s failed without a reason", r.CustomID)
		}
	}
	if len(failed) != 2 || reasons["poison-stuck"] == "" || reasons["poison-crash"] == "" {
		t.Errorf("failed items: %v, want the two poison items only", reasons)
	}
	t.Logf("reasons: %v", reasons)
}
