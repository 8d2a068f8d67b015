package integration

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	// maxIsolatedAdmission bounds how long an isolated host admits requests: the
	// lease of 3 s plus one heartbeat interval of 500 ms.
	maxIsolatedAdmission = 3500 * time.Millisecond
	probeInterval        = 25 * time.Millisecond
	outageRestartTimeout = 45 * time.Second
)

func setOutage(ctx context.Context, t *testing.T, d *harness.Deployment, mode string) {
	t.Helper()
	requireNoError(t, d.Platform.SetFault(ctx, map[string]any{"outage": mode}))
}

// requireServing verifies that each host answers a request.
func requireServing(ctx context.Context, t *testing.T, d *harness.Deployment, what string) {
	t.Helper()
	for i, h := range d.Hosts {
		got := d.Caller(i, d.Layout.Workspaces[0].Name).Complete(ctx, harness.Completion{Tokens: 3})
		if got.Verdict != harness.Complete {
			t.Errorf("%s: %s answered %+v", what, h.Name, got)
		}
	}
}

// requireRowInForce verifies that each host has the revision in force, and the
// row's weight in it.
func requireRowInForce(ctx context.Context, t *testing.T, d *harness.Deployment, hosts []int, row harness.WorkspaceSpec, revision int64, what string) {
	t.Helper()
	for _, i := range hosts {
		got, err := d.Operator(i).Config(ctx)
		requireNoError(t, err)
		if got.Revision != revision || got.Workspaces[row.Name].Weight != row.Weight {
			t.Errorf("%s: %s has revision %d with weight %g, want revision %d with weight %g",
				what, d.Hosts[i].Name, got.Revision, got.Workspaces[row.Name].Weight, revision, row.Weight)
		}
	}
}

// Guards against a host that starts with an old or empty configuration while
// the platform is down.
func TestHostStartedInAnOutageServes(t *testing.T) {
	t.Parallel()
	ctx := testContext(t, time.Minute)
	_, d := startDeployment(t, harness.Thies, withTestLayout(4, 3))
	victim := 1
	requireNoError(t, d.Hosts[victim].Kill())
	row := d.Layout.Workspaces[0]
	row.Weight = 77
	result, err := d.Operator(0).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	requireNoError(t, err)
	_, err = d.AwaitRevision(ctx, result.Revision, editBound)
	requireNoError(t, err)
	setOutage(ctx, t, d, "refuse")
	requireNoError(t, d.Hosts[victim].Start())
	requireNoError(t, d.Hosts[victim].AwaitReady(ctx))
	requireRowInForce(ctx, t, d, []int{victim}, row, result.Revision, "start in an outage")
	requireServing(ctx, t, d, "start in an outage")
}

// Guards against a fleet that loses the newest revision, or stops serving,
// when its hosts are restarted one after another in an outage.
func TestRestartsDuringAnOutageKeepTheConfiguration(t *testing.T) {
	ctx := testContext(t, 2*time.Minute)
	_, d := startDeployment(t, harness.Thies, withTestLayout(4, 3))
	row := d.Layout.Workspaces[0]
	row.Weight = 77
	result, err := d.Operator(0).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	requireNoError(t, err)
	_, err = d.AwaitRevision(ctx, result.Revision, editBound)
	requireNoError(t, err)
	setOutage(ctx, t, d, "refuse")
	for i, h := range d.Hosts {
		began := time.Now()
		requireNoError(t, h.Restart(ctx, outageRestartTimeout))
		requireRowInForce(ctx, t, d, []int{i}, row, result.Revision, "restart in an outage")
		t.Logf("%s restarted in %s", h.Name, time.Since(began).Round(10*time.Millisecond))
	}
	all := []int{0, 1, 2, 3}
	requireRowInForce(ctx, t, d, all, row, result.Revision, "after all restarts")
	requireServing(ctx, t, d, "after all restarts")
	setOutage(ctx, t, d, "")
	row.Weight = 78
	result, err = d.Operator(2).PutTable(ctx, []harness.WorkspaceSpec{row}, 0)
	requireNoError(t, err)
	_, err = d.AwaitRevision(ctx, result.Revision, editBound)
	requireNoError(t, err)
	requireRowInForce(ctx, t, d, all, row, result.Revision, "after the outage")
}

// Guards against a host that keeps admitting requests by outdated keys and
// limits when it can reach neither the platform nor its peers.
func TestIsolatedHostStopsAdmitting(t *testing.T) {
	t.Parallel()
	ctx := testContext(t, 2*time.Minute)
	_, d := startDeployment(t, harness.Thies, withTestLayout(4, 3))
	alone := d.Hosts[0]
	caller := harness.NewCaller(alone.DirectURL(), d.Keys[d.Layout.Workspaces[0].Name].Raw, d.Layout.Model)
	if got := caller.Complete(ctx, harness.Completion{Tokens: 2}); got.Verdict != harness.Complete {
		t.Fatalf("before the isolation: %+v", got)
	}
	requireNoError(t, d.Platform.SetFault(ctx, map[string]any{"cut_clients": []string{alone.Name}}))
	for _, h := range d.Hosts[1:] {
		requireNoError(t, h.Pause())
	}
	// From here on the host gets no responses except those already in transit.
	isolated := time.Now()
	last, refused := time.Duration(0), 0
	for since := time.Duration(0); since < 2*maxIsolatedAdmission; since = time.Since(isolated) {
		got := caller.Complete(ctx, harness.Completion{Tokens: 1})
		switch {
		case got.Verdict == harness.Complete:
			last = since
		case got.Verdict == harness.Refused && got.Executed == "no":
			refused++
		default:
			t.Errorf("%s after the isolation: %+v", since, got)
		}
		sleepFor(ctx, probeInterval)
	}
	if last > maxIsolatedAdmission {
		t.Errorf("a request was admitted %s after the isolation, want at most %s", last, maxIsolatedAdmission)
	}
	if last == 0 || refused == 0 {
		t.Errorf("last admission after %s, %d refusals; the test is inconclusive", last, refused)
	}
	t.Logf("last admission %s after the isolation, then %d refusals", last.Round(time.Millisecond), refused)
	for _, h := range d.Hosts[1:] {
		requireNoError(t, h.Resume())
	}
	requireNoError(t, d.Platform.SetFault(ctx, map[string]any{"cut_clients": []string{}}))
	deadline, cancel := context.WithTimeout(ctx, editBound)
	defer cancel()
	repeatCall(deadline, t, "serve after the isolation", func() error {
		if got := caller.Complete(ctx, harness.Completion{Tokens: 1}); got.Verdict != harness.Complete {
			return &harness.StatusError{Operation: "complete", Status: got.Status, Body: got.Detail}
		}
		return nil
	})
}

// Guards against hosts that stop serving during an outage of the platform, and
// against configuration changes that are acknowledged during the outage.
func TestFleetServesThroughAPlatformOutage(t *testing.T) {
	t.Parallel()
	length := sizeFor(20*time.Second, 10*time.Minute)
	ctx := testContext(t, length+2*time.Minute)
	_, d := startDeployment(t, harness.Thies, withTestLayout(4, 3))
	setOutage(ctx, t, d, "silent")
	began, rounds := time.Now(), 0
	var slowest []time.Duration
	for time.Since(began) < length {
		for i, h := range d.Hosts {
			got := d.Caller(i, d.Layout.Workspaces[i%2].Name).Complete(ctx, harness.Completion{Tokens: 3, Stream: rounds%2 == 0})
			if got.Verdict != harness.Complete {
				t.Fatalf("%s after %s of the outage: %+v", h.Name, time.Since(began).Round(time.Millisecond), got)
			}
			slowest = append(slowest, got.Latency)
		}
		rounds++
		sleepFor(ctx, 100*time.Millisecond)
	}
	revision, err := d.Operator(0).Revision(ctx)
	requireNoError(t, err)
	row := d.Layout.Workspaces[1]
	row.Weight = 99
	_, err = d.Operator(0).WriteOnce(ctx, "PUT", "/table", harness.FormatTable([]harness.WorkspaceSpec{row}), revision, 0)
	if err == nil {
		t.Error("an edit was acknowledged while the platform was down")
	}
	t.Logf("%d requests at %d hosts in an outage of %s, slowest %s; edit: %s",
		rounds*len(d.Hosts), len(d.Hosts), length, slices.Max(slowest), strings.TrimSpace(err.Error()))
}
