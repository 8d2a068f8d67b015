package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	jobEvery   = 10 * time.Second
	jobItems   = 600
	itemTokens = 8
	// cancelPart is the part of the jobs that are cancelled after a while.
	cancelPart = 0.25
	mostCancel = 8 * time.Second
	// stopBound is how long after the answer to a cancel request items may still start.
	stopBound = 3 * time.Second
)

// job is a batch job of the run.
type job struct {
	id        string
	prefix    string // of the items' custom ids
	workspace string
	cancelled time.Time // answer to the cancel request, zero when there was none
}

// jobLoad submits jobs and cancels some.
type jobLoad struct {
	*load
	jobsMu sync.Mutex
	jobs   []*job
}

func (l *jobLoad) run(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { l.submit(ctx, own) })
		if !wait(ctx, jobEvery) {
			break
		}
	}
	wg.Wait()
}

// submit creates a job, sending the request again as callers do when the
// answer is lost. The same idempotency key must lead to one job.
func (l *jobLoad) submit(ctx context.Context, rng *rand.Rand) {
	own, cancel := callContext()
	defer cancel()
	j := &job{prefix: "item-" + harness.NewTag(), workspace: l.otherWorkspace(rng)}
	api := func() *harness.Jobs { return l.d.Jobs(rng.IntN(len(l.d.Hosts)), j.workspace) }
	var file string
	if !l.retry(own, j, "upload", func() (err error) {
		file, err = api().Upload(own, j.prefix, harness.Items(l.d.Layout.Model, j.prefix, jobItems, itemTokens))
		return err
	}) {
		return
	}
	if !l.retry(own, j, "create", func() error { return l.create(own, api(), file, j) }) {
		return
	}
	l.jobsMu.Lock()
	l.jobs = append(l.jobs, j)
	l.jobsMu.Unlock()
	l.tl.add("job", "created", j.id, "%d items of %s", jobItems, j.workspace)
	if rng.Float64() < cancelPart && wait(ctx, time.Duration(rng.Int64N(int64(mostCancel)))) {
		l.cancel(api, j)
	}
}

// create creates the job and once more with the same key.
func (l *jobLoad) create(ctx context.Context, api *harness.Jobs, file string, j *job) error {
	for range 2 {
		b, err := api.Create(ctx, file, "/v1/completions", j.prefix)
		if err != nil {
			return err
		}
		if j.id != "" && j.id != b.ID {
			l.tl.violate("I1", j.id, "resent job got the id %s", b.ID)
		}
		j.id = b.ID
	}
	return nil
}

func (l *jobLoad) cancel(api func() *harness.Jobs, j *job) {
	ctx, cancel := callContext()
	defer cancel()
	if l.retry(ctx, j, "cancel", func() error {
		_, err := api().Cancel(ctx, j.id)
		return err
	}) {
		l.jobsMu.Lock()
		j.cancelled = time.Now()
		l.jobsMu.Unlock()
		l.tl.add("job", "cancelled", j.id, "")
	}
}

// retry repeats fn until it succeeds or ctx ends.
func (l *jobLoad) retry(ctx context.Context, j *job, step string, fn func() error) bool {
	for {
		err := fn()
		if err == nil {
			return true
		}
		l.tl.add("job", step+" failed", j.prefix, "%v", err)
		if !wait(ctx, resendPause) {
			return false
		}
	}
}

// checkJobs waits for the end of all jobs and checks their results.
func (l *jobLoad) checkJobs(ctx context.Context) {
	for i, j := range l.jobs {
		api := l.d.Jobs(i%len(l.d.Hosts), j.workspace)
		b, err := api.Await(ctx, j.id)
		if err != nil {
			l.tl.violate("I1", j.id, "job does not end: %v", err)
			continue
		}
		if !j.cancelled.IsZero() && b.Status == "cancelled" {
			l.checkCounts(ctx, api, j, b)
			continue
		}
		failed, err := api.CheckResults(ctx, b, j.prefix, jobItems, itemTokens)
		if err != nil {
			l.tl.violate("I1", j.id, "%v", err)
			continue
		}
		l.tl.add("check", "job", j.id, "%s, %d items failed", b.Status, failed)
	}
}

// checkCounts verifies that a cancelled job's counts no longer change.
func (l *jobLoad) checkCounts(ctx context.Context, api *harness.Jobs, j *job, before harness.Batch) {
	wait(ctx, time.Second)
	after, err := api.Get(ctx, j.id)
	if err != nil || after.Counts != before.Counts {
		l.tl.violate("I2", j.id, "counts after the end: %v, then %v, error %v", before.Counts, after.Counts, err)
	}
}
