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
	"ragwortstep/internal/platform"
)

const (
	historyPrefix = "config/history/"
	// historyPage is how many changes one listing of the platform returns.
	historyPage = 500
)

// configWriter commits configuration changes and their history. It implements
// admin.ConfigWriter.
type configWriter struct {
	store platform.Store
	now   func() time.Time
	// commit writes a change that is in force at this host when it returns, so
	// that an operator who reads the revision there next does not get the former one.
	commit func(ctx context.Context, expected int64, mutate func(*config.Snapshot) error) (*config.Snapshot, error)
}

// Write implements admin.ConfigWriter. The history entry is stored before the
// commit, so that no committed change lacks one; a change that is not
// committed removes its entry.
func (w *configWriter) Write(ctx context.Context, expected int64, author, note string, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	var entry string
	next, err := w.commit(ctx, expected, func(s *config.Snapshot) error {
		before := s.Clone()
		if err := mutate(s); err != nil {
			return err
		}
		changes := config.Diff(before, s)
		change := config.Change{
			Revision: before.Revision + 1, Author: author, Unix: w.now().Unix(), Note: note,
			Summary: config.Summarize(changes), Changes: changes,
		}
		var err error
		entry, err = w.putHistory(ctx, change)
		return err
	})
	var conflict *fleet.ConflictError
	if errors.As(err, &conflict) {
		if entry != "" {
			_ = w.store.Delete(ctx, entry, platform.AnyVersion) // a leftover entry is hidden by History
		}
		return nil, errors.Wrap(&admin.ConflictError{Expected: conflict.Expected, Current: conflict.Actual}, "write configuration")
	}
	if err != nil {
		return nil, err
	}
	return next, nil
}

func (w *configWriter) putHistory(ctx context.Context, change config.Change) (string, error) {
	raw, err := json.Marshal(change)
	if err != nil {
		return "", errors.Wrap(err, "encode history entry")
	}
	// Keys sort by descending revision, so that a listing starts with the newest.
	key := fmt.Sprintf("%s%019d/%s", historyPrefix, int64(1<<62)-change.Revision, uuid.NewString())
	_, err = w.store.Put(ctx, key, raw, platform.AnyVersion)
	return key, errors.Wrapf(err, "platform put %s", key)
}

// History implements admin.ConfigWriter. Of entries with the same revision
// only the latest written can have been committed, and entries above the
// current revision were not committed.
func (w *configWriter) History(ctx context.Context, limit int) ([]config.Change, error) {
	current, err := fleet.ReadSnapshot(ctx, w.store)
	if err != nil {
		return nil, err
	}
	page, err := w.store.List(ctx, historyPrefix, "", min(historyPage, 2*limit+1))
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
