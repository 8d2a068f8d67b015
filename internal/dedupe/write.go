package dedupe

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/store"
)

const (
	keyPrefix = "dedupe/"
	// maxGroupEntries keeps a stored group below the platform's limit of 1 MB
	// at about 150 bytes per entry.
	maxGroupEntries = 3000
	// maxCompletionDelay is how long completions wait for a write of claims
	// that can include them. They only let a later owner give a more precise
	// answer.
	maxCompletionDelay = 2 * time.Second
	maxWriteAttempts   = 4
	writeRetryDelay    = 100 * time.Millisecond
)

// claimEntry is a claim in a stored group.
type claimEntry struct {
	Key     keyHash `json:"k"`
	Claim   string  `json:"c"`
	Claimer string  `json:"h"`
}

// completionEntry is a completion in a stored group.
type completionEntry struct {
	Key   keyHash `json:"k"`
	Claim string  `json:"c"`
}

// storedGroup is the value of the object dedupe/<owner>/<epoch>/<seq>.
type storedGroup struct {
	Writer string            `json:"writer"` // incarnation of the owner
	AtMS   int64             `json:"at_ms"`  // clock of the owner, Unix ms
	Claims []claimEntry      `json:"claims,omitempty"`
	Done   []completionEntry `json:"done,omitempty"`
}

// writeGroup holds the claims and completions of one write.
type writeGroup struct {
	epoch     uint64
	claims    []claimEntry
	completed []completionEntry
	done      chan struct{} // closed when the write has ended
	err       error         // set before done is closed
}

// groupWriter collects claims into groups. Its fields are guarded by owner.mu.
type groupWriter struct {
	pending            []*writeGroup
	completed          []completionEntry // waiting for a write
	oldestCompletionAt time.Time         // when the oldest of completed was added
	epoch              uint64            // epoch of completed
	seq                uint64
	signal             chan struct{} // capacity 1
}

func newGroupWriter() groupWriter {
	return groupWriter{signal: make(chan struct{}, 1)}
}

// groupForClaim returns the group to add the next claim to.
func (w *groupWriter) groupForClaim(epoch uint64) *writeGroup {
	if n := len(w.pending); n > 0 {
		if g := w.pending[n-1]; g.epoch == epoch && len(g.claims) < maxGroupEntries {
			return g
		}
	}
	g := &writeGroup{epoch: epoch, done: make(chan struct{})}
	w.pending = append(w.pending, g)
	return g
}

func (w *groupWriter) addCompletion(epoch uint64, d completionEntry) {
	if w.epoch != epoch {
		w.epoch, w.completed = epoch, nil
	}
	if len(w.completed) == 0 {
		w.oldestCompletionAt = time.Now()
	}
	if len(w.completed) < maxGroupEntries {
		w.completed = append(w.completed, d)
	}
}

func (w *groupWriter) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// nextGroup returns the next group to write, including the waiting completions,
// and its sequence number, or nil if there is none.
func (o *owner) nextGroup(now time.Time) (*writeGroup, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &o.writer
	overdue := len(w.completed) > 0 && now.Sub(w.oldestCompletionAt) >= maxCompletionDelay
	var g *writeGroup
	switch {
	case len(w.pending) > 0:
		g = w.pending[0]
		w.pending = w.pending[1:]
	case overdue:
		g = &writeGroup{epoch: w.epoch, done: make(chan struct{})}
	default:
		return nil, 0
	}
	if w.epoch == g.epoch && len(g.claims)+len(w.completed) <= 2*maxGroupEntries {
		g.completed, w.completed = w.completed, nil
	}
	w.seq++
	return g, w.seq
}

// writeLoop writes one group at a time. The first claim is written at once.
// Later writes start when the previous write has ended and at least
// GroupInterval after its start.
func (o *owner) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(maxCompletionDelay)
	defer ticker.Stop()
	var began time.Time
	for {
		select {
		case <-ctx.Done():
			o.failPending(ctx.Err())
			return
		case <-ticker.C:
		case <-o.writer.signal:
		}
		for {
			_ = sleep(ctx, o.opts.GroupInterval-time.Since(began))
			g, seq := o.nextGroup(time.Now())
			if g == nil {
				break
			}
			began = time.Now()
			g.err = o.writeToStore(ctx, g, seq)
			close(g.done)
		}
	}
}

// failPending fails the claims that will not be written.
func (o *owner) failPending(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.writer.pending {
		g.err = err
		close(g.done)
	}
	o.writer.pending = nil
}

// writeToStore stores a group as a new object. If the outcome of a write is
// unknown, it reads the object back and compares the writer.
func (o *owner) writeToStore(ctx context.Context, g *writeGroup, seq uint64) error {
	self := o.opts.Fleet.View().Self
	value, err := json.Marshal(storedGroup{
		Writer: o.opts.Incarnation, AtMS: time.Now().UnixMilli(), Claims: g.claims, Done: g.completed,
	})
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	counters.Add("writes", 1)
	for range maxWriteAttempts {
		key := fmt.Sprintf("%s%s/%d/%010d", keyPrefix, self, g.epoch, seq)
		_, err = o.opts.Store.Put(ctx, key, value, 0)
		switch {
		case err == nil:
			return nil
		case errors.IsAny(err, store.ErrConflict, store.ErrUnknownOutcome):
			var applied, taken bool
			if applied, taken = o.readBack(ctx, key); applied {
				return nil
			}
			if taken {
				seq = o.nextSeq()
			}
		case !errors.IsAny(err, store.ErrUnavailable, store.ErrRateLimited):
			return errors.Wrapf(err, "store claims in %s", key)
		}
		if sleep(ctx, writeRetryDelay) != nil {
			break
		}
	}
	counters.Add("writes_failed", 1)
	return errors.Wrap(err, "store claims")
}

// readBack reports whether the object at key was written by this process, or
// else by another incarnation. An incarnation uses each sequence number for
// only one group, so the writer identifies the write.
func (o *owner) readBack(ctx context.Context, key string) (applied, taken bool) {
	obj, err := o.opts.Store.Get(ctx, key)
	if err != nil {
		return false, false
	}
	var found storedGroup
	if json.Unmarshal(obj.Value, &found) != nil {
		return false, true
	}
	own := found.Writer == o.opts.Incarnation
	return own, !own
}

// nextSeq allocates a new sequence number.
func (o *owner) nextSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writer.seq++
	return o.writer.seq
}
