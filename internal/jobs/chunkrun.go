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
	// targetFleetCommitRate is the target for the commits per second of all hosts
	// together. Commit intervals grow up to maxCommitInterval to meet it.
	targetFleetCommitRate = 20
	maxCommitInterval     = 30 * time.Second
	// A chunk is committed at the end of a commit interval when at least a third
	// of its items have new results, or when results have waited for
	// maxDeferredIntervals intervals. With one read, one claim and two calls per
	// commit, a chunk of 500 items that takes up to three such waits costs at
	// most 0.016 platform calls per item.
	commitShareDivisor   = 3
	maxDeferredIntervals = 6
	// When no item is left to start, held results are committed as soon as none
	// was added for 1/stallChecksPerInterval of the commit interval, so that they
	// do not wait for a hanging item. Such commits are few, because only items
	// that are already running can add results between them.
	stallChecksPerInterval = 5
	// maxCommitGap is the longest time without a commit. Other hosts take over a
	// chunk whose object does not change for much longer.
	maxCommitGap = time.Minute
	// earlyCommitBytes is the size of one chunk's held results that triggers a commit.
	earlyCommitBytes = 4 << 20
	// intentionBatchSize is the number of non-idempotent items whose intention is
	// recorded at once before they are sent. When the host fails, those without
	// a committed result become outcome_unknown.
	intentionBatchSize = 100
	// refillCheckItems is the number of started items after which the fill loop
	// is woken, so that it can claim the next chunk before this queue is empty.
	refillCheckItems = 32
)

// queuedItem is an item that is waiting to be started.
type queuedItem struct {
	item      int
	notBefore time.Time
}

// chunkRun runs the items of one claimed chunk.
type chunkRun struct {
	svc             *Service
	job             *activeJob
	index           int
	ctx             context.Context // ends when running items must stop
	cancel          context.CancelFunc
	startCtx        context.Context // ends when no further item may start
	unlink          []func() bool   // stop the callbacks registered on the service's contexts
	queueChanged    chan struct{}
	commitRequested chan struct{}

	commitMu    sync.Mutex // held during a commit
	nextSegment int        // number of the next segment under this claim

	mu             sync.Mutex
	progress       batch.Chunk // as last committed; written under both mutexes
	version        int64
	lines          [][]byte // the chunk's items; nil when the input is not readable
	attempts       []byte
	queue          []queuedItem
	running        int
	refusals       int // consecutive refusals; determines refusalDelay
	rateTokenTaken batch.Bitmap
	sent           batch.Bitmap // items handed to the dispatcher and not refused unsent
	held           heldChunk
	heldBytes      int64
	oldestHeld     time.Time
	newestHeld     time.Time
	committedAt    time.Time
	chunkLost      bool
	prepared       bool
}

func newChunkRun(svc *Service, job *activeJob, index int) *chunkRun {
	r := &chunkRun{
		svc: svc, job: job, index: index,
		queueChanged: make(chan struct{}, 1), commitRequested: make(chan struct{}, 1),
		held: heldChunk{account: svc.held},
	}
	r.ctx, r.cancel = context.WithCancel(job.ctx)
	startCtx, stopStarting := context.WithCancel(r.ctx)
	r.startCtx = startCtx
	r.unlink = []func() bool{context.AfterFunc(svc.itemCtx, r.cancel), context.AfterFunc(svc.drainCtx, stopStarting)}
	return r
}

// unstartedItems returns the number of items that have not started. While the
// chunk is being claimed it returns the number of all its items.
func (r *chunkRun) unstartedItems() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.prepared {
		return r.job.entry.Parts[r.index]
	}
	return len(r.queue)
}

// run claims the chunk, runs its items and commits their results.
func (r *chunkRun) run() {
	defer r.releaseContexts()
	defer r.discardHeld()
	if err := r.prepare(); err != nil {
		r.postponeAfterError(err)
		return
	}
	stopped := make(chan struct{})
	var committer sync.WaitGroup
	committer.Go(func() { r.commitLoop(stopped) })
	r.startItems()
	r.waitRunning()
	close(stopped)
	committer.Wait()
	r.commitFinal()
}

// releaseContexts ends the run's contexts and removes their callbacks from the
// service's contexts.
func (r *chunkRun) releaseContexts() {
	r.cancel()
	for _, unlink := range r.unlink {
		unlink()
	}
}

// prepare claims the chunk and reads its items.
func (r *chunkRun) prepare() error {
	progress, version, err := r.svc.claim(r.startCtx, r.job, r.index)
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
	r.committedAt = r.svc.now()
	r.prepared = true
	r.failAbandonedItems()
	for _, item := range progress.Pending(r.svc.o.MaxAttempts) {
		if lines != nil {
			r.queue = append(r.queue, queuedItem{item: item})
			continue
		}
		r.holdResult(item, r.errorLine(item, itemError{Code: "input_unavailable", Message: "the input file is missing or damaged"}))
	}
	return nil
}

// failAbandonedItems records errors for items that earlier owners left without
// a result and that must not run again.
func (r *chunkRun) failAbandonedItems() {
	for _, item := range r.progress.Unresolved() {
		r.holdResult(item, r.errorLine(item, itemError{
			Code: "outcome_unknown", Message: "the host was lost after the item may have been sent; it is not idempotent",
		}))
	}
	for _, item := range r.progress.Exhausted(r.svc.o.MaxAttempts) {
		r.holdResult(item, r.errorLine(item, itemError{
			Code: "attempts_exhausted", Message: "the item was running each time its host was lost, or failed before",
		}))
	}
}

// readItems returns the chunk's lines, or nil when the part is missing or damaged.
func (r *chunkRun) readItems() ([][]byte, error) {
	for attempt := 0; ; attempt++ {
		raw, err := r.svc.readPart(r.startCtx, r.job.entry.InputFile, r.index)
		switch {
		case err == nil:
			lines := bytes.Split(bytes.TrimSuffix(raw, []byte{'\n'}), []byte{'\n'})
			if len(lines) != r.job.entry.Parts[r.index] {
				counters.Add("damaged_parts", 1)
				return nil, nil
			}
			return lines, nil
		case errors.IsAny(err, store.ErrUnavailable, store.ErrRateLimited, store.ErrUnknownOutcome):
			if !sleep(r.startCtx, jitter(min(putBaseDelay<<min(attempt, 10), putMaxDelay))) {
				return nil, r.startCtx.Err()
			}
		case r.startCtx.Err() != nil:
			return nil, err
		default:
			counters.Add("damaged_parts", 1)
			return nil, nil
		}
	}
}

// postponeAfterError sets when to try to claim the chunk again after prepare failed.
func (r *chunkRun) postponeAfterError(err error) {
	switch {
	case errors.Is(err, errNotClaimed):
		return // checkClaimable has set the time
	case errors.Is(err, errChunkLost), errors.Is(err, batch.ErrFinished):
		r.job.postponeClaim(r.index, 0, r.svc.now().Add(jitter(r.svc.o.RetryDelay)))
	default:
		counters.Add("claim_errors", 1)
		r.job.postponeClaim(r.index, 0, r.svc.now().Add(jitter(claimRetryDelay)))
	}
}

// startItems starts items until all have results or the run must end.
func (r *chunkRun) startItems() {
	for {
		item, ok := r.nextItem()
		if !ok {
			return
		}
		if err := r.waitToStart(item); err != nil {
			r.requeueFirst(item)
			continue
		}
		r.startItem(item)
	}
}

// nextItem waits for an item that may start. It returns false when all items
// have results or no further item may start.
func (r *chunkRun) nextItem() (int, bool) {
	for {
		item, wait, more := r.dequeueDue()
		if item >= 0 {
			return item, true
		}
		if !more {
			return 0, false
		}
		timer := time.NewTimer(wait)
		select {
		case <-r.startCtx.Done():
		case <-r.queueChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// dequeueDue removes and returns the first item that may start now, or -1 and
// the time until the next one may start. more is false when no item will start.
func (r *chunkRun) dequeueDue() (item int, wait time.Duration, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.startCtx.Err() != nil || len(r.queue) == 0 && r.running == 0 {
		return -1, 0, false
	}
	now, wait := r.svc.now(), time.Minute
	for i, q := range r.queue {
		if !now.Before(q.notBefore) {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			if len(r.queue)%refillCheckItems == 0 {
				r.svc.wakeFill()
			}
			return q.item, 0, true
		}
		wait = min(wait, q.notBefore.Sub(now))
	}
	return -1, wait, true
}

// requeueFirst puts an item that was not started back at the front of the queue.
func (r *chunkRun) requeueFirst(item int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queue = append([]queuedItem{{item: item}}, r.queue...)
}

// signalQueueChange wakes nextItem and waitRunning after a change of the queue or
// of the running items.
func (r *chunkRun) signalQueueChange() {
	select {
	case r.queueChanged <- struct{}{}:
	default:
	}
}

// startItem submits the item to the pool. waitToStart has acquired a slot for it.
func (r *chunkRun) startItem(item int) {
	r.mu.Lock()
	r.attempts[item]++
	r.running++
	r.sent = r.sent.With(item)
	r.mu.Unlock()
	r.svc.pool.Submit(func() {
		defer r.svc.slots.release(r.job.entry.Workspace)
		defer r.svc.held.endItem()
		r.recordOutcome(item, r.attempt(item))
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
		<-r.queueChanged
	}
}

// holdResult keeps a result until the next commit. The caller holds mu.
func (r *chunkRun) holdResult(item int, line []byte) {
	if len(r.held.lines) == 0 {
		r.oldestHeld = r.svc.now()
	}
	r.newestHeld = r.svc.now()
	r.held.add(item, line[0] == markError, line)
	r.heldBytes += int64(len(line))
	if r.heldBytes > earlyCommitBytes {
		r.requestCommit()
	}
}

func (r *chunkRun) requestCommit() {
	select {
	case r.commitRequested <- struct{}{}:
	default:
	}
}

func (r *chunkRun) discardHeld() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held.drop(len(r.held.lines))
}

// stopLost stops the run of a chunk that another host owns.
func (r *chunkRun) stopLost() {
	r.mu.Lock()
	r.chunkLost = true
	r.mu.Unlock()
	r.cancel()
}

// commitInterval returns the interval between a chunk's commits. It grows with
// the estimated number of chunks that the fleet runs.
func (s *Service) commitInterval() time.Duration {
	s.mu.Lock()
	chunks := len(s.runs)
	s.mu.Unlock()
	target := time.Duration(chunks*len(s.aliveHosts())) * time.Second / targetFleetCommitRate
	return max(s.o.CommitInterval, min(target, maxCommitInterval))
}

// commitLoop commits held results while items run.
func (r *chunkRun) commitLoop(stopped chan struct{}) {
	interval, checks := jitter(r.svc.commitInterval()), 0
	for {
		timer := time.NewTimer(interval / stallChecksPerInterval)
		select {
		case <-stopped:
			timer.Stop()
			return
		case <-timer.C:
			checks++
			full := checks == stallChecksPerInterval
			if full {
				interval, checks = jitter(r.svc.commitInterval()), 0
			}
			if !r.stalled(interval/stallChecksPerInterval) && !(full && r.commitDue()) {
				continue
			}
		case <-r.commitRequested:
			timer.Stop()
			if !r.hasHeldResults() {
				continue
			}
		}
		err := r.commit(r.svc.ctx, commitOptions{})
		switch {
		case err == nil:
		case errors.IsAny(err, errChunkLost, batch.ErrStaleEpoch, batch.ErrFinished):
			r.stopLost()
		default:
			counters.Add("commit_errors", 1)
		}
	}
}

func (r *chunkRun) hasHeldResults() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held.lines) > 0
}

// stalled reports whether results are held, no item can start now, and no result
// was added for the given time.
func (r *chunkRun) stalled(quiet time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.svc.now()
	for _, q := range r.queue {
		if !now.Before(q.notBefore) {
			return false
		}
	}
	return len(r.held.lines) > 0 && now.Sub(r.newestHeld) >= quiet
}

// commitDue reports whether to commit at the end of a commit interval. A small
// number of results of idempotent items waits longer, so that slow jobs cost few
// platform calls per item. Results of non-idempotent items do not wait, because
// the items cannot be run again.
func (r *chunkRun) commitDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, n := r.svc.now(), len(r.held.lines)
	switch {
	case n == 0:
		return now.Sub(r.committedAt) > maxCommitGap
	case n*commitShareDivisor >= r.progress.Items, len(r.progress.Intended) > 0:
		return true
	}
	return now.Sub(r.oldestHeld) >= maxDeferredIntervals*r.svc.o.CommitInterval
}

// commitFinal makes the run's last commit. It seals the chunk of a cancelled job
// and releases a chunk that another host must continue.
func (r *chunkRun) commitFinal() {
	r.mu.Lock()
	chunkLost, left := r.chunkLost, len(r.queue)
	r.mu.Unlock()
	if chunkLost {
		r.job.postponeClaim(r.index, 0, r.svc.now().Add(jitter(r.svc.o.RetryDelay)))
		return
	}
	o := commitOptions{seal: r.job.isCancelled(), release: left > 0}
	if !o.seal {
		o.withdraw = r.intendedUnsent()
	}
	if err := r.commit(r.svc.ctx, o); err != nil {
		counters.Add("last_commit_errors", 1)
		r.job.postponeClaim(r.index, 0, r.svc.now().Add(jitter(r.svc.o.RetryDelay)))
		return
	}
	if !r.progress.Finished() {
		r.job.postponeClaim(r.index, 0, r.svc.now().Add(jitter(r.svc.o.RetryDelay)))
		return
	}
	if r.job.markFinished(r.index) {
		r.svc.requestFinishCheck(r.job)
	}
	r.svc.spawn(func() { r.svc.notifyFinisher(r.job, r.index) })
}

// intendedUnsent returns the items that were not sent although their intention
// is recorded.
func (r *chunkRun) intendedUnsent() []int {
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
