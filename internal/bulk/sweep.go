package bulk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/store"
)

const (
	// sweepInterval is how often expired jobs are removed, and maxJobsPerSweep how
	// many at once. Removal is not urgent, and each job takes some ten calls to the
	// store.
	sweepInterval   = 10 * time.Second
	maxJobsPerSweep = 4
	// readableMargin is added to Options.Readable to allow for differences between
	// the hosts' clocks.
	readableMargin = 30 * time.Second
)

// sweep removes expired jobs from the store. Only the reader, the host that
// watches the store for the fleet, does so.
func (s *Service) sweep(ctx context.Context) {
	if s.opts.Readable <= 0 || !s.opts.Informer.IsReader() {
		return
	}
	for _, id := range s.expired(time.Now()) {
		if err := s.remove(ctx, id); err != nil {
			s.log.Warn("cannot remove expired job", "step", "sweep", "job", id, "error", err)
			return
		}
		s.log.Info("removed expired job", "event", "job_removed", "job", id)
	}
}

// expired returns up to maxJobsPerSweep jobs that are done or ended and older than
// Options.Readable.
func (s *Service) expired(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, h := range s.heads {
		over := now.Sub(time.UnixMilli(h.Accepted)) > s.opts.Readable+readableMargin
		if over && (h.Done || h.Ended) && len(out) < maxJobsPerSweep {
			out = append(out, id)
		}
	}
	return out
}

// remove deletes a job's objects, the head last, so that a later sweep finds and
// completes an interrupted removal.
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
