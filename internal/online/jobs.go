package online

import (
	"fmt"
	"net/http"
	"time"
)

// Refusal codes of calls on jobs.
const (
	codeBadJob = "bad_job"
)

// BodyTooLarge refuses a body above the configured limit.
func BodyTooLarge(limit int64) *Refusal {
	return &Refusal{Status: http.StatusRequestEntityTooLarge, Code: codeTooLarge, Detail: fmt.Sprintf("the body is larger than %d bytes", limit)}
}

// BadJob refuses a job that cannot be decoded.
func BadJob(err error) *Refusal {
	return &Refusal{Status: http.StatusBadRequest, Code: codeBadJob, Detail: err.Error()}
}

// JobRefusal logs and counts the refusal of a call on a job and returns it.
func (s *Service) JobRefusal(call *Call, step string, r *Refusal, cause error) *Refusal {
	s.opts.Metrics.Refused("job "+step, r.Code)
	s.log.Info("call on a job refused", "event", "job_call_refused", "request", call.ID, "path", call.Path, "step", step,
		"status", r.Status, "code", r.Code, "held_ms", time.Since(call.Arrived).Milliseconds(), "error", cause)
	return r
}
