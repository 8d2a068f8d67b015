package store

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxUpdateAttempts = 12
	updateBaseDelay   = 10 * time.Millisecond
	updateMaxDelay    = 500 * time.Millisecond
)

// Envelope wraps every conditionally updated value. Writer and Seq identify
// the write, so that a writer can recognize its own applied update.
type Envelope struct {
	Writer string          `json:"writer"`
	Seq    uint64          `json:"seq"`
	Data   json.RawMessage `json:"data"`
}

// Writer numbers the conditional updates of one process incarnation.
type Writer struct {
	ID  string // host name and incarnation
	seq atomic.Uint64
}

// NewWriter returns a writer whose id must be unique over all incarnations of all hosts.
func NewWriter(id string) *Writer { return &Writer{ID: id} }

// Mutate computes the next data from the current one; exists is false when
// the object is missing. An error ends the update and is returned as is.
type Mutate func(current json.RawMessage, exists bool) (json.RawMessage, error)

// ErrNoChange, returned by a Mutate function, ends an update successfully without a write.
var ErrNoChange = errors.New("no change")

// Update reads, mutates and conditionally writes an envelope until the write
// is applied exactly once. After a lost response it reads the object and compares
// writer and sequence. It returns the object as stored and its data.
func Update(ctx context.Context, s Store, w *Writer, key string, mutate Mutate) (Object, json.RawMessage, error) {
	pending := map[uint64]bool{} // sequence numbers of the writes with an unknown outcome
	var lastErr error
	for attempt := range maxUpdateAttempts {
		if err := sleepBackoff(ctx, attempt); err != nil {
			return Object{}, nil, errors.Wrapf(err, "update %s", key)
		}
		current, env, exists, err := ReadEnvelope(ctx, s, key)
		if err != nil {
			lastErr = err
			if !retryable(err) {
				return Object{}, nil, errors.Wrapf(err, "update %s", key)
			}
			continue
		}
		if exists && env.Writer == w.ID && pending[env.Seq] {
			return current, env.Data, nil
		}
		next, err := mutate(env.Data, exists)
		if errors.Is(err, ErrNoChange) {
			return current, env.Data, nil
		}
		if err != nil {
			return Object{}, nil, err
		}
		out := Envelope{Writer: w.ID, Seq: w.seq.Add(1), Data: next}
		stored, err := PutEnvelope(ctx, s, key, out, current.Version)
		switch {
		case err == nil:
			return stored, next, nil
		case errors.Is(err, ErrUnknownOutcome):
			pending[out.Seq] = true
		case !retryable(err):
			return Object{}, nil, errors.Wrapf(err, "update %s", key)
		}
		lastErr = err
	}
	return Object{}, nil, errors.Wrapf(lastErr, "update %s: attempts exhausted", key)
}

// ReadEnvelope reads an enveloped object. A missing object is returned with
// exists false, version 0 and no error.
func ReadEnvelope(ctx context.Context, s Store, key string) (Object, Envelope, bool, error) {
	var env Envelope
	obj, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Object{Key: key}, env, false, nil
	}
	if err != nil {
		return Object{}, env, false, errors.Wrapf(err, "read %s", key)
	}
	if err := json.Unmarshal(obj.Value, &env); err != nil {
		return Object{}, env, false, errors.Wrapf(err, "decode envelope of %s", key)
	}
	return obj, env, true, nil
}

// PutEnvelope writes an envelope if the object has version ifVersion.
func PutEnvelope(ctx context.Context, s Store, key string, env Envelope, ifVersion int64) (Object, error) {
	raw, err := json.Marshal(env)
	if err != nil {
		return Object{}, errors.Wrapf(err, "encode envelope of %s", key)
	}
	return s.Put(ctx, key, raw, ifVersion)
}

func retryable(err error) bool {
	return errors.IsAny(err, ErrConflict, ErrUnavailable, ErrUnknownOutcome, ErrRateLimited)
}

func sleepBackoff(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return ctx.Err()
	}
	delay := min(updateBaseDelay<<min(attempt, 10), updateMaxDelay)
	delay = delay/2 + time.Duration(rand.Int64N(int64(delay/2)+1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}
