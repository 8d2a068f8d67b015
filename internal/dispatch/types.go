// Package dispatch orders requests before the backend servers: it queues them
// by class, workspace and deadline, gives them a slot on a server, retries
// them within a budget, and makes batch work yield to online work.
package dispatch

import (
	"io"
	"net/http"
	"time"
)

// Class separates online requests from batch items.
type Class int

// Classes in order of precedence.
const (
	Online Class = iota
	Batch
)

// String returns the class's name in logs and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Executed states whether a failed request may have run at a backend server.
type Executed string

// Values of the Ragwortstep-Executed header.
const (
	ExecutedNo      Executed = "no"      // certainly never sent to any server
	ExecutedUnknown Executed = "unknown" // sent at least once
)

// Request is one call to run at a backend server.
type Request struct {
	ID         string
	Workspace  string // empty on routes open to all
	Class      Class
	Route      string // route name
	Pool       string // pool of backend servers
	Method     string
	Path       string // path and query as the server sees them
	Header     http.Header
	Body       []byte
	Stream     bool // the answer is an SSE stream
	Idempotent bool
	Deadline   time.Time
	// MaxUnanswered bounds the sends that end without an answer, after which
	// the request may have run; 0 leaves only the bound of all sends.
	MaxUnanswered int
	PrefixHash    uint64  // hash of the prompt's prefix, 0 when there is none
	Cost          float64 // estimated work in tokens
}

// Response is a server's answer. The caller must close Body, which frees the
// slot. Body.Read returns io.ErrUnexpectedEOF when the answer was truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Server string
}

// RefusedError is returned when no answer was obtained.
type RefusedError struct {
	Status     int    // HTTP status for the caller
	Code       string // stable error code, for example queue_full
	Message    string
	Executed   Executed
	RetryAfter time.Duration // 0 when there is no advice
	Unanswered int           // sends that ended without an answer
	Step       string        // step at which the request failed
	Peer       string        // backend server, or empty
}

// Error implements error.
func (e *RefusedError) Error() string {
	return e.Step + ": " + e.Code + ": " + e.Message
}
