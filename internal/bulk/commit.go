package bulk

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
)

const (
	// groupFor gathers items that end one after the other into one write; the
	// last of a job are written at once. Jobs have 18 s, and a call to the store
	// costs about as much as a hundredth of an item.
	groupFor = 900 * time.Millisecond
	// commitRetry and commitRetryMost bound the pause after a failed write.
	commitRetry     = 200 * time.Millisecond
	commitRetryMost = 2 * time.Second
)

// commitLoop lists the results of a job until none waits.
func (s *Service) commitLoop(j *job) {
	delay := time.Duration(0)
	for {
		if j.moreToCome() {
			_ = pause(s.runCtx, groupFor) // at shutdown the rest is written at once
		}
		err := s.commitAll(context.WithoutCancel(s.runCtx), j)
		j.mu.Lock()
		if err == nil || j.ended || !j.owned {
			if j.list.Pending() == 0 || j.ended || !j.owned {
				j.commits = false
				j.mu.Unlock()
				s.afterCommit(j)
				return
			}
			j.mu.Unlock()
			continue
		}
		j.mu.Unlock()
		s.log.Warn("results not listed", "step", "commit", "job", j.id, "error", err)
		delay = min(max(2*delay, commitRetry), commitRetryMost)
		if pause(s.runCtx, delay) != nil {
			return
		}
	}
}

// moreToCome reports whether items of the job still run.
func (j *job) moreToCome() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.Len()+j.list.Pending() < j.list.Total()
}

// commitAll writes segments until no result waits.
func (s *Service) commitAll(ctx context.Context, j *job) error {
	if err := j.lock(ctx); err != nil {
		return err
	}
	defer j.unlock()
	for {
		j.mu.Lock()
		segment := j.list.Next(valueTarget)
		j.mu.Unlock()
		if segment == nil {
			return nil
		}
		if err := s.commit(ctx, j, segment); err != nil {
			return err
		}
	}
}

// commit creates one segment, or takes over the one that another host created
// under its number.
func (s *Service) commit(ctx context.Context, j *job, segment *itemlist.Segment) error {
	written, current, err := s.records.create(ctx, segmentKey(j.id, segment.Number), segment)
	if err != nil {
		return err
	}
	applied := *segment
	if !written {
		if err := json.Unmarshal(current.Value, &applied); err != nil {
			return errors.Wrapf(err, "decode segment %d of job %s", segment.Number, j.id)
		}
	}
	j.mu.Lock()
	j.list.Apply(applied)
	listed := j.list.Len()
	j.signal()
	j.mu.Unlock()
	s.log.Info("results listed", "event", "listed", "job", j.id, "segment", applied.Number, "results", len(applied.Results), "listed", listed, "own", written)
	return nil
}

// afterCommit marks a complete job in its head, so that no host takes it over.
func (s *Service) afterCommit(j *job) {
	j.mu.Lock()
	finished := j.list.Complete() && !j.ended && !j.head.Done && j.owned
	segments := j.list.Segments()
	if finished {
		j.head.Done, j.head.Segments = true, segments
	}
	j.mu.Unlock()
	if !finished {
		return
	}
	s.mu.Lock()
	known := s.heads[j.id]
	s.mu.Unlock()
	s.log.Info("job complete", "event", "job_complete", "job", j.id, "items", j.list.Total(), "took_ms", time.Since(j.accepted).Milliseconds())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.runCtx), 2*writeTimeout)
	defer cancel()
	err := s.records.changeHead(ctx, j.id, &known, func(h *Head) bool {
		if h.Done {
			return false
		}
		h.Done, h.Segments = true, segments
		return true
	})
	if err != nil {
		s.log.Info("complete job not marked", "step", "mark complete", "job", j.id, "error", err)
	}
}
