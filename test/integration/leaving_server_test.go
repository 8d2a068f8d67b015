package integration

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/test/harness"
)

const (
	// leavingBound bounds how long a server still gets new requests after it is
	// marked as leaving.
	leavingBound = 5 * time.Second
	// leavingObservation is how long the test observes the server after leavingBound.
	leavingObservation = 4 * time.Second
	// hostListDelay is the time after which the platform stand-in shows a change
	// of its list; no host can react earlier.
	hostListDelay = 2 * time.Second
	leavingRate   = 80.0 // requests/s
)

// Guards against hosts that keep sending to a server that is marked as leaving
// in the configuration or in the platform's list.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	ctx, d := startDeployment(t, harness.Thies, withHosts(4), withServers(3, 1), withRates(2000, 4000))
	load, stop := context.WithCancel(ctx)
	defer stop()
	var seen outcomes
	var wg sync.WaitGroup
	callers := hostCallers(d, d.Layout.Workspaces[0].Name)
	wg.Go(func() {
		callAtRate(load, leavingRate, func(n int) {
			a := callers[n%len(callers)].Complete(ctx, harness.Completion{Tokens: 4})
			seen.add(outcome{Answer: a, Sent: time.Now()})
		})
	})
	time.Sleep(3 * time.Second)

	byTable, byList := d.Engines[0], d.Engines[1]
	server := config.Server{
		Name: byTable.Spec.Name, Pool: "engines", Address: byTable.RelayAddress, Zone: byTable.Spec.Zone,
		Concurrency: byTable.Spec.Knee, Speed: byTable.Spec.Speed, Fencing: byTable.Spec.Fencing, Leaving: true,
	}
	_, err := d.Operator(0).PutServer(ctx, server)
	is.NoErr(err)
	tableMark := time.Now()
	is.NoErr(d.PublishHosts(ctx, map[string]bool{byList.Spec.Name: true}))
	listMark := time.Now().Add(hostListDelay)
	time.Sleep(hostListDelay + leavingBound + leavingObservation)
	stop()
	wg.Wait()

	requireNoWorkAfter(ctx, t, byTable, "table", tableMark)
	requireNoWorkAfter(ctx, t, byList, "platform's list", listMark)
	all := seen.filter(func(outcome) bool { return true })
	t.Logf("requests: %v", verdictCounts(all))
	is.Equal(countMatching(all, withVerdict(harness.Complete)), len(all))
}

// requireNoWorkAfter checks that the engine got requests before the mark, and
// none later than leavingBound after it.
func requireNoWorkAfter(ctx context.Context, t *testing.T, e *harness.Engine, source string, mark time.Time) {
	t.Helper()
	records, err := e.Records(ctx, 0)
	if err != nil {
		t.Fatal(err)
	}
	last, earlier := time.Duration(0), 0
	for _, r := range records {
		after := time.UnixMilli(r.ArrivedMS).Sub(mark)
		if after < 0 {
			earlier++
		}
		last = max(last, after)
	}
	t.Logf("%s, leaving by the %s: last request %s after the mark, %d before it", e.Spec.Name, source, last, earlier)
	if last > leavingBound || earlier == 0 {
		t.Errorf("%s got a request %s after it was marked as leaving, %d before", e.Spec.Name, last, earlier)
	}
}
