package engine

import (
	"context"
	"math"
	"sync"
	"time"
)

// maxStepDebt bounds how far steps may run behind their schedule before the
// schedule is moved, so that a busy machine does not cause a burst of steps.
const maxStepDebt = 50 * time.Millisecond

// Load is the engine's load report.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // part of the KV memory in use, 0 to 1
	AtMS    int64   `json:"at_ms"`   // Unix time at which the load was measured
}

// batcher runs the continuous batch: at each step it admits waiting requests
// in order of arrival, processes a part of the open prompts, and makes one
// token for each sequence whose prompt is done.
type batcher struct {
	opts    Options
	cache   *prefixCache
	ledger  *ledger
	onCrash func()

	mu      sync.Mutex
	waiting []*sequence
	prompts map[*sequence]string
	running []*sequence
	kv      int
	frozen  bool
	speed   float64
	load    Load
	steps   int64
	busy    time.Duration
	maxSeen int
	wake    chan struct{}
}

func newBatcher(opts Options, cache *prefixCache, l *ledger, onCrash func()) *batcher {
	return &batcher{
		opts: opts, cache: cache, ledger: l, onCrash: onCrash, speed: opts.Speed,
		prompts: map[*sequence]string{}, wake: make(chan struct{}, 1),
		load: Load{Slots: opts.Slots, AtMS: time.Now().UnixMilli()},
	}
}

// submit queues the sequence.
func (b *batcher) submit(q *sequence, prompt string) {
	b.mu.Lock()
	b.waiting = append(b.waiting, q)
	b.prompts[q] = prompt
	b.mu.Unlock()
	b.signal()
}

func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel removes the sequence at once.
func (b *batcher) cancel(q *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.gone {
		return
	}
	b.leave(q)
	b.waiting = without(b.waiting, q)
	b.running = without(b.running, q)
}

// leave releases what the sequence holds. The caller holds mu and removes it from its list.
func (b *batcher) leave(q *sequence) {
	q.gone = true
	b.kv -= q.kv
	delete(b.prompts, q)
	close(q.done)
}

// dropAll removes all sequences, with the given outcome in the ledger.
func (b *batcher) dropAll(how outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, q := range append(b.waiting, b.running...) {
		b.ledger.end(q.record, how, now)
		b.leave(q)
	}
	b.waiting, b.running = nil, nil
}

func (b *batcher) setFrozen(frozen bool, speed float64) {
	b.mu.Lock()
	b.frozen, b.speed = frozen, speed
	b.mu.Unlock()
	b.signal()
}

// run steps until ctx ends.
func (b *batcher) run(ctx context.Context) {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		took, worked := b.step(time.Now())
		if !worked {
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			next = time.Now()
			continue
		}
		next = next.Add(took)
		if late := time.Since(next); late > maxStepDebt {
			next = time.Now()
		}
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		b.finishStep(took)
	}
}

// step admits requests and returns the duration of the step that follows, or
// false when there is nothing to do.
func (b *batcher) step(now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen {
		return 0, false
	}
	b.admit(now)
	if len(b.running) == 0 {
		return 0, false
	}
	return b.stepTime(), true
}

// admit moves waiting requests into the batch while slots and KV memory suffice.
func (b *batcher) admit(now time.Time) {
	for len(b.waiting) > 0 && len(b.running) < b.opts.Slots {
		q := b.waiting[0]
		need := q.prefill
		if len(b.running) > 0 && b.kv+need > b.opts.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, q)
		q.kv = need
		b.kv += need
		cached := min(b.cache.use(b.prompts[q], now), q.prefill)
		q.prefill -= cached
		delete(b.prompts, q)
		b.maxSeen = max(b.maxSeen, len(b.running))
		b.ledger.admitted(q.record, now, len(b.running), cached)
	}
}

// stepTime is flat up to the knee of concurrent sequences and grows beyond
// it. Prompt tokens, at most PrefillChunk a step, add their own time.
func (b *batcher) stepTime() time.Duration {
	load := float64(len(b.running)) / float64(b.opts.Knee)
	factor := 1.0
	if load > 1 {
		factor = math.Pow(load, b.opts.Growth)
	}
	d := float64(b.opts.StepTime) * factor
	d += float64(b.prefillTokens()) * float64(b.opts.PrefillPerToken)
	return time.Duration(d / b.speed)
}

func (b *batcher) prefillTokens() int {
	n := 0
	for _, q := range b.running {
		n += q.prefill
	}
	return min(n, b.opts.PrefillChunk)
}

// finishStep makes the step's tokens and removes sequences that are complete.
func (b *batcher) finishStep(took time.Duration) {
	crash := false
	b.mu.Lock()
	b.steps++
	b.busy += took
	budget := b.opts.PrefillChunk
	kept := b.running[:0]
	for _, q := range b.running {
		crash = crash || q.crash
		if b.advance(q, &budget) {
			b.ledger.end(q.record, outcomeFinished, time.Now())
			b.leave(q)
			continue
		}
		kept = append(kept, q)
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.mu.Unlock()
	if crash {
		b.onCrash()
	}
}

// advance processes prompt tokens within the budget, or makes one token. It
// reports whether the sequence is complete.
func (b *batcher) advance(q *sequence, budget *int) bool {
	if q.prefill > 0 {
		part := min(q.prefill, *budget)
		q.prefill -= part
		*budget -= part
		return false
	}
	if q.stuck || q.crash {
		return false
	}
	if q.complete() {
		return true
	}
	b.kv++
	q.emit()
	return q.complete()
}

// measure refreshes the load report.
func (b *batcher) measure(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = Load{
		Running: len(b.running), Waiting: len(b.waiting), Slots: b.opts.Slots,
		KVUsed: float64(b.kv) / float64(b.opts.KVTokens), AtMS: now.UnixMilli(),
	}
}

// report returns the last measured load.
func (b *batcher) report() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load
}

func without(list []*sequence, q *sequence) []*sequence {
	for i, other := range list {
		if other == q {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
