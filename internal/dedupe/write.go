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
	prefix = "dedupe/"
	// maxGroup keeps a group's object under the platform's bound of 1 MB at
	// about 150 bytes per entry.
	maxGroup = 3000
	// doneDelay is how long completions wait for a write of claims that can
	// carry them. They only improve the answers of a later owner.
	doneDelay  = 2 * time.Second
	writeTries = 4
	writeDelay = 100 * time.Millisecond
)

// claimEntry is a claim in a stored group.
type claimEntry struct {
	Key     keyHash `json:"k"`
	Claim   string  `json:"c"`
	Claimer string  `json:"h"`
}

// doneEntry is a completion in a stored group.
type doneEntry struct {
	Key   keyHash `json:"k"`
	Claim string  `json:"c"`
}

// object is the value of dedupe/<owner>/<epoch>/<seq>.
type object struct {
	Writer string       `json:"writer"` // incarnation of the owner
	AtMS   int64        `json:"at_ms"`  // owner's clock, Unix ms
	Claims []claimEntry `json:"claims,omitempty"`
	Done   []doneEntry  `json:"done,omitempty"`
}

// group is the claims of one write.
type group struct {
	epoch     uint64
	claims    []claimEntry
	completed []doneEntry
	done      chan struct{} // closed when the write ended
	err       error         // set before done is closed
}

// groupWriter collects claims into groups. Its fields are guarded by the
// owner's lock.
type groupWriter struct {
	pending   []*group
	completed []doneEntry // completions that wait for a write
	doneSince time.Time   // of the oldest waiting completion
	epoch     uint64      // of the waiting completions
	seq       uint64
	signal    chan struct{} // capacity 1
}

func newGroupWriter() groupWriter {
	return groupWriter{signal: make(chan struct{}, 1)}
}

// next returns the group that takes the next claim.
func (w *groupWriter) next(epoch uint64) *group {
	if n := len(w.pending); n > 0 {
		if g := w.pending[n-1]; g.epoch == epoch && len(g.claims) < maxGroup {
			return g
		}
	}
	g := &group{epoch: epoch, done: make(chan struct{})}
	w.pending = append(w.pending, g)
	return g
}

func (w *groupWriter) addDone(epoch uint64, d doneEntry) {
	if w.epoch != epoch {
		w.epoch, w.completed = epoch, nil
	}
	if len(w.completed) == 0 {
		w.doneSince = time.Now()
	}
	if len(w.completed) < maxGroup {
		w.completed = append(w.completed, d)
	}
}

func (w *groupWriter) wake() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// take returns the next group to write, with the waiting completions, or nil.
func (o *owner) take(now time.Time) (*group, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := &o.writer
	overdue := len(w.completed) > 0 && now.Sub(w.doneSince) >= doneDelay
	var g *group
	switch {
	case len(w.pending) > 0:
		g = w.pending[0]
		w.pending = w.pending[1:]
	case overdue:
		g = &group{epoch: w.epoch, done: make(chan struct{})}
	default:
		return nil, 0
	}
	if w.epoch == g.epoch && len(g.claims)+len(w.completed) <= 2*maxGroup {
		g.completed, w.completed = w.completed, nil
	}
	w.seq++
	return g, w.seq
}

// writeLoop writes groups one at a time: the first claim at once, and later
// ones when the last write has ended and began at least GroupInterval ago.
func (o *owner) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(doneDelay)
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
			g, seq := o.take(time.Now())
			if g == nil {
				break
			}
			began = time.Now()
			g.err = o.write(ctx, g, seq)
			close(g.done)
		}
	}
}

// failPending ends the wait of claims that will not be written.
func (o *owner) failPending(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.writer.pending {
		g.err = err
		close(g.done)
	}
	o.writer.pending = nil
}

// write stores a group as a new object. After a lost answer it reads the
// object back and compares the writer.
func (o *owner) write(ctx context.Context, g *group, seq uint64) error {
	self := o.opts.Fleet.View().Self
	value, err := json.Marshal(object{
		Writer: o.opts.Incarnation, AtMS: time.Now().UnixMilli(), Claims: g.claims, Done: g.completed,
	})
	if err != nil {
		return errors.Wrap(err, "encode claims")
	}
	counters.Add("writes", 1)
	for range writeTries {
		key := fmt.Sprintf("%s%s/%d/%010d", prefix, self, g.epoch, seq)
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
				seq = o.skipSeq()
			}
		case !errors.IsAny(err, store.ErrUnavailable, store.ErrRateLimited):
			return errors.Wrapf(err, "store claims in %s", key)
		}
		if sleep(ctx, writeDelay) != nil {
			break
		}
	}
	counters.Add("writes_failed", 1)
	return errors.Wrap(err, "store claims")
}

// readBack reports whether the object at a key is this process's own write,
// and whether it is that of an earlier incarnation. An incarnation uses each
// sequence number for one group only, so the writer identifies the write.
func (o *owner) readBack(ctx context.Context, key string) (applied, taken bool) {
	obj, err := o.opts.Store.Get(ctx, key)
	if err != nil {
		return false, false
	}
	var found object
	if json.Unmarshal(obj.Value, &found) != nil {
		return false, true
	}
	own := found.Writer == o.opts.Incarnation
	return own, !own
}

// skipSeq returns a further sequence number.
func (o *owner) skipSeq() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writer.seq++
	return o.writer.seq
}
