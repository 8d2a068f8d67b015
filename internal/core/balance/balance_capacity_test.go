package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// Measures the choice of a server for one request by pool size.
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

// Measures the subset of one of 420 hosts, which is computed again for each
// revision of the configuration.
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
