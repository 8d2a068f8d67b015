package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// The choice of a server for one request in a pool of the given size.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{100, 419, 1000, 11_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			bal := New(TwoChoices)
			bal.SetServers(servers(n, 8))
			rng := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := bal.Pick(epoch, rng, Query{Pool: "p"}); !ok {
					b.Fatal("no server")
				}
			}
		})
	}
}

// The subset of a pool that one of 420 hosts uses, computed for each revision.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{100, 1000, 11_000} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			list := servers(n, 8)
			var size int
			b.ReportAllocs()
			for b.Loop() {
				size = len(Subset("host-007", list, 420))
			}
			b.ReportMetric(float64(size), "servers/host")
		})
	}
}
