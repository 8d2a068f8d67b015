package host

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/store"
)

const (
	historyPrefix = "config/history/"
	// historyPageSize is the maximum number of changes in one platform listing.
	historyPageSize = 500
	// historyRevisions is how many revisions are kept in the history, a day's
	// worth at 13,000 changes a day. Older ones are deleted every
	// historyTrimInterval revisions.
	historyRevisions    = 13000
	historyTrimInterval = 100
)

// configWriter commits configuration changes and stores their history. It
// implements admin.ConfigWriter.
type configWriter struct {
	fleet   *fleet.Fleet
	objects store.Store
	now     func() time.Time
}

// Write implements admin.ConfigWriter. The history entry is stored before the
// commit, so that every committed change has one. After a conflict the entry is
// deleted.
func (w *configWriter) Write(ctx context.Context, expected int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	var entry string
	next, err := w.fleet.WriteSnapshot(ctx, expected, func(s *config.Snapshot) error {
		before := s.Clone()
		if err := mutate(s); err != nil {
			return err
		}
		change := config.NewChange(before, s, author, note, w.now().Unix())
		change.Revision = before.Revision + 1
		var err error
		entry, err = w.putHistory(ctx, change)
		return err
	})
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		if entry != "" {
			_ = w.objects.Delete(ctx, entry, store.AnyVersion) // History skips an entry that could not be deleted
		}
		return nil, errors.Wrap(&admin.ConflictError{Expected: conflict.Expected, Current: conflict.Actual}, "write configuration")
	}
	if err != nil {
		return nil, err
	}
	if next.Revision%historyTrimInterval == 0 {
		w.trimHistory(ctx, next.Revision-historyRevisions)
	}
	return next, nil
}

// trimHistory deletes the entries of the given and of earlier revisions, up to
// 2*historyTrimInterval of them. A later trim deletes those that remain.
func (w *configWriter) trimHistory(ctx context.Context, revision int64) {
	if revision < 1 {
		return
	}
	page, err := w.objects.List(ctx, historyPrefix, revisionPrefix(revision), 2*historyTrimInterval)
	if err != nil {
		return
	}
	for _, obj := range page.Objects {
		_ = w.objects.Delete(ctx, obj.Key, store.AnyVersion)
	}
}

// revisionPrefix returns the key prefix of a revision's entries. Prefixes sort by
// descending revision, so that a listing starts with the newest.
func revisionPrefix(revision int64) string {
	return fmt.Sprintf("%s%019d/", historyPrefix, int64(1<<62)-revision)
}

func (w *configWriter) putHistory(ctx context.Context, change config.Change) (string, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return "", errors.Wrap(err, "encode history entry")
	}
	key := revisionPrefix(change.Revision) + uuid.NewString()
	_, err = w.objects.Put(ctx, key, raw, store.AnyVersion)
	return key, errors.Wrapf(err, "platform put %s", key)
}

// History implements admin.ConfigWriter. It skips entries of changes that were
// not committed: those above the current revision and, of several entries with
// the same revision, all but the latest written.
func (w *configWriter) History(ctx context.Context, limit int) ([]config.Change, error) {
	current := w.fleet.Config()
	page, err := w.objects.List(ctx, historyPrefix, "", min(historyPageSize, 2*limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "platform list "+historyPrefix)
	}
	objects := page.Objects
	sort.SliceStable(objects, func(i, j int) bool { return objects[i].Version > objects[j].Version })
	seen := map[int64]bool{}
	var out []config.Change
	for _, obj := range objects {
		var change config.Change
		if err := json.Unmarshal(obj.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "decode %s", obj.Key)
		}
		if change.Revision > current.Revision || seen[change.Revision] || len(out) == limit {
			continue
		}
		seen[change.Revision] = true
		out = append(out, change)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision > out[j].Revision })
	return out, nil
}
