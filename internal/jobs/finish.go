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
	finishTick = time.Second
	// cancelCheck is the interval between attempts to end a cancelled job.
	cancelCheck  = time.Second
	sealParallel = 16
	sealTimeout  = 30 * time.Second
)

// finishSoon makes the finish loop look at the job at once.
func (s *Service) finishSoon(job *activeJob) {
	job.mu.Lock()
	job.checkAt = s.now()
	job.mu.Unlock()
	s.wakeFinish()
}

func (s *Service) wakeFinish() {
	select {
	case s.finishUp <- struct{}{}:
	default:
	}
}

// finishLoop ends jobs whose chunks are all finished.
func (s *Service) finishLoop() {
	ticker := time.NewTicker(finishTick)
	defer ticker.Stop()
	for {
		select {
		case <-s.draining.Done():
			return
		case <-s.finishUp:
		case <-ticker.C:
		}
		s.finishDue()
	}
}

func (s *Service) finishDue() {
	hosts := s.hosts()
	for _, job := range s.registry.all() {
		if s.draining.Err() != nil || s.o.Fleet.MayAdmit(s.now()) != nil {
			return
		}
		if !s.checkDue(job) || !s.finisher(job, hosts) && !job.allFinished() {
			continue
		}
		if err := s.check(s.draining, job); err != nil {
			counters.Add("finish_errors", 1)
		}
	}
}

// checkDue reports whether the job should be looked at, and sets the next time.
func (s *Service) checkDue(job *activeJob) bool {
	job.mu.Lock()
	defer job.mu.Unlock()
	interval := s.o.FinishInterval
	if job.cancelled {
		interval = min(interval, cancelCheck)
	}
	now := s.now()
	if job.checkAt.IsZero() {
		job.checkAt = job.addedAt.Add(jitter(interval))
	}
	if limit := now.Add(interval * 5 / 4); job.checkAt.After(limit) {
		job.checkAt = limit
	}
	if now.Before(job.checkAt) {
		return false
	}
	job.checkAt = now.Add(jitter(interval))
	return true
}

// check ends the job when all its chunks are finished, and seals the chunks
// of a cancelled one.
func (s *Service) check(ctx context.Context, job *activeJob) error {
	id := job.entry.ID
	manifest, exists, err := s.manifest(ctx, id)
	if err != nil {
		return err
	}
	if !exists || manifest.Status.Final() {
		return s.wrapUp(ctx, manifest, id)
	}
	if manifest.Status == batch.StatusCancelling {
		s.registry.cancelJob(id)
		if err := s.seal(ctx, manifest); err != nil {
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
	return s.end(ctx, id, totals)
}

// end writes the final status and counts.
func (s *Service) end(ctx context.Context, id string, totals batch.Totals) error {
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
		s.record(events.Event{Kind: "job.ended", Workspace: job.Workspace, Job: id, Detail: string(job.Status)})
	}
	return s.wrapUp(ctx, job, id)
}

// wrapUp lists the result files, collects garbage and removes the job from
// the index of unfinished jobs. It may be repeated by any host.
func (s *Service) wrapUp(ctx context.Context, job batch.Job, id string) error {
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

// collectGarbage deletes the segments that lost owners wrote without
// committing them. Segments are never listed, because a listing carries their
// content; instead their numbers are tried until one does not exist.
func (s *Service) collectGarbage(ctx context.Context, id string) error {
	return s.listChunks(ctx, id, func(_ int64, c batch.Chunk) error {
		for epoch := uint64(1); epoch <= c.Epoch; epoch++ {
			if epoch == c.Epoch && c.State == batch.ChunkDone {
				break // the last owner committed all it wrote
			}
			if err := s.collectEpoch(ctx, id, c, epoch); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Service) collectEpoch(ctx context.Context, id string, c batch.Chunk, epoch uint64) error {
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
		err := s.retry(ctx, func() error {
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

// cancelJob stops a job. It answers when the manifest and the index entry
// carry the cancellation; the chunks are sealed in the background.
func (s *Service) cancelJob(ctx context.Context, workspace, id string) (batch.Job, error) {
	if _, err := s.readJob(ctx, workspace, id); err != nil {
		return batch.Job{}, err
	}
	job, err := s.updateManifest(ctx, id, func(job batch.Job) (batch.Job, error) { return job.Cancel(s.now()) })
	if errors.Is(err, batch.ErrNotCancellable) {
		return job, conflict("batch_not_cancellable", "id", "batch %s has already ended", id)
	}
	if err != nil || job.Status.Final() {
		return job, uncertain(err)
	}
	if err := s.markCancelled(ctx, job); err != nil {
		return job, uncertain(err)
	}
	s.registry.cancelJob(id)
	s.publishCancelled()
	s.o.Fleet.Nudge()
	s.record(events.Event{Kind: "job.cancelling", Workspace: workspace, Job: id})
	s.announce(notice{Kind: noticeCancelled, Job: id})
	s.spawn(func() { s.sealAndEnd(job) })
	return job, nil
}

// markCancelled puts the cancellation into the index of unfinished jobs.
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
	if err := s.putAny(ctx, activeKey(job.ID), raw); err != nil {
		return err
	}
	s.registry.put(entry, false)
	return nil
}

// sealAndEnd seals the chunks without a working owner at once and the others
// after the time that owners have for a last commit, then ends the job. The
// finish loop repeats it when this host dies or the platform fails.
func (s *Service) sealAndEnd(job batch.Job) {
	ctx, cancel := context.WithTimeout(s.ctx, sealTimeout)
	defer cancel()
	_ = s.seal(ctx, job) // repeated below
	if !sleep(ctx, s.o.SealGrace) {
		return
	}
	if active := s.registry.get(job.ID); active != nil {
		if err := s.check(ctx, active); err != nil {
			counters.Add("finish_errors", 1)
		}
	}
}

// seal ends every unfinished chunk of a cancelled job, including those that
// nobody has claimed, so that no later claim or commit succeeds. Chunks of
// alive owners are left for SealGrace.
func (s *Service) seal(ctx context.Context, job batch.Job) error {
	grace := s.now().Before(time.UnixMilli(job.CancellingAt).Add(s.o.SealGrace))
	seen := make([]bool, job.Chunks)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(sealParallel)
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
			// The number of items is not needed to refuse later updates.
			group.Go(func() error { return s.sealChunk(ctx, job.ID, 0, batch.NewChunk(index, 0)) })
		}
	}
	if groupErr := group.Wait(); err == nil {
		err = groupErr
	}
	return err
}

// sealChunk leaves a chunk that changed meanwhile to the next pass.
func (s *Service) sealChunk(ctx context.Context, id string, version int64, c batch.Chunk) error {
	sealed, ok := c.Seal()
	if !ok {
		return nil
	}
	_, err := s.putChunk(ctx, id, version, c, sealed)
	if errors.Is(err, errLost) {
		return nil
	}
	return err
}
