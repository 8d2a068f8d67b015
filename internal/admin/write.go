package admin

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
)

// WriteResult is the response to a write of the configuration.
type WriteResult struct {
	Revision int64                 `json:"revision"`
	Changes  []config.ObjectChange `json:"changes"`
	// InForce is present only with ?wait= and is true when every live host
	// reported the revision within that time.
	InForce *bool          `json:"in_force,omitempty"`
	Hosts   []HostRevision `json:"hosts,omitempty"`
	Key     *CreatedKey    `json:"key,omitempty"` // set when a key was created
}

// HostRevision is the revision in force at one host.
type HostRevision struct {
	Host     string `json:"host"`
	Alive    bool   `json:"alive"`
	Revision int64  `json:"revision"`
}

// CreatedKey is a new key with its raw form, which cannot be read again later.
type CreatedKey struct {
	ID        string `json:"id"`
	Raw       string `json:"raw"`
	Workspace string `json:"workspace,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
}

// writeTimeout bounds a write, so that a platform outage is reported before the
// command line's own timeout of 10 s.
const writeTimeout = 8 * time.Second

// errNoChange stops a write that would change nothing, so that repeating a write
// whose response was lost creates no new revision.
var errNoChange = errors.New("nothing to change")

// updateConfig applies mutate as one conditional update with the request's
// If-Match, author and note, and returns the new revision and its changes.
func (s *server) updateConfig(r *http.Request, op operator, mutate func(*config.Snapshot) error) (WriteResult, error) {
	expected, err := expectedRevision(r)
	if err != nil {
		return WriteResult{}, err
	}
	note := r.URL.Query().Get("note")
	if !config.ValidNote(note) {
		return WriteResult{}, failure(http.StatusBadRequest, "invalid_parameter", "note has more than %d characters, or control characters", config.MaxNoteLength)
	}
	wait, err := readWait(r)
	if err != nil {
		return WriteResult{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	before := config.EmptySnapshot()
	next, err := s.Writer.Write(ctx, expected, op.id, note, func(c *config.Snapshot) error {
		before = c.Clone()
		if err := mutate(c); err != nil {
			return err
		}
		if len(config.Diff(before, c)) == 0 {
			return errNoChange
		}
		return c.Validate()
	})
	if errors.Is(err, errNoChange) {
		next, err = before, nil
	}
	if err != nil {
		return WriteResult{}, err
	}
	result := WriteResult{Revision: next.Revision, Changes: notNil(config.Diff(before, next))}
	if s.Recorder != nil && len(result.Changes) > 0 {
		summary := config.Summarize(result.Changes)
		s.Recorder.Record(events.Event{Kind: "config.written", Detail: fmt.Sprintf("revision %d by %s: %s", next.Revision, op.id, summary)})
	}
	if wait > 0 {
		s.awaitInForce(r.Context(), &result, wait)
	}
	return result, nil
}

// awaitInForce waits until every live host reports the revision, at most for wait.
func (s *server) awaitInForce(ctx context.Context, result *WriteResult, wait time.Duration) {
	deadline := time.After(wait)
	tick := time.NewTicker(statusPollInterval)
	defer tick.Stop()
	for {
		hosts, done := s.hostRevisions(result.Revision)
		result.Hosts, result.InForce = hosts, &done
		if done {
			return
		}
		select {
		case <-tick.C:
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hostRevisions returns the revisions of all hosts and whether all live hosts have
// at least the given one. It returns false when no host is known to be live.
func (s *server) hostRevisions(revision int64) ([]HostRevision, bool) {
	var out []HostRevision
	live, done := 0, true
	for _, h := range s.Status.Status() {
		out = append(out, HostRevision{Host: h.Host, Alive: h.Alive, Revision: h.Revision})
		if h.Alive {
			live++
			done = done && h.Revision >= revision
		}
	}
	return out, done && live > 0
}

// handleUpdate runs updateConfig and sends its result.
func (s *server) handleUpdate(w http.ResponseWriter, r *http.Request, op operator, mutate func(*config.Snapshot) error) error {
	result, err := s.updateConfig(r, op, mutate)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(result.Revision))
	writeJSON(w, http.StatusOK, result)
	return nil
}
