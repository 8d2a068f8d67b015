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

// WriteResult answers a write of the configuration.
type WriteResult struct {
	Revision int64                 `json:"revision"`
	Changes  []config.ObjectChange `json:"changes"`
	// InForce is present with ?wait= only: true when every live host reported
	// the revision within the wait.
	InForce *bool          `json:"in_force,omitempty"`
	Hosts   []HostRevision `json:"hosts,omitempty"`
	Key     *CreatedKey    `json:"key,omitempty"` // of a created key
}

// HostRevision is the revision in force at one host.
type HostRevision struct {
	Host     string `json:"host"`
	Alive    bool   `json:"alive"`
	Revision int64  `json:"revision"`
}

// CreatedKey shows a new raw key, once.
type CreatedKey struct {
	ID        string `json:"id"`
	Raw       string `json:"raw"`
	Workspace string `json:"workspace,omitempty"`
	Operator  bool   `json:"operator,omitempty"`
}

// writeTimeout bounds a write, so that an operator is told of a platform outage
// before the command line's own timeout of 10 s.
const writeTimeout = 8 * time.Second

// errNoChange ends a write that would change nothing, so that repeating one
// after a lost answer makes no new revision.
var errNoChange = errors.New("nothing to change")

// change applies mutate as one conditional update with the request's If-Match,
// author and note, and returns the new snapshot and its changes.
func (s *server) change(r *http.Request, op operator, mutate func(*config.Snapshot) error) (WriteResult, error) {
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
	before := config.Empty()
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

// awaitInForce waits until every live host reports the revision.
func (s *server) awaitInForce(ctx context.Context, result *WriteResult, wait time.Duration) {
	deadline := time.After(wait)
	tick := time.NewTicker(waitPoll)
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

// hostRevisions reports whether all live hosts have at least the revision.
// Without any live host nothing is known, which is not "in force".
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

// write runs change and answers its result.
func (s *server) write(w http.ResponseWriter, r *http.Request, op operator, mutate func(*config.Snapshot) error) error {
	result, err := s.change(r, op, mutate)
	if err != nil {
		return err
	}
	w.Header().Set("ETag", etag(result.Revision))
	writeJSON(w, http.StatusOK, result)
	return nil
}
