// Package schedule orders waiting requests and divides the servers' slots among
// the hosts. It performs no I/O and reads no clock.
//
// Queue is a start-time fair queue over workspaces with deadline order within a
// workspace. Divide computes the entitlements of the workspaces and each host's
// share of the slots from the published demand of all hosts.
package schedule

import (
	"container/heap"
	"slices"
	"time"
)

// Class separates online requests from batch items.
type Class int

// Classes in order of precedence.
const (
	Online Class = iota
	Batch
	Overdue // batch items whose LatestStart has passed, see DemoteOverdue
	classCount
)

// Item is one waiting request.
type Item struct {
	ID        uint64
	Workspace string
	Class     Class
	Cost      float64   // estimated tokens, > 0
	Deadline  time.Time // zero means none
	// LatestStart is when the item must start to end before its deadline; zero
	// means that it is never overdue.
	LatestStart time.Time
	// Needs identifies what the item needs to fit: items with the same needs fit or don't
	// fit alike. It is set for all items of a queue or for none.
	Needs string
	// Weight is the workspace's weight in case it has no queue yet; 0 means 1.
	Weight float64
}

// node is an item in its workspace's queue.
type node struct {
	item      Item
	seq       uint64
	flow      *flow
	heapIndex int
}

// flow is the queue of one workspace and class.
type flow struct {
	workspace     string
	class         Class
	weight        float64
	virtualStart  float64 // virtual start time of the next item
	items         nodeHeap
	waitingTokens float64
	heapIndex     int // in its class's heap, -1 while empty
}

// classQueue holds the flows of one class.
type classQueue struct {
	flows       map[string]*flow
	backlog     flowHeap
	virtualTime float64
	length      int
}

// Queue holds the waiting requests of one pool at one host. It is not safe
// for concurrent use.
type Queue struct {
	queues  [classCount]classQueue
	nodes   map[uint64]*node
	seq     uint64
	skipped []*flow // reused by Pop
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{nodes: map[uint64]*node{}}
	for i := range q.queues {
		q.queues[i].flows = map[string]*flow{}
	}
	return q
}

// defaultWeight applies to workspaces without a configured weight.
const defaultWeight = 1

func (q *Queue) flow(class Class, workspace string, weight float64) *flow {
	l := &q.queues[class]
	f, ok := l.flows[workspace]
	if !ok {
		if weight <= 0 {
			weight = defaultWeight
		}
		f = &flow{workspace: workspace, class: class, weight: weight, heapIndex: -1}
		l.flows[workspace] = f
	}
	return f
}

// SetWeight sets the workspace's local weight in a class. Weights below minWeight
// count as minWeight, so that no flow starves.
func (q *Queue) SetWeight(class Class, workspace string, weight float64) {
	weight = max(weight, minWeight)
	q.flow(class, workspace, weight).weight = weight
}

// minWeight is the smallest weight; it keeps virtual times finite.
const minWeight = 1e-6

// Push adds an item unless the workspace has limit items waiting already in
// its class; limit 0 means no bound.
func (q *Queue) Push(it Item, limit int) bool {
	f := q.flow(it.Class, it.Workspace, it.Weight)
	if limit > 0 && len(f.items) >= limit {
		return false
	}
	l := &q.queues[it.Class]
	n := &node{item: it, seq: q.seq, flow: f}
	q.seq++
	q.nodes[it.ID] = n
	heap.Push(&f.items, n)
	f.waitingTokens += it.Cost
	l.length++
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, l.virtualTime)
		heap.Push(&l.backlog, f)
	}
	return true
}

// DemoteOverdue moves the batch items that can no longer end in time to the class
// Overdue, so that they do not delay those that can.
func (q *Queue) DemoteOverdue(now time.Time) {
	var overdue []Item
	for _, f := range q.queues[Batch].backlog {
		for _, n := range f.items {
			if it := n.item; !it.LatestStart.IsZero() && it.LatestStart.Before(now) {
				overdue = append(overdue, it)
			}
		}
	}
	for _, it := range overdue {
		q.Remove(it.ID)
		it.Class = Overdue
		q.Push(it, 0)
	}
}

// maxFlowsTried and maxItemsTried bound how many workspaces, and items of each,
// Pop tests with fits, so that its cost does not grow with the queue. Of items whose
// needs are known, those with maxNeedsTried different ones are tested.
const (
	maxFlowsTried = 32
	maxItemsTried = 4
	maxNeedsTried = 16
)

// Pop removes and returns the next item of the class for which fits is true.
// Workspaces are tried in order of their virtual start time, and the items of
// one by deadline.
func (q *Queue) Pop(class Class, fits func(Item) bool) (Item, bool) {
	l := &q.queues[class]
	q.skipped = q.skipped[:0]
	found := q.firstFitting(l, fits)
	if found == nil {
		return Item{}, false
	}
	f := found.flow
	l.virtualTime = max(l.virtualTime, f.virtualStart)
	f.virtualStart += found.item.Cost / f.weight
	q.remove(found)
	return found.item, true
}

// firstFitting returns the first item that fits of the first maxFlowsTried workspaces, or
// nil. The workspaces remain in the backlog, also after a panic of fits.
func (q *Queue) firstFitting(l *classQueue, fits func(Item) bool) *node {
	defer func() {
		for _, f := range q.skipped {
			heap.Push(&l.backlog, f)
		}
	}()
	for len(l.backlog) > 0 && len(q.skipped) < maxFlowsTried {
		f := l.backlog[0]
		if found := f.firstFitting(fits); found != nil {
			return found
		}
		heap.Pop(&l.backlog)
		q.skipped = append(q.skipped, f)
	}
	return nil
}

// firstFitting returns the first of the maxItemsTried items with the earliest
// deadlines that fits, or nil.
func (f *flow) firstFitting(fits func(Item) bool) *node {
	if fits(f.items[0].item) {
		return f.items[0]
	}
	if len(f.items) == 1 {
		return nil
	}
	if needs := f.items[0].item.Needs; needs != "" {
		return f.firstOfOtherNeeds(needs, fits)
	}
	var held []*node
	defer func() { // also after a panic of fits
		for _, n := range held {
			heap.Push(&f.items, n)
		}
	}()
	for len(f.items) > 0 && len(held) < maxItemsTried {
		n := heap.Pop(&f.items).(*node)
		held = append(held, n)
		if len(held) > 1 && fits(n.item) {
			return n
		}
	}
	return nil
}

// firstOfOtherNeeds returns the item that fits with the earliest deadline among those
// with other needs than the first item, which doesn't fit, or nil. It tests one item
// for each need and looks at each item of the flow once.
func (f *flow) firstOfOtherNeeds(needs string, fits func(Item) bool) *node {
	var firsts []*node // of each need
	place := map[string]int{}
	for _, n := range f.items {
		if n.item.Needs == needs {
			continue
		}
		at, known := place[n.item.Needs]
		switch {
		case !known:
			place[n.item.Needs] = len(firsts)
			firsts = append(firsts, n)
		case compareNodes(n, firsts[at]) < 0:
			firsts[at] = n
		}
	}
	slices.SortFunc(firsts, compareNodes)
	for _, n := range firsts[:min(len(firsts), maxNeedsTried)] {
		if fits(n.item) {
			return n
		}
	}
	return nil
}

// remove removes a node from its flow, and the flow from the backlog when it
// becomes empty; otherwise it restores the order of the backlog.
func (q *Queue) remove(n *node) {
	f := n.flow
	l := &q.queues[f.class]
	heap.Remove(&f.items, n.heapIndex)
	delete(q.nodes, n.item.ID)
	f.waitingTokens = max(0, f.waitingTokens-n.item.Cost)
	l.length--
	if len(f.items) == 0 {
		f.waitingTokens = 0
		heap.Remove(&l.backlog, f.heapIndex)
		return
	}
	heap.Fix(&l.backlog, f.heapIndex)
}

// Remove removes a waiting item. It reports false when the item is not waiting.
func (q *Queue) Remove(id uint64) bool {
	n, ok := q.nodes[id]
	if ok {
		q.remove(n)
	}
	return ok
}

// CorrectCost charges the workspace the difference between the actual and the
// estimated cost of an item that was popped earlier. A negative difference is
// a refund.
func (q *Queue) CorrectCost(class Class, workspace string, difference float64) {
	l := &q.queues[class]
	f, ok := l.flows[workspace]
	if !ok {
		return
	}
	f.virtualStart = max(0, f.virtualStart+difference/f.weight)
	if f.heapIndex >= 0 {
		f.virtualStart = max(f.virtualStart, l.virtualTime)
		heap.Fix(&l.backlog, f.heapIndex)
	}
}

// Len returns the number of waiting items of a class.
func (q *Queue) Len(class Class) int { return q.queues[class].length }

// Backlog describes the waiting items of one workspace and class.
type Backlog struct {
	Workspace string
	Class     Class
	Items     int
	Tokens    float64
}

// Backlogs calls yield for each workspace and class with waiting items.
func (q *Queue) Backlogs(yield func(Backlog)) {
	for class := range q.queues {
		for _, f := range q.queues[class].backlog {
			yield(Backlog{f.workspace, Class(class), len(f.items), f.waitingTokens})
		}
	}
}

// Prune removes idle workspaces whose virtual start time is not ahead of their
// class, so that memory does not grow with the number of workspaces ever seen.
func (q *Queue) Prune() {
	for class := range q.queues {
		l := &q.queues[class]
		for name, f := range l.flows {
			if f.heapIndex < 0 && f.virtualStart <= l.virtualTime {
				delete(l.flows, name)
			}
		}
	}
}
