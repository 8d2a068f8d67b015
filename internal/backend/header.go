package backend

import (
	"net/http"
	"net/textproto"
	"strings"

	"ragwortstep/internal/invariant"
)

// Headers that identify a request. When a server echoes one of them, the client
// can detect a response to another request. attemptHeader is unique per attempt;
// requestIDHeader is the caller's request id if it sent one.
const (
	requestIDHeader = "X-Request-Id"
	attemptHeader   = "Ragwortstep-Attempt"
)

// keyPrefix is the prefix of every key of this system.
const keyPrefix = "rs_"

// hopByHopHeaders apply to a single connection and are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// connectionHeaders are set by this client for its own connections.
var connectionHeaders = []string{"Content-Length", "Expect", "Host"}

// replayHeaders make net/http retry a POST by itself when a reused connection
// fails. With lower-case map keys they mean the same to the server and have no
// effect on net/http.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// stripHopByHop removes hop-by-hop headers, including those listed in Connection.
func stripHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// outgoingHeader returns the header to send for a request.
func outgoingHeader(in http.Header, id, server string) http.Header {
	h := in.Clone()
	if h == nil {
		h = http.Header{}
	}
	stripHopByHop(h)
	for _, name := range connectionHeaders {
		h.Del(name)
	}
	for _, name := range replayHeaders {
		if v, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = v
		}
	}
	if h.Get(requestIDHeader) == "" && id != "" {
		h.Set(requestIDHeader, id)
	}
	h.Del(attemptHeader)
	if id != "" {
		h.Set(attemptHeader, id)
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{"ragwortstep"}
	}
	removeCallerKeys(h, server)
	return h
}

// removeCallerKeys checks the invariant that the gateway has removed the caller's
// key, and removes the header if it has not.
func removeCallerKeys(h http.Header, server string) {
	for _, name := range []string{"Authorization", "X-Api-Key"} {
		value := strings.TrimPrefix(h.Get(name), "Bearer ")
		if !invariant.Check(!strings.HasPrefix(value, keyPrefix), "I5", "send", server, "header", name) {
			h.Del(name)
		}
	}
}
