package integration

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/test/harness"
)

const (
	// unluckyItem is the tag of an item under which engines crash.
	unluckyItem  = "poison-crash"
	poisonTokens = 10
	// poisonTimeout is the deadline of a request to the model, so that an
	// attempt of an item that is never answered ends.
	poisonTimeout   = 5 * time.Second
	maxItemAttempts = 3
	// plainItemsBound bounds the time to complete the other items: far less than
	// the attempts of the item that is never answered take.
	plainItemsBound = 12 * time.Second
	// poisonItemsBound bounds the time until the poison item has failed: its
	// attempts, the delays between them, and a commit.
	poisonItemsBound = maxItemAttempts*poisonTimeout + 20*time.Second
)

// Guards against a poison item, which is never answered, that delays or fails other
// items or is retried without end, and against an item under which servers crash
// that delays others or is given up: it is owed, and completes once the crashes end.
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
		itemLine(d.Layout.Model, unluckyItem, "crash-engine", poisonTokens),
		harness.Items(d.Layout.Model, "plain", items, poisonTokens),
	)
	began := time.Now()
	crashes := make(chan int, 1)
	go func() { crashes <- endCrashes(ctx, t, d) }()
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
	if done.Counts.Completed != items+1 {
		t.Errorf("%d items completed, want the %d plain ones and %s", done.Counts.Completed, items, unluckyItem)
	}
	if n := <-crashes; n <= maxItemAttempts {
		t.Errorf("%s was sent to %d engines that crashed, want more than %d", unluckyItem, n, maxItemAttempts)
	}
	tries := map[string]int{}
	for _, r := range engineRecords(ctx, t, d, "poison-") {
		if r.Outcome != "crashed" { // a send that the engine's crash ended is no attempt
			tries[r.ID]++
		}
	}
	if n := tries["poison-stuck"]; n == 0 || n > maxItemAttempts {
		t.Errorf("poison-stuck was sent to engines %d times, want 1 to %d", n, maxItemAttempts)
	}
	t.Logf("%d plain items ended after %s, the job after %s; attempts %v", items, others, ended, tries)
}

// endCrashes waits until more engines have crashed under the unlucky item than an item
// has attempts, ends that fault and returns the number of crashes.
func endCrashes(ctx context.Context, t *testing.T, d *harness.Deployment) int {
	n := 0
	for ; n <= maxItemAttempts; n = len(engineRecords(ctx, t, d, unluckyItem)) {
		if !sleepFor(ctx, 20*time.Millisecond) {
			return n
		}
	}
	for _, e := range d.Engines {
		if err := e.SetFault(ctx, map[string]any{"crash_marker": ""}); err != nil {
			t.Errorf("end the crashes of %s: %v", e.Name, err)
		}
	}
	return n
}

func resultsOf(t *testing.T, d *harness.Deployment, workspace, file string) []harness.Result {
	t.Helper()
	results, err := d.JobClient(0, workspace).Results(t.Context(), file)
	if err != nil {
		t.Fatal(err)
	}
	return results
}

// requirePoisonFailed verifies that exactly the poison item failed, with a reason.
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
	if len(failed) != 1 || reasons["poison-stuck"] == "" {
		t.Errorf("failed items: %v, want the poison item only", reasons)
	}
	t.Logf("reasons: %v", reasons)
}
