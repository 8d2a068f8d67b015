package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/store"
)

const (
	// AnyRevision makes WriteSnapshot apply to whatever revision is current.
	AnyRevision int64 = -1

	shardConcurrency = 8 // shards read or written in parallel
	readAttempts     = 5
	writeAttempts    = 8
	retryDelay       = 50 * time.Millisecond

	conflictAttempts = 20
	conflictDelay    = 10 * time.Millisecond // grows with each attempt
)

// ConflictError reports that the configuration is not at the revision on
// which a change was based.
type ConflictError struct {
	Expected int64 // revision on which the change was based
	Actual   int64 // revision in the platform
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, not %d", e.Actual, e.Expected)
}

// ReadSnapshot reads the configuration from the platform. Without one it
// returns an empty snapshot of revision 0.
func ReadSnapshot(ctx context.Context, objects store.Store) (*config.Snapshot, error) {
	state, err := readState(ctx, objects, emptyState())
	if err != nil {
		return nil, err
	}
	return state.snapshot, nil
}

// WriteSnapshot applies mutate to a copy of the current configuration and
// commits it as the next revision by a conditional update of config/head. It
// fails with *ConflictError when the current revision is not expectedRevision,
// also when another change is committed concurrently. With AnyRevision it
// applies mutate again to the new revision instead, up to conflictAttempts
// times. An error of mutate is returned as is. When the platform's response is
// lost, the head is read back, so an error means that the change was not
// committed, unless it wraps store.ErrUnknownOutcome.
func WriteSnapshot(ctx context.Context, objects store.Store, writer *store.Writer, expectedRevision int64, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	next, err := writeState(ctx, objects, writer, emptyState(), expectedRevision, mutate)
	if err != nil {
		return nil, err
	}
	return next.snapshot, nil
}

// WriteSnapshot is like the function WriteSnapshot, with this host's store. It
// reads only the shards that this host does not hold. When it returns without
// an error, this host has adopted the new configuration.
func (f *Fleet) WriteSnapshot(ctx context.Context, expectedRevision int64, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
	known := f.config.Load()
	if known == nil {
		known = emptyState()
	}
	next, err := writeState(ctx, f.opts.Store, f.writer, known, expectedRevision, mutate)
	if err != nil {
		return nil, err
	}
	f.adoptConfig(next)
	f.HeartbeatNow()
	return next.snapshot, nil
}

// writeState commits a change. With AnyRevision it retries when another change
// is committed concurrently.
func writeState(ctx context.Context, objects store.Store, writer *store.Writer, known *configState, expectedRevision int64, mutate func(*config.Snapshot) error) (*configState, error) {
	for attempt := 1; ; attempt++ {
		next, err := tryWrite(ctx, objects, writer, known, expectedRevision, mutate)
		var conflict *ConflictError
		if expectedRevision != AnyRevision || attempt == conflictAttempts || !errors.As(err, &conflict) {
			return next, err
		}
		select {
		case <-ctx.Done():
			return nil, errors.CombineErrors(err, ctx.Err())
		case <-time.After(rand.N(time.Duration(attempt) * conflictDelay)):
		}
	}
}

func tryWrite(ctx context.Context, objects store.Store, writer *store.Writer, known *configState, expectedRevision int64, mutate func(*config.Snapshot) error) (*configState, error) {
	base, err := readState(ctx, objects, known)
	if err != nil {
		return nil, err
	}
	if expectedRevision != AnyRevision && base.head.Revision != expectedRevision {
		return nil, &ConflictError{Expected: expectedRevision, Actual: base.head.Revision}
	}
	next, err := prepare(base, mutate)
	if err != nil {
		return nil, err
	}
	if err := writeShards(ctx, objects, base, next); err != nil {
		return nil, err
	}
	if err := commitHead(ctx, objects, writer, base, next); err != nil {
		return nil, err
	}
	deleteReplacedShards(ctx, objects, base, next)
	return next, nil
}

// prepare computes the next state without writing it.
func prepare(base *configState, mutate func(*config.Snapshot) error) (*configState, error) {
	changed := clone(base.snapshot)
	if err := mutate(changed); err != nil {
		return nil, err
	}
	changed.Revision = base.head.Revision + 1
	next := &configState{shards: splitShards(changed), raw: make([][]byte, shardCount), snapshot: changed}
	next.head = head{Revision: changed.Revision, Shards: make([]string, shardCount)}
	for i, p := range next.shards {
		if p.equal(base.shards[i]) {
			next.raw[i], next.shards[i], next.head.Shards[i] = base.raw[i], base.shards[i], base.head.Shards[i]
			continue
		}
		raw, err := encodeShard(p)
		if err != nil {
			return nil, err
		}
		next.raw[i] = raw
		switch {
		case raw == nil:
		case string(raw) == string(base.raw[i]):
			next.head.Shards[i] = base.head.Shards[i]
		default:
			next.head.Shards[i] = shardKey(i, changed.Revision, raw)
		}
	}
	recent := append(append([]edit(nil), base.head.Recent...), newEdit(base.snapshot, changed, uuid.NewString()))
	next.head.Recent = recent[max(0, len(recent)-recentEdits):]
	return next, nil
}

func clone(s *config.Snapshot) *config.Snapshot {
	out := *s
	out.Workspaces = maps.Clone(s.Workspaces)
	out.Keys = maps.Clone(s.Keys)
	out.Routes = maps.Clone(s.Routes)
	out.Servers = maps.Clone(s.Servers)
	return &out
}

// writeShards stores the shards that the head of next refers to and the head of
// base does not. They are not read by any host until the head is committed.
func writeShards(ctx context.Context, objects store.Store, base, next *configState) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(shardConcurrency)
	for _, i := range next.head.missingShards(base) {
		group.Go(func() error {
			return retry(ctx, writeAttempts, func() error {
				_, err := objects.Put(ctx, next.head.Shards[i], next.raw[i], 0)
				if errors.Is(err, store.ErrConflict) {
					return nil // written by an earlier attempt; the key contains the content's hash
				}
				return errors.Wrapf(err, "platform put %s", next.head.Shards[i])
			})
		})
	}
	return group.Wait()
}

// commitHead updates the head if it is still at the revision of base.
func commitHead(ctx context.Context, objects store.Store, writer *store.Writer, base, next *configState) error {
	raw, err := json.Marshal(next.head)
	if err != nil {
		return errors.Wrap(err, "encode configuration head")
	}
	token := next.head.Recent[len(next.head.Recent)-1].Token
	sent := false
	_, _, err = store.Update(ctx, objects, writer, headKey, func(current json.RawMessage, exists bool) (json.RawMessage, error) {
		h, err := decodeHead(current, exists)
		switch {
		case err != nil:
			return nil, err
		case h.committed(token):
			return nil, store.ErrNoChange // applied, and followed by another change
		case h.Revision != base.head.Revision:
			return nil, &ConflictError{Expected: base.head.Revision, Actual: h.Revision}
		}
		sent = true
		return raw, nil
	})
	var conflict *ConflictError
	if err == nil || !sent || errors.As(err, &conflict) {
		return err
	}
	// An earlier attempt may have been applied although its response was lost.
	return errors.Mark(err, store.ErrUnknownOutcome)
}

// deleteReplacedShards deletes the objects that the committed head no longer
// refers to. A host that still reads shards of the former head finds them
// missing and reads the head again.
func deleteReplacedShards(ctx context.Context, objects store.Store, base, next *configState) {
	for i, key := range base.head.Shards {
		if key != "" && key != next.head.Shards[i] {
			_ = objects.Delete(ctx, key, store.AnyVersion) // an object left over only costs space
		}
	}
}

func decodeHead(raw json.RawMessage, exists bool) (head, error) {
	if !exists {
		return emptyState().head, nil
	}
	var h head
	if err := json.Unmarshal(raw, &h); err != nil {
		return head{}, errors.Wrap(err, "decode configuration head")
	}
	return h, h.validate()
}

// readState reads the head and the shards that changed since base. It returns
// base itself when the head is not newer.
func readState(ctx context.Context, objects store.Store, base *configState) (*configState, error) {
	var state *configState
	err := retry(ctx, readAttempts, func() error {
		_, env, exists, err := store.ReadEnvelope(ctx, objects, headKey)
		if err != nil {
			return err
		}
		h, err := decodeHead(env.Data, exists)
		if err != nil {
			return err
		}
		state, err = loadState(ctx, objects, base, h)
		return err
	})
	return state, err
}

// loadState reads the shards of a head that base does not hold.
func loadState(ctx context.Context, objects store.Store, base *configState, h head) (*configState, error) {
	if h.Revision <= base.head.Revision {
		return base, nil
	}
	var mu sync.Mutex
	raw := map[int][]byte{}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(shardConcurrency)
	for _, i := range h.missingShards(base) {
		group.Go(func() error {
			obj, err := objects.Get(ctx, h.Shards[i])
			if err != nil {
				return errors.Wrapf(err, "platform get %s", h.Shards[i])
			}
			mu.Lock()
			defer mu.Unlock()
			raw[i] = obj.Value
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return assemble(h, base, raw)
}

// retry repeats fn after transient errors of the platform. A missing shard is
// one of them, because a newer head may have replaced it.
func retry(ctx context.Context, attempts int, fn func() error) error {
	var err error
	for range attempts {
		err = fn()
		if err == nil || !errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited, store.ErrNotFound) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		case <-time.After(retryDelay):
		}
	}
	return err
}
