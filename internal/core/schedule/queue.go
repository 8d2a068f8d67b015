// Package schedule orders waiting requests and divides the servers' slots among
// the hosts. It performs no I/O and reads no clock.
//
// Queue is a start-time fair queue over workspaces with deadline order within a
// workspace. Items of a class wait in lanes: those that can be on time before those
// that can't, and urgent ranks before others. Divide computes the entitlements of the workspaces and each host's
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
	// Rank is the urgency of the item within its class, 0 the most urgent.
	Rank int
	// OnTimeStart is the latest start with which an online item is answered within its
	// objective; zero means that its order follows from its deadline alone.
	OnTimeStart time.Time
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
	due       time.Time // when the item has to start, by the lane that it waits in
	seq       uint64
	flow      *flow
	heapIndex int
}

// flow is the queue of one workspace in one lane.
type flow struct {
	workspace     string
	lane          *lane
	weight        float64
	virtualStart  float64 // virtual start time of the next item
	items         nodeHeap
	waitingTokens float64
	heapIndex     int // in its lane's heap, -1 while empty
}

// Queue holds the waiting requests of one pool at one host. It is not safe
// for concurrent use.
type Queue struct {
	lanes   [classCount]lanes
	nodes   map[uint64]*node
	seq     uint64
	skipped []*flow // reused by Pop
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{nodes: map[uint64]*node{}}
}

// defaultWeight applies to workspaces without a configured weight.
const defaultWeight = 1

// SetWeight sets the workspace's local weight in a class. Weights below minWeight
// count as minWeight, so that no flow starves.
func (q *Queue) SetWeight(class Class, workspace string, weight float64) {
	weight = max(weight, minWeight)
	q.lanes[class].at(laneKey{}).flow(workspace, weight)
	for _, l := range q.lanes[class].list {
		if f, ok := l.flows[workspace]; ok {
			f.weight = weight
		}
	}
}

// minWeight is the smallest weight; it keeps virtual times finite.
const minWeight = 1e-6

// Push adds an item unless the workspace has limit items waiting already in
// its class; limit 0 means no bound.
func (q *Queue) Push(it Item, limit int) bool {
	lanes := &q.lanes[it.Class]
	if limit > 0 && lanes.waitingOf(it.Workspace) >= limit {
		return false
	}
	l := lanes.at(laneKey{rank: it.Rank})
	f := l.flow(it.Workspace, lanes.weight(it.Workspace, it.Weight))
	n := &node{item: it, seq: q.seq}
	q.seq++
	q.nodes[it.ID] = n
	f.add(n)
	return true
}

// DemoteOverdue moves the batch items that can no longer end in time to the class
// Overdue, so that they do not delay those that can.
func (q *Queue) DemoteOverdue(now time.Time) {
	var overdue []Item
	for _, l := range q.lanes[Batch].list {
		for _, f := range l.backlog {
			for _, n := range f.items {
				if it := n.item; !it.LatestStart.IsZero() && it.LatestStart.Before(now) {
					overdue = append(overdue, it)
				}
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
// Lanes are tried in their order, the workspaces of one in order of their virtual
// start time, and the items of one by deadline.
func (q *Queue) Pop(class Class, fits func(Item) bool) (Item, bool) {
	lanes := &q.lanes[class]
	tried := 0
	for _, l := range lanes.order() {
		found := q.firstFitting(l, &tried, fits)
		if found == nil {
			continue
		}
		f := found.flow
		l.virtualTime = max(l.virtualTime, f.virtualStart)
		f.virtualStart += found.item.Cost / f.weight
		q.remove(found)
		lanes.granted(l)
		return found.item, true
	}
	return Item{}, false
}

// firstFitting returns the first item of the lane that fits, or nil, until
// maxFlowsTried workspaces were tried. The workspaces remain in the backlog, also after
// a panic of fits.
func (q *Queue) firstFitting(l *lane, tried *int, fits func(Item) bool) *node {
	q.skipped = q.skipped[:0]
	defer func() {
		for _, f := range q.skipped {
			heap.Push(&l.backlog, f)
		}
	}()
	for len(l.backlog) > 0 && *tried < maxFlowsTried {
		f := l.backlog[0]
		if found := f.firstFitting(fits); found != nil {
			return found
		}
		*tried++
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
	delete(q.nodes, n.item.ID)
	n.flow.remove(n)
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
// estimated cost of an item of rank 0 that was popped earlier. A negative difference
// is a refund.
func (q *Queue) CorrectCost(class Class, workspace string, difference float64) {
	l := q.lanes[class].at(laneKey{})
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
func (q *Queue) Len(class Class) int {
	n := 0
	for _, l := range q.lanes[class].list {
		n += l.length
	}
	return n
}

// Backlog describes the waiting items of one workspace and class.
type Backlog struct {
	Workspace string
	Class     Class
	Items     int
	Tokens    float64
}

// Backlogs calls yield for each workspace and lane with waiting items.
func (q *Queue) Backlogs(yield func(Backlog)) {
	for class := range q.lanes {
		for _, l := range q.lanes[class].list {
			for _, f := range l.backlog {
				yield(Backlog{f.workspace, Class(class), len(f.items), f.waitingTokens})
			}
		}
	}
}

// Prune removes idle workspaces whose virtual start time is not ahead of their lane,
// and lanes without workspaces, so that memory does not grow with the number of
// workspaces and ranks ever seen.
func (q *Queue) Prune() {
	for class := range q.lanes {
		for _, l := range q.lanes[class].list {
			for name, f := range l.flows {
				if f.heapIndex < 0 && f.virtualStart <= l.virtualTime {
					delete(l.flows, name)
				}
			}
		}
		q.lanes[class].prune()
	}
}
