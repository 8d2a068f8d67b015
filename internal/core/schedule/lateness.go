package schedule

import (
	"container/heap"
	"slices"
	"time"
)

// laneKey says when a lane's items are served. Items that can still be on time go before
// those that can't, whose callers have lost most of what the answer was worth to them.
type laneKey struct {
	late bool
	rank int
}

func (k laneKey) before(other laneKey) bool {
	if k.late != other.late {
		return other.late
	}
	return k.rank < other.rank
}

// lane holds the waiting items of one class that are served alike.
type lane struct {
	key         laneKey
	flows       map[string]*flow
	backlog     flowHeap
	virtualTime float64
	length      int
	credit      float64 // grants that the lane is owed because it stood behind others
}

// lanes holds the lanes of one class in the order of their keys.
type lanes struct {
	list    []*lane
	ordered []*lane // reused by order
}

// behindShare is the number of grants that the lanes behind others get for each grant to
// one of those, so that none starves. The lanes behind divide it evenly.
const behindShare = 0.1

// at returns the lane with a key.
func (ls *lanes) at(key laneKey) *lane {
	i, found := slices.BinarySearchFunc(ls.list, key, func(l *lane, key laneKey) int {
		switch {
		case l.key == key:
			return 0
		case l.key.before(key):
			return -1
		}
		return 1
	})
	if !found {
		ls.list = slices.Insert(ls.list, i, &lane{key: key, flows: map[string]*flow{}})
	}
	return ls.list[i]
}

// order returns the lanes with waiting items in the order in which they are tried: those
// that are owed a grant, then by key.
func (ls *lanes) order() []*lane {
	ls.ordered = ls.ordered[:0]
	for _, owed := range []bool{true, false} {
		for _, l := range ls.list {
			if l.length > 0 && l.credit >= 1 == owed {
				ls.ordered = append(ls.ordered, l)
			}
		}
	}
	return ls.ordered
}

// granted counts the grant of an item of a lane.
func (ls *lanes) granted(to *lane) {
	to.credit = max(0, to.credit-1)
	var behind []*lane
	for _, l := range ls.list {
		switch {
		case l.length == 0:
			l.credit = 0
		case to.key.before(l.key):
			behind = append(behind, l)
		}
	}
	for _, l := range behind {
		l.credit += behindShare / float64(len(behind))
	}
}

// weight returns the workspace's weight, which is that of its other flows, if it has any.
func (ls *lanes) weight(workspace string, given float64) float64 {
	for _, l := range ls.list {
		if f, ok := l.flows[workspace]; ok {
			return f.weight
		}
	}
	if given <= 0 {
		return defaultWeight
	}
	return given
}

// waitingOf returns the number of waiting items of a workspace.
func (ls *lanes) waitingOf(workspace string) int {
	n := 0
	for _, l := range ls.list {
		if f, ok := l.flows[workspace]; ok {
			n += len(f.items)
		}
	}
	return n
}

func (ls *lanes) prune() {
	ls.list = slices.DeleteFunc(ls.list, func(l *lane) bool { return len(l.flows) == 0 })
}

// flow returns the lane's queue of a workspace, which gets the weight if it is new.
func (l *lane) flow(workspace string, weight float64) *flow {
	f, ok := l.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace, lane: l, weight: weight, heapIndex: -1}
		l.flows[workspace] = f
	}
	return f
}

// add adds an item, and the flow to the backlog if it was empty.
func (f *flow) add(n *node) {
	l := f.lane
	n.flow, n.due = f, n.item.dueIn(l.key)
	heap.Push(&f.items, n)
	f.waitingTokens += n.item.Cost
	l.length++
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, l.virtualTime)
		heap.Push(&l.backlog, f)
	}
}

// remove removes an item, and the flow from the backlog if it becomes empty.
func (f *flow) remove(n *node) {
	l := f.lane
	heap.Remove(&f.items, n.heapIndex)
	f.waitingTokens = max(0, f.waitingTokens-n.item.Cost)
	l.length--
	if len(f.items) == 0 {
		f.waitingTokens = 0
		heap.Remove(&l.backlog, f.heapIndex)
		return
	}
	heap.Fix(&l.backlog, f.heapIndex)
}

// dueIn returns when the item has to start for the sake of which it waits in a lane.
func (it Item) dueIn(key laneKey) time.Time {
	if !key.late && !it.OnTimeStart.IsZero() {
		return it.OnTimeStart
	}
	return it.Deadline
}

// DemoteLate moves the online items that can no longer be on time behind those that can,
// and returns their number.
func (q *Queue) DemoteLate(now time.Time) int {
	lanes := &q.lanes[Online]
	var late []*node
	for _, l := range lanes.list {
		if l.key.late {
			continue
		}
		for _, f := range l.backlog {
			late = f.items.appendLate(late, 0, now)
		}
	}
	for _, n := range late {
		n.flow.remove(n)
		it := n.item
		lanes.at(laneKey{late: true, rank: it.Rank}).flow(it.Workspace, lanes.weight(it.Workspace, it.Weight)).add(n)
	}
	return len(late)
}

// appendLate appends the items below one of the heap that are late. An item is due before
// those below it, so that the cost follows from the number of late ones.
func (h nodeHeap) appendLate(late []*node, at int, now time.Time) []*node {
	if at >= len(h) || !h[at].due.Before(now) {
		return late
	}
	if !h[at].item.OnTimeStart.IsZero() {
		late = append(late, h[at])
	}
	return h.appendLate(h.appendLate(late, 2*at+1, now), 2*at+2, now)
}

// Ahead returns how many waiting online items are served before a new one: those of more
// urgent ranks that can be on time, and of its own rank those that its workspace's share
// lets go first. A new item that is late itself also waits for late ones, all of which
// count.
func (q *Queue) Ahead(it Item, late bool) int {
	lanes := &q.lanes[Online]
	ahead := 0
	for _, l := range lanes.list {
		switch {
		case l.key.rank > it.Rank || l.key.late && !late:
		case l.key.rank < it.Rank || late:
			ahead += l.length
		default:
			ahead += l.ahead(it, lanes.weight(it.Workspace, it.Weight))
		}
	}
	return ahead
}

// ahead counts the items of the lane that are served before a new one. All of its own
// workspace count, since those that are due later may have been overtaken before.
func (l *lane) ahead(it Item, weight float64) int {
	own := 0
	if f, ok := l.flows[it.Workspace]; ok {
		own = len(f.items)
	}
	ahead := own
	for _, f := range l.backlog {
		if f.workspace != it.Workspace {
			ahead += min(len(f.items), int(float64(own+1)*f.weight/weight))
		}
	}
	return ahead
}

// LastBehind returns the online item that is served last among those of less urgent ranks
// than the given one for which may is true; false if there is none.
func (q *Queue) LastBehind(rank int, may func(id uint64) bool) (uint64, bool) {
	for _, l := range slices.Backward(q.lanes[Online].list) {
		if l.key.rank <= rank {
			continue
		}
		var last *node
		for _, f := range l.backlog {
			for _, n := range f.items {
				if may(n.item.ID) && (last == nil || compareNodes(last, n) < 0) {
					last = n
				}
			}
		}
		if last != nil {
			return last.item.ID, true
		}
	}
	return 0, false
}

// WaitAhead returns how long a new online item waits at a rate of grants per second.
func (q *Queue) WaitAhead(it Item, late bool, rate float64) time.Duration {
	if !late && q.Late() > 0 {
		rate /= 1 + behindShare
	}
	return time.Duration(float64(q.Ahead(it, late)) / rate * float64(time.Second))
}

// Late returns the number of waiting online items that can no longer be on time.
func (q *Queue) Late() int {
	n := 0
	for _, l := range q.lanes[Online].list {
		if l.key.late {
			n += l.length
		}
	}
	return n
}
