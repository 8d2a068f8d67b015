package schedule

import (
	"testing"

	"github.com/matryer/is"
)

// A panic in the choice of a server, which a host outlives, must not take workspaces or
// items out of the queue: they would wait for ever.
func TestQueueKeepsItemsAfterPanic(t *testing.T) {
	for name, items := range map[string][]Item{
		"workspaces": {{ID: 1, Workspace: "a", Cost: 1}, {ID: 2, Workspace: "b", Cost: 1}, {ID: 3, Workspace: "c", Cost: 1}},
		"items":      {{ID: 1, Workspace: "a", Cost: 1}, {ID: 2, Workspace: "a", Cost: 1}, {ID: 3, Workspace: "a", Cost: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			q := NewQueue()
			for _, it := range items {
				is.True(q.Push(it, 0))
			}
			func() {
				defer func() { is.True(recover() != nil) }()
				q.Pop(Online, func(it Item) bool {
					if it.ID == 3 {
						panic("a fault in the choice of a server")
					}
					return false
				})
			}()
			got := map[uint64]bool{}
			for range items {
				if it, ok := q.Pop(Online, func(Item) bool { return true }); ok {
					got[it.ID] = true
				}
			}
			is.Equal(len(got), len(items))
		})
	}
}
