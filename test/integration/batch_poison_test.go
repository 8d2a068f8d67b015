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
	poisonTimeout   = 5 * time.Second
	maxItemAttempts = 3
	// plainItemsBound bounds the time to complete the other items: far less than
	// the attempts of the item that is never answered take.
	plainItemsBound = 12 * time.Second
	// poisonItemsBound bounds the time until the poison items have failed: their
	// attempts, the delays between them, and a commit.
	poisonItemsBound = maxItemAttempts*poisonTimeout + 20*time.Second
)

// Guards against poison items, which are never answered or crash each server,
// that delay or fail other items or are retried without end.
func TestPoisonItemsDoNotAffectOtherItems(t *testing.T) {
	items := sizeFor(600, 6000)
	ctx := testContext(t, 2*time.Minute)
	_, d := startDeployment(t, harness.QuangNam, withTestLayout(3, 6))
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
	job := createJob(ctx, t, d.JobClient(0, workspace), "poison", lines)
	awaitResults(ctx, t, d.JobClient(0, workspace), job.ID, items)
	others := time.Since(began)
	if limit := sizeFor(plainItemsBound, 10*plainItemsBound); others > limit {
		t.Errorf("the plain items took %s, want at most %s", others, limit)
	}
	done, err := d.JobClient(1, workspace).Await(ctx, job.ID)
	if err != nil {
		t.Fatal(err)
	}
	ended := time.Since(began)
	if limit := sizeFor(poisonItemsBound, 10*poisonItemsBound); ended > limit {
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
		if tries[id] == 0 || tries[id] > maxItemAttempts {
			t.Errorf("%s was sent to engines %d times, want 1 to %d", id, tries[id], maxItemAttempts)
		}
	}
	t.Logf("%d plain items ended after %s, the job after %s; attempts %v", items, others, ended, tries)
}

func resultsOf(t *testing.T, d *harness.Deployment, workspace, file string) []harness.Result {
	t.Helper()
	results, err := d.JobClient(0, workspace).Results(t.Context(), file)
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
