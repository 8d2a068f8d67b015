package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/platform"
)

const (
	// historyPrefix holds one object per revision. Keys count down, so that a
	// listing in key order starts with the newest change.
	historyPrefix = "confhistory/"
	// historyKept is how many changes are kept, more than a day of 13,000 changes.
	historyKept = 20_000
	// historyAttempts bounds the writes of one entry. An entry that is lost
	// shows as a gap and does not undo the change.
	historyAttempts = 3
	historyPause    = 200 * time.Millisecond
)

var counters = expvar.NewMap("admin")

// CommitFunc applies mutate to the configuration at expectedRevision by one
// conditional update; the method WriteSnapshot of the fleet has this form.
type CommitFunc func(ctx context.Context, expectedRevision int64, mutate func(*config.Snapshot) error) (*config.Snapshot, error)

// HistoryOptions configures a HistoryWriter. All fields but Now are required.
type HistoryOptions struct {
	Store  platform.Store
	Commit CommitFunc
	// Conflict returns the current revision when err reports that Commit found
	// another revision than the expected one.
	Conflict func(err error) (current int64, ok bool)
	Now      func() time.Time // time.Now when nil
}

// HistoryWriter is a ConfigWriter that commits through the fleet and keeps the
// history in the platform.
type HistoryWriter struct {
	opts HistoryOptions
}

var _ ConfigWriter = (*HistoryWriter)(nil)

// NewHistoryWriter returns a ConfigWriter.
func NewHistoryWriter(o HistoryOptions) *HistoryWriter {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &HistoryWriter{opts: o}
}

// Write implements ConfigWriter. The entry of the history follows the commit;
// writing it first was ruled out, because it would list refused changes.
func (h *HistoryWriter) Write(ctx context.Context, expected int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	var before *config.Snapshot
	next, err := h.opts.Commit(ctx, expected, func(s *config.Snapshot) error {
		before = s.Clone()
		return mutate(s)
	})
	if err != nil {
		if current, ok := h.opts.Conflict(err); ok {
			return nil, &ConflictError{Expected: expected, Current: current}
		}
		return nil, err
	}
	changes := config.Diff(before, next)
	h.record(ctx, config.Change{
		Revision: next.Revision, Author: author, Unix: h.opts.Now().Unix(), Note: note,
		Summary: config.Summarize(changes), Changes: bounded(changes),
	})
	return next, nil
}

// maxHistoryChanges bounds the changes kept with one entry, for the platform's
// limit of 1 MB; a change has a few hundred bytes.
const maxHistoryChanges = 500

func bounded(changes []config.ObjectChange) []config.ObjectChange {
	return changes[:min(len(changes), maxHistoryChanges)]
}

func historyKey(revision int64) string {
	return fmt.Sprintf("%s%019d", historyPrefix, math.MaxInt64-revision)
}

// record stores the entry and removes the one that is too old. The change is
// committed already, so faults are counted and not returned.
func (h *HistoryWriter) record(ctx context.Context, change config.Change) {
	raw, err := json.Marshal(change)
	for attempt := 0; err == nil && attempt < historyAttempts; attempt++ {
		_, err := h.opts.Store.Put(ctx, historyKey(change.Revision), raw, platform.AnyVersion)
		if err == nil {
			h.removeOld(ctx, change.Revision-historyKept)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(historyPause):
		}
	}
	counters.Add("history_lost", 1)
}

func (h *HistoryWriter) removeOld(ctx context.Context, revision int64) {
	if revision > 0 {
		_ = h.opts.Store.Delete(ctx, historyKey(revision), platform.AnyVersion) // an entry left over costs only space
	}
}

// History implements ConfigWriter. Revisions without an entry are shown as
// such, so that a lost entry is not taken for no change.
func (h *HistoryWriter) History(ctx context.Context, limit int) ([]config.Change, error) {
	page, err := h.opts.Store.List(ctx, historyPrefix, "", limit)
	if err != nil {
		return nil, errors.Wrapf(err, "platform list %s", historyPrefix)
	}
	var out []config.Change
	for _, obj := range page.Objects {
		var change config.Change
		if err := json.Unmarshal(obj.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "decode %s", obj.Key)
		}
		if n := len(out); n > 0 && out[n-1].Revision > change.Revision+1 {
			out = append(out, gap(change.Revision+1, out[n-1].Revision-1))
		}
		out = append(out, change)
	}
	return out[:min(len(out), limit)], nil
}

func gap(first, last int64) config.Change {
	summary := "not recorded: the platform failed after the change was committed"
	if first < last {
		summary = fmt.Sprintf("revisions %d to %d %s", first, last, summary)
	}
	return config.Change{Revision: last, Summary: summary}
}
