package config

import (
	"fmt"
	"testing"
)

// snapshotOfSize returns a configuration with two keys per workspace and servers
// in the proportion of the design scale, 11,000 for 6,600 workspaces.
func snapshotOfSize(workspaces int) *Snapshot {
	s := EmptySnapshot()
	for i := range workspaces {
		name := fmt.Sprintf("w%04d", i)
		s.Workspaces[name] = Workspace{Name: name, Weight: 1, Rate: 10, Burst: 10, MaxQueue: 10}
		for j := range 2 {
			_, key, _ := NewKey(fmt.Appendf(nil, "%030d-%d", i, j), name, 1)
			s.Keys[key.ID] = key
		}
	}
	for i := range workspaces * 11_000 / 6600 {
		name := fmt.Sprintf("s%05d", i)
		s.Servers[name] = Server{Name: name, Pool: "lm", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Zone: "z1", Concurrency: 8, Speed: 1}
	}
	return s
}

// BenchmarkOneRowEdit measures the change of one row at the host that receives
// it: clone, validation and diff.
func BenchmarkOneRowEdit(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			s := snapshotOfSize(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				next := s.Clone()
				w := next.Workspaces["w0001"]
				w.Rate++
				next.Workspaces["w0001"] = w
				if err := next.Validate(); err != nil || len(Diff(s, next)) != 1 {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkKeyIndex measures building the key index, which every host does for
// each revision.
func BenchmarkKeyIndex(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			s := snapshotOfSize(workspaces)
			b.ReportAllocs()
			for b.Loop() {
				NewKeyIndex(s)
			}
		})
	}
}
