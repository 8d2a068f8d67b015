package backend

import (
	"net/http"
	"net/textproto"
	"strings"

	"ragwortstep/internal/invariant"
)

// Headers that identify a request. A server that echoes one lets the client
// detect a response to another request. attemptHeader is unique per attempt;
// requestIDHeader is the caller's, if there is one.
const (
	requestIDHeader = "X-Request-Id"
	attemptHeader   = "Ragwortstep-Attempt"
)

// keyPrefix begins every caller's key.
const keyPrefix = "rs_"

// hopHeaders apply to one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// requestOnlyHeaders are set by this client for its own connection.
var requestOnlyHeaders = []string{"Content-Length", "Expect", "Host"}

// replayHeaders make net/http repeat a POST on its own when a reused
// connection fails. Under their lower-case names they have the same meaning
// to the server and no effect on net/http.
var replayHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

// stripHop removes hop-by-hop headers, including those that Connection names.
func stripHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// outgoingHeader returns the header to send for a request.
func outgoingHeader(in http.Header, id, server string) http.Header {
	h := in.Clone()
	if h == nil {
		h = http.Header{}
	}
	stripHop(h)
	for _, name := range requestOnlyHeaders {
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
	dropKeys(h, server)
	return h
}

// dropKeys asserts that the gateway removed the caller's key, and removes it
// if it is still there.
func dropKeys(h http.Header, server string) {
	for _, name := range []string{"Authorization", "X-Api-Key"} {
		value := strings.TrimPrefix(h.Get(name), "Bearer ")
		if !invariant.Check(!strings.HasPrefix(value, keyPrefix), "I5", "send", server, "header", name) {
			h.Del(name)
		}
	}
}
