package integration

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	maxCallsPerItem = 0.02 // for the largest job
	// idleMeasureTime is how long the calls of an idle fleet are counted; they
	// are subtracted from the calls during a job.
	idleMeasureTime = 10 * time.Second
	// maxMemoryGrowth bounds what a host holds for jobs of any size: 16 open
	// chunks of 1 MB and 32 MB of unsaved results.
	maxMemoryGrowth = 48 << 20
)

// Guards against a number of platform calls that is proportional to the items,
// and against hosts that hold a whole job in memory.
func TestPlatformCallsAndMemoryOfLargeJobs(t *testing.T) {
	sizes := []int{1000, 10000}
	if longRun() {
		sizes = append(sizes, 100000)
	}
	ctx := testContext(t, sizeFor(2*time.Minute, 20*time.Minute))
	_, d := startDeployment(t, harness.QuangNam, withTestLayout(3, 10))
	time.Sleep(2 * time.Second) // excludes calls at start
	idle := idleCallRate(ctx, t, d)
	var last, before int64
	for _, items := range sizes {
		calls, peak := measureJob(ctx, t, d, items, idle)
		t.Logf("%d items: %.4f platform calls/item, largest host %d MB; idle fleet %.1f calls/s", items, calls, peak>>20, idle)
		if items == sizes[len(sizes)-1] && calls > maxCallsPerItem {
			t.Errorf("%d items: %.4f platform calls per item, want at most %g", items, calls, maxCallsPerItem)
		}
		before, last = last, peak
	}
	if last-before > maxMemoryGrowth {
		t.Errorf("the largest host grew by %d MB with the job's size, want at most %d MB", (last-before)>>20, maxMemoryGrowth>>20)
	}
}

// totalCalls counts the accepted calls of all hosts. Each second of a pending
// watch counts as a call.
func totalCalls(ctx context.Context, t *testing.T, d *harness.Deployment) int {
	t.Helper()
	ledger, err := d.Platform.Ledger(ctx)
	if err != nil {
		t.Fatal(err)
	}
	sum := 0
	for op, n := range ledger.Totals {
		if !strings.HasSuffix(op, "_refused") {
			sum += n
		}
	}
	return sum
}

// idleCallRate measures the calls per second of the idle fleet.
func idleCallRate(ctx context.Context, t *testing.T, d *harness.Deployment) float64 {
	t.Helper()
	before, began := totalCalls(ctx, t, d), time.Now()
	time.Sleep(idleMeasureTime)
	return float64(totalCalls(ctx, t, d)-before) / time.Since(began).Seconds()
}

// measureJob runs a job and returns its platform calls per item, upload
// included, and the largest resident memory of a host meanwhile, in bytes.
func measureJob(ctx context.Context, t *testing.T, d *harness.Deployment, items int, idle float64) (float64, int64) {
	t.Helper()
	const tokens = 2
	workspace, prefix := d.Layout.Workspaces[0].Name, fmt.Sprintf("cost%d", items)
	before, began := totalCalls(ctx, t, d), time.Now()
	job := createJob(ctx, t, d.JobClient(0, workspace), prefix, harness.Items(d.Layout.Model, prefix, items, tokens))
	var peak int64
	for {
		peak = max(peak, largestResidentBytes(t, d))
		// Polls at a low rate because reading the state makes platform calls too.
		if !sleepFor(ctx, 500*time.Millisecond) {
			t.Fatalf("job of %d items does not end", items)
		}
		b, err := d.JobClient(1, workspace).Get(ctx, job.ID)
		if err != nil {
			t.Fatal(err)
		}
		if b.Ended() {
			job = b
			break
		}
	}
	calls := float64(totalCalls(ctx, t, d)-before) - idle*time.Since(began).Seconds()
	t.Logf("%d items in %s", items, time.Since(began).Round(100*time.Millisecond))
	failed, err := d.JobClient(2, workspace).CheckResults(ctx, job, prefix, items, tokens)
	if err != nil || failed != 0 {
		t.Errorf("%d items: %d failed, %v", items, failed, err)
	}
	return calls / float64(items), peak
}

func largestResidentBytes(t *testing.T, d *harness.Deployment) int64 {
	t.Helper()
	var most int64
	for _, h := range d.Hosts {
		most = max(most, residentBytes(t, h.PID()))
	}
	return most
}

// residentBytes reads the resident memory of a process.
func residentBytes(t *testing.T, pid int) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatalf("process %d: no VmRSS", pid)
	return 0
}
