package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against items that are kept waiting by others of their workspace with other
// needs, and against a cost that grows with the number of items that wait.
func TestItemsWithOtherNeedsAreFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const needs = maxNeedsTried
		q := NewQueue()
		var want *Item // among those that fit
		free := map[string]bool{}
		for i := range needs {
			free[fmt.Sprint(i)] = rapid.IntRange(0, needs-1).Draw(t, "free") == 0
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "items")) {
			it := Item{
				ID: id, Workspace: "w", Cost: 1, Deadline: time.Unix(int64(rapid.IntRange(1, 40).Draw(t, "deadline")), 0),
				Needs: fmt.Sprint(rapid.IntRange(0, needs-1).Draw(t, "needs")),
			}
			q.Push(it, 0)
			if free[it.Needs] && (want == nil || it.Deadline.Before(want.Deadline)) {
				want = &it
			}
		}
		tested := 0
		got, ok := q.Pop(Online, func(it Item) bool {
			tested++
			return free[it.Needs]
		})
		is.Equal(ok, want != nil)
		if ok {
			is.Equal(got.ID, want.ID)
		}
		is.True(tested <= needs)
	})
}
