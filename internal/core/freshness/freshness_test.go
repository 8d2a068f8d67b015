package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAgeCountsFromTheQuestion guards against dating a copy from the answer:
// the change may have come while the answer was on its way.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	is := is.New(t)
	var m Mark
	_, known := m.Age(0)
	is.True(!known)
	is.True(!m.Within(0, time.Hour))
	asked := Instant(10 * time.Second)
	m.Confirm(asked)
	age, known := m.Age(asked.Add(700 * time.Millisecond))
	is.True(known)
	is.Equal(age, 700*time.Millisecond)
	m.Confirm(asked.Add(-time.Second)) // an older question that was answered late
	is.True(m.Within(asked, 0))
}

// TestRelayedAgesNeverLookYounger guards against a copy that counts as fresh
// beyond a change it lacks, when ages travel between hosts with any delay and
// with clocks that have nothing to do with each other.
func TestRelayedAgesNeverLookYounger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type host struct {
			mark   Mark
			offset time.Duration // of its clock
			truth  time.Duration // when the copy was certainly the newest
		}
		type message struct {
			to    int
			echo  Instant
			age   time.Duration
			truth time.Duration
		}
		hosts := make([]host, 3)
		for i := range hosts {
			hosts[i].offset = time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset"))
		}
		clock := func(i int, now time.Duration) Instant { return Instant(now + hosts[i].offset) }
		echoes := map[[2]int]Instant{} // last stamp of the second that the first has received
		var network []message
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
			a := rapid.IntRange(0, 2).Draw(t, "a")
			b := (a + 1 + rapid.IntRange(0, 1).Draw(t, "b")) % 3
			switch rapid.SampledFrom([]string{"read", "stamp", "send", "receive"}).Draw(t, "step") {
			case "read":
				hosts[a].mark.Confirm(clock(a, now))
				hosts[a].truth = max(hosts[a].truth, now)
			case "stamp":
				echoes[[2]int{b, a}] = clock(a, now)
			case "send":
				age, ok := hosts[a].mark.Age(clock(a, now))
				if echo, heard := echoes[[2]int{a, b}]; ok && heard {
					network = append(network, message{to: b, echo: echo, age: age, truth: hosts[a].truth})
				}
			case "receive":
				if len(network) > 0 {
					i := rapid.IntRange(0, len(network)-1).Draw(t, "message")
					m := network[i]
					hosts[m.to].mark.Confirm(m.echo.Add(-m.age))
					hosts[m.to].truth = max(hosts[m.to].truth, m.truth)
					network = append(network[:i:i], network[i+1:]...)
				}
			}
			for i := range hosts {
				age, ok := hosts[i].mark.Age(clock(i, now))
				if ok && now-age > hosts[i].truth {
					t.Fatalf("host %d claims an age of %v, its copy is %v old", i, age, now-hosts[i].truth)
				}
			}
		}
	})
}
