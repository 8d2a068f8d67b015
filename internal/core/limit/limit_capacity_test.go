package limit_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"ragwortstep/internal/core/limit"
)

// BenchmarkPlan measures Plan, which a host calls 20 times per second,
// PlanWaiting for one request that starts to wait, and Apply of a new epoch, with
// 420 hosts and one workspace in 6 active.
func BenchmarkPlan(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) { benchmarkPlan(b, workspaces) })
	}
}

func benchmarkPlan(b *testing.B, workspaces int) {
	var members []limit.Identity
	for i := range 420 {
		members = append(members, id(fmt.Sprint("host-", i)))
	}
	s := newState("host-7", limit.Lending)
	g := settledAt(1, limit.Limit{}, members...)
	for i := range workspaces {
		g.Limits[fmt.Sprint("w", i)] = limit.Limit{Rate: 10, Burst: 40}
	}
	now := time.Unix(1000, 0)
	s.Apply(now, g)
	for i := range workspaces / 6 {
		s.RecordDemand(now, fmt.Sprint("w", i), 1, false)
	}
	notBusy := func(limit.Identity) bool { return false }
	b.Run("all", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Plan(now, nil, notBusy)
		}
	})
	b.Run("waiting", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.PlanWaiting(now, map[string]limit.ClassTokens{"w7": {Online: 1}}, notBusy)
		}
	})
	b.Run("epoch", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g.Number.Epoch++
			g.Prior = [][]limit.Identity{g.Members}
			g.Members = slices.Delete(slices.Clone(members), int(g.Number.Epoch)%400, int(g.Number.Epoch)%400+1)
			s.Apply(now, g)
		}
	})
}

// BenchmarkMemory measures the heap of one host's limits with 420 hosts and one
// workspace in 6 active.
func BenchmarkMemory(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			var members []limit.Identity
			for i := range 420 {
				members = append(members, id(fmt.Sprint("host-", i)))
			}
			g := settledAt(1, limit.Limit{}, members...)
			for i := range workspaces {
				g.Limits[fmt.Sprint("w", i)] = limit.Limit{Rate: 10, Burst: 40}
			}
			now := time.Unix(1000, 0)
			var before, after runtime.MemStats
			var s *limit.State
			for b.Loop() {
				s = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				s = newState("host-7", limit.Lending)
				s.Apply(now, g)
				for i := range workspaces / 6 {
					s.RecordDemand(now, fmt.Sprint("w", i), 1, false)
				}
				s.Plan(now, nil, func(limit.Identity) bool { return false })
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(s)
			runtime.KeepAlive(g)
		})
	}
}

// BenchmarkApplyEdit measures Apply of a revision that changes one limit, with
// 420 hosts.
func BenchmarkApplyEdit(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			var members []limit.Identity
			for i := range 420 {
				members = append(members, id(fmt.Sprint("host-", i)))
			}
			s := newState("host-7", limit.Lending)
			g := settledAt(1, limit.Limit{}, members...)
			for i := range workspaces {
				g.Limits[fmt.Sprint("w", i)] = limit.Limit{Rate: 10, Burst: 40}
			}
			now := time.Unix(1000, 0)
			s.Apply(now, g)
			b.ReportAllocs()
			for b.Loop() {
				g.Number.Revision++
				g.Limits["w7"] = limit.Limit{Rate: float64(g.Number.Revision), Burst: 40}
				s.Apply(now, g)
			}
		})
	}
}
