package events

import (
	"runtime"
	"testing"
	"time"
)

// BenchmarkRecord measures the time to record one event, and the memory of a
// recorder at its capacity.
func BenchmarkRecord(b *testing.B) {
	const fill = 100_000 // more than a recorder keeps
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := NewRecorder("host-007", nil)
	e := Event{Time: time.Unix(1000, 0), Kind: "config.adopted", Detail: "revision 1000000"}
	for range fill {
		r.Record(e)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(e)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(r)
}
