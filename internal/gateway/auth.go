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

// caller is an authenticated caller.
type caller struct {
	workspace string
	keyID     string
	raw       string // the presented key, only for removing it from what is forwarded
}

// keyIndex finds callers' keys of one snapshot.
type keyIndex struct {
	keys *config.KeyIndex
	ids  map[string]bool // keys whose workspace exists
}

func newKeyIndex(s *config.Snapshot) *keyIndex {
	index := &keyIndex{keys: config.NewKeyIndex(s), ids: make(map[string]bool, len(s.Keys))}
	for id, key := range s.Keys {
		if _, ok := s.Workspaces[key.Workspace]; ok && !key.Operator {
			index.ids[id] = true
		}
	}
	return index
}

// lookup finds the caller of a raw key.
func (x *keyIndex) lookup(raw string) (caller, bool) {
	key, ok := x.keys.Caller(raw)
	if !ok || !x.ids[key.ID] {
		return caller{}, false
	}
	return caller{workspace: key.Workspace, keyID: key.ID, raw: raw}, true
}

// credentialHeaders may carry a key or a password and are never forwarded.
var credentialHeaders = []string{
	"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "X-Auth-Token",
	"X-Forwarded-Authorization", "X-Original-Authorization", "Authentication-Info", "X-Access-Token",
}

// credentialNames are the cookies and query parameters that may carry a key.
var credentialNames = map[string]bool{"api_key": true, "key": true, "api-key": true, "apikey": true, "access_token": true, "token": true}

// keyPattern matches raw keys of this system wherever they stand.
var keyPattern = regexp.MustCompile(`rs_[A-Za-z0-9_-]{16,}`)

// credentials returns the distinct keys that the request presents.
func credentials(r *http.Request) []string {
	seen := map[string]bool{}
	var found []string
	add := func(raw string) {
		raw = strings.TrimSpace(raw)
		if raw != "" && !seen[raw] {
			seen[raw] = true
			found = append(found, raw)
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

// authenticate returns the caller, or a refusal when there is no key, an
// unknown one, or several different ones.
func (g *Gateway) authenticate(r *http.Request) (caller, *apiError) {
	found := credentials(r)
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

// stripHeader returns the headers that may be forwarded: without hop-by-hop
// fields, credentials, and any value that holds a key.
func stripHeader(in http.Header, raw string) http.Header {
	out := make(http.Header, len(in))
	dropped := connectionTokens(in)
	for name, values := range in {
		if dropped[http.CanonicalHeaderKey(name)] || name == "Cookie" {
			continue
		}
		for _, value := range values {
			if !holdsKey(value, raw) {
				out.Add(name, value)
			}
		}
	}
	for _, name := range credentialHeaders {
		out.Del(name)
	}
	for _, line := range in.Values("Cookie") {
		if kept := stripCookies(line, raw); kept != "" {
			out.Add("Cookie", kept)
		}
	}
	return out
}

// hopHeaders belong to one connection only.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Authenticate", "Content-Length", "Expect",
}

func connectionTokens(in http.Header) map[string]bool {
	dropped := map[string]bool{}
	for _, name := range hopHeaders {
		dropped[name] = true
	}
	for _, line := range in.Values("Connection") {
		for token := range strings.SplitSeq(line, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	return dropped
}

func stripCookies(line, raw string) string {
	var kept []string
	for part := range strings.SplitSeq(line, ";") {
		part = strings.TrimSpace(part)
		name, _, _ := strings.Cut(part, "=")
		if part == "" || credentialNames[strings.ToLower(strings.TrimSpace(name))] || holdsKey(part, raw) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "; ")
}

// stripQuery returns the raw query without credentials; the order of the rest is kept.
func stripQuery(rawQuery, raw string) string {
	var kept []string
	for part := range strings.SplitSeq(rawQuery, "&") {
		name, _, _ := strings.Cut(part, "=")
		if plain, err := url.QueryUnescape(name); err == nil {
			name = plain
		}
		if part == "" || credentialNames[strings.ToLower(name)] || holdsKey(part, raw) {
			continue
		}
		kept = append(kept, part)
	}
	return strings.Join(kept, "&")
}

// holdsKey reports whether the value contains the presented key or any other
// key of this system, also in percent-encoded form.
func holdsKey(value, raw string) bool {
	if containsKey(value, raw) {
		return true
	}
	return strings.Contains(value, "%") && containsKey(percentDecoded(value), raw)
}

// percentDecoded decodes the well-formed escapes and keeps the rest, since one
// malformed escape must not hide a key beside it.
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

func containsKey(value, raw string) bool {
	return raw != "" && strings.Contains(value, raw) ||
		strings.Contains(value, "rs_") && keyPattern.MatchString(value)
}

// running tracks requests by key, so that those of a revoked key are ended.
type running struct {
	mu    sync.Mutex
	byKey map[string]map[*context.CancelCauseFunc]bool
}

func newRunning() *running {
	return &running{byKey: map[string]map[*context.CancelCauseFunc]bool{}}
}

// track returns a context that is cancelled with errKeyRevoked when the key
// is revoked, and a function that ends the tracking.
func (t *running) track(ctx context.Context, keyID string) (context.Context, func()) {
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

// endRevoked cancels the requests whose key is not in the index and returns how many.
func (t *running) endRevoked(index *keyIndex) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := 0
	for id, requests := range t.byKey {
		if index.ids[id] {
			continue
		}
		for cancel := range requests {
			(*cancel)(errKeyRevoked)
			ended++
		}
	}
	return ended
}
