package batch

import (
	"encoding/json"
	"fmt"
	"testing"
)

// Measures one chunk of 500 items from its claim to its end, with two commits,
// and the size of its progress object.
func BenchmarkChunk(b *testing.B) {
	const items = 500
	owner := Owner{Host: "host-007", Incarnation: "0d9f9c3e-0000-4000-8000-000000000000"}
	attempts := make([]byte, items)
	for i := range attempts {
		attempts[i] = 1
	}
	var halves [2][]Outcome
	for i := range items {
		halves[i*2/items] = append(halves[i*2/items], Outcome{Item: i})
	}
	var raw []byte
	b.ReportAllocs()
	for b.Loop() {
		c, err := NewChunk(1, items).Claim(owner)
		if err != nil {
			b.Fatal(err)
		}
		for i, outcomes := range halves {
			u := Commit{
				Epoch: c.Epoch, Owner: owner, Outcomes: outcomes, Attempts: attempts,
				Segments: []SegmentRef{{Epoch: c.Epoch, Number: i, Output: 100_000}},
			}
			if c, err = c.Apply(u); err != nil {
				b.Fatal(err)
			}
			raw, _ = json.Marshal(c)
		}
		if !c.Finished() {
			b.Fatal("chunk not finished")
		}
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}

// Measures the first assignment of a job of 200,000 items in 400 chunks, and the
// update when one host leaves.
func BenchmarkAssignment(b *testing.B) {
	for _, n := range []int{8, 32, 128, 420} {
		hosts := make([]Host, n)
		for i := range hosts {
			hosts[i] = Host{Name: fmt.Sprintf("host-%03d", i), Size: 1}
		}
		b.Run(fmt.Sprintf("first/hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				NewAssignment("batch-1", 400).Update(hosts)
			}
		})
		b.Run(fmt.Sprintf("leave/hosts=%d", n), func(b *testing.B) {
			a := NewAssignment("batch-1", 400)
			b.ReportAllocs()
			for b.Loop() {
				a.Update(hosts)
				a.Update(hosts[1:])
			}
		})
	}
}
