// Package online serves online requests: it matches the route, checks the API
// key and the quota, acquires a slot at a backend server, forwards the request
// and relays the response. It tracks whether a server may have executed the
// request, which determines if it is retried and which status the caller gets.
package online

import (
	"net/http"
	"time"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/upstream"
)

// Call is one request of a caller.
type Call struct {
	ID            string // chosen by the caller for this attempt; servers echo it
	Key           string // API key, empty if none was sent
	Host          string // Host header
	Method        string
	Target        string      // path and query as sent by the caller
	Path          string      // path without the query
	Header        http.Header // to forward, without credentials and hop-by-hop headers
	Body          []byte
	Arrived       time.Time
	CallerTimeout time.Duration // the caller's timeout, 0 if it stated none
	Cost          float64       // estimated tokens, 0 if unknown
	LastEventID   int64         // id of the last event that the caller received, 0 for none
	// SharedParts holds the ids of the parts of the prompt that other requests may
	// contain too, in order.
	SharedParts []string
}

// RequestMeta is the metadata sent to a server with a forwarded call.
type RequestMeta struct {
	Workspace    string        // empty on public routes
	Instance     string        // id of the intended server instance
	TimeLeft     time.Duration // until the call's deadline
	Resume       bool          // resume the stream after event AfterEventID
	AfterEventID int64         // id of the last event received
}

// ResponseMeta is the metadata in the header of a server's response.
type ResponseMeta struct {
	ID          string // of the request that the response belongs to
	Sealed      bool   // the response carries the server's signature
	NotRun      bool   // the server states that it did not execute the request
	Misdirected bool   // another server than the intended one responded
	Leaving     bool   // the server states that it is leaving
	Encoded     bool   // the body has a content encoding, so it is not the server's own bytes
	Load        *Load  // nil if the server reported none
	// ColdFor is how long the server stays cold, nil if it does not say. Zero means that
	// it is warm.
	ColdFor *time.Duration
}

// ServerLeaves reports whether the server to which the request was sent states in
// its response that it is leaving.
func (m ResponseMeta) ServerLeaves(request string) bool {
	return m.Leaving && !m.Misdirected && m.ID == request
}

// Load is the load that a server reports with a response.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes on the server's machine at this moment, relative
	// to the usual time; 0 if the server does not say so.
	Slowdown float64
}

// Codec translates between calls and the servers' protocol.
type Codec interface {
	// ServerHeader returns the header of a request to a server.
	ServerHeader(call *Call, out RequestMeta) http.Header
	// ResponseMeta parses the header of a server's response.
	ResponseMeta(status int, header http.Header) ResponseMeta
}

// Config provides the active configuration.
type Config interface {
	// Current returns the newest configuration, nil before the first.
	Current() *routing.Snapshot
	// Fresh reports whether the current configuration was confirmed recently
	// enough that it cannot contain a key revoked longer ago than allowed.
	Fresh() bool
	// Age is the time since the current configuration was last confirmed to be
	// the newest, negative if it never was.
	Age() time.Duration
}

// carefulMaxIdle is the longest idle time of a connection that carries a request that
// must not be repeated, or that was lost with a kept connection before. Most connections
// that servers close without notice were idle for longer.
const carefulMaxIdle = time.Second

// request builds the request for one server. A careful one uses no connection that was
// idle for longer than carefulMaxIdle. sends is that of all requests of the call.
func (c *Call) request(codec Codec, out RequestMeta, careful bool, sends *upstream.Sends) *upstream.Request {
	r := &upstream.Request{Method: c.Method, Target: c.Target, Host: c.Host, Body: c.Body, Header: codec.ServerHeader(c, out), Sends: sends}
	if careful {
		r.MaxIdle = carefulMaxIdle
	}
	return r
}
