package integration

import (
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	cancelTokens = 40
	// cancelBound bounds how long after the answer to the cancellation items may
	// still start and counts may still change.
	cancelBound = 3 * time.Second
)

// Guards against a cancelled job that continues: hosts that missed the
// notification start its items, or counts change after they were final.
func TestCancelledJobStops(t *testing.T) {
	items := sizeFor(4000, 20000)
	for _, c := range []struct {
		name   string
		paused bool // one host is paused during the cancellation
	}{{"all hosts running", false}, {"one host paused", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runCancel(t, items, c.paused)
		})
	}
}

func runCancel(t *testing.T, items int, paused bool) {
	ctx := testContext(t, 2*time.Minute)
	_, d := startDeployment(t, harness.QuangNam, withTestLayout(4, 6))
	workspace := d.Layout.Workspaces[0].Name
	job := createJob(ctx, t, d.JobClient(1, workspace), "cancel", harness.Items(d.Layout.Model, "cancel", items, cancelTokens))
	awaitResults(ctx, t, d.JobClient(1, workspace), job.ID, items/20)
	victim := d.Hosts[3]
	if paused {
		if err := victim.Pause(); err != nil {
			t.Fatal(err)
		}
	}
	answered := cancelJob(ctx, t, d, workspace, job.ID)
	time.Sleep(time.Until(answered.Add(cancelBound)))
	before, err := d.JobClient(1, workspace).Get(ctx, job.ID)
	if err != nil {
		t.Fatal(err)
	}
	if before.Status != "cancelled" {
		t.Errorf("status %s %s after the answer, want cancelled", before.Status, cancelBound)
	}
	if paused {
		if err := victim.Resume(); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(6 * time.Second) // longer than the commit interval of 5 s
	for i, h := range d.Hosts {
		after, err := d.JobClient(i, workspace).Get(ctx, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		if after.Counts != before.Counts || after.Status != "cancelled" {
			t.Errorf("at %s the job was %+v at %s and is now %+v", h.Name, before, cancelBound, after)
		}
	}
	started, late := 0, 0
	var latest time.Duration
	for _, r := range engineRecords(ctx, t, d, "cancel-") {
		if r.StartedMS == 0 {
			continue
		}
		started++
		since := time.UnixMilli(r.StartedMS).Sub(answered)
		latest = max(latest, since)
		if since > cancelBound {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d items started later than %s after the answer, the last one %s after it", late, cancelBound, latest)
	}
	if started == 0 || started >= items {
		t.Errorf("%d of %d items had started; the test is inconclusive", started, items)
	}
	t.Logf("%d items, %d started, the last one %s after the answer; counts %+v", items, started, latest, before.Counts)
}
