package limit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/core/membership"
)

func id(host string) limit.Identity { return limit.Identity{Host: host, Incarnation: "1"} }

func newState(host string, policy limit.Policy) *limit.State {
	return limit.New(limit.Options{Self: id(host), Policy: policy, Rand: rand.New(rand.NewPCG(1, 2))})
}

// settledAt returns a settled generation with one limit for the workspace "w".
func settledAt(epoch uint64, l limit.Limit, members ...limit.Identity) limit.Generation {
	return limit.Generation{
		Number: membership.Generation{Epoch: epoch, Revision: 1}, Members: members,
		Limits: map[string]limit.Limit{"w": l}, EpochSettled: true, Settled: true,
	}
}

const fillTime = time.Minute // after which every bucket is full

// Guards against an increased share that takes effect while tokens lent to an
// outsider are unspent: activation does not wait for processes that are not
// members.
func TestNonMemberTokensExpireBeforeShareIncrease(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a, outsider := newState("a", limit.Owner), newState("x", limit.Owner)
	g := settledAt(1, limit.Limit{Rate: 10, Burst: 8}, id("a"))
	a.Apply(now, g)
	outsider.Apply(now, g)
	now = now.Add(fillTime)
	a.Apply(now, g)
	want := limit.Request{Lender: id("a"), Wants: []limit.Want{{Workspace: "w", Amount: 8}}}
	outsider.OnResponse(now, now, want, a.Lend(now, id("x"), want.Wants, nil))
	_, lent, _ := a.Tokens(now, "w")
	_, _, held := outsider.Tokens(now, "w")
	is.Equal(lent, 8.0)
	is.Equal(held, 8.0)

	// A limit with twice the burst is activated at once, since a is the only member.
	g = settledAt(1, limit.Limit{Rate: 10, Burst: 16}, id("a"))
	g.Number.Revision = 2
	a.Apply(now, g)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		_, _, held = outsider.Tokens(now, "w")
		if a.Share(now, "w").Cap > 8 {
			is.Equal(held, 0.0)
		}
	}
	is.Equal(a.Share(now, "w").Cap, 16.0)
}

// Guards against reports that are applied twice, accepted from a process that is
// not the borrower, or applied after the grant has expired.
func TestGrantReportsAreIdempotent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := newState("a", limit.Owner)
	a.Apply(now, settledAt(1, limit.Limit{Rate: 1, Burst: 8}, id("a"), id("b")))
	owner := a.Share(now.Add(time.Second), "w").Cap > 0
	if !owner { // the ranking of hosts depends on a hash, so b is the owner
		a = limit.New(limit.Options{Self: id("b"), Policy: limit.Owner, Rand: rand.New(rand.NewPCG(1, 2))})
		a.Apply(now, settledAt(1, limit.Limit{Rate: 1, Burst: 8}, id("a"), id("b")))
	}
	now = now.Add(fillTime)
	borrower := id("c")
	grant := a.Lend(now, borrower, []limit.Want{{Workspace: "w", Amount: 6}}, nil).Grants[0]
	is.Equal(grant.Amount, 6.0)
	report := []limit.Report{{Workspace: "w", ID: grant.ID, Returned: 4}}
	a.Lend(now, id("d"), nil, report)
	level, lent, _ := a.Tokens(now, "w")
	is.Equal([]float64{level, lent}, []float64{2, 6}) // d is not the borrower
	for range 3 {
		a.Lend(now, borrower, nil, report)
		level, lent, _ = a.Tokens(now, "w")
		is.Equal([]float64{level, lent}, []float64{6, 0})
	}
	late := a.Lend(now, borrower, []limit.Want{{Workspace: "w", Amount: 6}}, nil).Grants[0]
	now = now.Add(3 * time.Second)
	a.Lend(now, borrower, nil, []limit.Report{{Workspace: "w", ID: late.ID, Returned: 6}})
	level, _, _ = a.Tokens(now, "w")
	is.True(level < 4) // only tokens accrued in the meantime
}

// Guards against spending tokens that a lender granted before it lost its share.
func TestTokensOfEarlierGenerationsAreDiscarded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	lender, borrower := newState("a", limit.Owner), newState("b", limit.Owner)
	g := settledAt(1, limit.Limit{Rate: 1, Burst: 8}, id("a"))
	lender.Apply(now, g)
	now = now.Add(fillTime)
	request := limit.Request{Lender: id("a"), Wants: []limit.Want{{Workspace: "w", Amount: 2}}}
	first, second := lender.Lend(now, id("b"), request.Wants, nil), lender.Lend(now, id("b"), request.Wants, nil)
	borrower.Apply(now, g)
	borrower.OnResponse(now, now, request, first)
	is.True(borrower.Take(now, "w", 1, false))

	next := settledAt(2, limit.Limit{Rate: 1, Burst: 8}, id("b")) // a was removed
	borrower.Apply(now, next)
	_, _, held := borrower.Tokens(now, "w")
	is.Equal(held, 0.0)
	borrower.OnResponse(now, now, request, second) // arrives late
	_, _, held = borrower.Tokens(now, "w")
	is.Equal(held, 0.0)
	is.True(!borrower.Take(now, "w", 1, false))
}
