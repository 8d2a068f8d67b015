package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	jobInterval = 10 * time.Second
	itemsPerJob = 600
	itemTokens  = 8
	// cancelProbability is the probability that a job is cancelled within
	// maxCancelDelay after its creation.
	cancelProbability = 0.25
	maxCancelDelay    = 8 * time.Second
	// maxStartAfterCancel is how long after the answer to a cancel request items
	// may still start.
	maxStartAfterCancel = 3 * time.Second
)

// job is a batch job of the run.
type job struct {
	id          string
	prefix      string // of the items' custom IDs, and the idempotency key
	workspace   string
	cancelledAt time.Time // time of the answer to the cancel request, zero without one
}

// jobLoad submits batch jobs and cancels some of them.
type jobLoad struct {
	*load
	jobsMu sync.Mutex
	jobs   []*job
}

func (l *jobLoad) run(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for {
		jobRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Go(func() { l.submit(ctx, jobRNG) })
		if !wait(ctx, jobInterval) {
			break
		}
	}
	wg.Wait()
}

// submit uploads a file and creates a job, repeating requests that fail or whose
// answer is lost, as callers do. Requests with the same idempotency key must
// create only one job.
func (l *jobLoad) submit(ctx context.Context, rng *rand.Rand) {
	callCtx, cancel := callContext()
	defer cancel()
	j := &job{prefix: "item-" + harness.NewTag(), workspace: l.otherWorkspace(rng)}
	api := func() *harness.JobClient { return l.d.JobClient(rng.IntN(len(l.d.Hosts)), j.workspace) }
	var file string
	if !l.retry(callCtx, j, "upload", func() (err error) {
		file, err = api().Upload(callCtx, j.prefix, harness.Items(l.d.Layout.Model, j.prefix, itemsPerJob, itemTokens))
		return err
	}) {
		return
	}
	if !l.retry(callCtx, j, "create", func() error { return l.create(callCtx, api(), file, j) }) {
		return
	}
	l.jobsMu.Lock()
	l.jobs = append(l.jobs, j)
	l.jobsMu.Unlock()
	l.tl.add("job", "created", j.id, "%d items of %s", itemsPerJob, j.workspace)
	if rng.Float64() < cancelProbability && wait(ctx, time.Duration(rng.Int64N(int64(maxCancelDelay)))) {
		l.cancel(api, j)
	}
}

// create sends the request to create the job twice, with the same idempotency
// key, and verifies I1: both return the same job.
func (l *jobLoad) create(ctx context.Context, api *harness.JobClient, file string, j *job) error {
	for range 2 {
		b, err := api.Create(ctx, file, "/v1/completions", j.prefix)
		if err != nil {
			return err
		}
		if j.id != "" && j.id != b.ID {
			l.tl.addViolation("I1", j.id, "repeated create request returned another job: %s", b.ID)
		}
		j.id = b.ID
	}
	return nil
}

func (l *jobLoad) cancel(api func() *harness.JobClient, j *job) {
	ctx, cancel := callContext()
	defer cancel()
	if l.retry(ctx, j, "cancel", func() error {
		_, err := api().Cancel(ctx, j.id)
		return err
	}) {
		l.jobsMu.Lock()
		j.cancelledAt = time.Now()
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
		if !wait(ctx, resendDelay) {
			return false
		}
	}
}

// checkJobs verifies I1: every job ends with one result for each item, except
// for jobs that were cancelled.
func (l *jobLoad) checkJobs(ctx context.Context) {
	for i, j := range l.jobs {
		api := l.d.JobClient(i%len(l.d.Hosts), j.workspace)
		b, err := api.Await(ctx, j.id)
		if err != nil {
			l.tl.addViolation("I1", j.id, "job does not end: %v", err)
			continue
		}
		if !j.cancelledAt.IsZero() && b.Status == "cancelled" {
			l.checkFinalCounts(ctx, api, j, b)
			continue
		}
		failed, err := api.CheckResults(ctx, b, j.prefix, itemsPerJob, itemTokens)
		if err != nil {
			l.tl.addViolation("I1", j.id, "%v", err)
			continue
		}
		l.tl.add("check", "job", j.id, "%s, %d items failed", b.Status, failed)
	}
}

// checkFinalCounts verifies I2: the counts of a cancelled job no longer change.
func (l *jobLoad) checkFinalCounts(ctx context.Context, api *harness.JobClient, j *job, before harness.Batch) {
	wait(ctx, time.Second)
	after, err := api.Get(ctx, j.id)
	if err != nil || after.Counts != before.Counts {
		l.tl.addViolation("I2", j.id, "counts when the job had ended: %v, a second later: %v, error: %v", before.Counts, after.Counts, err)
	}
}
