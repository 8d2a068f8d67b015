package membership

import (
	"fmt"
	"testing"
	"time"
)

var hostCounts = []int{8, 32, 128, 420}

// BenchmarkInterval measures one heartbeat interval in a settled generation: 10
// ticks, and a heartbeat and a reply from every other member.
func BenchmarkInterval(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			m := newMemberOfFleet(hosts, now)
			now = runInterval(m, now, 1)
			if !m.Settled() {
				b.Fatal("generation not settled")
			}
			b.ReportAllocs()
			for b.Loop() {
				now = runInterval(m, now, 1)
			}
		})
	}
}

// BenchmarkSettle measures the adoption of one revision, and a heartbeat and a
// reply from every other member that confirms it, until the generation is settled.
func BenchmarkSettle(b *testing.B) {
	for _, hosts := range hostCounts {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			now := time.Unix(1000, 0)
			m := newMemberOfFleet(hosts, now)
			revision := int64(1)
			now = runInterval(m, now, revision)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				m.AdoptRevision(now, revision)
				exchangeHeartbeats(m, now, revision)
				if !m.Settled() {
					b.Fatal("generation not settled")
				}
			}
		})
	}
}

func newMemberOfFleet(hosts int, now time.Time) *Machine {
	e := Epoch{Number: 1}
	for i := range hosts {
		e.Members = append(e.Members, member(fmt.Sprintf("host-%03d", i)))
	}
	m := New(Options{Self: e.Members[7]}, now)
	m.AdoptEpoch(now, e)
	m.AdoptRevision(now, 1)
	return m
}

func runInterval(m *Machine, now time.Time, revision int64) time.Time {
	for range 10 {
		now = now.Add(DefaultInterval / 10)
		m.Tick(now)
	}
	exchangeHeartbeats(m, now, revision)
	return now
}

// exchangeHeartbeats processes a heartbeat and a reply from every other member.
func exchangeHeartbeats(m *Machine, now time.Time, revision int64) {
	for _, other := range m.epoch.Members {
		if other.Host == m.opts.Self.Host {
			continue
		}
		hb := heartbeatFrom(other.Host, 1, revision)
		m.OnHeartbeat(now, hb)
		m.OnHeartbeatReply(now, now, hb)
	}
}
