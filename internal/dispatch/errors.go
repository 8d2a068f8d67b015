package dispatch

import "time"

// PreemptedError reports that a batch item was cancelled at its server to free
// the slot for online work. Do and Response.Body.Read return it. Only
// idempotent items are preempted. The item may be queued again without counting
// an attempt.
type PreemptedError struct {
	Server string
}

// Error implements error.
func (e *PreemptedError) Error() string {
	return "batch work preempted at " + e.Server
}

// RefusedError is returned when no response was obtained.
type RefusedError struct {
	Status     int    // HTTP status for the caller
	Code       string // stable error code, for example queue_full
	Message    string
	Executed   Executed
	RetryAfter time.Duration // 0 if no delay is suggested
	// Unanswered is the number of sends that ended without a response. Those of a
	// batch item under which the server crashed are left out.
	Unanswered int
	ServerLost bool   // the server broke the connection during the last send
	Step       string // step at which the request failed
	Peer       string // backend server, or empty
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Step + ": " + e.Code + ": " + e.Message
}
