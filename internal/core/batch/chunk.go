// Package batch implements the rules of batch jobs: the progress of a chunk of
// items under claims with epochs, the states and counts of a job, the assignment
// of chunks to hosts, and the order in which chunks are claimed. It performs no
// I/O.
//
// A chunk's progress is one object that is only replaced by conditional
// updates. Methods return the new progress and leave the receiver unchanged, so
// a refused update has no effect.
package batch

import "github.com/cockroachdb/errors"

// Errors of chunk updates. Test for them with errors.Is.
var (
	// ErrStaleEpoch reports a commit of an owner that has been replaced.
	ErrStaleEpoch = errors.New("chunk has a newer epoch or another owner")
	// ErrFinished reports an update of a chunk that is done or sealed.
	ErrFinished = errors.New("chunk is finished")
	// ErrSecondResult reports a result for an item that already has one.
	ErrSecondResult = errors.New("item already has a result")
	// ErrSecondIntent reports a second intention to send the same item.
	ErrSecondIntent = errors.New("item already has an intention")
	// ErrItemRange reports an item number outside the chunk.
	ErrItemRange = errors.New("item number outside the chunk")
)

// ChunkState is the state of a chunk.
type ChunkState string

// Chunk states. Done and Sealed are final.
const (
	ChunkOpen   ChunkState = "open"
	ChunkDone   ChunkState = "done"
	ChunkSealed ChunkState = "cancelled"
)

// Owner identifies one process incarnation of a host. The zero value means that
// the chunk has no owner.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// SegmentRef names a committed segment and the sizes of its two parts in bytes.
type SegmentRef struct {
	Epoch  uint64 `json:"epoch"`
	Number int    `json:"number"` // within the chunk and epoch, from 0
	Output int64  `json:"output"`
	Errors int64  `json:"errors"`
}

// Chunk is the progress of one chunk of a job.
type Chunk struct {
	Index     int          `json:"index"`
	Items     int          `json:"items"`
	Epoch     uint64       `json:"epoch"` // fencing token, incremented by every claim and by sealing
	Owner     Owner        `json:"owner"`
	State     ChunkState   `json:"state"`
	Attempts  []byte       `json:"attempts,omitempty"` // attempts started, by item; nil when all are 0
	Results   Bitmap       `json:"results,omitempty"`  // items with a committed result
	Intended  Bitmap       `json:"intended,omitempty"` // non-idempotent items that may have been sent
	Completed int          `json:"completed"`          // results without failure
	Failed    int          `json:"failed"`             // results with a failure or unknown outcome
	Segments  []SegmentRef `json:"segments,omitempty"`
}

// Outcome is the final result of one item.
type Outcome struct {
	Item   int
	Failed bool
}

// Commit is an owner's update of its chunk.
type Commit struct {
	Epoch    uint64 // epoch under which the owner claimed the chunk
	Owner    Owner
	Outcomes []Outcome
	Attempts []byte // attempts started by item; nil keeps the recorded ones
	Intend   []int  // non-idempotent items about to be sent
	Withdraw []int  // intended items that the owner has not sent and will not send
	Segments []SegmentRef
	Release  bool // ends the ownership, so that another host may claim at once
	Seal     bool // the job is cancelled: no further result is accepted
}

// NewChunk returns the progress of a chunk that no host has claimed.
func NewChunk(index, items int) Chunk {
	return Chunk{Index: index, Items: items, State: ChunkOpen}
}

// Finished reports whether the chunk accepts no further update.
func (c Chunk) Finished() bool { return c.State != ChunkOpen }

// Claim gives the chunk to a new owner under the next epoch.
func (c Chunk) Claim(owner Owner) (Chunk, error) {
	if c.Finished() {
		return c, ErrFinished
	}
	c.Epoch++
	c.Owner = owner
	return c, nil
}

// Apply performs an owner's commit.
func (c Chunk) Apply(u Commit) (Chunk, error) {
	if c.Epoch != u.Epoch || c.Owner != u.Owner {
		return c, ErrStaleEpoch
	}
	if c.Finished() {
		return c, ErrFinished
	}
	next, err := c.withOutcomes(u.Outcomes)
	if err != nil {
		return c, err
	}
	if next, err = next.withIntentions(u.Intend); err != nil {
		return c, err
	}
	if next, err = next.withoutIntentions(u.Withdraw); err != nil {
		return c, err
	}
	if u.Attempts != nil {
		next.Attempts = next.attemptsWithoutResult(u.Attempts)
	}
	next.Segments = append(append([]SegmentRef(nil), c.Segments...), u.Segments...)
	return next.withEnd(u), nil
}

func (c Chunk) withOutcomes(outcomes []Outcome) (Chunk, error) {
	items := make([]int, 0, len(outcomes))
	seen := c.Results
	for _, o := range outcomes {
		if o.Item < 0 || o.Item >= c.Items {
			return c, ErrItemRange
		}
		items = append(items, o.Item)
		if o.Failed {
			c.Failed++
		} else {
			c.Completed++
		}
	}
	c.Results = seen.With(items...)
	if c.Results.Count() != seen.Count()+len(outcomes) {
		return c, ErrSecondResult
	}
	return c, nil
}

func (c Chunk) withIntentions(items []int) (Chunk, error) {
	for _, item := range items {
		if item < 0 || item >= c.Items {
			return c, ErrItemRange
		}
		if c.Intended.Has(item) {
			return c, ErrSecondIntent
		}
		if c.Results.Has(item) {
			return c, ErrSecondResult
		}
	}
	c.Intended = c.Intended.With(items...)
	return c, nil
}

func (c Chunk) withoutIntentions(items []int) (Chunk, error) {
	left := append(Bitmap(nil), c.Intended...)
	for _, item := range items {
		if !left.Has(item) {
			return c, ErrItemRange
		}
		left[item/8] &^= 1 << (item % 8)
	}
	c.Intended = left
	return c, nil
}

// attemptsWithoutResult returns the attempts with those of items that have a
// result set to 0, because a later owner doesn't need them. It returns nil when
// all are 0.
func (c Chunk) attemptsWithoutResult(attempts []byte) []byte {
	out := make([]byte, c.Items)
	used := false
	for item := range min(c.Items, len(attempts)) {
		if !c.Results.Has(item) {
			out[item] = attempts[item]
			used = used || attempts[item] > 0
		}
	}
	if !used {
		return nil
	}
	return out
}

// withEnd returns the chunk with its final state or without owner if the commit
// ends the chunk or its ownership.
func (c Chunk) withEnd(u Commit) Chunk {
	switch {
	case c.Completed+c.Failed == c.Items:
		c.State = ChunkDone
	case u.Seal:
		c.State = ChunkSealed
	case u.Release:
		c.Owner = Owner{}
	}
	if c.Finished() {
		c.Attempts, c.Intended = nil, nil
	}
	return c
}

// Seal ends an unfinished chunk of a cancelled job under the next epoch, so that
// later commits of its owner fail. It reports false when the chunk is finished
// already.
func (c Chunk) Seal() (Chunk, bool) {
	if c.Finished() {
		return c, false
	}
	c.Epoch++
	c.Owner = Owner{}
	c.State = ChunkSealed
	c.Attempts, c.Intended = nil, nil
	return c, true
}

// AttemptCount returns the number of attempts recorded for the item.
func (c Chunk) AttemptCount(item int) int {
	if item >= len(c.Attempts) {
		return 0
	}
	return int(c.Attempts[item])
}

// Unresolved returns the items with an intention but no result. Only the owner
// that recorded the intention may send the item, so for a new owner the outcome
// of these items is unknown.
func (c Chunk) Unresolved() []int {
	return c.itemsWithoutResult(func(item int) bool { return c.Intended.Has(item) })
}

// Exhausted returns the items without result that have no attempts left, except
// for those of Unresolved.
func (c Chunk) Exhausted(maxAttempts int) []int {
	return c.itemsWithoutResult(func(item int) bool { return !c.Intended.Has(item) && c.AttemptCount(item) >= maxAttempts })
}

// Pending returns the items without result or intention that have attempts left.
func (c Chunk) Pending(maxAttempts int) []int {
	return c.itemsWithoutResult(func(item int) bool { return !c.Intended.Has(item) && c.AttemptCount(item) < maxAttempts })
}

func (c Chunk) itemsWithoutResult(keep func(item int) bool) []int {
	var out []int
	for item := range c.Items {
		if !c.Results.Has(item) && keep(item) {
			out = append(out, item)
		}
	}
	return out
}

// NextSegment returns the number of the first segment of the epoch that is
// not committed. Segments of the epoch from this number on are garbage once
// the chunk has a later epoch or is finished.
func (c Chunk) NextSegment(epoch uint64) int {
	next := 0
	for _, s := range c.Segments {
		if s.Epoch == epoch {
			next = max(next, s.Number+1)
		}
	}
	return next
}

// CheckSuccessor reports why next cannot follow prev: a finished chunk never
// changes, epochs never decrease, and committed results never disappear.
func CheckSuccessor(prev, next Chunk) error {
	switch {
	case prev.Finished():
		return ErrFinished
	case next.Epoch < prev.Epoch:
		return ErrStaleEpoch
	case next.Epoch == prev.Epoch && next.Owner != prev.Owner && next.Owner != (Owner{}):
		return ErrStaleEpoch
	case !next.Results.Contains(prev.Results):
		return errors.New("a committed result disappeared")
	case next.Results.Count() != next.Completed+next.Failed:
		return ErrSecondResult
	case len(next.Segments) < len(prev.Segments):
		return errors.New("a committed segment disappeared")
	}
	return nil
}
