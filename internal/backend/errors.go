package backend

import "fmt"

// Stage tells how far a failed exchange came. It decides whether a request
// may be repeated and what the caller is told about its execution.
type Stage int

// Stages in order of progress.
const (
	// NotSent means that no byte of the request left this host.
	NotSent Stage = iota
	// NoResponse means that at least a part of the request was sent and no
	// response arrived.
	NoResponse
	// Truncated means that the response began and did not end.
	Truncated
)

// String returns the stage's name in logs.
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
	Broken    Cause = iota // the connection failed or was closed by the server
	Dial                   // no connection could be opened
	Silent                 // the connection stayed open without a byte beyond its deadline
	Cancelled              // the caller's context ended
	Crossed                // the response belongs to another request
	Malformed              // the response is not valid or not supported HTTP
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
