package orders

import (
	"fmt"
	"testing"
)

// BenchmarkPlan measures one Plan when every server has one order and none is
// pending.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{100, 1000, 11_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			var entries []Entry
			targets := map[string]Target{}
			for i := range n {
				name := fmt.Sprintf("s%05d", i)
				targets[name] = Target{Address: name, Fencing: i%2 == 0}
				e := Entry{Order: Order{Server: name, Kind: LoadModel, Model: "a"}, Generation: 1}
				entries = append(entries, e.Confirm(e, 1))
			}
			all := func(bool) bool { return true }
			p := NewProgress()
			b.ReportAllocs()
			for b.Loop() {
				if len(Plan(start, entries, targets, p, all)) != 0 {
					b.Fatal("a confirmed order is planned again")
				}
			}
		})
	}
}
