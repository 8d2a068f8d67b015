package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// process is one process of the simulation. A platform call takes effect at once
// and completes at a later step; a paused process runs no steps.
type process struct {
	role       *Role
	paused     time.Time
	inFlight   bool
	complete   func(now time.Time)
	completeAt time.Time
	epoch      uint64
}

// object is the role's object on the platform.
type object struct {
	record  Record
	version int64
}

// Guards against two processes that hold a role at the same time, and against
// orders of a former holder that take effect after those of its successor on
// servers that ignore fencing numbers. Processes pause, responses are lost and
// the platform has outages.
func TestOneHolderAtATime(t *testing.T) {
	takeovers, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		runs++
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(2, 4).Draw(t, "processes")
		pauses := rapid.IntRange(0, 60).Draw(t, "pauses per 10,000 steps")
		losses := rapid.IntRange(0, 30).Draw(t, "lost answers per 100")
		now := time.Unix(1000, 0)
		var obj object
		all := make([]*process, n)
		for i := range all {
			all[i] = &process{role: New(Options{Self: fmt.Sprint("p", i)})}
		}
		down := now
		var lastOrderEffect time.Time
		var lastOrderEpoch uint64
		for range 12_000 {
			now = now.Add(10 * time.Millisecond)
			if rng.IntN(3000) == 0 {
				down = now.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond)
			}
			holders := 0
			for _, c := range all {
				if rng.IntN(10_000) < pauses {
					c.paused = now.Add(time.Duration(rng.IntN(20_000)) * time.Millisecond)
				}
				if now.After(c.paused) {
					c.step(now, rng, &obj, now.Before(down), losses)
				}
				epoch, held := c.role.Held(now)
				if !held {
					continue
				}
				holders++
				if epoch > c.epoch {
					c.epoch = epoch
					takeovers++
				}
				// An order sent now may take effect until the order timeout expires.
				if now.After(c.paused) && c.role.MaySendOrders(now, false) {
					if epoch < lastOrderEpoch {
						t.Fatalf("%v: order of epoch %d sent after one of epoch %d", now, epoch, lastOrderEpoch)
					}
					if epoch > lastOrderEpoch && now.Before(lastOrderEffect) {
						t.Fatalf("%v: first order of epoch %d sent while one of epoch %d may take effect until %v", now, epoch, lastOrderEpoch, lastOrderEffect)
					}
					lastOrderEpoch, lastOrderEffect = epoch, now.Add(DefaultOrderTimeout)
				}
			}
			if holders > 1 {
				t.Fatalf("%v: %d processes hold the role", now, holders)
			}
		}
	})
	if takeovers < 2*runs {
		t.Fatalf("only %d takeovers in %d runs", takeovers, runs)
	}
}

// step executes the action that the role requests.
func (c *process) step(now time.Time, rng *rand.Rand, obj *object, down bool, losses int) {
	if c.inFlight {
		if !now.Before(c.completeAt) {
			c.inFlight = false
			c.complete(now)
		}
		return
	}
	s := c.role.Next(now)
	if s.Action == Wait {
		return
	}
	c.inFlight = true
	c.completeAt = now.Add(time.Duration(10+rng.IntN(400)) * time.Millisecond)
	lost := rng.IntN(100) < losses
	switch {
	case down:
		c.complete = c.role.OnFailure
	case s.Action == Read:
		seen := *obj
		c.complete = func(now time.Time) { c.role.OnRead(now, seen.record, seen.version) }
	case obj.version != s.Version:
		c.complete = c.role.OnFailure
	default:
		obj.version++
		obj.record = s.Record
		version := obj.version
		c.complete = func(now time.Time) { c.role.OnWritten(now, version) }
		if lost {
			c.complete = c.role.OnFailure
		}
	}
}

// Guards against a role that cannot be acquired at once after its holder resigned,
// and against a delay of orders if the role had no former holder.
func TestResignAllowsImmediateTakeover(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, b := New(Options{Self: "a"}), New(Options{Self: "b"})
	is.Equal(a.Next(now).Action, Read)
	a.OnRead(now, Record{}, 0)
	step := a.Next(now)
	is.Equal(step.Action, Write)
	a.OnWritten(now, 1)
	is.True(a.MaySendOrders(now, false))

	b.OnRead(now, step.Record, 1)
	is.Equal(b.Next(now).Action, Wait)
	a.Resign()
	now = now.Add(time.Second)
	step = a.Next(now)
	is.Equal(step.Record.Holder, "")
	a.OnWritten(now, 2)
	_, held := a.Held(now)
	is.True(!held)

	now = now.Add(DefaultRenew)
	is.Equal(b.Next(now).Action, Read)
	b.OnRead(now, step.Record, 2)
	step = b.Next(now)
	is.Equal(step.Record, Record{Holder: "b", Epoch: 2, Duration: DefaultDuration})
	b.OnWritten(now, 3)
	is.True(b.MaySendOrders(now, true))
	is.True(!b.MaySendOrders(now, false)) // orders of a may still take effect
	is.True(b.MaySendOrders(now.Add(DefaultOrderTimeout), false))
}

// Guards against a takeover from a holder that renews its lease.
func TestRenewedRoleIsNotTakenOver(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := New(Options{Self: "b"})
	for version := int64(1); version < 20; version++ {
		b.OnRead(now, Record{Holder: "a", Epoch: 1, Duration: DefaultDuration}, version)
		for range 3 {
			now = now.Add(DefaultRenew)
			is.True(b.Next(now).Action != Write)
		}
	}
}
