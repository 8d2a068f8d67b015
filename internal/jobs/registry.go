package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortstep/internal/core/batch"
)

// tombstoneTTL is how long a cancellation is kept and published. A notice can
// arrive before the job is listed, and a host can miss it until after the
// job's end.
const tombstoneTTL = 10 * time.Minute

// activeJob is a host's in-memory state of an unfinished job. Its size grows
// with the number of chunks, not of items.
type activeJob struct {
	entry   activeEntry
	ctx     context.Context // ends when the job is cancelled or has ended
	cancel  context.CancelFunc
	addedAt time.Time

	mu            sync.Mutex
	cancelled     bool
	statesListed  bool // the chunks' states were listed, or the job was new
	finished      batch.Bitmap
	claimed       batch.Bitmap // chunks that have a progress object
	probes        map[int]chunkProbe
	assignment    *batch.Assignment
	assigned      []int  // chunks assigned to this host
	assignedHash  uint64 // hash of the alive hosts for which assigned was computed
	finishCheckAt time.Time
}

// chunkProbe tracks whether another host's chunk still makes progress.
type chunkProbe struct {
	version   int64
	unchanged int // consecutive reads that found the same version
	retryAt   time.Time
}

func (j *activeJob) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// markFinished records a finished chunk and reports whether all are finished.
func (j *activeJob) markFinished(chunk int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if chunk >= 0 && chunk < len(j.entry.Parts) {
		j.finished = j.finished.With(chunk)
	}
	delete(j.probes, chunk)
	return j.finished.Count() == len(j.entry.Parts)
}

func (j *activeJob) allFinished() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.finished.Count() == len(j.entry.Parts)
}

func (j *activeJob) markClaimed(chunk int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.claimed = j.claimed.With(chunk)
}

// mayHaveProgress reports whether the chunk may have a progress object.
func (j *activeJob) mayHaveProgress(chunk int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.statesListed || j.claimed.Has(chunk)
}

// postponeClaim sets the earliest time of the next attempt to claim a chunk. With
// a version other than 0 it also returns how many consecutive reads found that
// version.
func (j *activeJob) postponeClaim(chunk int, version int64, until time.Time) (unchanged int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := j.probes[chunk]
	switch {
	case version != 0 && p.version == version:
		p.unchanged++
	case version != 0:
		p.version, p.unchanged = version, 0
	}
	p.retryAt = until
	j.probes[chunk] = p
	return p.unchanged
}

// registry holds the unfinished jobs that this host has discovered.
type registry struct {
	now      func() time.Time
	onCancel func()

	mu         sync.Mutex
	jobs       map[string]*activeJob
	tombstones map[string]time.Time
}

func newRegistry(now func() time.Time) *registry {
	return &registry{now: now, onCancel: func() {}, jobs: map[string]*activeJob{}, tombstones: map[string]time.Time{}}
}

func (r *registry) get(id string) *activeJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.jobs[id]
}

func (r *registry) all() []*activeJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*activeJob, 0, len(r.jobs))
	for _, job := range r.jobs {
		out = append(out, job)
	}
	return out
}

// add registers a job that was just created, so that at most a few of its
// chunks are claimed.
func (r *registry) add(entry activeEntry) *activeJob { return r.put(entry, true) }

func (r *registry) put(entry activeEntry, isNew bool) *activeJob {
	r.mu.Lock()
	job := r.jobs[entry.ID]
	if job == nil {
		job = &activeJob{entry: entry, addedAt: r.now(), statesListed: isNew, probes: map[int]chunkProbe{}}
		job.assignment = batch.NewAssignment(entry.ID, len(entry.Parts))
		job.ctx, job.cancel = context.WithCancel(context.Background())
		r.jobs[entry.ID] = job
	}
	_, tombstoned := r.tombstones[entry.ID]
	r.mu.Unlock()
	if entry.Cancelled || tombstoned {
		r.cancelJob(entry.ID)
	}
	return job
}

// cancelJob interrupts the job's items on this host.
func (r *registry) cancelJob(id string) {
	r.mu.Lock()
	if _, known := r.tombstones[id]; !known {
		r.tombstones[id] = r.now()
	}
	job := r.jobs[id]
	r.mu.Unlock()
	if job == nil {
		return
	}
	job.mu.Lock()
	first := !job.cancelled
	job.cancelled = true
	job.mu.Unlock()
	if first {
		job.cancel()
		r.onCancel()
	}
}

// remove drops a job that has ended.
func (r *registry) remove(id string) {
	r.mu.Lock()
	job := r.jobs[id]
	delete(r.jobs, id)
	r.mu.Unlock()
	if job != nil {
		job.cancel()
	}
}

// applyListing updates the registry from a listing that began at the given time.
// A job that the listing lacks has ended, unless it was added after that time.
func (r *registry) applyListing(entries []activeEntry, began time.Time) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.put(e, false)
	}
	for _, job := range r.all() {
		if !listed[job.entry.ID] && job.addedAt.Before(began) {
			r.remove(job.entry.ID)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, at := range r.tombstones {
		if r.now().Sub(at) > tombstoneTTL && r.jobs[id] == nil {
			delete(r.tombstones, id)
		}
	}
}

// cancelledIDs returns the sorted ids of jobs that were cancelled within
// tombstoneTTL or are still listed. It includes ended jobs, because a host that
// missed the notice may still run their items.
func (r *registry) cancelledIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.tombstones {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
