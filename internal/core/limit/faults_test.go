package limit_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstep/internal/core/limit"
)

// fault is one randomly drawn fault.
type fault struct {
	at       time.Duration
	kind     string
	a, b     int
	duration time.Duration
	newLimit limit.Limit
}

var limitGen = rapid.Custom(func(t *rapid.T) limit.Limit {
	return limit.Limit{
		Rate:  rapid.SampledFrom([]float64{1, 5, 20, 60}).Draw(t, "rate"),
		Burst: rapid.SampledFrom([]float64{1, 4, 7.5, 8, 12, 33, 40}).Draw(t, "burst"),
	}
})

func drawFault(hosts int) *rapid.Generator[fault] {
	return rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:       time.Duration(rapid.IntRange(1000, 22000).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom([]string{"kill", "pause", "restart", "leave", "cut", "isolate", "no platform", "outage", "edit", "edit"}).Draw(t, "kind"),
			a:        rapid.IntRange(0, hosts-1).Draw(t, "a"),
			b:        rapid.IntRange(0, hosts-1).Draw(t, "b"),
			duration: time.Duration(rapid.IntRange(100, 10000).Draw(t, "hold")) * time.Millisecond,
			newLimit: limitGen.Draw(t, "to"),
		}
	})
}

// inject starts a fault and returns a function that ends it.
func (s *simulation) inject(f fault, incarnation int) func() {
	switch f.kind {
	case "kill":
		s.hosts[f.a].up = false
		return func() {
			if !s.hosts[f.a].up {
				s.start(f.a, incarnation)
			}
		}
	case "restart":
		s.start(f.a, incarnation)
	case "leave":
		s.hosts[f.a].machine.Leave()
		return func() { s.start(f.a, incarnation) }
	case "pause":
		s.hosts[f.a].pausedUntil = s.now.Add(f.duration)
	case "cut":
		return s.disconnect([][2]int{{min(f.a, f.b), max(f.a, f.b)}})
	case "isolate":
		var links [][2]int
		for i := range s.hosts {
			links = append(links, [2]int{min(i, f.a), max(i, f.a)})
		}
		return s.disconnect(links)
	case "no platform":
		return s.disconnect([][2]int{{-1, f.a}})
	case "outage":
		s.platformDown = true
		return func() { s.platformDown = false }
	case "edit":
		if !s.platformDown {
			s.commits = append(s.commits, revision{f.newLimit})
		}
	}
	return func() {}
}

func (s *simulation) disconnect(links [][2]int) func() {
	for _, l := range links {
		s.brokenLinks[l] = true
	}
	return func() {
		for _, l := range links {
			delete(s.brokenLinks, l)
		}
	}
}

// Guards against a workspace that exceeds its rate under concurrent kills,
// pauses, restarts, partitions, platform outages, lost responses and limit
// changes, while all hosts take as many tokens as they can.
func TestRateBoundUnderFaults(t *testing.T) {
	total, runs, handovers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		n := rapid.IntRange(1, 5).Draw(t, "hosts")
		faults := rapid.SliceOfN(drawFault(n), 0, 8).Draw(t, "faults")
		slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
		s := newSimulation(n, limitGen.Draw(t, "limit"), rapid.Uint64().Draw(t, "seed"))
		begin := s.now
		var ends []func()
		var endTimes []time.Time
		for step := 0; s.now.Sub(begin) < simTime; step++ {
			for len(faults) > 0 && s.now.Sub(begin) >= faults[0].at {
				ends = append(ends, s.inject(faults[0], step+1))
				endTimes = append(endTimes, s.now.Add(faults[0].duration))
				faults = faults[1:]
			}
			for i, at := range endTimes {
				if ends[i] != nil && !s.now.Before(at) {
					ends[i]()
					ends[i] = nil
				}
			}
			s.advance(step)
			s.check(t)
		}
		s.checkWindows(t)
		total, handovers = total+len(s.admissions), handovers+s.handovers
	})
	// The checks are vacuous without admissions.
	if total < 50*runs {
		t.Fatalf("only %d admissions in %d runs", total, runs)
	}
	t.Logf("%d admissions and %d handovers in %d runs", total, handovers, runs)
}

// Guards against a host that admits requests without having applied a changed
// limit or revoked key 5 s after its commit. One host is disconnected from the
// platform and at times from its peers, and other hosts restart.
func TestChangesInForceWithinBound(t *testing.T) {
	const bound = 5 * time.Second
	late := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "hosts")
		s := newSimulation(n, limit.Limit{Rate: 10, Burst: 8}, rapid.Uint64().Draw(t, "seed"))
		formed := s.now.Add(5 * time.Second)
		isolatedHost := rapid.IntRange(0, n-1).Draw(t, "cut off")
		committed := []time.Time{s.now, s.now}
		peersCut := false
		for step := range 2500 {
			if s.now.After(formed) {
				s.brokenLinks[[2]int{-1, isolatedHost}] = true
				if s.rng.IntN(200) == 0 {
					s.commits = append(s.commits, revision{limit.Limit{Rate: 10, Burst: 8}})
					committed = append(committed, s.now)
				}
				if s.rng.IntN(400) == 0 { // disconnects the host from its peers or reconnects it
					peersCut = !peersCut
					for i := range n {
						s.brokenLinks[[2]int{min(i, isolatedHost), max(i, isolatedHost)}] = peersCut && i != isolatedHost
					}
				}
				if i := s.rng.IntN(n); s.rng.IntN(1000) == 0 && i != isolatedHost {
					s.start(i, step)
				}
			}
			s.advance(step)
			for _, h := range s.hosts {
				if !h.fresh() || h.revision+1 >= int64(len(committed)) {
					continue
				}
				age := s.now.Sub(committed[h.revision+1])
				late = max(late, age)
				if age > bound {
					t.Fatalf("%v: %v admits requests at revision %d, but the next revision is %s old", s.now, h.id, h.revision, age)
				}
			}
		}
	})
	t.Logf("oldest change not applied at a host that admits requests: %s", late)
}
