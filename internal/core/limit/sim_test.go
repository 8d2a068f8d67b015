package limit_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/core/membership"
)

const (
	simStep = 10 * time.Millisecond
	simTick = 50 * time.Millisecond
	simPlan = 20 * time.Millisecond
	simTime = 25 * time.Second
)

// revision is one committed configuration of the simulated workspace.
type revision struct{ limit limit.Limit }

// simulation runs membership and limits of several hosts in simulated time.
type simulation struct {
	now     time.Time
	rng     *rand.Rand
	hosts   []*simHost
	cut     map[[2]int]bool
	down    bool // platform
	epoch   membership.Epoch
	commits []revision // index is the revision number; 0 is unused
	queue   []message

	settled    map[limit.Identity]membership.Generation // that must not be undercut by the process
	steps      []stepLimits
	handovers  int
	idleUntil  time.Time
	admissions []admission
}

// stepLimits are the largest limits in force at fresh hosts during a step.
type stepLimits struct{ rate, burst float64 }

type admission struct {
	step int
	host int
}

type message struct {
	at       time.Time
	from, to int // platform is -1
	run      func()
}

// simHost is one host, and drives the cores as fleet and limiter do.
type simHost struct {
	sim         *simulation
	index       int
	up          bool
	pausedUntil time.Time
	id          limit.Identity
	machine     *membership.Machine
	limits      *limit.State
	revision    int64
	earlier     []limit.Limit
	unknown     bool
	busy        map[limit.Identity]bool
	leaseUntil  time.Time // published after the view, as by fleet.Fleet
	nextTick    time.Time
	nextPlan    time.Time
}

func newSimulation(hosts int, first limit.Limit, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), hosts: make([]*simHost, hosts), cut: map[[2]int]bool{},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		commits: []revision{{}, {first}},
		settled: map[limit.Identity]membership.Generation{},
	}
	for i := range hosts {
		s.start(i, 0)
	}
	return s
}

func (s *simulation) start(i, incarnation int) {
	h := &simHost{sim: s, index: i, up: true, unknown: true, busy: map[limit.Identity]bool{}}
	h.id = limit.Identity{Host: fmt.Sprintf("h%d", i), Incarnation: fmt.Sprintf("%03d", incarnation)}
	h.machine = membership.New(membership.Options{Self: membership.Member{
		Host: h.id.Host, Incarnation: h.id.Incarnation, Zone: fmt.Sprintf("z%d", i%3),
	}}, s.now)
	h.limits = limit.New(limit.Options{Self: h.id, Rand: rand.New(rand.NewPCG(s.rng.Uint64(), 1))})
	s.hosts[i] = h
	h.poll()
}

// send delivers a message after a random delay unless the link is cut.
func (s *simulation) send(from, to int, run func()) {
	delay := time.Duration(1+s.rng.IntN(40)) * time.Millisecond
	s.queue = append(s.queue, message{at: s.now.Add(delay), from: from, to: to, run: run})
}

func (s *simulation) linked(a, b int) bool {
	if a < 0 && b < 0 {
		return !s.down
	}
	if a < 0 || b < 0 {
		return !s.down && !s.cut[[2]int{min(a, b), max(a, b)}]
	}
	return !s.cut[[2]int{min(a, b), max(a, b)}]
}

// deliver runs the messages that are due. Those to a paused host wait for it.
func (s *simulation) deliver() {
	due := s.queue
	s.queue = nil
	slices.SortStableFunc(due, func(a, b message) int { return a.at.Compare(b.at) })
	for _, m := range due {
		paused := m.to >= 0 && s.now.Before(s.hosts[m.to].pausedUntil)
		switch {
		case m.at.After(s.now) || paused:
			s.queue = append(s.queue, m)
		case s.linked(m.from, m.to):
			m.run()
		}
	}
}

// toHost sends to the process that now runs at the host.
func (h *simHost) toHost(name string, run func(target *simHost)) {
	var to int
	_, _ = fmt.Sscanf(name, "h%d", &to)
	target := h.sim.hosts[to]
	h.sim.send(h.index, to, func() {
		if target == h.sim.hosts[to] && target.up {
			run(target)
		}
	})
}

// answer returns to the calling process.
func (h *simHost) answer(from int, run func()) {
	h.sim.send(from, h.index, func() {
		if h.up {
			run()
		}
	})
}

func (h *simHost) fresh() bool { return h.up && h.sim.now.Before(h.leaseUntil) }

// process carries out an output as fleet.Fleet does.
func (h *simHost) process(out membership.Output) {
	if h.machine.Settled() {
		h.earlier, h.unknown = nil, false
	}
	if out.ViewChanged {
		h.apply()
	}
	h.leaseUntil = h.machine.LeaseUntil()
	for _, target := range out.Heartbeats {
		h.heartbeat(target.Host)
	}
	if out.FetchEpoch != "" {
		h.toHost(out.FetchEpoch, func(t *simHost) {
			e := t.machine.Epoch()
			h.answer(t.index, func() { h.adoptEpoch(e) })
		})
	}
	if out.FetchConfig != "" {
		h.toHost(out.FetchConfig, func(t *simHost) {
			r := t.revision
			h.answer(t.index, func() { h.adoptRevision(r) })
		})
	}
	if out.Poll {
		h.poll()
	}
	if out.Propose {
		h.propose()
	}
}

func (h *simHost) apply() {
	e := h.machine.Epoch()
	if e.Number == 0 || h.revision == 0 {
		return
	}
	g := limit.Generation{
		Number: h.machine.Generation(), Limits: map[string]limit.Limit{"w": h.sim.commits[h.revision].limit},
		Earlier: map[string][]limit.Limit{"w": h.earlier}, LimitsUnknown: h.unknown,
		EpochSettled: h.machine.EpochSettled(), Settled: h.machine.Settled(), Lapses: h.machine.Lapses(),
		Fresh: h.fresh(),
	}
	if len(h.earlier) == 0 {
		delete(g.Earlier, "w")
	}
	for _, m := range e.Members {
		g.Members = append(g.Members, m.ID())
	}
	for _, p := range e.Prior {
		g.Prior = append(g.Prior, p.Members)
	}
	h.limits.Apply(h.sim.now, g)
	for _, handover := range h.limits.Handovers() {
		h.handOver(g.Number, handover, 50)
	}
}

// handOver sends a handover once; it waits at the receiver for its epoch.
func (h *simHost) handOver(g membership.Generation, handover limit.Handover, waits int) {
	h.toHost(handover.To.Host, func(t *simHost) {
		switch {
		case t.id != handover.To:
		case t.machine.Generation().Epoch < g.Epoch && waits > 0:
			t.handOver(g, handover, waits-1)
		default:
			t.limits.TakeOver(h.sim.now, g, []limit.Handover{handover})
			h.sim.handovers++
		}
	})
}

func (h *simHost) heartbeat(to string) {
	sentAt, hb := h.sim.now, h.machine.Heartbeat()
	h.toHost(to, func(t *simHost) {
		reply, out := t.machine.OnHeartbeat(h.sim.now, hb)
		t.process(out)
		h.answer(t.index, func() { h.process(h.machine.OnAnswer(h.sim.now, sentAt, reply)) })
	})
}

func (h *simHost) adoptEpoch(e membership.Epoch) {
	if out, ok := h.machine.AdoptEpoch(h.sim.now, e); ok {
		h.process(out)
	}
}

func (h *simHost) adoptRevision(r int64) {
	if r <= h.revision {
		return
	}
	for v := h.revision; v < r && v > 0; v++ {
		h.earlier = append(h.earlier, h.sim.commits[v].limit)
	}
	h.unknown = h.unknown || h.revision == 0
	h.revision = r
	out, _ := h.machine.AdoptRevision(h.sim.now, r)
	h.process(out)
}

// poll reads epoch and head one after the other.
func (h *simHost) poll() {
	askedAt := h.sim.now
	h.sim.send(h.index, -1, func() {
		e := h.sim.epoch
		h.sim.send(-1, -1, func() {
			r := int64(len(h.sim.commits) - 1)
			h.answer(-1, func() {
				h.adoptEpoch(e)
				h.adoptRevision(r)
				h.process(h.machine.OnPlatform(h.sim.now, askedAt, membership.Generation{Epoch: e.Number, Revision: r}))
				if e.Number == 0 {
					h.propose()
				}
			})
		})
	})
}

// propose reads the epoch, computes the next and writes it conditionally. The
// answer is lost in one of four cases.
func (h *simHost) propose() {
	h.sim.send(h.index, -1, func() {
		current := h.sim.epoch
		h.answer(-1, func() {
			next, change := h.machine.Propose(h.sim.now, current, current.Number > 0)
			if !change {
				h.adoptEpoch(current)
				return
			}
			h.sim.send(h.index, -1, func() {
				if h.sim.epoch.Number != current.Number {
					return
				}
				h.sim.epoch = next
				if h.sim.rng.IntN(4) > 0 {
					h.answer(-1, func() { h.adoptEpoch(next) })
				}
			})
		})
	})
}

// demand takes as much as possible, which is the hardest case for the bound.
func (h *simHost) demand(step int) {
	for range 4 {
		if !h.fresh() || !h.limits.Take(h.sim.now, "w", 1, false) {
			return
		}
		h.sim.admissions = append(h.sim.admissions, admission{step: step, host: h.index})
	}
}

func (h *simHost) borrow() {
	if !h.fresh() {
		return
	}
	h.limits.Ask(h.sim.now, "w", 1, false)
	requests := h.limits.Plan(h.sim.now, map[string]limit.Waiting{"w": {Online: 3}}, func(id limit.Identity) bool { return h.busy[id] })
	for _, r := range requests {
		sentAt := h.sim.now
		h.busy[r.Lender] = true
		h.toHost(r.Lender.Host, func(t *simHost) {
			if t.id != r.Lender || !t.fresh() {
				return
			}
			a := t.limits.Lend(h.sim.now, h.id, r.Wants, r.Reports)
			h.answer(t.index, func() {
				if h.busy[r.Lender] {
					h.busy[r.Lender] = false
					h.limits.Receive(h.sim.now, sentAt, r, a)
				}
			})
		})
		h.sim.queue = append(h.sim.queue, message{at: sentAt.Add(300 * time.Millisecond), from: -1, to: h.index, run: func() {
			if h.busy[r.Lender] {
				h.busy[r.Lender] = false
				h.limits.Failed(h.sim.now, r.Lender, r.Wants)
			}
		}})
	}
}

// advance runs one step of simulated time.
func (s *simulation) advance(step int) {
	s.now = s.now.Add(simStep)
	s.deliver()
	if s.rng.IntN(300) == 0 { // the buckets fill while there is no demand
		s.idleUntil = s.now.Add(time.Duration(s.rng.IntN(4000)) * time.Millisecond)
	}
	for _, h := range s.hosts {
		if !h.up || s.now.Before(h.pausedUntil) {
			continue
		}
		if !s.now.Before(h.nextTick) {
			h.nextTick = s.now.Add(simTick)
			h.process(h.machine.Tick(s.now))
		}
		if !s.now.Before(h.nextPlan) {
			h.nextPlan = s.now.Add(simPlan)
			h.borrow()
		}
		if !s.now.Before(s.idleUntil) {
			h.demand(step)
		}
	}
}

// check asserts what holds at every moment, and notes the limits in force.
func (s *simulation) check(t *rapid.T) {
	var in stepLimits
	var sum limit.Share
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		s.noteSettled(h)
		if !h.fresh() || h.revision == 0 {
			continue
		}
		l := s.commits[h.revision].limit
		in.rate, in.burst = max(in.rate, l.Rate), max(in.burst, l.Burst)
		share := h.limits.Share(s.now, "w")
		sum.Rate, sum.Cap = sum.Rate+share.Rate, sum.Cap+share.Cap
		if !h.limits.Consistent("w") {
			t.Fatalf("%v: %s holds more tokens than its share", s.now, h.id)
		}
	}
	for _, h := range s.hosts {
		if g := h.machine.Generation(); h.fresh() && !g.Covers(s.settled[h.id]) {
			t.Fatalf("%v: %v holds its lease at %+v, but %+v is settled", s.now, h.id, g, s.settled[h.id])
		}
	}
	if sum.Rate > in.rate+1e-6 || sum.Cap > in.burst+1e-6 {
		t.Fatalf("%v: shares in force are %+v together, limits %+v", s.now, sum, in)
	}
	s.steps = append(s.steps, in)
}

// noteSettled notes which generation the members concerned must have reached,
// once some host considers it settled.
func (s *simulation) noteSettled(h *simHost) {
	g, e := h.machine.Generation(), h.machine.Epoch()
	if !h.machine.EpochSettled() {
		return
	}
	ids := slices.Concat(s.memberIDs(e), slices.Concat(s.priorIDs(e)...))
	for _, id := range ids {
		least := s.settled[id]
		least.Epoch = max(least.Epoch, g.Epoch)
		if h.machine.Settled() && e.Has(id) { // others hold no share
			least.Revision = max(least.Revision, g.Revision)
		}
		s.settled[id] = least
	}
}

func (s *simulation) memberIDs(e membership.Epoch) []limit.Identity {
	var out []limit.Identity
	for _, m := range e.Members {
		out = append(out, m.ID())
	}
	return out
}

func (s *simulation) priorIDs(e membership.Epoch) [][]limit.Identity {
	var out [][]limit.Identity
	for _, p := range e.Prior {
		out = append(out, p.Members)
	}
	return out
}

// checkWindows asserts the bound for every window that begins and ends with an
// admission: at most the largest burst plus the integral of the largest rate.
func (s *simulation) checkWindows(t *rapid.T) {
	integral := make([]float64, len(s.steps)+1)
	for i, l := range s.steps {
		integral[i+1] = integral[i] + l.rate*simStep.Seconds()
	}
	for i, first := range s.admissions {
		burst, at := 0.0, first.step
		for j := i; j < len(s.admissions); j++ {
			last := s.admissions[j].step
			for ; at <= last; at++ {
				burst = max(burst, s.steps[at].burst)
			}
			bound := burst + integral[last+1] - integral[first.step]
			if count := float64(j - i + 1); count > bound+1e-6 {
				t.Fatalf("%g admissions from step %d to %d, bound %g", count, first.step, last, bound)
			}
		}
	}
}

// fault is one drawn disturbance.
type fault struct {
	at   time.Duration
	kind string
	a, b int
	hold time.Duration
	to   limit.Limit
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
			at:   time.Duration(rapid.IntRange(1000, 22000).Draw(t, "at")) * time.Millisecond,
			kind: rapid.SampledFrom([]string{"kill", "pause", "restart", "leave", "cut", "isolate", "outage", "edit", "edit"}).Draw(t, "kind"),
			a:    rapid.IntRange(0, hosts-1).Draw(t, "a"),
			b:    rapid.IntRange(0, hosts-1).Draw(t, "b"),
			hold: time.Duration(rapid.IntRange(100, 10000).Draw(t, "hold")) * time.Millisecond,
			to:   limitGen.Draw(t, "to"),
		}
	})
}

// inject starts a fault and returns what ends it.
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
		s.hosts[f.a].pausedUntil = s.now.Add(f.hold)
	case "cut":
		return s.disconnect([][2]int{{min(f.a, f.b), max(f.a, f.b)}})
	case "isolate":
		var links [][2]int
		for i := range s.hosts {
			links = append(links, [2]int{min(i, f.a), max(i, f.a)})
		}
		return s.disconnect(links)
	case "outage":
		s.down = true
		return func() { s.down = false }
	case "edit":
		if !s.down {
			s.commits = append(s.commits, revision{f.to})
		}
	}
	return func() {}
}

func (s *simulation) disconnect(links [][2]int) func() {
	for _, l := range links {
		s.cut[l] = true
	}
	return func() {
		for _, l := range links {
			delete(s.cut, l)
		}
	}
}

// Guards against every way in which a workspace could exceed its rate: kills,
// pauses, restarts, partitions, outages, lost answers and edits, at the same
// time, while all hosts take whatever they can get.
func TestWindowBoundUnderFaults(t *testing.T) {
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
				endTimes = append(endTimes, s.now.Add(faults[0].hold))
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
	// Without admissions the checks would prove nothing.
	if total < 50*runs {
		t.Fatalf("only %d admissions in %d runs", total, runs)
	}
	t.Logf("%d admissions and %d handovers in %d runs", total, handovers, runs)
}

// Guards against a changed row or a revoked key that is not in force after the
// bound of 5 s at a host that admits, with one host cut off from the platform
// and at times from its peers, and hosts that restart.
func TestChangesInForceWithinBound(t *testing.T) {
	const bound = 5 * time.Second
	late := time.Duration(0)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "hosts")
		s := newSimulation(n, limit.Limit{Rate: 10, Burst: 8}, rapid.Uint64().Draw(t, "seed"))
		formed := s.now.Add(5 * time.Second)
		apart := rapid.IntRange(0, n-1).Draw(t, "cut off")
		committed := []time.Time{s.now, s.now}
		isolated := false
		for step := range 2500 {
			if s.now.After(formed) {
				s.cut[[2]int{-1, apart}] = true
				if s.rng.IntN(200) == 0 {
					s.commits = append(s.commits, revision{limit.Limit{Rate: 10, Burst: 8}})
					committed = append(committed, s.now)
				}
				if s.rng.IntN(400) == 0 { // it loses its peers too, or regains them
					isolated = !isolated
					for i := range n {
						s.cut[[2]int{min(i, apart), max(i, apart)}] = isolated && i != apart
					}
				}
				if i := s.rng.IntN(n); s.rng.IntN(1000) == 0 && i != apart {
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
					t.Fatalf("%v: %v admits at revision %d, the next is %s old", s.now, h.id, h.revision, age)
				}
			}
		}
	})
	t.Logf("oldest change not in force at a host that admits: %s", late)
}
