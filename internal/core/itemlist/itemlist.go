// Package itemlist implements the list of results of one bulk job. Segments
// assign the positions: they are created in the store one after the other, each
// on condition that its number does not exist. A host that creates a segment has
// read all earlier ones, so an item cannot get two positions when several hosts
// work on a job. The package performs no I/O.
package itemlist

// State is the final state of an item.
type State string

// States of listed items.
const (
	Completed  State = "completed"
	DeadLetter State = "dead_letter" // given up
)

// Result is one listed item.
type Result struct {
	ID     string `json:"id"`
	State  State  `json:"state"`
	Output string `json:"output"`
}

// Segment is a range of positions that one write assigns.
type Segment struct {
	Number  int      `json:"number"`
	From    int      `json:"from"` // position of the first result
	Results []Result `json:"results"`
}

// List holds the results of one job as far as this host has read them, and the
// ones it has still to write.
type List struct {
	total        int
	results      []Result
	listedIDs    map[string]bool
	segmentCount int
	pending      []Result // in no known segment
	pendingIDs   map[string]bool
	proposed     *Segment // returned by Next, not known to be written
}

// New returns the list of a job with total items.
func New(total int) *List {
	return &List{total: total, listedIDs: map[string]bool{}, pendingIDs: map[string]bool{}}
}

// Total returns the number of the job's items.
func (l *List) Total() int { return l.total }

// Len returns the number of listed items.
func (l *List) Len() int { return len(l.results) }

// Complete reports whether all items are listed.
func (l *List) Complete() bool { return len(l.results) >= l.total }

// Segments returns the number of known segments, which is the number of the next
// one.
func (l *List) Segments() int { return l.segmentCount }

// From returns the listed results from position after on.
func (l *List) From(after int) []Result {
	if after < 0 || after >= len(l.results) {
		return nil
	}
	return l.results[after:]
}

// Listed reports whether an item has a position.
func (l *List) Listed(id string) bool { return l.listedIDs[id] }

// Ended reports whether an item is listed or pending.
func (l *List) Ended(id string) bool { return l.listedIDs[id] || l.pendingIDs[id] }

// Add adds the result of an item to the pending ones. It reports false when the
// item has ended already.
func (l *List) Add(r Result) bool {
	if l.Ended(r.ID) {
		return false
	}
	l.pending = append(l.pending, r)
	l.pendingIDs[r.ID] = true
	return true
}

// Pending returns the number of results without a position.
func (l *List) Pending() int { return len(l.pending) }

// PendingBytes returns the size of the outputs of the pending results.
func (l *List) PendingBytes() int {
	n := 0
	for _, r := range l.pending {
		n += len(r.Output)
	}
	return n
}

// NextSegment returns the next segment to create, or nil when no result is pending. Its
// outputs take at most maxBytes as JSON unless it has a single result. Until ApplySegment is
// called with a segment of that number, NextSegment returns the same one, because an
// earlier write of it may still take effect.
func (l *List) NextSegment(maxBytes int) *Segment {
	if l.proposed != nil {
		return l.proposed
	}
	if len(l.pending) == 0 {
		return nil
	}
	n, size := 0, 0
	for ; n < len(l.pending); n++ {
		if size += EncodedSize(l.pending[n].Output); n > 0 && size > maxBytes {
			break
		}
	}
	l.proposed = &Segment{Number: l.segmentCount, From: len(l.results), Results: append([]Result(nil), l.pending[:n]...)}
	return l.proposed
}

// ApplySegment adds the segment that the store holds under the next number, written by
// this host or by another. It reports false for any other number.
func (l *List) ApplySegment(s Segment) bool {
	if s.Number != l.segmentCount {
		return false
	}
	l.segmentCount++
	l.proposed = nil
	for _, r := range s.Results {
		l.results = append(l.results, r)
		l.listedIDs[r.ID] = true
	}
	kept := l.pending[:0]
	for _, r := range l.pending {
		if l.listedIDs[r.ID] {
			delete(l.pendingIDs, r.ID)
		} else {
			kept = append(kept, r)
		}
	}
	l.pending = kept
	return true
}
