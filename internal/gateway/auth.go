package gateway

import (
	"context"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
)

var errKeyRevoked = errors.New("key revoked")

type caller struct {
	workspace string
	keyID     string
	rawKey    string // the presented key, kept only to remove it from the forwarded request
}

// keyIndex looks up the callers' keys of one configuration snapshot.
type keyIndex struct {
	keys     *config.KeyIndex
	validIDs map[string]bool // ids of callers' keys whose workspace exists
}

func newKeyIndex(s *config.Snapshot) *keyIndex {
	index := &keyIndex{keys: config.NewKeyIndex(s), validIDs: make(map[string]bool, len(s.Keys))}
	for id, key := range s.Keys {
		if _, ok := s.Workspaces[key.Workspace]; ok && !key.Operator {
			index.validIDs[id] = true
		}
	}
	return index
}

// lookup finds the caller of a raw key.
func (x *keyIndex) lookup(rawKey string) (caller, bool) {
	key, ok := x.keys.Caller(rawKey)
	if !ok || !x.validIDs[key.ID] {
		return caller{}, false
	}
	return caller{workspace: key.Workspace, keyID: key.ID, rawKey: rawKey}, true
}

// credentialHeaders may carry a key or a password and are never forwarded.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token",
	"X-Forwarded-Authorization", "X-Original-Authorization", "Authentication-Info", "X-Access-Token",
}

// credentialNames are the cookies and query parameters that may carry a key.
var credentialNames = map[string]bool{"api_key": true, "key": true, "api-key": true, "apikey": true, "access_token": true, "token": true}

// keyPattern matches a raw key of this system anywhere in a text.
var keyPattern = regexp.MustCompile(`rs_[A-Za-z0-9_-]{16,}`)

// presentedKeys returns the distinct keys in the request's headers, cookies and query.
func presentedKeys(r *http.Request) []string {
	seen := map[string]bool{}
	var found []string
	add := func(rawKey string) {
		rawKey = strings.TrimSpace(rawKey)
		if rawKey != "" && !seen[rawKey] {
			seen[rawKey] = true
			found = append(found, rawKey)
		}
	}
	for _, value := range r.Header.Values("Authorization") {
		scheme, rest, ok := strings.Cut(strings.TrimSpace(value), " ")
		if ok && strings.EqualFold(scheme, "Bearer") {
			add(rest)
		}
	}
	for _, name := range []string{"X-Api-Key", "Api-Key"} {
		for _, value := range r.Header.Values(name) {
			add(value)
		}
	}
	for _, cookie := range r.CookiesNamed("api_key") {
		add(cookie.Value)
	}
	if strings.Contains(r.URL.RawQuery, "key=") {
		query := r.URL.Query()
		for _, name := range []string{"api_key", "key"} {
			for _, value := range query[name] {
				add(value)
			}
		}
	}
	return found
}

// authenticate returns the caller, or a 401 error when the request has no key,
// an unknown key, or several different keys.
func (g *Gateway) authenticate(r *http.Request) (caller, *apiError) {
	found := presentedKeys(r)
	switch len(found) {
	case 0:
		return caller{}, refusal(http.StatusUnauthorized, "missing_key", "no key was sent; use the header Authorization: Bearer", 0)
	case 1:
	default:
		return caller{}, refusal(http.StatusUnauthorized, "several_keys", "several different keys were sent", 0)
	}
	c, ok := g.keys.Load().lookup(found[0])
	if !ok {
		return caller{}, refusal(http.StatusUnauthorized, "invalid_key", "the key is unknown or revoked", 0)
	}
	return c, nil
}

// stripHeader returns the headers to forward: without hop-by-hop fields,
// credentials, and values that contain a key.
func stripHeader(in http.Header, rawKey string) http.Header {
	out := make(http.Header, len(in))
	dropped := hopByHopNames(in)
	for name, values := range in {
		if dropped[http.CanonicalHeaderKey(name)] || name == "Cookie" {
			continue
		}
		for _, value := range values {
			if !containsKey(value, rawKey) {
				out.Add(name, value)
			}
		}
	}
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	for _, line := range in.Values("Cookie") {
		if kept := stripCookies(line, rawKey); kept != "" {
			out.Add("Cookie", kept)
		}
	}
	return out
}

// hopByHopHeaders apply to a single connection or are set anew for the next one.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Authenticate", "Content-Length", "Expect",
}

// hopByHopNames returns hopByHopHeaders and the names listed in Connection.
func hopByHopNames(in http.Header) map[string]bool {
	dropped := map[string]bool{}
	for _, name := range hopByHopHeaders {
		dropped[name] = true
	}
	for _, line := range in.Values("Connection") {
		for token := range strings.SplitSeq(line, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return dropped
}

func stripCookies(line, rawKey string) string {
	var kept []string
	for part := range strings.SplitSeq(line, ";") {
		part = strings.TrimSpace(part)
		name, _, _ := strings.Cut(part, "=")
		if part == "" || credentialNames[strings.ToLower(strings.TrimSpace(name))] || containsKey(part, rawKey) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "; ")
}

// stripQuery returns the raw query without credentials, in the original order.
func stripQuery(rawQuery, rawKey string) string {
	var kept []string
	for part := range strings.SplitSeq(rawQuery, "&") {
		name, _, _ := strings.Cut(part, "=")
		if plain, err := url.QueryUnescape(name); err == nil {
			name = plain
		}
		if part == "" || credentialNames[strings.ToLower(name)] || containsKey(part, rawKey) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// containsKey reports whether the value contains the presented key or any other
// key of this system, plain or percent-encoded.
func containsKey(value, rawKey string) bool {
	if containsPlainKey(value, rawKey) {
		return true
	}
	return strings.Contains(value, "%") && containsPlainKey(percentDecoded(value), rawKey)
}

// percentDecoded decodes the well-formed escapes and copies the rest. A
// malformed escape must not keep a key elsewhere in the value from being found.
func percentDecoded(value string) string {
	var out strings.Builder
	out.Grow(len(value))
	for i := 0; i < len(value); i++ {
		if value[i] == '%' && i+2 < len(value) {
			if c, err := strconv.ParseUint(value[i+1:i+3], 16, 8); err == nil {
				out.WriteByte(byte(c))
				i += 2
				continue
			}
		}
		out.WriteByte(value[i])
	}
	return out.String()
}

func containsPlainKey(value, rawKey string) bool {
	return rawKey != "" && strings.Contains(value, rawKey) ||
		strings.Contains(value, "rs_") && keyPattern.MatchString(value)
}

// requestTracker holds the running requests of each key, so that revoking a key
// can cancel them.
type requestTracker struct {
	mu    sync.Mutex
	byKey map[string]map[*context.CancelCauseFunc]bool
}

func newRequestTracker() *requestTracker {
	return &requestTracker{byKey: map[string]map[*context.CancelCauseFunc]bool{}}
}

// track returns a context that is cancelled with errKeyRevoked when the key is
// revoked, and a function that removes the request from the tracker. Requests
// without a key are not tracked.
func (t *requestTracker) track(ctx context.Context, keyID string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if keyID == "" {
		return ctx, func() { cancel(nil) }
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey[keyID] == nil {
		t.byKey[keyID] = map[*context.CancelCauseFunc]bool{}
	}
	t.byKey[keyID][&cancel] = true
	return ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byKey[keyID], &cancel)
		if len(t.byKey[keyID]) == 0 {
			delete(t.byKey, keyID)
		}
		cancel(nil)
	}
}

// cancelRevoked cancels the requests whose key is not in the index and returns
// their number.
func (t *requestTracker) cancelRevoked(index *keyIndex) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := 0
	for id, requests := range t.byKey {
		if index.validIDs[id] {
			continue
		}
		for cancel := range requests {
			(*cancel)(errKeyRevoked)
			ended++
		}
	}
	return ended
}
