// Package integration tests whole deployments as real processes behind the
// fault relay. Tests check the ledgers of the stand-ins, not what hosts report
// about themselves.
package integration

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

// binaries are built once for all tests.
var binaries harness.Binaries

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "ragwortstep-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, "integration:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries, err = harness.BuildBinaries(context.Background(), dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "integration:", err)
		return 1
	}
	return m.Run()
}

// startOption changes the options of a deployment before its start.
type startOption func(*harness.Options)

func withHosts(n int) startOption {
	return func(o *harness.Options) { o.Layout.SetHosts(n) }
}

// startDeployment runs a deployment until the test ends. Hosts exit on a violated
// invariant, which the test then reports.
func startDeployment(t *testing.T, name string, options ...startOption) (context.Context, *harness.Deployment) {
	t.Helper()
	layout, err := harness.LayoutOf(name)
	if err != nil {
		t.Fatal(err)
	}
	opts := harness.Options{Layout: layout, Binaries: binaries, Seed: 1, HostEnv: []string{"RAGWORTSTEP_INVARIANT=exit"}}
	for _, change := range options {
		change(&opts)
	}
	limit := 4 * time.Minute
	if longRun() {
		limit = 20 * time.Minute
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	d, err := harness.Start(ctx, opts)
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are kept in %s", d.KeepDir())
		}
		reportInvariantExits(t, d)
		d.Close()
		cancel()
	})
	return ctx, d
}

// invariantExitStatus is the exit status of a host that violated an invariant.
const invariantExitStatus = "exit status 70"

func reportInvariantExits(t *testing.T, d *harness.Deployment) {
	t.Helper()
	for _, h := range d.Hosts {
		if !h.Running() && h.Status() != nil && h.Status().Error() == invariantExitStatus {
			t.Errorf("host %s violated an invariant:\n%s", h.Name, h.LogTail(2000))
		}
	}
}
