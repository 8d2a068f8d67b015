package jobs

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/store"
)

const (
	// fleetCommitRate is the aim for commits per second of all hosts together;
	// intervals grow up to maxCommitInterval to keep it.
	fleetCommitRate   = 20
	maxCommitInterval = 30 * time.Second
	// A commit takes place at a commit interval when a third of the chunk's
	// items has new results, or after slowCommitFactor intervals. With one
	// read, one claim and two calls per commit, a chunk of 500 items that takes
	// up to three slow intervals costs at most 0.016 calls per item.
	commitsPerChunk  = 3
	slowCommitFactor = 6
	// Once no item is left to start, results are committed when none was added
	// for a part of the commit interval, so that they do not wait for an item
	// that hangs. Only items that run at the same time cause such commits.
	stallChecks = 5
	// touchInterval is the longest time without a commit. Other hosts take a
	// chunk over when its object does not change for much longer.
	touchInterval = time.Minute
	// earlyCommitBytes of held results of one chunk trigger a commit.
	earlyCommitBytes = 4 << 20
	// intendBatch is how many non-idempotent items are recorded at once
	// before they are sent. When the host dies, the unfinished ones and those
	// finished since the last commit become outcome_unknown.
	intendBatch = 100
	// wakeItems is how often a draining queue makes the fill loop look whether
	// the next chunk should be claimed before this one runs dry.
	wakeItems = 32
)

// queued is an item that waits to be started.
type queued struct {
	item      int
	notBefore time.Time
}

// chunkRun runs the items of one claimed chunk.
type chunkRun struct {
	s         *Service
	job       *activeJob
	index     int
	ctx       context.Context // ends when running items must stop
	cancel    context.CancelFunc
	feedCtx   context.Context // ends when no further item may start
	unlink    []func() bool   // detaches the contexts from the service's
	changed   chan struct{}
	commitNow chan struct{}

	commitMu sync.Mutex // held during a commit
	segments int        // segments written under this claim

	mu          sync.Mutex
	progress    batch.Chunk // as last committed; written under both mutexes
	version     int64
	lines       [][]byte // the chunk's items; nil when the input is not readable
	attempts    []byte
	queue       []queued
	running     int
	refusals    int // successive refusals, for the delay
	paid        batch.Bitmap
	sent        batch.Bitmap // items handed to the dispatcher and not refused unsent
	held        heldChunk
	heldBytes   int64
	oldestHeld  time.Time
	newestHeld  time.Time
	committedAt time.Time
	lost        bool
	opened      bool
}

func newChunkRun(s *Service, job *activeJob, index int) *chunkRun {
	r := &chunkRun{
		s: s, job: job, index: index,
		changed: make(chan struct{}, 1), commitNow: make(chan struct{}, 1),
		held: heldChunk{all: s.held},
	}
	r.ctx, r.cancel = context.WithCancel(job.ctx)
	feedCtx, stopFeed := context.WithCancel(r.ctx)
	r.feedCtx = feedCtx
	r.unlink = []func() bool{context.AfterFunc(s.items, r.cancel), context.AfterFunc(s.draining, stopFeed)}
	return r
}

// waiting returns the number of items that have not started. A chunk that is
// being claimed counts with all its items.
func (r *chunkRun) waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.opened {
		return r.job.entry.Parts[r.index]
	}
	return len(r.queue)
}

// run claims the chunk, runs its items and commits their results.
func (r *chunkRun) run() {
	defer r.detach()
	defer r.discardHeld()
	if err := r.open(); err != nil {
		r.notOpened(err)
		return
	}
	stopped := make(chan struct{})
	var committer sync.WaitGroup
	committer.Go(func() { r.commitLoop(stopped) })
	r.feed()
	r.waitRunning()
	close(stopped)
	committer.Wait()
	r.finish()
}

// detach ends the run's contexts and frees what the service's contexts keep of them.
func (r *chunkRun) detach() {
	r.cancel()
	for _, unlink := range r.unlink {
		unlink()
	}
}

// open claims the chunk and reads its items.
func (r *chunkRun) open() error {
	progress, version, err := r.s.claim(r.feedCtx, r.job, r.index)
	if err != nil {
		return err
	}
	lines, err := r.readItems()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress, r.version, r.lines = progress, version, lines
	r.held.name = fmt.Sprintf("%s-%d-%d", r.job.entry.ID, r.index, progress.Epoch)
	r.attempts = make([]byte, progress.Items)
	copy(r.attempts, progress.Attempts)
	r.committedAt = r.s.now()
	r.opened = true
	r.settleEarlier()
	for _, item := range progress.Pending(r.s.o.MaxAttempts) {
		if lines != nil {
			r.queue = append(r.queue, queued{item: item})
			continue
		}
		r.hold(item, r.errorLine(item, itemError{Code: "input_unavailable", Message: "the input file is missing or damaged"}))
	}
	return nil
}

// settleEarlier gives results to items that earlier owners left without one
// and that must not run again.
func (r *chunkRun) settleEarlier() {
	for _, item := range r.progress.Unresolved() {
		r.hold(item, r.errorLine(item, itemError{
			Code: "outcome_unknown", Message: "the host was lost after the item may have been sent; it is not idempotent",
		}))
	}
	for _, item := range r.progress.Exhausted(r.s.o.MaxAttempts) {
		r.hold(item, r.errorLine(item, itemError{
			Code: "attempts_exhausted", Message: "the item was running each time its host was lost, or failed before",
		}))
	}
}

// readItems returns the chunk's lines, or nil when the part is missing or damaged.
func (r *chunkRun) readItems() ([][]byte, error) {
	for attempt := 0; ; attempt++ {
		raw, err := r.s.readPart(r.feedCtx, r.job.entry.InputFile, r.index)
		switch {
		case err == nil:
			lines := bytes.Split(bytes.TrimSuffix(raw, []byte{'\n'}), []byte{'\n'})
			if len(lines) != r.job.entry.Parts[r.index] {
				counters.Add("damaged_parts", 1)
				return nil, nil
			}
			return lines, nil
		case errors.IsAny(err, store.ErrUnavailable, store.ErrRateLimited, store.ErrUnknownOutcome):
			if !sleep(r.feedCtx, jitter(min(putBaseDelay<<min(attempt, 10), putMaxDelay))) {
				return nil, r.feedCtx.Err()
			}
		case r.feedCtx.Err() != nil:
			return nil, err
		default:
			counters.Add("damaged_parts", 1)
			return nil, nil
		}
	}
}

// notOpened sets when the chunk is looked at again.
func (r *chunkRun) notOpened(err error) {
	switch {
	case errors.Is(err, errNotClaimed):
		return // mayTake has set the time
	case errors.Is(err, errLost), errors.Is(err, batch.ErrFinished):
		r.job.postpone(r.index, 0, r.s.now().Add(jitter(r.s.o.RetryDelay)))
	default:
		counters.Add("claim_errors", 1)
		r.job.postpone(r.index, 0, r.s.now().Add(jitter(claimRetry)))
	}
}

// feed starts items until all have a result or the run must end.
func (r *chunkRun) feed() {
	for {
		item, ok := r.take()
		if !ok {
			return
		}
		if err := r.admit(item); err != nil {
			r.putBack(item)
			continue
		}
		r.start(item)
	}
}

// take waits for an item that may start. It returns false when all items have
// a result or no further item may start.
func (r *chunkRun) take() (int, bool) {
	for {
		item, wait, more := r.ready()
		if item >= 0 {
			return item, true
		}
		if !more {
			return 0, false
		}
		timer := time.NewTimer(wait)
		select {
		case <-r.feedCtx.Done():
		case <-r.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ready removes and returns the first item that may start now, or -1 with the
// time until the next one. more is false when the run is over.
func (r *chunkRun) ready() (item int, wait time.Duration, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.feedCtx.Err() != nil || len(r.queue) == 0 && r.running == 0 {
		return -1, 0, false
	}
	now, wait := r.s.now(), time.Minute
	for i, q := range r.queue {
		if !now.Before(q.notBefore) {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			if len(r.queue)%wakeItems == 0 {
				r.s.wake()
			}
			return q.item, 0, true
		}
		wait = min(wait, q.notBefore.Sub(now))
	}
	return -1, wait, true
}

// putBack returns an item that was not started to the front of the queue.
func (r *chunkRun) putBack(item int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append([]queued{{item: item}}, r.queue...)
}

// signal tells take that the queue or the running items changed.
func (r *chunkRun) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// start hands the item to the pool. The caller holds a slot for it.
func (r *chunkRun) start(item int) {
	r.mu.Lock()
	r.attempts[item]++
	r.running++
	r.sent = r.sent.With(item)
	r.mu.Unlock()
	r.s.pool.Submit(func() {
		defer r.s.slots.leave(r.job.entry.Workspace)
		r.settle(item, r.attempt(item))
	})
}

// waitRunning waits until no item is running.
func (r *chunkRun) waitRunning() {
	for {
		r.mu.Lock()
		n := r.running
		r.mu.Unlock()
		if n == 0 {
			return
		}
		<-r.changed
	}
}

// hold keeps a result until the next commit. The caller holds mu.
func (r *chunkRun) hold(item int, line []byte) {
	if len(r.held.lines) == 0 {
		r.oldestHeld = r.s.now()
	}
	r.newestHeld = r.s.now()
	r.held.add(item, line[0] == markError, line)
	r.heldBytes += int64(len(line))
	if r.heldBytes > earlyCommitBytes {
		r.commitSoon()
	}
}

func (r *chunkRun) commitSoon() {
	select {
	case r.commitNow <- struct{}{}:
	default:
	}
}

func (r *chunkRun) discardHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.drop(len(r.held.lines))
}

// lose stops a run whose chunk has another owner.
func (r *chunkRun) lose() {
	r.mu.Lock()
	r.lost = true
	r.mu.Unlock()
	r.cancel()
}

// commitInterval grows with the number of chunks that the fleet runs.
func (s *Service) commitInterval() time.Duration {
	s.mu.Lock()
	chunks := len(s.runs)
	s.mu.Unlock()
	fair := time.Duration(chunks*len(s.hosts())) * time.Second / fleetCommitRate
	return max(s.o.CommitInterval, min(fair, maxCommitInterval))
}

// commitLoop commits while items run.
func (r *chunkRun) commitLoop(stopped chan struct{}) {
	interval, checks := jitter(r.s.commitInterval()), 0
	for {
		timer := time.NewTimer(interval / stallChecks)
		select {
		case <-stopped:
			timer.Stop()
			return
		case <-timer.C:
			checks++
			full := checks == stallChecks
			if full {
				interval, checks = jitter(r.s.commitInterval()), 0
			}
			if !r.stalled(interval/stallChecks) && !(full && r.due()) {
				continue
			}
		case <-r.commitNow:
			timer.Stop()
			if !r.holding() {
				continue
			}
		}
		err := r.commit(r.s.ctx, commitOptions{})
		switch {
		case err == nil:
		case errors.IsAny(err, errLost, batch.ErrStaleEpoch, batch.ErrFinished):
			r.lose()
		default:
			counters.Add("commit_errors", 1)
		}
	}
}

func (r *chunkRun) holding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held.lines) > 0
}

// stalled reports whether no item can start now and no result was added for
// the given time, while results are held.
func (r *chunkRun) stalled(quiet time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.s.now()
	for _, q := range r.queue {
		if !now.Before(q.notBefore) {
			return false
		}
	}
	return len(r.held.lines) > 0 && now.Sub(r.newestHeld) >= quiet
}

// due reports whether results are to be committed now. Few results of an
// idempotent chunk wait longer, so that slow jobs cost few platform calls per
// item; those of non-idempotent items could not be had again.
func (r *chunkRun) due() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, n := r.s.now(), len(r.held.lines)
	switch {
	case n == 0:
		return now.Sub(r.committedAt) > touchInterval
	case n*commitsPerChunk >= r.progress.Items, len(r.progress.Intended) > 0:
		return true
	}
	return now.Sub(r.oldestHeld) >= slowCommitFactor*r.s.o.CommitInterval
}

// finish makes the run's last commit. It seals a cancelled job's chunk and
// releases a chunk that other hosts must continue.
func (r *chunkRun) finish() {
	r.mu.Lock()
	lost, left := r.lost, len(r.queue)
	r.mu.Unlock()
	if lost {
		r.job.postpone(r.index, 0, r.s.now().Add(jitter(r.s.o.RetryDelay)))
		return
	}
	o := commitOptions{seal: r.job.isCancelled(), release: left > 0}
	if !o.seal {
		o.withdraw = r.unsent()
	}
	if err := r.commit(r.s.ctx, o); err != nil {
		counters.Add("last_commit_errors", 1)
		r.job.postpone(r.index, 0, r.s.now().Add(jitter(r.s.o.RetryDelay)))
		return
	}
	if !r.progress.Finished() {
		r.job.postpone(r.index, 0, r.s.now().Add(jitter(r.s.o.RetryDelay)))
		return
	}
	if r.job.markFinished(r.index) {
		r.s.finishSoon(r.job)
	}
	r.s.spawn(func() { r.s.notifyFinisher(r.job, r.index) })
}

// unsent returns the items whose intention is recorded but that were not sent.
func (r *chunkRun) unsent() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	done := r.progress.Results
	for _, l := range r.held.lines {
		done = done.With(l.item)
	}
	var out []int
	for item := range r.progress.Items {
		if r.progress.Intended.Has(item) && !r.sent.Has(item) && !done.Has(item) {
			out = append(out, item)
		}
	}
	return out
}
