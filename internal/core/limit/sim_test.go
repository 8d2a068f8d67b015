package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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

// revision is a committed configuration of the simulated workspace.
type revision struct{ limit limit.Limit }

// simulation runs the membership and limits of several hosts in simulated time.
type simulation struct {
	now          time.Time
	rng          *rand.Rand
	hosts        []*simHost
	brokenLinks  map[[2]int]bool
	platformDown bool
	epoch        membership.Epoch
	commits      []revision // index is the revision number; 0 is unused
	queue        []message

	settled    map[limit.Identity]membership.Generation // lowest generation at which each process may hold its lease
	steps      []stepLimits
	handovers  int
	idleUntil  time.Time
	admissions []admission
}

// stepLimits holds the largest limits applied by any fresh host during a step.
type stepLimits struct{ rate, burst float64 }

type admission struct {
	step int
	host int
}

type message struct {
	at       time.Time
	from, to int // host indexes, -1 for the platform
	run      func()
}

// simHost is a host that drives membership and limit as packages fleet and
// limiter do.
type simHost struct {
	sim            *simulation
	index          int
	up             bool
	pausedUntil    time.Time
	id             limit.Identity
	machine        *membership.Machine
	limits         *limit.State
	revision       int64
	earlier        []limit.Limit
	earlierUnknown bool
	busy           map[limit.Identity]bool
	leaseUntil     time.Time // updated after the view is applied, as in fleet.Fleet
	nextTick       time.Time
	nextPlan       time.Time
}

func newSimulation(hosts int, first limit.Limit, seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), hosts: make([]*simHost, hosts), brokenLinks: map[[2]int]bool{},
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
	h := &simHost{sim: s, index: i, up: true, earlierUnknown: true, busy: map[limit.Identity]bool{}}
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

func (s *simulation) connected(a, b int) bool {
	if a < 0 && b < 0 {
		return !s.platformDown
	}
	if a < 0 || b < 0 {
		return !s.platformDown && !s.brokenLinks[[2]int{min(a, b), max(a, b)}]
	}
	return !s.brokenLinks[[2]int{min(a, b), max(a, b)}]
}

// deliver runs the messages that are due. Messages to a paused host stay queued.
func (s *simulation) deliver() {
	due := s.queue
	s.queue = nil
	slices.SortStableFunc(due, func(a, b message) int { return a.at.Compare(b.at) })
	for _, m := range due {
		paused := m.to >= 0 && s.now.Before(s.hosts[m.to].pausedUntil)
		switch {
		case m.at.After(s.now) || paused:
			s.queue = append(s.queue, m)
		case s.connected(m.from, m.to):
			m.run()
		}
	}
}

// toHost sends a message to the process that currently runs on the host. It is
// lost if that process is replaced before delivery.
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

// respond sends a response to the calling process.
func (h *simHost) respond(from int, run func()) {
	h.sim.send(from, h.index, func() {
		if h.up {
			run()
		}
	})
}

func (h *simHost) fresh() bool { return h.up && h.sim.now.Before(h.leaseUntil) }

// process executes an output as fleet.Fleet does.
func (h *simHost) process(out membership.Output) {
	if h.machine.Settled() {
		h.earlier, h.earlierUnknown = nil, false
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
			h.respond(t.index, func() { h.adoptEpoch(e) })
		})
	}
	if out.FetchConfig != "" {
		h.toHost(out.FetchConfig, func(t *simHost) {
			r := t.revision
			h.respond(t.index, func() { h.adoptRevision(r) })
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
		Earlier: map[string][]limit.Limit{"w": h.earlier}, LimitsUnknown: h.earlierUnknown,
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
	for _, handover := range h.limits.DrainHandovers() {
		h.handOver(g.Number, handover, 50)
	}
}

// handOver sends a handover once. The receiver retries it a limited number of
// times until it has adopted the epoch.
func (h *simHost) handOver(g membership.Generation, handover limit.Handover, retries int) {
	h.toHost(handover.To.Host, func(t *simHost) {
		switch {
		case t.id != handover.To:
		case t.machine.Generation().Epoch < g.Epoch && retries > 0:
			t.handOver(g, handover, retries-1)
		default:
			t.limits.AcceptHandovers(h.sim.now, g, []limit.Handover{handover})
			h.sim.handovers++
		}
	})
}

func (h *simHost) heartbeat(to string) {
	sentAt, hb := h.sim.now, h.machine.Heartbeat()
	h.toHost(to, func(t *simHost) {
		reply, out := t.machine.OnHeartbeat(h.sim.now, hb)
		t.process(out)
		h.respond(t.index, func() { h.process(h.machine.OnHeartbeatReply(h.sim.now, sentAt, reply)) })
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
	h.earlierUnknown = h.earlierUnknown || h.revision == 0
	h.revision = r
	out, _ := h.machine.AdoptRevision(h.sim.now, r)
	h.process(out)
}

// poll reads the epoch and then the head revision.
func (h *simHost) poll() {
	startedAt := h.sim.now
	h.sim.send(h.index, -1, func() {
		e := h.sim.epoch
		h.sim.send(-1, -1, func() {
			r := int64(len(h.sim.commits) - 1)
			h.respond(-1, func() {
				h.adoptEpoch(e)
				h.adoptRevision(r)
				h.process(h.machine.OnPlatformRead(h.sim.now, startedAt, membership.Generation{Epoch: e.Number, Revision: r}))
				if e.Number == 0 {
					h.propose()
				}
			})
		})
	})
}

// propose reads the epoch, computes the next one and writes it conditionally.
// One in four responses to the write is lost.
func (h *simHost) propose() {
	h.sim.send(h.index, -1, func() {
		current := h.sim.epoch
		h.respond(-1, func() {
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
					h.respond(-1, func() { h.adoptEpoch(next) })
				}
			})
		})
	})
}

// takeTokens takes as many tokens as possible, which is the worst case for the
// bound.
func (h *simHost) takeTokens(step int) {
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
	h.limits.RecordDemand(h.sim.now, "w", 1, false)
	requests := h.limits.Plan(h.sim.now, map[string]limit.ClassTokens{"w": {Online: 3}}, func(id limit.Identity) bool { return h.busy[id] })
	for _, r := range requests {
		sentAt := h.sim.now
		h.busy[r.Lender] = true
		h.toHost(r.Lender.Host, func(t *simHost) {
			if t.id != r.Lender || !t.fresh() {
				return
			}
			a := t.limits.Lend(h.sim.now, h.id, r.Wants, r.Reports)
			h.respond(t.index, func() {
				if h.busy[r.Lender] {
					h.busy[r.Lender] = false
					h.limits.OnResponse(h.sim.now, sentAt, r, a)
				}
			})
		})
		h.sim.queue = append(h.sim.queue, message{at: sentAt.Add(300 * time.Millisecond), from: -1, to: h.index, run: func() {
			if h.busy[r.Lender] {
				h.busy[r.Lender] = false
				h.limits.OnFailure(h.sim.now, r.Lender, r.Wants)
			}
		}})
	}
}

// advance runs one step of simulated time.
func (s *simulation) advance(step int) {
	s.now = s.now.Add(simStep)
	s.deliver()
	if s.rng.IntN(300) == 0 { // pauses demand so that the buckets fill
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
			h.takeTokens(step)
		}
	}
}

// check verifies the invariants of a step and records the limits applied in it.
func (s *simulation) check(t *rapid.T) {
	var in stepLimits
	var sum limit.Share
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		s.recordSettled(h)
		if !h.fresh() || h.revision == 0 {
			continue
		}
		l := s.commits[h.revision].limit
		in.rate, in.burst = max(in.rate, l.Rate), max(in.burst, l.Burst)
		share := h.limits.Share(s.now, "w")
		sum.Rate, sum.Cap = sum.Rate+share.Rate, sum.Cap+share.Cap
		if !h.limits.TokensWithinShare("w") {
			t.Fatalf("%v: %s holds more tokens than its share", s.now, h.id)
		}
	}
	for _, h := range s.hosts {
		if g := h.machine.Generation(); h.fresh() && !g.Covers(s.settled[h.id]) {
			t.Fatalf("%v: %v holds its lease at %+v, but %+v is settled", s.now, h.id, g, s.settled[h.id])
		}
	}
	if sum.Rate > in.rate+1e-6 || sum.Cap > in.burst+1e-6 {
		t.Fatalf("%v: sum of shares %+v exceeds limits %+v", s.now, sum, in)
	}
	s.steps = append(s.steps, in)
}

// recordSettled records the generation that all members concerned must have
// reached, once a host considers it settled.
func (s *simulation) recordSettled(h *simHost) {
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

// checkWindows verifies the bound for every window that begins and ends with an
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
