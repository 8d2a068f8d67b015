package membership

import (
	"fmt"
	"testing"
	"time"
)

var hostCounts = []int{8, 32, 128, 420}

// The cost of one heartbeat interval with every host sending to every other:
// 10 ticks, and a heartbeat and an answer per member, in a settled generation.
func BenchmarkInterval(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			m := newFleetMember(hosts, now)
			now = interval(m, now, 1)
			if !m.Settled() {
				b.Fatal("generation not settled")
			}
			b.ReportAllocs()
			for b.Loop() {
				now = interval(m, now, 1)
			}
		})
	}
}

// The cost of one revision: its adoption, and a heartbeat and an answer of each
// member that confirms it, until the generation is settled.
func BenchmarkSettle(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			m := newFleetMember(hosts, now)
			revision := int64(1)
			now = interval(m, now, revision)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				m.AdoptRevision(now, revision)
				exchange(m, now, revision)
				if !m.Settled() {
					b.Fatal("generation not settled")
				}
			}
		})
	}
}

func newFleetMember(hosts int, now time.Time) *Machine {
	e := Epoch{Number: 1}
	for i := range hosts {
		e.Members = append(e.Members, member(fmt.Sprintf("host-%03d", i)))
	}
	m := New(Options{Self: e.Members[7]}, now)
	m.AdoptEpoch(now, e)
	m.AdoptRevision(now, 1)
	return m
}

func interval(m *Machine, now time.Time, revision int64) time.Time {
	for range 10 {
		now = now.Add(DefaultInterval / 10)
		m.Tick(now)
	}
	exchange(m, now, revision)
	return now
}

// exchange passes in a heartbeat and an answer of every other member.
func exchange(m *Machine, now time.Time, revision int64) {
	for _, other := range m.epoch.Members {
		if other.Host == m.opts.Self.Host {
			continue
		}
		hb := beat(other.Host, 1, revision)
		m.OnHeartbeat(now, hb)
		m.OnAnswer(now, now, hb)
	}
}
