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

// Grant is a lender's response to one Want. Amount may be 0.
type Grant struct {
	ID     uint64  `json:"id,omitempty"`
	Amount float64 `json:"n,omitempty"`
	Left   float64 `json:"l,omitempty"` // tokens remaining in the lender's bucket
	// Lifetime is set only if it is shorter than the borrower's GrantLifetime.
	Lifetime time.Duration `json:"t,omitempty"`
}

// Report closes a grant at its lender and returns the unspent tokens. It is
// idempotent, so it may be sent again.
type Report struct {
	Workspace string  `json:"w"`
	ID        uint64  `json:"id"`
	Returned  float64 `json:"r,omitempty"` // unspent tokens; the rest was spent
}

// queuedReport is a Report that is kept until the lender has acknowledged it or
// has let the grant expire.
type queuedReport struct {
	Report
	closedAt  time.Time
	keepUntil time.Time
}

// borrowed is a grant received from a lender.
type borrowed struct {
	id      uint64
	lender  Identity
	batch   bool
	left    float64
	expires time.Time // on this host's clock, counted from before the request was sent
}

// Lend applies a borrower's reports and then responds to its wants.
func (s *State) Lend(now time.Time, borrower Identity, wants []Want, reports []Report) Response {
	for _, r := range reports {
		if w := s.workspaces[r.Workspace]; w != nil {
			s.refill(now, w)
			w.bucket.applyReport(r.ID, borrower, r.Returned)
		}
	}
	out := make([]Grant, len(wants))
	for i, want := range wants {
		out[i] = s.lendOne(now, borrower, want)
	}
	return Response{Generation: s.generation.Number, Grants: out}
}

func (s *State) lendOne(now time.Time, borrower Identity, want Want) Grant {
	w := s.workspaces[want.Workspace]
	if w == nil || !w.exists || s.opts.Policy == Static || !(want.Amount > 0) {
		return Grant{}
	}
	s.refill(now, w)
	amount := lendable(want.Amount, w.bucket.level)
	if want.Batch {
		amount = lendable(want.Amount, w.availableToBatch(now))
	} else {
		w.bucketDemand.add(now, min(want.Amount, w.bucket.share.Cap))
	}
	if amount <= 0 {
		return Grant{Left: w.bucket.level}
	}
	s.lastGrantID++
	out := Grant{ID: s.lastGrantID, Amount: amount}
	lifetime := s.opts.GrantLifetime
	if !slices.Contains(s.generation.Members, borrower) {
		lifetime = min(lifetime, s.opts.OutsiderLifetime)
		out.Lifetime = lifetime
	}
	w.bucket.lend(out.ID, grant{borrower: borrower, amount: amount, batch: want.Batch, expires: now.Add(lifetime + s.opts.GrantMargin)})
	out.Left = w.bucket.level
	return out
}

// lendable returns how much of a want to lend from the available tokens: all of
// it, or else whole tokens only, since a fraction of a token admits no request.
func lendable(want, available float64) float64 {
	if want <= available {
		return want
	}
	return max(0, math.Floor(available))
}

// Response is a lender's response to a Request, with one grant per want in the
// same order.
type Response struct {
	Generation membership.Generation `json:"generation"` // the generation applied at the lender
	Grants     []Grant               `json:"grants,omitempty"`
}

// OnResponse processes the response to a request that was sent at sentAt and drops
// the reports that it acknowledges. Tokens granted under an earlier generation
// than the one applied here are returned, because their lender may have lost
// its share.
func (s *State) OnResponse(now, sentAt time.Time, r Request, response Response) {
	lender, wants := r.Lender, r.Wants
	s.dropAcknowledged(lender, r.Reports)
	s.finishRequest(wants)
	current := response.Generation.Covers(s.generation.Number)
	for i, g := range response.Grants[:min(len(response.Grants), len(wants))] {
		w := s.workspaces[wants[i].Workspace]
		if w == nil {
			continue
		}
		w.lender(lender).finishRequest(now, g.Left)
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

// OnFailure records that a request got no response. The lender gets no further
// requests for failedLenderPause.
func (s *State) OnFailure(now time.Time, lender Identity, wants []Want) {
	s.finishRequest(wants)
	for _, want := range wants {
		if w := s.workspaces[want.Workspace]; w != nil {
			w.lender(lender).recordFailure(now)
		}
	}
}

// finishRequest subtracts the wants of a finished request from the tokens
// requested from lenders.
func (s *State) finishRequest(wants []Want) {
	for _, want := range wants {
		w := s.workspaces[want.Workspace]
		switch {
		case w == nil:
		case want.Batch:
			w.requested.Batch = max(0, w.requested.Batch-want.Amount)
		default:
			w.requested.Online = max(0, w.requested.Online-want.Amount)
		}
	}
}

// dropAcknowledged removes the reports that were sent with a completed request.
func (s *State) dropAcknowledged(lender Identity, reports []Report) {
	kept := slices.DeleteFunc(s.reports[lender], func(r queuedReport) bool {
		return slices.ContainsFunc(reports, func(sent Report) bool { return sent.ID == r.ID })
	})
	if len(kept) == 0 {
		delete(s.reports, lender)
		return
	}
	s.reports[lender] = kept
}

// borrowedFor returns the borrowed tokens that a class may use: tokens borrowed
// for batch items may also serve online requests, but not the reverse.
func (w *workspace) borrowedFor(batch bool) float64 {
	sum := 0.0
	for _, b := range w.borrowed {
		if !batch || b.batch {
			sum += b.left
		}
	}
	return sum
}

// spendBorrowed consumes n borrowed tokens: those of the same class first, and
// within a class those that expire first.
func (s *State) spendBorrowed(now time.Time, w *workspace, n float64, batch bool) {
	if n <= 0 {
		return
	}
	slices.SortFunc(w.borrowed, func(a, b borrowed) int {
		return cmp.Or(cmp.Compare(classOrder(a, batch), classOrder(b, batch)), a.expires.Compare(b.expires))
	})
	kept := w.borrowed[:0]
	for _, b := range w.borrowed {
		if !batch || b.batch {
			used := min(n, b.left)
			n -= used
			b.left -= used
		}
		if b.left <= roundingTolerance {
			s.closeBorrowed(now, w, b)
			continue
		}
		kept = append(kept, b)
	}
	w.borrowed = kept
}

// classOrder sorts grants borrowed for the given class before the others.
func classOrder(b borrowed, batch bool) int {
	if b.batch == batch {
		return 0
	}
	return 1
}

// closeBorrowed queues the report on a grant that is spent or returned.
func (s *State) closeBorrowed(now time.Time, w *workspace, b borrowed) {
	s.reports[b.lender] = append(s.reports[b.lender], queuedReport{
		Report:    Report{Workspace: w.name, ID: b.id, Returned: b.left},
		closedAt:  now,
		keepUntil: b.expires.Add(s.opts.GrantMargin),
	})
}

func (s *State) expireBorrowed(now time.Time, w *workspace) {
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool { return !now.Before(b.expires) })
}
