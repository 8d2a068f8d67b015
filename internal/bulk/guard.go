package bulk

import (
	"fmt"
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// maxStackBytes bounds the stack in the log line about a panic.
const maxStackBytes = 4 << 10

// guarded runs a step of a job. A panic in it is logged, counted and returned as an error:
// it must not end the process, which holds all open requests of the host, nor the item or
// the listing whose goroutine runs the step. The step must hold no lock that it does not
// release by a deferred call.
func (s *Service) guarded(step, job string, fn func() error) (err error) {
	defer func() {
		panicked := recover()
		if panicked == nil {
			return
		}
		stack := debug.Stack()
		s.opts.Metrics.Add("job_panics_total", 1, "step", step)
		s.log.Error("step of a job panicked", "event", "job_step_panicked", "step", step, "job", job,
			"error", fmt.Sprint(panicked), "stack", string(stack[:min(len(stack), maxStackBytes)]))
		err = errors.Newf("%s: panic: %v", step, panicked)
	}()
	return fn()
}
