package admin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
)

// settingsOperator is the author of changes made with Options.OperatorKey.
const settingsOperator = "settings"

// operator is the authenticated operator who sent a request.
type operator struct {
	id string // id of the operator key, or settingsOperator
}

// authenticate rejects requests without a valid operator key.
func (s *server) authenticate(h handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		op, ok := s.operator(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeError(w, r, failure(http.StatusUnauthorized, "invalid_operator_key", "send an operator key as Authorization: Bearer"))
			return
		}
		if err := h(w, r, op); err != nil {
			s.writeError(w, r, err)
		}
	})
}

func (s *server) operator(r *http.Request) (operator, bool) {
	scheme, raw, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	raw = strings.TrimSpace(raw)
	if !strings.EqualFold(scheme, "bearer") || raw == "" {
		return operator{}, false
	}
	if config.EqualKeys(raw, s.OperatorKey) {
		return operator{id: settingsOperator}, true
	}
	return s.configuredOperator(raw)
}

// keyCache holds the key index of one snapshot.
type keyCache struct {
	snapshot *config.Snapshot
	index    *config.KeyIndex
}

func (s *server) configuredOperator(raw string) (operator, bool) {
	snapshot := s.Config.Config()
	cached := s.keys.Load()
	if cached == nil || cached.snapshot != snapshot {
		cached = &keyCache{snapshot, config.NewKeyIndex(snapshot)}
		s.keys.Store(cached)
	}
	key, ok := cached.index.Operator(raw)
	return operator{id: key.ID}, ok
}

// handleUnmatched serves requests that match no route: 405 when the path allows
// another method, 404 otherwise.
func (s *server) handleUnmatched(mux *http.ServeMux) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request, _ operator) error {
		var allowed []string
		for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
			probe := r.Clone(r.Context())
			probe.Method = method
			if _, pattern := mux.Handler(probe); pattern != "" && pattern != "/" {
				allowed = append(allowed, method)
			}
		}
		if len(allowed) > 0 {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
			return failure(http.StatusMethodNotAllowed, "method_not_allowed", "%s is not allowed here; use %s", r.Method, strings.Join(allowed, ", "))
		}
		return failure(http.StatusNotFound, "not_found", "no such path; see %s/openapi.json", Prefix)
	}
}

func etag(revision int64) string { return strconv.Quote(strconv.FormatInt(revision, 10)) }

// expectedRevision reads If-Match, which must hold one revision.
func expectedRevision(r *http.Request) (int64, error) {
	text := strings.TrimSpace(r.Header.Get("If-Match"))
	if text == "" {
		return 0, failure(http.StatusPreconditionRequired, "revision_required", "send If-Match with the revision (ETag) that the change is based on")
	}
	text = strings.Trim(strings.TrimPrefix(text, "W/"), `"`)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, failure(http.StatusBadRequest, "invalid_revision", "If-Match must hold one revision such as \"42\"")
	}
	return revision, nil
}

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure(http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than %d bytes", limit)
	}
	if err != nil {
		return nil, failure(http.StatusBadRequest, "body_unreadable", "reading the body: %v", err)
	}
	return body, nil
}

// readJSON decodes a JSON body strictly: unknown fields and trailing data are errors.
func (s *server) readJSON(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := readBody(w, r, s.MaxBody)
	if err != nil {
		return err
	}
	return decodeStrict(body, into)
}

// readOptionalJSON is like readJSON but accepts an empty body, also one without
// Content-Length.
func (s *server) readOptionalJSON(w http.ResponseWriter, r *http.Request, into any) error {
	body, err := readBody(w, r, s.MaxBody)
	if err != nil || len(body) == 0 {
		return err
	}
	return decodeStrict(body, into)
}

func decodeStrict(body []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return failure(http.StatusBadRequest, "malformed_json", "at byte %d: %v", dec.InputOffset(), err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return failure(http.StatusBadRequest, "malformed_json", "data after the object at byte %d", dec.InputOffset())
	}
	return nil
}

// paging selects a page of a sorted list: up to limit entries after the name after.
type paging struct {
	after string
	limit int
}

const (
	defaultLimit = 100
	maxLimit     = 1000
)

func readPaging(r *http.Request) (paging, error) {
	limit, err := intParam(r, "limit", defaultLimit, 1, maxLimit)
	return paging{after: r.URL.Query().Get("after"), limit: limit}, err
}

func intParam(r *http.Request, name string, missing, low, high int) (int, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < low || n > high {
		e := failure(http.StatusBadRequest, "invalid_parameter", "%s must be %d to %d", name, low, high)
		e.param = name
		return 0, e
	}
	return n, nil
}

// readWait reads ?wait=, the longest time to wait until all hosts report the
// revision.
func readWait(r *http.Request) (time.Duration, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > maxWait {
		e := failure(http.StatusBadRequest, "invalid_parameter", "wait must be a duration of 0s to %s", maxWait)
		e.param = "wait"
		return 0, e
	}
	return d, nil
}
