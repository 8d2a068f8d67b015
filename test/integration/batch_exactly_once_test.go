package integration

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortstep/test/harness"
)

const (
	exactlyOnceTokens = 40 // makes an item take about 1 s, so that faults hit items in flight
	// pauseBeyondLease is longer than the lease of 3 s, and than the time without
	// heartbeats after which a host is removed.
	pauseBeyondLease = 4500 * time.Millisecond
)

// Guards against items with no result or with two, results that change after
// they were read, and a job that is created twice because its caller sent it
// again, while hosts, engines and the platform fail.
func TestEachItemHasExactlyOneResult(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runExactlyOnce(t, seed) })
	}
}

func runExactlyOnce(t *testing.T, seed uint64) {
	items := sizeFor(2000, 20000)
	ctx := testContext(t, sizeFor(150*time.Second, 15*time.Minute))
	_, d := startDeployment(t, harness.QuangNam, withTestLayout(sizeFor(4, 6), sizeFor(6, 18)), withJobHistory, withSeed(seed))
	o := &exactlyOnceRun{d: d, workspace: d.Layout.Workspaces[0].Name, items: items, seed: seed}
	began := time.Now()
	o.submit(ctx, t)
	o.runFaults(ctx, t)
	done, err := d.JobClient(1, o.workspace).Await(ctx, o.id)
	if err != nil {
		t.Fatal(err)
	}
	early := len(o.early)
	o.check(ctx, t, done)
	t.Logf("seed %d: %d items on %d hosts in %s, %d failed; %s; %d results read early",
		seed, items, len(d.Hosts), time.Since(began).Round(time.Second), done.Counts.Failed, o.counts, early)
}

// exactlyOnceRun is one job under faults.
type exactlyOnceRun struct {
	d         *harness.Deployment
	workspace string
	items     int
	seed      uint64
	id, file  string
	early     map[string]string // results read while the job was running

	mu     sync.Mutex
	counts faultCounts
}

type faultCounts struct{ kills, pauses, crashes, outages, resubmissions int }

func (c faultCounts) String() string {
	return fmt.Sprintf("%d kills, %d pauses, %d engine crashes, %d outages, %d resends",
		c.kills, c.pauses, c.crashes, c.outages, c.resubmissions)
}

// submit creates the job and kills the host that acknowledged it.
func (o *exactlyOnceRun) submit(ctx context.Context, t *testing.T) {
	t.Helper()
	lines := harness.Items(o.d.Layout.Model, "once", o.items, exactlyOnceTokens)
	b := createJob(ctx, t, o.d.JobClient(0, o.workspace), "once", lines)
	o.file = b.InputFileID
	if err := o.d.Hosts[0].Kill(); err != nil {
		t.Fatal(err)
	}
	o.id = b.ID
	o.counts.kills++
}

// runFaults injects all kinds of faults at the same time for a limited time,
// and ends them.
func (o *exactlyOnceRun) runFaults(ctx context.Context, t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, sizeFor(25*time.Second, 150*time.Second))
	defer cancel()
	var wg sync.WaitGroup
	for i, fn := range []func(context.Context, *testing.T, *rand.Rand){
		o.hostFaults, o.platformFaults, o.engineFaults, o.resubmit, o.readEarly,
	} {
		wg.Go(func() { fn(ctx, t, harness.Rand(o.seed*100+uint64(i))) })
	}
	wg.Wait()
	if o.counts.resubmissions == 0 {
		t.Error("the job was never sent again")
	}
}

// hostFaults kills and pauses one host after another.
func (o *exactlyOnceRun) hostFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	if err := o.d.Hosts[0].Start(); err != nil {
		t.Error(err)
	}
	for sleepFor(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond) {
		h := o.d.Hosts[rng.IntN(len(o.d.Hosts))]
		var err error
		if rng.IntN(2) == 0 {
			o.addFault(func(c *faultCounts) { c.pauses++ })
			err = h.Pause()
			sleepFor(context.Background(), pauseBeyondLease)
			if err == nil {
				err = h.Resume()
			}
		} else {
			o.addFault(func(c *faultCounts) { c.kills++ })
			err = h.Kill()
			sleepFor(ctx, time.Duration(rng.IntN(4000))*time.Millisecond)
			if err == nil {
				err = h.Start()
			}
		}
		if err != nil {
			t.Errorf("fault of %s: %v", h.Name, err)
		}
	}
}

// platformFaults makes the platform lose answers, with outages in between.
func (o *exactlyOnceRun) platformFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	modes := []string{"refuse", "silent", "reset"}
	set := func(fields map[string]any) {
		if err := o.d.Platform.SetFault(context.Background(), fields); err != nil {
			t.Error(err)
		}
	}
	for ctx.Err() == nil {
		set(map[string]any{"lose_answers": 0.3})
		sleepFor(ctx, time.Duration(3+rng.IntN(3))*time.Second)
		set(map[string]any{"outage": modes[rng.IntN(len(modes))]})
		o.addFault(func(c *faultCounts) { c.outages++ })
		sleepFor(context.Background(), sizeFor(8*time.Second, 30*time.Second))
		set(map[string]any{"outage": ""})
	}
	set(map[string]any{"lose_answers": 0})
}

// engineFaults crashes engines with items in flight. It sends the crashing
// request directly to the engine, so that hosts cannot attribute the crash to
// that request.
func (o *exactlyOnceRun) engineFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for sleepFor(ctx, time.Duration(2+rng.IntN(3))*time.Second) {
		e := o.d.Engines[rng.IntN(len(o.d.Engines))]
		q := harness.Completion{Tag: harness.NewTag(), Prompt: "crash-engine", Tokens: 5}
		resp, err := http.Post("http://"+e.Address+q.Path(), "application/json", bytes.NewReader(q.Body(o.d.Layout.Model)))
		if err == nil {
			t.Errorf("%s answered the crashing request with %d", e.Name, resp.StatusCode)
			_ = resp.Body.Close()
		}
		o.addFault(func(c *faultCounts) { c.crashes++ })
	}
}

// resubmit sends the job again to random hosts, as a caller does that got no answer.
func (o *exactlyOnceRun) resubmit(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for sleepFor(ctx, time.Duration(rng.IntN(1000))*time.Millisecond) {
		b, err := o.d.JobClient(rng.IntN(len(o.d.Hosts)), o.workspace).Create(ctx, o.file, itemsPath, "once")
		if err != nil {
			continue // the host or the platform is down
		}
		if b.ID != o.id {
			t.Errorf("the resubmitted job %s has the id %s", o.id, b.ID)
		}
		o.addFault(func(c *faultCounts) { c.resubmissions++ })
	}
}

// readEarly records every result that can be read while the job runs.
func (o *exactlyOnceRun) readEarly(ctx context.Context, t *testing.T, rng *rand.Rand) {
	o.early = map[string]string{}
	output := "file-output_" + strings.TrimPrefix(o.id, "batch_")
	for sleepFor(ctx, time.Second) {
		results, err := o.d.JobClient(rng.IntN(len(o.d.Hosts)), o.workspace).Results(ctx, output)
		if err == nil {
			o.recordResults(t, results)
		}
	}
}

// recordResults adds results and compares them with those read earlier.
func (o *exactlyOnceRun) recordResults(t *testing.T, results []harness.Result) {
	t.Helper()
	for _, r := range results {
		text := r.Text()
		if r.Error != nil {
			text = "error " + r.Error.Code
		}
		if before, ok := o.early[r.CustomID]; ok && before != text {
			t.Errorf("the result of %s changed from %.60q to %.60q", r.CustomID, before, text)
		}
		o.early[r.CustomID] = text
	}
}

func (o *exactlyOnceRun) addFault(change func(*faultCounts)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.counts)
}

// check reads the results at each host and compares them with one another,
// with those read early, and with the ledgers.
func (o *exactlyOnceRun) check(ctx context.Context, t *testing.T, done harness.Batch) {
	t.Helper()
	codes := map[string]int{}
	if done.Counts.Completed+done.Counts.Failed != o.items || done.Status != "completed" {
		t.Errorf("job ended as %+v, want %d items", done, o.items)
	}
	for i, h := range o.d.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		jobs := o.d.JobClient(i, o.workspace)
		if _, err := jobs.CheckResults(ctx, done, "once", o.items, exactlyOnceTokens); err != nil {
			t.Errorf("results at %s: %v", h.Name, err)
		}
		for _, file := range []string{done.OutputFileID, done.ErrorFileID} {
			results, err := jobs.Results(ctx, file)
			if err != nil {
				t.Errorf("results at %s: %v", h.Name, err)
			}
			o.recordResults(t, results)
		}
	}
	for _, text := range o.early {
		if strings.HasPrefix(text, "error ") {
			codes[text]++
		}
	}
	if len(codes) > 0 {
		t.Logf("failed items: %v", codes)
	}
	o.checkLedgers(ctx, t)
}

// checkLedgers verifies that each completed item finished at an engine, and
// that the platform's history of the job's chunks keeps every result.
func (o *exactlyOnceRun) checkLedgers(ctx context.Context, t *testing.T) {
	t.Helper()
	finished := map[string]bool{}
	for _, r := range engineRecords(ctx, t, o.d, "once-") {
		if r.Outcome == "finished" {
			finished[r.ID] = true
		}
	}
	for id, text := range o.early {
		if !strings.HasPrefix(text, "error ") && !finished[id] {
			t.Errorf("item %s has an answer, but finished at no engine", id)
		}
	}
	requireConsistentHistory(t, chunkWrites(ctx, t, o.d, o.id))
}
