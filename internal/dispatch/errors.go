package dispatch

// PreemptedError reports that batch work was cancelled at its server to make
// room for online work. Do returns it, and so does Response.Body.Read. Only
// idempotent items are preempted; the item may be queued again without
// counting an attempt.
type PreemptedError struct {
	Server string
}

// Error implements error.
func (e *PreemptedError) Error() string {
	return "batch work preempted at " + e.Server
}
