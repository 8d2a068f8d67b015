package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func newTestPlacement(servers ...Server) *Placement {
	p := New("z1", rand.New(rand.NewPCG(1, 2)))
	p.SetServers(servers, start)
	return p
}

func testServer(id string, slots int) Server {
	return Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z1", Slots: slots, Ready: true}
}

func testServers(n, slots int) []Server {
	var out []Server
	for i := range n {
		out = append(out, testServer(fmt.Sprint("s", i), slots))
	}
	return out
}

func TestServerLoadIsBounded(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 8))
	sent := 0
	for {
		s, verdict := p.Pick(Query{Service: "s"}, start)
		if verdict != Chosen {
			is.Equal(verdict, Full)
			break
		}
		p.Start(s.ID, Online, start)
		sent++
	}
	is.Equal(sent, 10) // 8 slots and maxQueuedPart of them
	_, verdict := p.Pick(Query{Service: "none"}, start)
	is.Equal(verdict, NoServer)
}

// TestBatchLeavesSlotsForOnline guards against batch work that takes the last
// slots of a server, so that an online request has to wait.
func TestBatchLeavesSlotsForOnline(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 8))
	for range 7 {
		s, verdict := p.Pick(Query{Service: "s", Class: Batch}, start)
		is.Equal(verdict, Chosen)
		p.Start(s.ID, Batch, start)
	}
	_, verdict := p.Pick(Query{Service: "s", Class: Batch}, start)
	is.Equal(verdict, Full)
	_, verdict = p.Pick(Query{Service: "s"}, start)
	is.Equal(verdict, Chosen)
}

// TestPeerLoadIsCounted guards against requests to servers that other hosts have
// filled.
func TestPeerLoadIsCounted(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 4), testServer("b", 4))
	p.UpdatePeerLoad("peer", map[string]InFlight{"a": {Online: 5}}, start)
	for range 4 {
		s, verdict := p.Pick(Query{Service: "s"}, start)
		is.Equal(verdict, Chosen)
		is.Equal(s.ID, "b")
		p.Start("b", Online, start)
	}
	later := start.Add(peerReportTTL)
	s, _ := p.Pick(Query{Service: "s"}, later)
	is.Equal(s.ID, "a") // the peer's counts have expired
}

// TestPreemptionIsSharedByHosts guards against every host preempting all of its
// batch requests at a server that has one request too many.
func TestPreemptionIsSharedByHosts(t *testing.T) {
	is := is.New(t)
	total := 0
	const rounds = 400
	for seed := range uint64(rounds) {
		p := New("z1", rand.New(rand.NewPCG(seed, 1)))
		p.SetServers([]Server{testServer("a", 8)}, start)
		p.Start("a", Batch, start)
		p.UpdatePeerLoad("x", map[string]InFlight{"a": {Online: 6, Batch: 3}}, start)
		total += p.BatchToPreempt(start)["a"]
	}
	// Two of the four batch requests exceed the slots; one of the four is this host's.
	is.True(total > rounds*4/10 && total < rounds*6/10)
}

// TestFailingServerIsEjected guards against sending requests to a server that
// fails every one of them.
func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 8))
	for range failuresToEject {
		p.Start("a", Online, start)
		p.Finish("a", Online, Failed, 0, 0, start)
	}
	_, verdict := p.Pick(Query{Service: "s"}, start)
	is.Equal(verdict, Full)
	later := start.Add(baseEjectionTime)
	_, verdict = p.Pick(Query{Service: "s"}, later)
	is.Equal(verdict, Chosen)
	p.Start("a", Online, later)
	_, verdict = p.Pick(Query{Service: "s"}, later)
	is.Equal(verdict, Full) // one probe at a time
	p.Finish("a", Online, Success, 10*time.Millisecond, 1, later)
	_, verdict = p.Pick(Query{Service: "s"}, later)
	is.Equal(verdict, Chosen)
}

// TestFailuresOfOneSilenceEjectOnce guards against ejecting a sound server for
// longer the more requests it had when it fell silent: they all fail at once.
func TestFailuresOfOneSilenceEjectOnce(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 8))
	for range 8 {
		p.Start("a", Online, start)
	}
	silence := time.Second
	for range 8 {
		p.Finish("a", Online, Failed, silence, 0, start.Add(silence))
	}
	back := start.Add(silence + baseEjectionTime)
	_, verdict := p.Pick(Query{Service: "s"}, back.Add(-1))
	is.Equal(verdict, Full)
	_, verdict = p.Pick(Query{Service: "s"}, back)
	is.Equal(verdict, Chosen)
	p.Start("a", Online, back)
	p.Finish("a", Online, Failed, silence, 0, back.Add(silence)) // the probe
	_, verdict = p.Pick(Query{Service: "s"}, back.Add(silence+2*baseEjectionTime-1))
	is.Equal(verdict, Full)
	_, verdict = p.Pick(Query{Service: "s"}, back.Add(silence+2*baseEjectionTime))
	is.Equal(verdict, Chosen)
}

// TestPartlyFailingServerGetsFewerRequests guards against a full share of
// requests to a server that passes its health check but fails a part of its
// requests, too seldom in a row to stay ejected.
func TestPartlyFailingServerGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServers(4, 8)...)
	rng := rand.New(rand.NewPCG(7, 7))
	count := map[string]int{}
	now := start
	for range 2000 {
		now = now.Add(20 * time.Millisecond)
		s, verdict := p.Pick(Query{Service: "s"}, now)
		is.Equal(verdict, Chosen)
		p.Start(s.ID, Online, now)
		count[s.ID]++
		outcome := Success
		if s.ID == "s0" && rng.Float64() < 0.4 {
			outcome = Failed
		}
		p.Finish(s.ID, Online, outcome, 10*time.Millisecond, 1, now)
	}
	is.True(count["s0"] < 2000/4/4)
	is.True(count["s0"] > 0)
}

// TestSimultaneousBurstSpreadsOverServers guards against an overloaded server
// when a burst reaches many hosts at once, whose view of each other's load is a
// quarter of a second old: no server may get more than three times the mean.
func TestSimultaneousBurstSpreadsOverServers(t *testing.T) {
	is := is.New(t)
	const hosts, perHost = 30, 8
	count := map[string]int{}
	for h := range uint64(hosts) {
		p := New("z1", rand.New(rand.NewPCG(h, 9)))
		list := testServers(30, 8)
		p.SetServers(list, start)
		for i, s := range list { // every host measured the servers' different speeds
			p.Start(s.ID, Online, start)
			p.Finish(s.ID, Online, Success, time.Duration(6+i%3*4)*time.Millisecond, 1, start)
		}
		for range perHost {
			s, verdict := p.Pick(Query{Service: "s"}, start)
			is.Equal(verdict, Chosen)
			p.Start(s.ID, Online, start)
			count[s.ID]++
		}
	}
	most := 0
	for _, n := range count {
		most = max(most, n)
	}
	is.True(most <= 3*hosts*perHost/30)
}

func TestTriedServersAreNotChosen(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServers(2, 8)...)
	s, verdict := p.Pick(Query{Service: "s", Tried: []string{"s0"}}, start)
	is.Equal(verdict, Chosen)
	is.Equal(s.ID, "s1")
	_, verdict = p.Pick(Query{Service: "s", Tried: []string{"s0", "s1"}}, start)
	is.Equal(verdict, NoServer)
}

// TestInFlightCountsReturnToZero guards against requests that stay counted after
// their end when servers join, leave and fail in any order.
func TestInFlightCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New("z1", rand.New(rand.NewPCG(3, 4)))
		all := testServers(4, 3)
		p.SetServers(all, start)
		type request struct {
			id    string
			class Class
		}
		var requests []request
		now := start
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"start", "start", "finish", "servers"}).Draw(t, "step") {
			case "start":
				class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
				s, verdict := p.Pick(Query{Service: "s", Class: class}, now)
				if verdict != Chosen {
					continue
				}
				if n := p.OwnInFlight()[s.ID]; n.total() >= loadLimit(s.Slots, class) {
					t.Fatalf("%s chosen with %d in flight", s.ID, n.total())
				}
				p.Start(s.ID, class, now)
				requests = append(requests, request{s.ID, class})
			case "finish":
				if len(requests) > 0 {
					f := requests[0]
					requests = requests[1:]
					outcome := Outcome(rapid.IntRange(0, 3).Draw(t, "outcome"))
					p.Finish(f.id, f.class, outcome, time.Millisecond, 1, now)
				}
			case "servers":
				n := rapid.IntRange(0, 4).Draw(t, "n")
				p.SetServers(all[:n], now)
			}
		}
		p.SetServers(all, now)
		for _, f := range requests {
			p.Finish(f.id, f.class, Neutral, 0, 0, now)
		}
		if own := p.OwnInFlight(); len(own) > 0 {
			t.Fatalf("still in flight: %v", own)
		}
	})
}

// TestSlotsAreDividedWithoutOverlap guards against a slot that is assigned to two
// hosts or to none.
func TestSlotsAreDividedWithoutOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 30).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprint("h", i))
		}
		var list []Server
		for i := range rapid.IntRange(0, 25).Draw(t, "servers") {
			s := testServer(fmt.Sprint("s", i), rapid.IntRange(1, 9).Draw(t, "slots"))
			s.Service = fmt.Sprint("service", i%2)
			list = append(list, s)
		}
		sum := map[string]int{}
		least, most := 1<<30, 0
		for _, h := range hosts {
			total := 0
			for id, n := range OwnSlots(h, hosts, list, "z1") {
				sum[id] += n
				total += n
			}
			least, most = min(least, total), max(most, total)
		}
		for _, s := range list {
			if sum[s.ID] != s.Slots {
				t.Fatalf("%s: %d of %d slots are assigned", s.ID, sum[s.ID], s.Slots)
			}
		}
		if most-least > 2 { // one for each service
			t.Fatalf("hosts have %d to %d slots", least, most)
		}
	})
}

// TestBurstStaysWithinOwnSlots guards against exceeding a server's slots when a
// burst reaches many hosts at once: with 60 hosts that choose at random, one
// request in ten would find its server full although two fifths of all slots are
// free.
func TestBurstStaysWithinOwnSlots(t *testing.T) {
	is := is.New(t)
	const hosts, each = 20, 5 // a zone with 20 servers of 8 slots
	list := testServers(20, 8)
	var names []string
	for h := range hosts {
		names = append(names, fmt.Sprint("h", h))
	}
	count := map[string]int{}
	for h := range uint64(hosts) {
		p := New("z1", rand.New(rand.NewPCG(h, 5)))
		p.SetServers(list, start)
		p.SetOwnSlots(OwnSlots(names[h], names, list, "z1"))
		for range each {
			s, verdict := p.Pick(Query{Service: "s"}, start)
			is.Equal(verdict, Chosen)
			p.Start(s.ID, Online, start)
			count[s.ID]++
		}
	}
	for id, n := range count {
		if n > 8 {
			t.Errorf("%s got %d requests", id, n)
		}
	}
}
