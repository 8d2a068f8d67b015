package schedule

import "cmp"

// nodeHeap orders the items of one workspace by compareNodes.
type nodeHeap []*node

func (h nodeHeap) Len() int { return len(h) }

func (h nodeHeap) Less(i, j int) bool { return compareNodes(h[i], h[j]) < 0 }

// compareNodes orders items by the time at which they are due in their lane, then by
// arrival. Items that are never due come last.
func compareNodes(x, y *node) int {
	dx, dy := x.due, y.due
	if dx.IsZero() != dy.IsZero() {
		if dy.IsZero() {
			return -1
		}
		return 1
	}
	return cmp.Or(dx.Compare(dy), cmp.Compare(x.seq, y.seq))
}

func (h nodeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *nodeHeap) Pop() any {
	old := *h
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return n
}

// flowHeap orders backlogged workspaces by virtual start time.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].workspace < h[j].workspace
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}
