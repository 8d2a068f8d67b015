package jobs

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/store"
)

// errChunkLost reports that another host owns the chunk or that it was sealed.
var errChunkLost = errors.New("chunk lost to another owner")

// Delays between write attempts while the platform is unavailable.
const (
	putBaseDelay = 100 * time.Millisecond
	putMaxDelay  = 5 * time.Second
)

// chunkSeq numbers this process's conditional updates of chunks. It is separate
// from the writer's own sequence, which manifest updates use.
var chunkSeq atomic.Uint64

// putChunk replaces the progress object of the given version. It repeats the
// write until it is applied, refused (errChunkLost), or ctx ends. When the
// platform's response is lost, it reads the object back: writer and sequence
// identify an applied write, and an unchanged version means that the write was
// not applied.
func (s *Service) putChunk(ctx context.Context, job string, version int64, prev, next batch.Chunk) (int64, error) {
	err := batch.CheckSuccessor(prev, next)
	if !invariant.Check(err == nil, "chunk-successor", "commit chunk", "", "job", job, "chunk", next.Index, "err", err) {
		return 0, errChunkLost
	}
	data, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode chunk")
	}
	env := store.Envelope{Writer: s.writer.ID + "/chunk", Seq: chunkSeq.Add(1), Data: data}
	key := chunkKey(job, next.Index)
	unresolved := false
	for attempt := 0; ; attempt++ {
		if err := s.waitBeforePut(ctx, attempt); err != nil {
			return 0, errors.Wrapf(err, "platform put %s", key)
		}
		if unresolved {
			stored, applied, err := s.resolveWrite(ctx, key, version, env)
			if applied || errors.Is(err, errChunkLost) {
				return stored, err
			}
			unresolved = err != nil
			if unresolved {
				s.commitPacer.recordFailure()
				continue
			}
		}
		stored, err := store.PutEnvelope(ctx, s.store, key, env, version)
		switch {
		case err == nil:
			counters.Add("chunk_puts", 1)
			return stored.Version, nil
		case errors.IsAny(err, store.ErrConflict, store.ErrUnknownOutcome):
			unresolved = true
		case errors.IsAny(err, store.ErrUnavailable, store.ErrRateLimited):
			s.commitPacer.recordFailure()
		default:
			return 0, errors.Wrapf(err, "platform put %s", key)
		}
	}
}

// resolveWrite reads the object back and reports whether the write was applied.
// errChunkLost means that another writer has replaced the object.
func (s *Service) resolveWrite(ctx context.Context, key string, version int64, env store.Envelope) (int64, bool, error) {
	obj, found, exists, err := store.ReadEnvelope(ctx, s.store, key)
	switch {
	case err != nil:
		return 0, false, err
	case exists && found.Writer == env.Writer && found.Seq == env.Seq:
		return obj.Version, true, nil
	case obj.Version != version:
		counters.Add("chunks_lost", 1)
		return 0, false, errChunkLost
	}
	return 0, false, nil
}

// waitBeforePut waits for the retry delay, for the pacing of writes after an
// outage, and until the freshness lease holds.
func (s *Service) waitBeforePut(ctx context.Context, attempt int) error {
	if attempt > 1 {
		delay := min(putBaseDelay<<min(attempt-2, 10), putMaxDelay)
		if !sleep(ctx, jitter(delay)) {
			return ctx.Err()
		}
	}
	if err := s.commitPacer.wait(ctx); err != nil {
		return err
	}
	return s.waitLease(ctx)
}

// commitOptions are the parts of a commit other than results and attempts.
type commitOptions struct {
	intend   []int
	withdraw []int
	release  bool
	seal     bool
	// deferResults leaves the held results for a later commit.
	deferResults bool
}

// commit writes the held results to segments and then updates the chunk's
// progress conditionally, which is the commit point.
func (r *chunkRun) commit(ctx context.Context, o commitOptions) error {
	r.commitMu.Lock()
	defer r.commitMu.Unlock()
	lines, attempts := r.snapshot()
	if o.deferResults {
		lines = nil
	}
	update := batch.Commit{
		Epoch: r.progress.Epoch, Owner: r.svc.owner, Attempts: attempts,
		Intend: o.intend, Withdraw: o.withdraw, Release: o.release, Seal: o.seal,
	}
	for _, l := range lines {
		update.Outcomes = append(update.Outcomes, batch.Outcome{Item: l.item, Failed: l.failed})
	}
	refs, err := r.writeSegments(ctx, lines)
	if err != nil {
		return err
	}
	update.Segments = refs
	next, err := r.progress.Apply(update)
	if !invariant.Check(!errors.Is(err, batch.ErrSecondResult), "one-result-per-item", "commit chunk", "",
		"job", r.job.entry.ID, "chunk", r.index) || err != nil {
		return errors.Wrap(err, "commit chunk")
	}
	version, err := r.svc.putChunk(ctx, r.job.entry.ID, r.version, r.progress, next)
	if err != nil {
		return err
	}
	r.applyCommit(next, version, len(lines))
	return nil
}

// applyCommit updates the run's state after a successful commit.
func (r *chunkRun) applyCommit(next batch.Chunk, version int64, lines int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progress, r.version = next, version
	r.held.drop(lines)
	r.heldBytes = 0
	for _, l := range r.held.lines {
		r.heldBytes += l.size
	}
	r.committedAt = r.svc.now()
	if lines > 0 {
		r.oldestHeld = time.Time{}
		if len(r.held.lines) > 0 {
			r.oldestHeld = r.committedAt
		}
	}
	counters.Add("items_committed", int64(lines))
}

// snapshot returns the held results and the attempts. The attempts include those
// of running items, because an item that is running when its host fails has
// used an attempt.
func (r *chunkRun) snapshot() ([]heldLine, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]heldLine(nil), r.held.lines...), append([]byte(nil), r.attempts...)
}

// maxSegmentBytes bounds the uncompressed lines of one segment, so that it fits
// into one platform value even when it does not compress, and into the memory
// of a reader.
const maxSegmentBytes = 1000 << 10

// writeSegments stores lines as immutable segments.
func (r *chunkRun) writeSegments(ctx context.Context, lines []heldLine) ([]batch.SegmentRef, error) {
	var refs []batch.SegmentRef
	var raw []byte
	var ref batch.SegmentRef
	flush := func() error {
		if len(raw) == 0 {
			return nil
		}
		r.assignNumber(&ref)
		if err := r.putSegment(ctx, ref, raw); err != nil {
			return err
		}
		refs = append(refs, ref)
		raw, ref = raw[:0], batch.SegmentRef{}
		return nil
	}
	for _, held := range lines {
		line, err := r.held.read(held)
		if err != nil {
			return nil, err
		}
		if len(raw)+len(line) > maxSegmentBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		raw = append(raw, line...)
		if line[0] == markError {
			ref.Errors += int64(len(line) - 1)
		} else {
			ref.Output += int64(len(line) - 1)
		}
	}
	return refs, flush()
}

// assignNumber gives the segment the next number. Each number is used for one
// content only, because a delayed write of an earlier content could replace a
// later one. Numbers have no gaps, because garbage collection stops at a gap.
func (r *chunkRun) assignNumber(ref *batch.SegmentRef) {
	ref.Epoch, ref.Number = r.progress.Epoch, r.nextSegment
	r.nextSegment++
}

// putSegment writes a segment unconditionally: only this claim uses the key, and
// repeated writes have the same content.
func (r *chunkRun) putSegment(ctx context.Context, ref batch.SegmentRef, raw []byte) error {
	key := segmentKey(r.job.entry.ID, r.index, ref.Epoch, ref.Number)
	packed := compress(raw)
	for attempt := 0; ; attempt++ {
		if err := r.svc.waitBeforePut(ctx, attempt); err != nil {
			return errors.Wrapf(err, "platform put %s", key)
		}
		_, err := r.svc.store.Put(ctx, key, packed, store.AnyVersion)
		switch {
		case err == nil:
			return nil
		case errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited):
			r.svc.commitPacer.recordFailure()
		default:
			return errors.Wrapf(err, "platform put %s", key)
		}
	}
}
