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

// String returns the name used in logs and metrics.
func (c Class) String() string {
	if c == Batch {
		return "batch"
	}
	return "online"
}

// Executed states whether a failed request may have run at a backend server.
type Executed string

// Values of the Ragwortstep-Executed response header.
const (
	ExecutedNo      Executed = "no"      // never sent to a server
	ExecutedUnknown Executed = "unknown" // sent at least once
)

// Request is one call to run at a backend server.
type Request struct {
	ID         string
	Workspace  string // empty on public routes
	Class      Class
	Route      string
	Pool       string
	Method     string
	Path       string // path and query sent to the server
	Header     http.Header
	Body       []byte
	Stream     bool // the response is an SSE stream
	Idempotent bool
	Deadline   time.Time
	// MaxUnanswered bounds RefusedError.Unanswered. The request may have run each
	// time. With 0 only the bound on all sends applies.
	MaxUnanswered int
	PrefixHash    uint64  // hash of the prompt prefix, 0 if there is none
	Cost          float64 // estimated work in tokens
}

// Response is the response of a server. The caller must close Body, which frees
// the slot. Body.Read returns io.ErrUnexpectedEOF if the response was truncated.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Server string
}
