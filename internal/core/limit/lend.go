package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"ragwortstep/internal/core/membership"
)

// Want is a borrower's request for tokens of one workspace.
type Want struct {
	Workspace string  `json:"w"`
	Amount    float64 `json:"n"`
	Batch     bool    `json:"b,omitempty"`
}

// Grant is a lender's answer to one want, in the same order. Amount may be 0.
type Grant struct {
	ID     uint64  `json:"id,omitempty"`
	Amount float64 `json:"n,omitempty"`
	Left   float64 `json:"l,omitempty"` // tokens that remain in the lender's bucket
	// Lifetime is set when it is shorter than the borrower's GrantLifetime.
	Lifetime time.Duration `json:"t,omitempty"`
}

// Report tells a lender what became of a grant. It may be repeated.
type Report struct {
	Workspace string  `json:"w"`
	ID        uint64  `json:"id"`
	Returned  float64 `json:"r,omitempty"` // unspent and given back; the rest was spent
}

// report is a Report that is kept until the lender acknowledged it or forgot the grant.
type report struct {
	Report
	closed time.Time
	until  time.Time
}

// borrowed is a grant received from a lender.
type borrowed struct {
	id      uint64
	lender  Identity
	batch   bool
	left    float64
	expires time.Time // by this host's clock, counted from before the request was sent
}

// Lend answers a borrower's wants, and takes in its reports first.
func (s *State) Lend(now time.Time, borrower Identity, wants []Want, reports []Report) Answer {
	for _, r := range reports {
		if w := s.workspaces[r.Workspace]; w != nil {
			s.refill(now, w)
			w.bucket.settle(r.ID, borrower, r.Returned)
		}
	}
	out := make([]Grant, len(wants))
	for i, want := range wants {
		out[i] = s.lendOne(now, borrower, want)
	}
	return Answer{Generation: s.generation.Number, Grants: out}
}

func (s *State) lendOne(now time.Time, borrower Identity, want Want) Grant {
	w := s.workspaces[want.Workspace]
	if w == nil || !w.exists || s.opts.Policy == Static || !(want.Amount > 0) {
		return Grant{}
	}
	s.refill(now, w)
	amount := lendable(want.Amount, w.bucket.level)
	if want.Batch {
		amount = lendable(want.Amount, w.spares(now))
	} else {
		w.lentOut.add(now, min(want.Amount, w.bucket.share.Cap))
	}
	if amount <= 0 {
		return Grant{Left: w.bucket.level}
	}
	s.nextGrant++
	out := Grant{ID: s.nextGrant, Amount: amount}
	lifetime := s.opts.GrantLifetime
	if !slices.Contains(s.generation.Members, borrower) {
		lifetime = min(lifetime, s.opts.OutsiderLifetime)
		out.Lifetime = lifetime
	}
	w.bucket.lend(out.ID, grant{borrower: borrower, amount: amount, batch: want.Batch, expires: now.Add(lifetime + s.opts.GrantMargin)})
	out.Left = w.bucket.level
	return out
}

// lendable returns how much of a want to lend from what there is: the whole
// want, or else whole tokens, since a part of one lets no request pass.
func lendable(want, have float64) float64 {
	if want <= have {
		return want
	}
	return max(0, math.Floor(have))
}

// Answer is a lender's answer to a Request.
type Answer struct {
	Generation membership.Generation `json:"generation"` // applied at the lender
	Grants     []Grant               `json:"grants,omitempty"`
}

// Receive takes in the answer to a request that was sent at sentAt, and
// forgets the reports that it acknowledges. Tokens granted at an earlier
// generation than the one applied here are given up, because their lender may
// have lost its share.
func (s *State) Receive(now, sentAt time.Time, r Request, answer Answer) {
	lender, wants := r.Lender, r.Wants
	s.acknowledge(lender, r.Reports)
	s.answered(wants)
	current := answer.Generation.Covers(s.generation.Number)
	for i, g := range answer.Grants[:min(len(answer.Grants), len(wants))] {
		w := s.workspaces[wants[i].Workspace]
		if w == nil {
			continue
		}
		w.lender(lender).answered(now, g.Left)
		if g.Amount <= 0 {
			continue
		}
		lifetime := s.opts.GrantLifetime
		if g.Lifetime > 0 {
			lifetime = min(lifetime, g.Lifetime)
		}
		b := borrowed{
			id: g.ID, lender: lender, batch: wants[i].Batch, left: g.Amount,
			expires: sentAt.Add(lifetime),
		}
		if !current || !w.exists {
			s.closeBorrowed(now, w, b)
			continue
		}
		w.borrowed = append(w.borrowed, b)
		s.active[w.name] = w
		s.expireBorrowed(now, w)
	}
}

// Failed takes in that a request was not answered. The lender is not asked
// again for a moment.
func (s *State) Failed(now time.Time, lender Identity, wants []Want) {
	s.answered(wants)
	for _, want := range wants {
		if w := s.workspaces[want.Workspace]; w != nil {
			w.lender(lender).failed(now)
		}
	}
}

// answered removes wants from those under way.
func (s *State) answered(wants []Want) {
	for _, want := range wants {
		w := s.workspaces[want.Workspace]
		switch {
		case w == nil:
		case want.Batch:
			w.asked.Batch = max(0, w.asked.Batch-want.Amount)
		default:
			w.asked.Online = max(0, w.asked.Online-want.Amount)
		}
	}
}

func (s *State) acknowledge(lender Identity, reports []Report) {
	kept := slices.DeleteFunc(s.reports[lender], func(r report) bool {
		return slices.ContainsFunc(reports, func(sent Report) bool { return sent.ID == r.ID })
	})
	if len(kept) == 0 {
		delete(s.reports, lender)
		return
	}
	s.reports[lender] = kept
}

// borrowedFor returns the borrowed tokens that a class may use: tokens
// borrowed for batch items serve online requests too, but not the reverse.
func (w *workspace) borrowedFor(batch bool) float64 {
	sum := 0.0
	for _, b := range w.borrowed {
		if !batch || b.batch {
			sum += b.left
		}
	}
	return sum
}

// spendBorrowed consumes n borrowed tokens, those that expire first before others.
func (s *State) spendBorrowed(now time.Time, w *workspace, n float64, batch bool) {
	if n <= 0 {
		return
	}
	slices.SortFunc(w.borrowed, func(a, b borrowed) int {
		return cmp.Or(cmp.Compare(preference(a, batch), preference(b, batch)), a.expires.Compare(b.expires))
	})
	kept := w.borrowed[:0]
	for _, b := range w.borrowed {
		if !batch || b.batch {
			used := min(n, b.left)
			n -= used
			b.left -= used
		}
		if b.left <= roundingSlack {
			s.closeBorrowed(now, w, b)
			continue
		}
		kept = append(kept, b)
	}
	w.borrowed = kept
}

// preference orders grants of the class before grants of the other.
func preference(b borrowed, batch bool) int {
	if b.batch == batch {
		return 0
	}
	return 1
}

// closeBorrowed queues the report on a grant that is used up or given back.
func (s *State) closeBorrowed(now time.Time, w *workspace, b borrowed) {
	s.reports[b.lender] = append(s.reports[b.lender], report{
		Report: Report{Workspace: w.name, ID: b.id, Returned: b.left},
		closed: now,
		until:  b.expires.Add(s.opts.GrantMargin),
	})
}

func (s *State) expireBorrowed(now time.Time, w *workspace) {
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool { return !now.Before(b.expires) })
}
