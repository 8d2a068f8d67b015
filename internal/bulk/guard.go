package bulk

import (
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/panics"
)

// guarded runs a step of a job. A panic in it is logged, counted and returned as an error:
// it must not end the process, which holds all open requests of the host, nor the item or
// the listing whose goroutine runs the step. The step must hold no lock that it does not
// release by a deferred call.
func (s *Service) guarded(step, job string, fn func() error) error {
	_, err := panics.Catch(func() (struct{}, error) { return struct{}{}, fn() })
	var panicked *panics.Error
	if !errors.As(err, &panicked) {
		return err
	}
	s.opts.Metrics.Add("job_panics_total", 1, "step", step)
	s.log.Error("step of a job panicked", "event", "job_step_panicked", "step", step, "job", job,
		"error", panicked, "stack", panicked.Stack)
	return errors.Wrap(err, step)
}
