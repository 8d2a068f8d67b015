package backend

import "fmt"

// Stage is how far an exchange progressed before it failed. It decides whether
// the request may be retried and what is reported about its execution.
type Stage int

// Stages in order of progress.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Stage = iota
	// NoResponse means that at least a part of the request was sent and no
	// valid response header arrived.
	NoResponse
	// Truncated means that the response began but did not reach its end.
	Truncated
)

// String returns the stage's name for error messages.
func (s Stage) String() string {
	switch s {
	case NotSent:
		return "not sent"
	case NoResponse:
		return "no response"
	default:
		return "response truncated"
	}
}

// Cause classifies why an exchange failed.
type Cause int

// Causes of a failed exchange.
const (
	Broken     Cause = iota // the connection failed or was closed by the server
	Dial                    // no connection could be opened
	Silent                  // the connection stayed open, but no byte arrived within the deadline
	Cancelled               // the caller's context ended
	Mismatched              // the response belongs to another request
	Malformed               // the response is not valid or not supported HTTP
)

// Error reports a failed exchange with a backend server.
type Error struct {
	Stage Stage
	Cause Cause
	Step  string // dial, send, read header, read body
	Peer  string // server name
	Err   error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s to server %s: %s: %v", e.Step, e.Peer, e.Stage, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
