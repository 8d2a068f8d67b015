package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAgeCountsFromRequestStart guards against dating a copy from the response: a
// change may have been committed while the response was in transit.
func TestAgeCountsFromRequestStart(t *testing.T) {
	is := is.New(t)
	var m Tracker
	_, known := m.Age(0)
	is.True(!known)
	is.True(!m.Within(0, time.Hour))
	sent := Instant(10 * time.Second)
	m.Confirm(sent)
	age, known := m.Age(sent.Add(700 * time.Millisecond))
	is.True(known)
	is.Equal(age, 700*time.Millisecond)
	m.Confirm(sent.Add(-time.Second)) // response to an older request
	is.True(m.Within(sent, 0))
}

// TestRelayedAgesAreNotUnderstated guards against a copy that is reported as
// current after a change that it lacks, when hosts with unrelated clocks exchange
// ages with arbitrary delays.
func TestRelayedAgesAreNotUnderstated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type host struct {
			tracker   Tracker
			offset    time.Duration // of its clock from global time
			currentAt time.Duration // when the copy was last known to be current, in global time
		}
		type message struct {
			to        int
			echo      Instant
			age       time.Duration
			currentAt time.Duration
		}
		hosts := make([]host, 3)
		for i := range hosts {
			hosts[i].offset = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
		}
		clock := func(i int, now time.Duration) Instant { return Instant(now + hosts[i].offset) }
		echoes := map[[2]int]Instant{} // by receiver and sender, the last timestamp received
		var network []message
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			a := rapid.IntRange(0, 2).Draw(t, "a")
			b := (a + 1 + rapid.IntRange(0, 1).Draw(t, "b")) % 3
			switch rapid.SampledFrom([]string{"read", "stamp", "send", "receive"}).Draw(t, "step") {
			case "read":
				hosts[a].tracker.Confirm(clock(a, now))
				hosts[a].currentAt = max(hosts[a].currentAt, now)
			case "stamp":
				echoes[[2]int{b, a}] = clock(a, now)
			case "send":
				age, ok := hosts[a].tracker.Age(clock(a, now))
				if echo, received := echoes[[2]int{a, b}]; ok && received {
					network = append(network, message{to: b, echo: echo, age: age, currentAt: hosts[a].currentAt})
				}
			case "receive":
				if len(network) > 0 {
					i := rapid.IntRange(0, len(network)-1).Draw(t, "message")
					m := network[i]
					hosts[m.to].tracker.Confirm(m.echo.Add(-m.age))
					hosts[m.to].currentAt = max(hosts[m.to].currentAt, m.currentAt)
					network = append(network[:i:i], network[i+1:]...)
				}
			}
			for i := range hosts {
				age, ok := hosts[i].tracker.Age(clock(i, now))
				if ok && now-age > hosts[i].currentAt {
					t.Fatalf("host %d reports an age of %v, but its copy is %v old", i, age, now-hosts[i].currentAt)
				}
			}
		}
	})
}
