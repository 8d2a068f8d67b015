package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortstep/internal/core/batch"
)

// tombstoneAge is how long a cancellation is remembered and published. Notices
// can overtake the listing of the job, and be missed until after its end.
const tombstoneAge = 10 * time.Minute

// activeJob is what a host keeps of an unfinished job. Its size depends on
// the number of chunks, not of items.
type activeJob struct {
	entry   activeEntry
	ctx     context.Context // ends when the job is cancelled or has ended
	cancel  context.CancelFunc
	addedAt time.Time

	mu         sync.Mutex
	cancelled  bool
	listed     bool // the chunks' states have been listed, or the job was new
	finished   batch.Bitmap
	claimed    batch.Bitmap // chunks that have a progress object
	probes     map[int]probe
	assignment *batch.Assignment
	mine       []int  // chunks assigned to this host in the view
	viewKey    uint64 // view for which mine was computed
	checkAt    time.Time
}

// probe is what is known of a chunk that another host owns.
type probe struct {
	version   int64
	unchanged int // successive reads that found the same version
	retryAt   time.Time
}

func (j *activeJob) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.cancelled
}

// markFinished notes a finished chunk and reports whether all are finished.
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

// mayExist reports whether the chunk may have a progress object.
func (j *activeJob) mayExist(chunk int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.listed || j.claimed.Has(chunk)
}

// postpone sets the time of the next look at a chunk. A version other than 0
// counts the successive reads that found it unchanged.
func (j *activeJob) postpone(chunk int, version int64, until time.Time) (unchanged int) {
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

// registry holds the unfinished jobs that this host knows.
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

// add registers a job that was just created: none of its chunks is claimed,
// or other hosts have only begun to claim them.
func (r *registry) add(entry activeEntry) *activeJob { return r.put(entry, true) }

func (r *registry) put(entry activeEntry, isNew bool) *activeJob {
	r.mu.Lock()
	job := r.jobs[entry.ID]
	if job == nil {
		job = &activeJob{entry: entry, addedAt: r.now(), listed: isNew, probes: map[int]probe{}}
		job.assignment = batch.NewAssignment(entry.ID, len(entry.Parts))
		job.ctx, job.cancel = context.WithCancel(context.Background())
		r.jobs[entry.ID] = job
	}
	_, buried := r.tombstones[entry.ID]
	r.mu.Unlock()
	if entry.Cancelled || buried {
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

// remove forgets a job that has ended.
func (r *registry) remove(id string) {
	r.mu.Lock()
	job := r.jobs[id]
	delete(r.jobs, id)
	r.mu.Unlock()
	if job != nil {
		job.cancel()
	}
}

// sync takes over a listing that began at the given time. Jobs that are
// missing from it have ended, unless they were added since.
func (r *registry) sync(entries []activeEntry, began time.Time) {
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
		if r.now().Sub(at) > tombstoneAge && r.jobs[id] == nil {
			delete(r.tombstones, id)
		}
	}
}

// cancelledIDs returns the jobs cancelled in the last tombstoneAge, sorted. A
// job stays in it after its end, because a host that missed the notice may
// still have items of it.
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
