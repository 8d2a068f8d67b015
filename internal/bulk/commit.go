package bulk

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
)

const (
	// commitDelay collects the results of several items into one write, and
	// urgentCommitDelay those of a job whose results are due within urgentTime. The
	// last ones of a job are written at once. A job may take 18 s, and a call to
	// the store costs about a hundredth of running an item.
	commitDelay       = 1400 * time.Millisecond
	urgentCommitDelay = 200 * time.Millisecond
	urgentTime        = 3 * time.Second
	// minCommitRetryDelay and maxCommitRetryDelay bound the delay after a failed
	// write.
	minCommitRetryDelay = 200 * time.Millisecond
	maxCommitRetryDelay = 2 * time.Second
)

// commitLoop lists the results of a job until none is pending.
func (s *Service) commitLoop(j *job) {
	delay := time.Duration(0)
	for {
		err := s.guarded("commit", j.id, func() error {
			if j.hasRunningItems() {
				_ = pause(s.runCtx, s.delayBeforeCommit(j)) // returns at once during shutdown
			}
			return s.commitAll(context.WithoutCancel(s.runCtx), j)
		})
		j.mu.Lock()
		if err == nil || j.ended || !j.owned {
			if j.list.Pending() == 0 || j.ended || !j.owned {
				j.committing = false
				j.mu.Unlock()
				s.markComplete(j)
				return
			}
			j.mu.Unlock()
			continue
		}
		j.mu.Unlock()
		s.log.Warn("cannot list results", "step", "commit", "job", j.id, "error", err)
		delay = min(max(2*delay, minCommitRetryDelay), maxCommitRetryDelay)
		if pause(s.runCtx, delay) != nil {
			return
		}
	}
}

// delayBeforeCommit returns how long results of a job wait for others.
func (s *Service) delayBeforeCommit(j *job) time.Duration {
	route := s.route(j)
	if route == nil || route.Completion <= 0 {
		return commitDelay
	}
	left := time.Until(j.accepted.Add(route.Completion))
	if left > 0 && left < urgentTime {
		return urgentCommitDelay
	}
	return commitDelay
}

// hasRunningItems reports whether items of the job have not ended yet.
func (j *job) hasRunningItems() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.Len()+j.list.Pending() < j.list.Total()
}

// commitAll writes segments until no result is pending.
func (s *Service) commitAll(ctx context.Context, j *job) error {
	if err := j.lockSegments(ctx); err != nil {
		return err
	}
	defer j.unlockSegments()
	for {
		segment := j.nextSegment()
		if segment == nil {
			return nil
		}
		if err := s.commit(ctx, j, segment); err != nil {
			return err
		}
	}
}

func (j *job) nextSegment() *itemlist.Segment {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.NextSegment(maxValueBytes)
}

// applySegment adds a segment of the store to the list and returns the number of listed
// items.
func (j *job) applySegment(segment itemlist.Segment) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.list.ApplySegment(segment) {
		j.notifyReaders()
	}
	return j.list.Len()
}

// commit writes one segment. If another host has written a segment with this
// number, that one is applied to the list instead.
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
	listed := j.applySegment(applied)
	s.log.Info("results listed", "event", "listed", "job", j.id, "segment", applied.Number, "results", len(applied.Results), "listed", listed, "own", written)
	return nil
}

// markComplete marks a complete job as done in its head, so that no host takes it
// over.
func (s *Service) markComplete(j *job) {
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
		s.log.Info("cannot mark job as done", "step", "mark complete", "job", j.id, "error", err)
	}
}
