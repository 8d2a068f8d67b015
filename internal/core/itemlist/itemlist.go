// Package itemlist is the list of results of one bulk job. Positions are
// given by segments that are created in the store one after the other, each
// under the condition that it does not exist. Whoever creates the next segment
// has seen all earlier ones, so an item cannot stand at two positions, whoever
// else works on the job. The package performs no I/O.
package itemlist

// State is the end of an item.
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

// Segment is a run of positions that was listed with one write.
type Segment struct {
	Number  int      `json:"number"`
	From    int      `json:"from"` // position of the first result
	Results []Result `json:"results"`
}

// List is the results of one job as far as this host knows them.
type List struct {
	total    int
	results  []Result
	listed   map[string]bool
	segments int
	pending  []Result // ended, not in any segment yet
	waiting  map[string]bool
	open     *Segment // offered to the store, outcome unknown
}

// New returns the list of a job with total items.
func New(total int) *List {
	return &List{total: total, listed: map[string]bool{}, waiting: map[string]bool{}}
}

// Total returns the number of the job's items.
func (l *List) Total() int { return l.total }

// Len returns the number of listed items.
func (l *List) Len() int { return len(l.results) }

// Complete reports whether all items are listed.
func (l *List) Complete() bool { return len(l.results) >= l.total }

// Segments returns the number of known segments, which is the next number.
func (l *List) Segments() int { return l.segments }

// From returns the listed results at positions after onward.
func (l *List) From(after int) []Result {
	if after < 0 || after >= len(l.results) {
		return nil
	}
	return l.results[after:]
}

// Listed reports whether an item has a position.
func (l *List) Listed(id string) bool { return l.listed[id] }

// Ended reports whether an item is listed or waits for its position.
func (l *List) Ended(id string) bool { return l.listed[id] || l.waiting[id] }

// Add notes the end of an item. It reports false when the item had ended.
func (l *List) Add(r Result) bool {
	if l.Ended(r.ID) {
		return false
	}
	l.pending = append(l.pending, r)
	l.waiting[r.ID] = true
	return true
}

// Pending returns the number of ended items without a position.
func (l *List) Pending() int { return len(l.pending) }

// PendingBytes returns the size of the outputs without a position.
func (l *List) PendingBytes() int {
	n := 0
	for _, r := range l.pending {
		n += len(r.Output)
	}
	return n
}

// Next returns the next segment to create, nil when nothing waits. Until its
// outcome is known by Apply, the same segment is returned again: an earlier
// write of it may still take effect.
func (l *List) Next(maxBytes int) *Segment {
	if l.open != nil {
		return l.open
	}
	if len(l.pending) == 0 {
		return nil
	}
	n, size := 0, 0
	for n < len(l.pending) && (n == 0 || size+len(l.pending[n].Output) <= maxBytes) {
		size += len(l.pending[n].Output)
		n++
	}
	l.open = &Segment{Number: l.segments, From: len(l.results), Results: append([]Result(nil), l.pending[:n]...)}
	return l.open
}

// Apply takes over the segment that the store holds under the next number,
// written by this host or by another. It reports false for another number.
func (l *List) Apply(s Segment) bool {
	if s.Number != l.segments {
		return false
	}
	l.segments++
	l.open = nil
	for _, r := range s.Results {
		l.results = append(l.results, r)
		l.listed[r.ID] = true
	}
	kept := l.pending[:0]
	for _, r := range l.pending {
		if l.listed[r.ID] {
			delete(l.waiting, r.ID)
		} else {
			kept = append(kept, r)
		}
	}
	l.pending = kept
	return true
}
