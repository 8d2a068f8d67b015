package orders

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 4, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// process is a simulated candidate with its own clock and one call at a time.
type process struct {
	role    *Role
	speed   float64
	paused  int    // ticks
	pending func() // delivers the answer of the call on its way
	wait    int    // ticks until the answer
}

// world is the platform's record and the true time.
type world struct {
	rng    *rand.Rand
	at     time.Duration
	stored RoleRecord
	writes int            // version of the stored record
	later  map[int]func() // effects of calls on their way, by tick
	loss   int            // percent of answers that are lost
	down   int            // ticks of an outage
	procs  []*process
}

func (w *world) clock(p *process) time.Time {
	return start.Add(time.Duration(float64(w.at) * p.speed))
}

// act starts the call that the role asks for.
func (w *world) act(p *process) {
	now := w.clock(p)
	step := p.role.Step(now, true)
	p.wait = w.rng.IntN(8)
	switch {
	case step.Action == RoleWait:
	case w.down > 0:
		p.pending = func() {
			if step.Action == RoleWrite {
				p.role.Failed(w.clock(p), false)
			}
		}
	case step.Action == RoleRead:
		record := w.stored
		p.pending = func() { p.role.Seen(w.clock(p), record) }
	default:
		w.write(p, now, step)
	}
}

// write takes effect up to 2 s later, also when the process is paused or was
// told that the answer is lost, unless the record was written in between.
func (w *world) write(p *process, started time.Time, step RoleStep) {
	version, applied := w.writes, false
	delay := w.rng.IntN(20)
	due := int(w.at/tick) + delay
	for w.later[due] != nil {
		due++
	}
	w.later[due] = func() {
		if applied = w.writes == version && step.Allows(w.stored); applied {
			w.stored = step.Next
			w.writes++
		}
	}
	lost := w.rng.IntN(100) < w.loss
	if !lost {
		p.wait = due - int(w.at/tick) + 1
	}
	p.pending = func() {
		switch {
		case lost:
			p.role.Failed(w.clock(p), false)
		case applied:
			p.role.Written(started, w.clock(p), step.Next)
		default:
			p.role.Failed(w.clock(p), true)
		}
	}
}

func (w *world) advance() {
	if effect := w.later[int(w.at/tick)]; effect != nil {
		effect()
	}
	w.at += tick
	w.down = max(0, w.down-1)
	for _, p := range w.procs {
		switch {
		case p.paused > 0:
			p.paused--
		case p.pending != nil && p.wait > 0:
			p.wait--
		case p.pending != nil:
			p.pending()
			p.pending = nil
		default:
			w.act(p)
		}
	}
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), later: map[int]func(){}}
	for i := range n {
		speed := 0.97 + 0.06*w.rng.Float64() // differences stay below Margin/Duration
		w.procs = append(w.procs, &process{role: NewRole(fmt.Sprintf("h%d/1", i), DefaultRoleTimes()), speed: speed})
	}
	return w
}

func (w *world) holders() []*process {
	var out []*process
	for _, p := range w.procs {
		if p.role.Held(w.clock(p)) {
			out = append(out, p)
		}
	}
	return out
}

// Two holders at once would send contradicting orders. Pauses of 20 s, lost
// answers and outages must not produce them, and each holder needs a larger
// fencing number than all earlier ones.
func TestRoleHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "processes"))
		w.loss = 10
		var last *process
		var epoch uint64
		for range 3000 {
			w.advance()
			if w.rng.IntN(100) == 0 {
				w.procs[w.rng.IntN(len(w.procs))].paused = w.rng.IntN(200)
			}
			if w.rng.IntN(500) == 0 {
				w.down = w.rng.IntN(300)
			}
			holders := w.holders()
			if len(holders) > 1 {
				t.Fatalf("at %s: %d holders", w.at, len(holders))
			}
			if len(holders) == 1 {
				now := holders[0].role.Epoch()
				if now < epoch || now == epoch && holders[0] != last {
					t.Fatalf("at %s: epoch %d after %d", w.at, now, epoch)
				}
				last, epoch = holders[0], now
			}
		}
	})
}

// Without faults a role is taken within a few seconds, kept, and passed on
// within the lease, the margin and two reads after its holder stops.
func TestRoleIsTakenOver(t *testing.T) {
	is := is.New(t)
	w := newWorld(3, 3)
	run := func(d time.Duration) {
		for end := w.at + d; w.at < end; {
			w.advance()
		}
	}
	run(5 * time.Second)
	is.Equal(len(w.holders()), 1)
	first := w.holders()[0]
	run(time.Minute)
	is.Equal(w.holders()[0], first)
	is.Equal(first.role.Epoch(), uint64(1))
	first.paused = 1 << 30
	run(17 * time.Second)
	is.Equal(len(w.holders()), 1)
	second := w.holders()[0]
	is.True(second != first)
	is.Equal(second.role.Epoch(), uint64(2))
	is.True(second.role.MayOrder(w.clock(second), true))
	first.paused = 0
	run(time.Second)
	is.True(!first.role.Held(w.clock(first)))
}

// A server that ignores fencing numbers must not get an order while one of the
// earlier holder can be on its way; a release needs no waiting.
func TestRoleWaitsForServersWithoutFencing(t *testing.T) {
	is := is.New(t)
	r := NewRole("h1/1", DefaultRoleTimes())
	r.Seen(start, RoleRecord{})
	step := r.Step(start, true)
	is.Equal(step.Action, RoleWrite)
	r.Written(start, start, step.Next)
	is.True(r.MayOrder(start, true))
	is.True(!r.MayOrder(start.Add(4900*time.Millisecond), false))
	is.True(r.MayOrder(start.Add(5*time.Second), false))
	is.True(!r.MayOrder(start.Add(9*time.Second), true)) // the lease ended
	release, ok := r.Release(start.Add(time.Second))
	is.True(ok && release.Next.Holder == "" && release.Allows(step.Next))
	is.True(!r.Held(start.Add(time.Second)))
	other := NewRole("h2/1", DefaultRoleTimes())
	other.Seen(start, release.Next)
	is.Equal(other.Step(start, true).Next.Epoch, uint64(2))
	is.Equal(other.Step(start, false).Action, RoleWait)
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	targets := map[string]Target{}
	for i := range 40 {
		name := fmt.Sprintf("s%02d", i)
		targets[name] = Target{Address: name, Fencing: i%2 == 0}
		entries = append(entries,
			Entry{Order: Order{Server: name, Kind: LoadModel, Model: "a"}, Generation: 1},
			Entry{Order: Order{Server: name, Kind: SetRole, Role: "decode"}, Generation: 1})
	}
	all := func(bool) bool { return true }
	p := NewProgress()
	first := Plan(start, entries, targets, p, all)
	is.Equal(len(first), MaxParallel) // one per server, bounded in total
	is.Equal(first[1].Server, "s01")
	for _, e := range first {
		p.Started(e)
	}
	is.Equal(len(Plan(start, entries, targets, p, all)), 0)
	p.Ended(start, first[0], false)
	is.Equal(Plan(start, entries, targets, p, all)[0].Server, "s00")
	p.Ended(start, first[1], true)
	p.Ended(start, first[2], true)
	fencingOnly := Plan(start, entries[:10], targets, p, func(fencing bool) bool { return fencing })
	is.Equal(len(fencingOnly), 2)                       // s00, and s02's other order
	is.Equal(fencingOnly[1].Kind, SetRole)              // the failed one waits
	is.Equal(len(Plan(start, entries, nil, p, all)), 0) // servers that are not in the table
	is.Equal(retryPause(60), time.Minute)
	is.Equal(retryPause(1), time.Second)
}

// A confirmation must not hide an order that the engine has not run.
func TestConfirm(t *testing.T) {
	is := is.New(t)
	e := Entry{Order: Order{Server: "s", Kind: SetRole, Role: "decode"}, Generation: 1}
	done := e.Confirm(e, 3)
	is.True(!done.Pending() && done.Epoch == 3)
	is.True(done.Doubt().Pending())
	is.True(done.Doubt().Confirm(e, 3).Pending()) // a confirmation from before the doubt
	is.Equal(done.Fail("x").Confirm(e, 2), done)
	newer := e
	newer.Role, newer.Generation = "prefill", 2
	is.True(newer.Confirm(e, 3).Pending())
	newer.Generation = 1 // set again after a removal
	is.True(newer.Confirm(e, 3).Pending())
}

func TestValidateOrder(t *testing.T) {
	is := is.New(t)
	good := []Order{
		{Server: "s", Kind: LoadModel, Model: "org/m"},
		{Server: "s", Kind: LoadAdapter, Model: "m", Adapter: "a"},
		{Server: "s", Kind: LoadVersion, Model: "m", Version: "2"},
		{Server: "s", Kind: SetRole, Role: "prefill"},
	}
	slots := map[string]bool{}
	for _, o := range good {
		is.NoErr(o.Validate())
		slots[o.Slot()] = true
	}
	is.Equal(len(slots), len(good))
	bad := map[string]Order{
		"kind": {Server: "s", Kind: "x"}, "server": {Kind: SetRole, Role: "r"}, "model": {Server: "s", Kind: LoadModel},
		"adapter": {Server: "s", Kind: LoadAdapter, Model: "m"}, "version": {Server: "s", Kind: LoadVersion, Model: "m", Version: "a b"},
		"role": {Server: "s", Kind: LoadModel, Model: "m", Role: "r"},
	}
	for field, o := range bad {
		var invalid *InvalidError
		is.True(errors.As(o.Validate(), &invalid))
		is.Equal(invalid.Field, field)
	}
}
