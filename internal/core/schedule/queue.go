// Package schedule orders waiting requests and divides the servers' slots. It
// performs no I/O and reads no clock.
//
// Queue is a start-time fair queue over workspaces with deadline order inside
// a workspace. Division computes the entitlement of workspaces and each
// host's part of the slots from the published demand of all hosts.
package schedule

import (
	"container/heap"
	"time"
)

// Class separates online requests from batch items.
type Class int

// Classes in order of precedence.
const (
	Online Class = iota
	Batch
	classes
)

// Item is one waiting request.
type Item struct {
	ID        uint64
	Workspace string
	Class     Class
	Cost      float64   // estimated tokens, > 0
	Deadline  time.Time // zero means none
	// Weight is the workspace's weight when it has no queue yet; 0 means 1.
	Weight float64
}

// node is an item's place in its workspace's queue.
type node struct {
	item  Item
	seq   uint64
	flow  *flow
	index int
}

// flow is the queue of one workspace and class.
type flow struct {
	workspace string
	class     Class
	weight    float64
	start     float64 // virtual start time of the next item
	items     nodeHeap
	waiting   float64 // tokens
	index     int     // in its class's heap, -1 while empty
}

// lane is the flows of one class.
type lane struct {
	flows   map[string]*flow
	backlog flowHeap
	virtual float64
	length  int
}

// Queue holds the waiting requests of one pool at one host. It is not safe
// for concurrent use.
type Queue struct {
	lanes [classes]lane
	nodes map[uint64]*node
	seq   uint64
	skip  []*flow // scratch of Pop
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{nodes: map[uint64]*node{}}
	for i := range q.lanes {
		q.lanes[i].flows = map[string]*flow{}
	}
	return q
}

// defaultWeight applies to workspaces without a configured weight.
const defaultWeight = 1

func (q *Queue) flow(class Class, workspace string, weight float64) *flow {
	l := &q.lanes[class]
	f, ok := l.flows[workspace]
	if !ok {
		if weight <= 0 {
			weight = defaultWeight
		}
		f = &flow{workspace: workspace, class: class, weight: weight, index: -1}
		l.flows[workspace] = f
	}
	return f
}

// SetWeight sets the workspace's local weight in a class. Weights that are
// not positive count as a very small weight, so that no flow starves.
func (q *Queue) SetWeight(class Class, workspace string, weight float64) {
	weight = max(weight, minWeight)
	q.flow(class, workspace, weight).weight = weight
}

// minWeight keeps virtual times finite.
const minWeight = 1e-6

// Push adds an item unless the workspace has limit items waiting already in
// its class; limit 0 means no bound.
func (q *Queue) Push(it Item, limit int) bool {
	f := q.flow(it.Class, it.Workspace, it.Weight)
	if limit > 0 && len(f.items) >= limit {
		return false
	}
	l := &q.lanes[it.Class]
	n := &node{item: it, seq: q.seq, flow: f}
	q.seq++
	q.nodes[it.ID] = n
	heap.Push(&f.items, n)
	f.waiting += it.Cost
	l.length++
	if f.index < 0 {
		f.start = max(f.start, l.virtual)
		heap.Push(&l.backlog, f)
	}
	return true
}

// flowTries and itemTries bound how many items Pop offers to fits, so that
// its cost does not grow with the queue.
const (
	flowTries = 32
	itemTries = 4
)

// Pop removes and returns the next item of the class for which fits is true.
// Workspaces are tried in order of their virtual start time, and the items of
// one by deadline.
func (q *Queue) Pop(class Class, fits func(Item) bool) (Item, bool) {
	l := &q.lanes[class]
	q.skip = q.skip[:0]
	var found *node
	for len(l.backlog) > 0 && len(q.skip) < flowTries {
		f := l.backlog[0]
		if found = f.first(fits); found != nil {
			break
		}
		heap.Pop(&l.backlog)
		q.skip = append(q.skip, f)
	}
	for _, f := range q.skip {
		heap.Push(&l.backlog, f)
	}
	if found == nil {
		return Item{}, false
	}
	f := found.flow
	l.virtual = max(l.virtual, f.start)
	f.start += found.item.Cost / f.weight
	q.remove(found)
	return found.item, true
}

// first returns the earliest-deadline item that fits, among the first few.
func (f *flow) first(fits func(Item) bool) *node {
	if fits(f.items[0].item) {
		return f.items[0]
	}
	if len(f.items) == 1 {
		return nil
	}
	var held []*node
	var found *node
	for len(f.items) > 0 && len(held) < itemTries {
		n := heap.Pop(&f.items).(*node)
		held = append(held, n)
		if len(held) > 1 && fits(n.item) {
			found = n
			break
		}
	}
	for _, n := range held {
		heap.Push(&f.items, n)
	}
	return found
}

// remove takes a node out of its flow and the flow out of the backlog when it
// becomes empty; otherwise it restores the order of the backlog.
func (q *Queue) remove(n *node) {
	f := n.flow
	l := &q.lanes[f.class]
	heap.Remove(&f.items, n.index)
	delete(q.nodes, n.item.ID)
	f.waiting = max(0, f.waiting-n.item.Cost)
	l.length--
	if len(f.items) == 0 {
		f.waiting = 0
		heap.Remove(&l.backlog, f.index)
		return
	}
	heap.Fix(&l.backlog, f.index)
}

// Remove takes out a waiting item. It reports false when it is not waiting.
func (q *Queue) Remove(id uint64) bool {
	n, ok := q.nodes[id]
	if ok {
		q.remove(n)
	}
	return ok
}

// Correct charges the workspace the difference between the actual and the
// estimated cost of an item that was popped earlier. A negative difference is
// a refund.
func (q *Queue) Correct(class Class, workspace string, difference float64) {
	l := &q.lanes[class]
	f, ok := l.flows[workspace]
	if !ok {
		return
	}
	f.start = max(0, f.start+difference/f.weight)
	if f.index >= 0 {
		f.start = max(f.start, l.virtual)
		heap.Fix(&l.backlog, f.index)
	}
}

// Len returns the number of waiting items of a class.
func (q *Queue) Len(class Class) int { return q.lanes[class].length }

// Backlog is the waiting work of one workspace and class.
type Backlog struct {
	Workspace string
	Class     Class
	Items     int
	Tokens    float64
}

// Backlogs calls yield for each workspace and class with waiting items.
func (q *Queue) Backlogs(yield func(Backlog)) {
	for class := range q.lanes {
		for _, f := range q.lanes[class].backlog {
			yield(Backlog{f.workspace, Class(class), len(f.items), f.waiting})
		}
	}
}

// Prune forgets idle workspaces whose virtual time is not ahead, so that the
// queue does not grow with the number of workspaces ever seen.
func (q *Queue) Prune() {
	for class := range q.lanes {
		l := &q.lanes[class]
		for name, f := range l.flows {
			if f.index < 0 && f.start <= l.virtual {
				delete(l.flows, name)
			}
		}
	}
}
