package engine

import (
	"context"
	"math"
	"sync"
	"time"
)

// maxScheduleLag bounds how far steps may run behind their schedule. Beyond it
// the schedule restarts from the current time, so that a busy machine does not
// cause a burst of steps.
const maxScheduleLag = 50 * time.Millisecond

// Load is the engine's load report.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"` // fraction of the KV memory in use, 0 to 1
	AtMS    int64   `json:"at_ms"`   // Unix time at which the load was measured
}

// batcher simulates continuous batching: each step admits waiting requests in
// order of arrival, processes up to PrefillChunk prompt tokens, and generates
// one token for each sequence whose prompt has been processed.
type batcher struct {
	opts    Options
	cache   *prefixCache
	ledger  *ledger
	onCrash func()

	mu         sync.Mutex
	waiting    []*sequence
	prompts    map[*sequence]string // of waiting sequences
	running    []*sequence
	kvTokens   int
	frozen     bool
	speed      float64
	load       Load
	steps      int64
	busyTime   time.Duration
	maxRunning int
	wake       chan struct{} // capacity 1
}

func newBatcher(opts Options, cache *prefixCache, l *ledger, onCrash func()) *batcher {
	return &batcher{
		opts: opts, cache: cache, ledger: l, onCrash: onCrash, speed: opts.Speed,
		prompts: map[*sequence]string{}, wake: make(chan struct{}, 1),
		load: Load{Slots: opts.Slots, AtMS: time.Now().UnixMilli()},
	}
}

func (b *batcher) submit(seq *sequence, prompt string) {
	b.mu.Lock()
	b.waiting = append(b.waiting, seq)
	b.prompts[seq] = prompt
	b.mu.Unlock()
	b.signal()
}

func (b *batcher) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel removes the sequence. It has no effect on one that was already removed.
func (b *batcher) cancel(seq *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if seq.removed {
		return
	}
	b.release(seq)
	b.waiting = removeSequence(b.waiting, seq)
	b.running = removeSequence(b.running, seq)
}

// release frees the KV memory of the sequence and closes done. The caller holds
// mu and removes the sequence from its list.
func (b *batcher) release(seq *sequence) {
	seq.removed = true
	b.kvTokens -= seq.kvTokens
	delete(b.prompts, seq)
	close(seq.done)
}

// removeAll removes all sequences and records the given outcome for them.
func (b *batcher) removeAll(result outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, seq := range append(b.waiting, b.running...) {
		b.ledger.setOutcome(seq.record, result, now)
		b.release(seq)
	}
	b.waiting, b.running = nil, nil
}

func (b *batcher) setFaults(frozen bool, speed float64) {
	b.mu.Lock()
	b.frozen, b.speed = frozen, speed
	b.mu.Unlock()
	b.signal()
}

// run executes steps until ctx ends.
func (b *batcher) run(ctx context.Context) {
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		duration, hasWork := b.step(time.Now())
		if !hasWork {
			select {
			case <-b.wake:
			case <-ctx.Done():
			}
			next = time.Now()
			continue
		}
		next = next.Add(duration)
		if lag := time.Since(next); lag > maxScheduleLag {
			next = time.Now()
		}
		timer.Reset(time.Until(next))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		b.finishStep(duration)
	}
}

// step admits requests and returns the duration of the next step, or false if
// the batch is empty or frozen.
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
		seq := b.waiting[0]
		promptTokens := seq.remainingPrefill
		if len(b.running) > 0 && b.kvTokens+promptTokens > b.opts.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, seq)
		seq.kvTokens = promptTokens
		b.kvTokens += promptTokens
		cached := min(b.cache.lookupAndStore(b.prompts[seq], now), seq.remainingPrefill)
		seq.remainingPrefill -= cached
		delete(b.prompts, seq)
		b.maxRunning = max(b.maxRunning, len(b.running))
		b.ledger.setAdmitted(seq.record, now, len(b.running), cached)
	}
}

// stepTime returns the duration of the next step. It is constant up to Knee
// concurrent sequences and grows with the exponent Growth beyond that. Each
// prompt token processed in the step adds PrefillPerToken.
func (b *batcher) stepTime() time.Duration {
	load := float64(len(b.running)) / float64(b.opts.Knee)
	factor := 1.0
	if load > 1 {
		factor = math.Pow(load, b.opts.Growth)
	}
	d := float64(b.opts.StepTime) * factor
	d += float64(b.nextPrefillTokens()) * float64(b.opts.PrefillPerToken)
	return time.Duration(d / b.speed)
}

// nextPrefillTokens returns the number of prompt tokens processed in the next step.
func (b *batcher) nextPrefillTokens() int {
	n := 0
	for _, seq := range b.running {
		n += seq.remainingPrefill
	}
	return min(n, b.opts.PrefillChunk)
}

// finishStep generates the step's tokens and removes completed sequences.
func (b *batcher) finishStep(duration time.Duration) {
	crash := false
	b.mu.Lock()
	b.steps++
	b.busyTime += duration
	budget := b.opts.PrefillChunk
	kept := b.running[:0]
	for _, seq := range b.running {
		crash = crash || seq.crash
		if b.advance(seq, &budget) {
			b.ledger.setOutcome(seq.record, outcomeFinished, time.Now())
			b.release(seq)
			continue
		}
		kept = append(kept, seq)
	}
	clear(b.running[len(kept):])
	b.running = kept
	b.mu.Unlock()
	if crash {
		b.onCrash()
	}
}

// advance processes prompt tokens within the budget, or generates one token.
// It reports whether the sequence is complete.
func (b *batcher) advance(seq *sequence, budget *int) bool {
	if seq.remainingPrefill > 0 {
		processed := min(seq.remainingPrefill, *budget)
		seq.remainingPrefill -= processed
		*budget -= processed
		return false
	}
	if seq.stuck || seq.crash {
		return false
	}
	if seq.isComplete() {
		return true
	}
	b.kvTokens++
	seq.emitToken()
	return seq.isComplete()
}

// updateLoad measures the load to be reported.
func (b *batcher) updateLoad(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load = Load{
		Running: len(b.running), Waiting: len(b.waiting), Slots: b.opts.Slots,
		KVUsed: float64(b.kvTokens) / float64(b.opts.KVTokens), AtMS: now.UnixMilli(),
	}
}

// report returns the last measured load.
func (b *batcher) report() Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load
}

func removeSequence(list []*sequence, seq *sequence) []*sequence {
	for i, other := range list {
		if other == seq {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
