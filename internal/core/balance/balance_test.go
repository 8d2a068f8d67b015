package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func servers(n, concurrency int) []Server {
	var out []Server
	for i := range n {
		out = append(out, Server{Name: fmt.Sprintf("s%02d", i), Pool: "p", Concurrency: concurrency})
	}
	return out
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against new requests to leaving, ejected or unusable servers, under any
// order of events and any policy.
func TestPickReturnsOnlyAvailableServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := rapid.SampledFrom([]Policy{TwoChoices, RoundRobin, LeastOutstanding, Random}).Draw(t, "policy")
		b := New(policy)
		list := servers(rapid.IntRange(1, 6).Draw(t, "servers"), 4)
		for i := range list {
			list[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		b.SetServers(list)
		now := epoch
		rng := newRand()
		var tickets []Ticket
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "ms")) * time.Millisecond)
			name := list[rapid.IntRange(0, len(list)-1).Draw(t, "server")].Name
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				b.RecordPoll(now, name, rapid.Bool().Draw(t, "answered"))
			case 1:
				if len(tickets) > 0 {
					outcome := rapid.SampledFrom([]Outcome{Succeeded, Failed, Neutral}).Draw(t, "outcome")
					b.RecordFinished(now, tickets[0], outcome, 10)
					tickets = tickets[1:]
				}
			case 2:
				b.ApplyReport(now, name, Report{Running: 3, Slots: 4, At: now})
			}
			unusable := list[0].Name
			got, ok := b.Pick(now, rng, Query{Pool: "p", PrefixHash: rapid.Uint64Range(0, 3).Draw(t, "prefix"), Usable: func(n string) bool { return n != unusable }})
			if !ok {
				continue
			}
			if got == unusable || b.servers[got].cfg.Leaving || !b.servers[got].available(now) {
				t.Fatalf("picked %s, which must not be used", got)
			}
			tickets = append(tickets, b.RecordSent(now, got))
		}
		for _, s := range b.servers {
			if s.inFlight < 0 || s.limit() < 1 || s.limit() > 4*4 {
				t.Fatalf("server %s: in flight %d, limit %d", s.cfg.Name, s.inFlight, s.limit())
			}
		}
	})
}

// Guards against an ejected server that is never restored, and one that is
// restored without a probe.
func TestEjectionAndProbe(t *testing.T) {
	is := is.New(t)
	b := New(TwoChoices)
	b.SetServers(servers(1, 4))
	now := epoch
	rng := newRand()
	for i := range failuresToEject {
		got := b.RecordFinished(now, b.RecordSent(now, "s00"), Failed, 0)
		is.Equal(got == Ejected, i == failuresToEject-1)
	}
	_, ok := b.Pick(now, rng, Query{Pool: "p"})
	is.True(!ok)
	now = now.Add(baseEjectionTime)
	_, ok = b.Pick(now, rng, Query{Pool: "p"})
	is.True(ok) // a probe is due
	probe := b.RecordSent(now, "s00")
	_, ok = b.Pick(now, rng, Query{Pool: "p"})
	is.True(!ok) // one probe at a time
	is.Equal(b.RecordFinished(now, probe, Failed, 0), Ejected)
	_, ok = b.Pick(now.Add(baseEjectionTime), rng, Query{Pool: "p"})
	is.True(!ok) // the second ejection lasts longer
	now = now.Add(2 * baseEjectionTime)
	b.RecordPoll(now, "s00", false)
	_, ok = b.Pick(now, rng, Query{Pool: "p"})
	is.True(!ok) // no probe while polls fail
	b.RecordPoll(now, "s00", true)
	is.Equal(b.RecordFinished(now, b.RecordSent(now, "s00"), Succeeded, 1), Restored)
}

// Guards against counting this host's requests twice when a delayed report
// already includes them.
func TestLoadReportExcludesOwnRequests(t *testing.T) {
	is := is.New(t)
	b := New(TwoChoices)
	b.SetServers(servers(1, 16))
	for i := range 4 {
		b.RecordSent(epoch.Add(time.Duration(i)*time.Millisecond), "s00")
	}
	measured := epoch.Add(10 * time.Millisecond)
	for i := range 3 {
		b.RecordSent(epoch.Add(time.Duration(20+i)*time.Millisecond), "s00")
	}
	now := epoch.Add(300 * time.Millisecond)
	// At the time of the report 4 requests of this host and 2 of others ran.
	b.ApplyReport(now, "s00", Report{Running: 6, Slots: 16, At: measured})
	is.Equal(b.Load(now, "s00"), 2.0+7.0)
	is.Equal(b.Load(now.Add(reportExpiry+time.Second), "s00"), 7.0) // an old report is ignored
}

// simulate runs requests at servers of different speeds and returns the share
// of requests that take longer than twice the shortest service time.
func simulate(policy Policy, speeds []float64, rate float64) (slow float64) {
	b := New(policy)
	list := servers(len(speeds), 4)
	b.SetServers(list)
	rng := newRand()
	type event struct {
		at     time.Time
		ticket Ticket
	}
	var running []event
	free := make([][4]time.Time, len(speeds))
	now, total := epoch, 0
	for range 6000 {
		now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		var rest []event
		for _, e := range running {
			if e.at.After(now) {
				rest = append(rest, e)
			} else {
				b.RecordFinished(e.at, e.ticket, Succeeded, 100)
			}
		}
		running = rest
		name, _ := b.Pick(now, rng, Query{Pool: "p"})
		var index int
		fmt.Sscanf(name, "s%d", &index)
		slot := 0
		for i, at := range free[index] {
			if at.Before(free[index][slot]) {
				slot = i
			}
		}
		start := now
		if free[index][slot].After(now) {
			start = free[index][slot]
		}
		end := start.Add(time.Duration(float64(100*time.Millisecond) / speeds[index]))
		free[index][slot] = end
		running = append(running, event{end, b.RecordSent(now, name)})
		if total++; end.Sub(now) > 200*time.Millisecond {
			slow++
		}
	}
	return slow / float64(total)
}

// Guards against a policy that does not learn the servers' speeds: at about
// 70% load, two choices must cause less than half as many slow requests as round
// robin.
func TestTwoChoicesAvoidsSlowServers(t *testing.T) {
	is := is.New(t)
	speeds := []float64{1, 1, 1, 1, 0.25, 0.25}
	rate := 0.7 * 4 * 10 * 4.5
	two, robin := simulate(TwoChoices, speeds, rate), simulate(RoundRobin, speeds, rate)
	t.Logf("slow requests: two choices %.3f, round robin %.3f", two, robin)
	is.True(two < robin/2)
}

// Guards against prefix affinity that overloads the server of a popular prefix.
func TestAffinityIsBounded(t *testing.T) {
	is := is.New(t)
	b := New(TwoChoices)
	b.SetServers(servers(8, 16))
	rng := newRand()
	first, _ := b.Pick(epoch, rng, Query{Pool: "p", PrefixHash: 42})
	again, _ := b.Pick(epoch, rng, Query{Pool: "p", PrefixHash: 42})
	is.Equal(first, again)
	for range 80 {
		name, _ := b.Pick(epoch, rng, Query{Pool: "p", PrefixHash: 42})
		b.RecordSent(epoch, name)
	}
	for _, s := range b.servers {
		is.True(s.inFlight <= 20) // 10 on average
	}
}

// Guards against a limit that ignores the latency: it must fall when latency
// rises with load, and rise while latency stays at its minimum.
func TestLearnedLimitFollowsLatency(t *testing.T) {
	is := is.New(t)
	run := func(g *gradientLimit, latency func(limit float64) float64) {
		now := epoch
		for range 4000 {
			now = now.Add(10 * time.Millisecond)
			g.sample(now, latency(g.limit), g.limit)
		}
	}
	var flat, steep gradientLimit
	flat.reset(8)
	run(&flat, func(float64) float64 { return 1 })
	is.Equal(flat.limit, 32.0)
	steep.reset(8)
	steep.minLatency = 1
	run(&steep, func(limit float64) float64 { return max(1, limit/2) })
	is.True(steep.limit < 8)
	is.True(steep.limit >= 2)
}

// Guards against subsets that differ between calls, are too small, or leave a
// server without hosts.
func TestSubsetIsStableAndCoversServers(t *testing.T) {
	is := is.New(t)
	list := servers(2000, 1)
	used := map[string]int{}
	for h := range 200 {
		host := fmt.Sprintf("host-%d", h)
		subset := Subset(host, list, 200)
		is.Equal(len(subset), 160)
		is.Equal(subset, Subset(host, list, 200))
		for _, s := range subset {
			used[s.Name]++
		}
	}
	is.Equal(len(used), len(list))
	is.Equal(len(Subset("h", list[:20], 8)), 20)
}

// Guards against a limit that falls because of a short queue: an engine queues
// new arrivals until its next step. A limit capped by such reports fell to 1
// within a minute and left 90% of the engines idle under a full backlog of batch
// items.
func TestShortQueueInReportKeepsLimit(t *testing.T) {
	is := is.New(t)
	b := New(TwoChoices)
	b.SetServers(servers(1, 16))
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		b.ApplyReport(now, "s00", Report{Running: 2, Waiting: 1, Slots: 32, At: now})
	}
	is.Equal(b.Limit("s00"), 16)
	b.ApplyReport(epoch.Add(time.Minute), "s00", Report{Running: 12, Waiting: 3, Slots: 12, At: epoch.Add(time.Minute)})
	is.Equal(b.Limit("s00"), 12) // a queue at full slots lowers the limit
}
