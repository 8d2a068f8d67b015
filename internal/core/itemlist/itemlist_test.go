package itemlist

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestItemHasOnePosition guards against an item at two positions, and a position
// that changes, when several hosts work on one job concurrently and writes take
// effect late.
func TestItemHasOnePosition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const items = 12
		store := map[int]Segment{} // created on condition that the number does not exist
		var late []Segment         // writes that have not reached the store yet
		hosts := []*List{New(items), New(items), New(items)}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			h := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			list := hosts[h]
			switch rapid.SampledFrom([]string{"end", "create", "late", "land", "read", "restart"}).Draw(t, "step") {
			case "end":
				id := fmt.Sprint("item", rapid.IntRange(0, items-1).Draw(t, "item"))
				list.Add(Result{ID: id, State: Completed, Output: fmt.Sprint("by", h)})
			case "create":
				if s := list.NextSegment(40); s != nil {
					if _, taken := store[s.Number]; !taken {
						store[s.Number] = *s
					}
					list.ApplySegment(store[s.Number])
				}
			case "late":
				if s := list.NextSegment(40); s != nil {
					late = append(late, *s)
				}
			case "land":
				if len(late) > 0 {
					if _, taken := store[late[0].Number]; !taken {
						store[late[0].Number] = late[0]
					}
					late = late[1:]
				}
			case "read":
				for {
					s, ok := store[list.Segments()]
					if !ok || !list.ApplySegment(s) {
						break
					}
				}
			case "restart":
				hosts[h] = New(items)
			}
		}
		seen := map[string]bool{}
		position := 0
		for n := 0; ; n++ {
			s, ok := store[n]
			if !ok {
				break
			}
			if s.From != position {
				t.Fatalf("segment %d begins at %d, want %d", n, s.From, position)
			}
			for _, r := range s.Results {
				if seen[r.ID] {
					t.Fatalf("item %s has two positions", r.ID)
				}
				seen[r.ID] = true
				position++
			}
		}
		for h, list := range hosts {
			for i, r := range list.From(0) {
				if at := resultAt(store, i); at != r {
					t.Fatalf("host %d has %v at position %d, the store has %v", h, r, i, at)
				}
			}
		}
	})
}

func resultAt(store map[int]Segment, position int) Result {
	for n := 0; ; n++ {
		s, ok := store[n]
		if !ok {
			return Result{}
		}
		if position < s.From+len(s.Results) {
			return s.Results[position-s.From]
		}
	}
}

// TestProposedSegmentIsRepeatedUnchanged guards against different contents under
// a number whose first write may still take effect.
func TestProposedSegmentIsRepeatedUnchanged(t *testing.T) {
	is := is.New(t)
	list := New(3)
	list.Add(Result{ID: "a", State: Completed})
	first := list.NextSegment(1 << 10)
	list.Add(Result{ID: "b", State: Completed})
	is.Equal(list.NextSegment(1<<10), first)
	is.True(list.ApplySegment(*first))
	is.Equal(list.NextSegment(1 << 10).Results[0].ID, "b")
	is.True(!list.ApplySegment(*first)) // a segment is applied only once
}

// TestSegmentSizeIsBounded guards against objects that exceed the store's size
// limit.
func TestSegmentSizeIsBounded(t *testing.T) {
	is := is.New(t)
	list := New(3)
	for _, id := range []string{"a", "b", "c"} {
		list.Add(Result{ID: id, State: Completed, Output: "0123456789"})
	}
	is.Equal(list.PendingBytes(), 30)
	is.Equal(len(list.NextSegment(20).Results), 2)
}
