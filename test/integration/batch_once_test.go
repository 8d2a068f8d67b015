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
	onceTokens = 40 // makes an item take about 1 s, so that faults hit items in flight
	// pastLease is longer than the lease of 3 s and the silence after which a
	// host is removed.
	pastLease = 4500 * time.Millisecond
)

// Guards against items that run to no result or to two, results that change
// after they were read, and a resent job that becomes a second one, while
// hosts, engines and the platform fail.
func TestEachItemHasExactlyOneResult(t *testing.T) {
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runOnce(t, seed) })
	}
}

func runOnce(t *testing.T, seed uint64) {
	items := sized(2000, 20000)
	ctx := within(t, sized(150*time.Second, 15*time.Minute))
	_, d := start(t, harness.QuangNam, withTestLayout(sized(4, 6), sized(6, 18)), withJobHistory, withSeed(seed))
	o := &onceRun{d: d, workspace: d.Layout.Workspaces[0].Name, items: items, seed: seed}
	began := time.Now()
	o.submit(ctx, t)
	o.faults(ctx, t)
	done, err := d.Jobs(1, o.workspace).Await(ctx, o.id)
	if err != nil {
		t.Fatal(err)
	}
	early := len(o.early)
	o.check(ctx, t, done)
	t.Logf("seed %d: %d items on %d hosts in %s, %d failed; %s; %d results read early",
		seed, items, len(d.Hosts), time.Since(began).Round(time.Second), done.Counts.Failed, o.count, early)
}

// onceRun is one job under faults.
type onceRun struct {
	d         *harness.Deployment
	workspace string
	items     int
	seed      uint64
	id, file  string
	early     map[string]string // results read while the job was running

	mu    sync.Mutex
	count faultCount
}

type faultCount struct{ kills, pauses, crashes, outages, resends int }

func (c faultCount) String() string {
	return fmt.Sprintf("%d kills, %d pauses, %d engine crashes, %d outages, %d resends",
		c.kills, c.pauses, c.crashes, c.outages, c.resends)
}

// submit creates the job and kills the host that acknowledged it.
func (o *onceRun) submit(ctx context.Context, t *testing.T) {
	t.Helper()
	lines := harness.Items(o.d.Layout.Model, "once", o.items, onceTokens)
	b := createJob(ctx, t, o.d.Jobs(0, o.workspace), "once", lines)
	o.file = b.InputFileID
	if err := o.d.Hosts[0].Kill(); err != nil {
		t.Fatal(err)
	}
	o.id = b.ID
	o.count.kills++
}

// faults runs all kinds of faults at the same time and heals them.
func (o *onceRun) faults(ctx context.Context, t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, sized(25*time.Second, 150*time.Second))
	defer cancel()
	var wg sync.WaitGroup
	for i, fn := range []func(context.Context, *testing.T, *rand.Rand){
		o.hostFaults, o.platformFaults, o.engineFaults, o.resend, o.readEarly,
	} {
		wg.Go(func() { fn(ctx, t, harness.Rand(o.seed*100+uint64(i))) })
	}
	wg.Wait()
	if o.count.resends == 0 {
		t.Error("the job was never sent again")
	}
}

// sleepFor returns false when ctx ended first.
func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// hostFaults kills and pauses one host after another.
func (o *onceRun) hostFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	if err := o.d.Hosts[0].Start(); err != nil {
		t.Error(err)
	}
	for sleepFor(ctx, time.Duration(500+rng.IntN(1500))*time.Millisecond) {
		h := o.d.Hosts[rng.IntN(len(o.d.Hosts))]
		var err error
		if rng.IntN(2) == 0 {
			o.note(func(c *faultCount) { c.pauses++ })
			err = h.Pause()
			sleepFor(context.Background(), pastLease)
			if err == nil {
				err = h.Resume()
			}
		} else {
			o.note(func(c *faultCount) { c.kills++ })
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

// platformFaults loses answers, with outages of the target's length in between.
func (o *onceRun) platformFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
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
		o.note(func(c *faultCount) { c.outages++ })
		sleepFor(context.Background(), sized(8*time.Second, 30*time.Second))
		set(map[string]any{"outage": ""})
	}
	set(map[string]any{"lose_answers": 0})
}

// engineFaults crashes engines with items in flight. The crashing request is
// sent past the hosts, so that they cannot connect it with the items.
func (o *onceRun) engineFaults(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for sleepFor(ctx, time.Duration(2+rng.IntN(3))*time.Second) {
		e := o.d.Engines[rng.IntN(len(o.d.Engines))]
		q := harness.Completion{Tag: harness.NewTag(), Prompt: "crash-engine", Tokens: 5}
		resp, err := http.Post("http://"+e.Address+q.Path(), "application/json", bytes.NewReader(q.Body(o.d.Layout.Model)))
		if err == nil {
			t.Errorf("%s answered the crashing request with %d", e.Name, resp.StatusCode)
			_ = resp.Body.Close()
		}
		o.note(func(c *faultCount) { c.crashes++ })
	}
}

// resend sends the job again to random hosts, as callers without an answer do.
func (o *onceRun) resend(ctx context.Context, t *testing.T, rng *rand.Rand) {
	for sleepFor(ctx, time.Duration(rng.IntN(1000))*time.Millisecond) {
		b, err := o.d.Jobs(rng.IntN(len(o.d.Hosts)), o.workspace).Create(ctx, o.file, itemsPath, "once")
		if err != nil {
			continue // the host or the platform is down
		}
		if b.ID != o.id {
			t.Errorf("the resent job %s has the id %s", o.id, b.ID)
		}
		o.note(func(c *faultCount) { c.resends++ })
	}
}

// readEarly keeps every result that can be read while the job runs.
func (o *onceRun) readEarly(ctx context.Context, t *testing.T, rng *rand.Rand) {
	o.early = map[string]string{}
	output := "file-output_" + strings.TrimPrefix(o.id, "batch_")
	for sleepFor(ctx, time.Second) {
		results, err := o.d.Jobs(rng.IntN(len(o.d.Hosts)), o.workspace).Results(ctx, output)
		if err == nil {
			o.keep(t, results)
		}
	}
}

// keep compares results with those that were read before.
func (o *onceRun) keep(t *testing.T, results []harness.Result) {
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

func (o *onceRun) note(change func(*faultCount)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.count)
}

// check reads the results at each host and compares them with one another,
// with those read early, and with the ledgers.
func (o *onceRun) check(ctx context.Context, t *testing.T, done harness.Batch) {
	t.Helper()
	codes := map[string]int{}
	if done.Counts.Completed+done.Counts.Failed != o.items || done.Status != "completed" {
		t.Errorf("job ended as %+v, want %d items", done, o.items)
	}
	for i, h := range o.d.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
		jobs := o.d.Jobs(i, o.workspace)
		if _, err := jobs.CheckResults(ctx, done, "once", o.items, onceTokens); err != nil {
			t.Errorf("results at %s: %v", h.Name, err)
		}
		for _, file := range []string{done.OutputFileID, done.ErrorFileID} {
			results, err := jobs.Results(ctx, file)
			if err != nil {
				t.Errorf("results at %s: %v", h.Name, err)
			}
			o.keep(t, results)
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
func (o *onceRun) checkLedgers(ctx context.Context, t *testing.T) {
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
	requireProgress(t, chunkWrites(ctx, t, o.d, o.id))
}
