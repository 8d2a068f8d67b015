// Package online serves the requests of online callers: it finds the route,
// checks key and quota, gets a place at a backend server, forwards the request
// and passes the answer on. It knows for each attempt whether the request can
// have run, and what it tells the caller follows from that.
package online

import (
	"net/http"
	"time"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/upstream"
)

// Call is one request of a caller.
type Call struct {
	ID      string // the caller's id of this attempt; servers echo it
	Key     string // the caller's key, empty without one
	Host    string // host header
	Method  string
	Target  string      // path and query as the caller sent them
	Path    string      // path alone
	Header  http.Header // to forward: without credentials and headers of the connection
	Body    []byte
	Arrived time.Time
	Limit   time.Duration // how long the caller waits, 0 when it did not say
	Cost    float64       // estimated tokens, 0 when unknown
	LastID  int64         // last event that the caller has, 0 for none
}

// Outgoing is what a server is told beside the call itself.
type Outgoing struct {
	Workspace string // empty on public routes
	Instance  string // the server that is meant
	Left      time.Duration
	Resume    bool // go on after event After
	After     int64
}

// Answer is what a server's answer says beside status and body.
type Answer struct {
	ID      string // of the request that it answers
	Sealed  bool   // it carries the server's signature
	NotRun  bool   // the server states that it did not run the request
	Encoded bool   // the body is not the server's own bytes
	Load    *Load
}

// Load is the load that a server told with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Codec translates between calls and the servers' protocol.
type Codec interface {
	// ServerHeader returns the header of a request to a server.
	ServerHeader(call *Call, out Outgoing) http.Header
	// Answer reads an answer's header.
	Answer(status int, header http.Header) Answer
}

// Config is the configuration in force.
type Config interface {
	// Current returns the newest configuration, nil before the first.
	Current() *routing.Snapshot
	// Fresh reports whether a key that was withdrawn too long ago cannot still
	// be in the current configuration.
	Fresh() bool
	// Age is the time since the current configuration was last known to be the
	// newest, negative when it never was.
	Age() time.Duration
}

// maxIdle is the longest idle time of a connection that carries a request that
// may not be repeated. Most connections that servers drop without notice were
// idle for longer.
const maxIdle = time.Second

// request builds the request for one server.
func (c *Call) request(codec Codec, out Outgoing, firstByte time.Duration, repeatable bool) *upstream.Request {
	r := &upstream.Request{
		Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body,
		Header: codec.ServerHeader(c, out), FirstByte: firstByte,
	}
	if !repeatable {
		r.MaxIdle = maxIdle
	}
	return r
}
