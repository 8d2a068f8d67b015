package jobs

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/store"
)

const (
	finishCheckInterval = time.Second
	// cancelledCheckInterval is the interval between attempts to end a cancelled
	// job, unless Options.FinishInterval is shorter.
	cancelledCheckInterval = time.Second
	maxParallelSeals       = 16
	sealTimeout            = 30 * time.Second
)

// requestFinishCheck makes the finish loop check the job at once.
func (s *Service) requestFinishCheck(job *activeJob) {
	job.mu.Lock()
	job.finishCheckAt = s.now()
	job.mu.Unlock()
	s.wakeFinish()
}

func (s *Service) wakeFinish() {
	select {
	case s.finishSignal <- struct{}{}:
	default:
	}
}

// finishLoop ends jobs whose chunks are all finished, and seals cancelled jobs.
func (s *Service) finishLoop() {
	ticker := time.NewTicker(finishCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.drainCtx.Done():
			return
		case <-s.finishSignal:
		case <-ticker.C:
		}
		s.finishDueJobs()
	}
}

func (s *Service) finishDueJobs() {
	aliveHosts := s.aliveHosts()
	for _, job := range s.registry.all() {
		if s.drainCtx.Err() != nil || s.o.Fleet.MayAdmit(s.now()) != nil {
			return
		}
		if !s.finishCheckDue(job) || !s.isFinisher(job, aliveHosts) && !job.allFinished() {
			continue
		}
		if err := s.finishIfComplete(s.drainCtx, job); err != nil {
			counters.Add("finish_errors", 1)
		}
	}
}

// finishCheckDue reports whether the job is to be checked now, and schedules the
// next check.
func (s *Service) finishCheckDue(job *activeJob) bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	interval := s.o.FinishInterval
	if job.cancelled {
		interval = min(interval, cancelledCheckInterval)
	}
	now := s.now()
	if job.finishCheckAt.IsZero() {
		job.finishCheckAt = job.addedAt.Add(jitter(interval))
	}
	if limit := now.Add(interval * 5 / 4); job.finishCheckAt.After(limit) {
		job.finishCheckAt = limit
	}
	if now.Before(job.finishCheckAt) {
		return false
	}
	job.finishCheckAt = now.Add(jitter(interval))
	return true
}

// finishIfComplete seals the chunks of a cancelled job, and ends a job whose
// chunks are all finished.
func (s *Service) finishIfComplete(ctx context.Context, job *activeJob) error {
	id := job.entry.ID
	manifest, exists, err := s.manifest(ctx, id)
	if err != nil {
		return err
	}
	if !exists || manifest.Status.Final() {
		return s.cleanUpEnded(ctx, manifest, id)
	}
	if manifest.Status == batch.StatusCancelling {
		s.registry.cancelJob(id)
		if err := s.sealChunks(ctx, manifest); err != nil {
			return err
		}
	}
	var totals batch.Totals
	err = s.listChunks(ctx, id, func(_ int64, c batch.Chunk) error {
		totals.Add(c)
		job.markClaimed(c.Index)
		if c.Finished() {
			job.markFinished(c.Index)
		}
		return nil
	})
	if err != nil || totals.Finished < manifest.Chunks {
		return err
	}
	return s.endJob(ctx, id, totals)
}

// endJob writes the job's final status and counts.
func (s *Service) endJob(ctx context.Context, id string, totals batch.Totals) error {
	first := false // another host may have ended it
	job, err := s.updateManifest(ctx, id, func(job batch.Job) (batch.Job, error) {
		first = !job.Status.Final()
		return job.End(totals, s.now())
	})
	if !invariant.Check(!errors.Is(err, batch.ErrCountsChanged), "final-counts", "end job", "", "job", id) || err != nil {
		return err
	}
	if first {
		counters.Add("jobs_ended", 1)
		s.recordEvent(events.Event{Kind: "job.ended", Workspace: job.Workspace, Job: id, Detail: string(job.Status)})
	}
	return s.cleanUpEnded(ctx, job, id)
}

// cleanUpEnded adds an ended job's result files to the file index, collects
// garbage and removes the job from the index of unfinished jobs. Any host may
// repeat it.
func (s *Service) cleanUpEnded(ctx context.Context, job batch.Job, id string) error {
	for _, errorLines := range []bool{false, true} {
		meta, ok := resultFile(job, errorLines)
		if !ok {
			continue
		}
		if err := s.putFileIndex(ctx, meta, true); err != nil {
			return err
		}
	}
	if err := s.collectGarbage(ctx, id); err != nil {
		return err
	}
	if err := s.remove(ctx, activeKey(id)); err != nil {
		return err
	}
	s.registry.remove(id)
	return nil
}

// collectGarbage deletes segments that former owners wrote but did not commit.
// It does not list segments, because a listing includes their content, but tries
// their numbers in order until one does not exist.
func (s *Service) collectGarbage(ctx context.Context, id string) error {
	return s.listChunks(ctx, id, func(_ int64, c batch.Chunk) error {
		for epoch := uint64(1); epoch <= c.Epoch; epoch++ {
			if epoch == c.Epoch && c.State == batch.ChunkDone {
				break // the last owner committed all its segments
			}
			if err := s.collectEpochGarbage(ctx, id, c, epoch); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Service) collectEpochGarbage(ctx context.Context, id string, c batch.Chunk, epoch uint64) error {
	committed := map[int]bool{}
	for _, ref := range c.Segments {
		if ref.Epoch == epoch {
			committed[ref.Number] = true
		}
	}
	next := c.NextSegment(epoch)
	for number := 0; ; number++ {
		if committed[number] {
			continue
		}
		key := segmentKey(id, c.Index, epoch, number)
		found := true
		err := s.retryCall(ctx, func() error {
			err := s.store.Delete(ctx, key, store.AnyVersion)
			if errors.Is(err, store.ErrNotFound) {
				found = false
				return nil
			}
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "platform delete %s", key)
		}
		if found {
			counters.Add("garbage_segments", 1)
		} else if number >= next {
			return nil
		}
	}
}

// cancelJob cancels a job. It returns when the manifest and the index entry
// record the cancellation. The chunks are sealed in the background.
func (s *Service) cancelJob(ctx context.Context, workspace, id string) (batch.Job, error) {
	if _, err := s.readJob(ctx, workspace, id); err != nil {
		return batch.Job{}, err
	}
	job, err := s.updateManifest(ctx, id, func(job batch.Job) (batch.Job, error) { return job.Cancel(s.now()) })
	if errors.Is(err, batch.ErrNotCancellable) {
		return job, conflict("batch_not_cancellable", "id", "batch %s has already ended", id)
	}
	if err != nil || job.Status.Final() {
		return job, unknownOutcomeError(err)
	}
	if err := s.markCancelled(ctx, job); err != nil {
		return job, unknownOutcomeError(err)
	}
	s.registry.cancelJob(id)
	s.publishCancelled()
	s.o.Fleet.HeartbeatNow()
	s.recordEvent(events.Event{Kind: "job.cancelling", Workspace: workspace, Job: id})
	s.broadcast(notice{Kind: noticeCancelled, Job: id})
	s.spawn(func() { s.sealAndEnd(job) })
	return job, nil
}

// markCancelled records the cancellation in the index of unfinished jobs.
func (s *Service) markCancelled(ctx context.Context, job batch.Job) error {
	var entry activeEntry
	err := s.getJSON(ctx, activeKey(job.ID), &entry)
	if errors.Is(err, store.ErrNotFound) {
		var file fileMeta
		if err := s.getJSON(ctx, fileMetaKey(job.InputFile), &file); err != nil {
			return err
		}
		entry = newActiveEntry(job, file.Parts)
	} else if err != nil {
		return err
	}
	entry.Cancelled = true
	raw, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode active entry")
	}
	if err := s.overwriteObject(ctx, activeKey(job.ID), raw); err != nil {
		return err
	}
	s.registry.put(entry, false)
	return nil
}

// sealAndEnd seals the chunks without an alive owner at once, seals the others
// after SealGrace, in which their owners may commit, and then ends the job. When
// this host or the platform fails, the finish loop does the same.
func (s *Service) sealAndEnd(job batch.Job) {
	ctx, cancel := context.WithTimeout(s.ctx, sealTimeout)
	defer cancel()
	_ = s.sealChunks(ctx, job) // repeated below
	if !sleep(ctx, s.o.SealGrace) {
		return
	}
	if active := s.registry.get(job.ID); active != nil {
		if err := s.finishIfComplete(ctx, active); err != nil {
			counters.Add("finish_errors", 1)
		}
	}
}

// sealChunks seals every unfinished chunk of a cancelled job, including those
// never claimed, so that no later claim or commit succeeds. During SealGrace it
// skips chunks of alive owners.
func (s *Service) sealChunks(ctx context.Context, job batch.Job) error {
	grace := s.now().Before(time.UnixMilli(job.CancellingAt).Add(s.o.SealGrace))
	seen := make([]bool, job.Chunks)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelSeals)
	err := s.listChunks(ctx, job.ID, func(version int64, c batch.Chunk) error {
		if c.Index < 0 || c.Index >= job.Chunks {
			return errors.Newf("chunk number %d outside the job", c.Index)
		}
		seen[c.Index] = true
		if !c.Finished() && !(grace && s.ownerAlive(c.Owner)) {
			group.Go(func() error { return s.sealChunk(ctx, job.ID, version, c) })
		}
		return nil
	})
	for index, claimed := range seen {
		if err == nil && !claimed {
			// A sealed chunk refuses updates even without its number of items.
			group.Go(func() error { return s.sealChunk(ctx, job.ID, 0, batch.NewChunk(index, 0)) })
		}
	}
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return err
}

// sealChunk seals one chunk. A chunk that changed in the meantime is left to the
// next pass.
func (s *Service) sealChunk(ctx context.Context, id string, version int64, c batch.Chunk) error {
	sealed, ok := c.Seal()
	if !ok {
		return nil
	}
	_, err := s.putChunk(ctx, id, version, c, sealed)
	if errors.Is(err, errChunkLost) {
		return nil
	}
	return err
}
