package bulk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/store"
)

const (
	// sweepEvery is how often jobs whose time is over are looked for, and
	// sweepJobs how many of them are removed at once: nothing waits for it, and
	// each takes some ten calls to the store.
	sweepEvery = 10 * time.Second
	sweepJobs  = 4
	// readableMargin is added to the time for which jobs stay readable, for
	// clocks that differ between hosts.
	readableMargin = 30 * time.Second
)

// sweep removes jobs from the store that nobody may read any more. Only the
// host that reads the store for all does so.
func (s *Service) sweep(ctx context.Context) {
	if s.opts.Readable <= 0 || !s.opts.Informer.IsReader() {
		return
	}
	for _, id := range s.expired(time.Now()) {
		if err := s.remove(ctx, id); err != nil {
			s.log.Warn("old job not removed", "step", "sweep", "job", id, "error", err)
			return
		}
		s.log.Info("old job removed", "event", "job_removed", "job", id)
	}
}

// expired returns some jobs that are complete or ended, and whose time is over.
func (s *Service) expired(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, h := range s.heads {
		over := now.Sub(time.UnixMilli(h.Accepted)) > s.opts.Readable+readableMargin
		if over && (h.Done || h.Ended) && len(out) < sweepJobs {
			out = append(out, id)
		}
	}
	return out
}

// remove deletes a job's objects, the head last, so that an interrupted
// removal is found and finished.
func (s *Service) remove(ctx context.Context, id string) error {
	s.mu.Lock()
	head := s.heads[id]
	s.mu.Unlock()
	for n := 0; ; n++ {
		err := s.records.delete(ctx, segmentKey(id, n))
		if errors.Is(err, store.ErrNotFound) && n >= head.Segments {
			break
		}
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
	}
	for n := range head.Parts {
		if err := s.records.delete(ctx, payloadKey(id, n)); err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
	}
	err := s.records.delete(ctx, HeadKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

func (r records) delete(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return errors.Wrapf(r.store.Delete(ctx, key, store.AnyVersion), "delete %s", key)
}
