package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prefetchHorizon is for how much online demand tokens are borrowed ahead.
	// It covers several round trips between hosts.
	prefetchHorizon = 250 * time.Millisecond
	// probeInterval is how often a lender is asked although it is believed to
	// be empty, since returned tokens are not foreseen.
	probeInterval = 100 * time.Millisecond
	// returnAfter is the part of a grant's lifetime after which tokens that
	// the demand will not use are given back.
	returnAfter = 0.5
	// idleAfter is when a workspace without demand stops being looked at.
	idleAfter = 5 * time.Second
	// downInterval is how long a lender that did not answer is left out.
	downInterval = 500 * time.Millisecond
	// reportDelay lets reports travel with the next request to the lender.
	// Lent tokens count against its cap until then, so it is kept short.
	reportDelay = 50 * time.Millisecond
	// maxWants bounds one message.
	maxWants = 256
)

// lenderState is what this host believes of a lender's bucket.
type lenderState struct {
	left      float64
	at        time.Time // when left was reported
	asked     time.Time
	downUntil time.Time // did not answer; not asked until then
}

func (l *lenderState) answered(now time.Time, left float64) {
	l.left, l.at, l.downUntil = left, now, time.Time{}
}

func (l *lenderState) failed(now time.Time) { l.downUntil = now.Add(downInterval) }

// estimate returns the believed level of the lender's bucket.
func (l *lenderState) estimate(now time.Time, share Share) float64 {
	if l.at.IsZero() {
		return share.Cap
	}
	return min(share.Cap, l.left+share.Rate*now.Sub(l.at).Seconds())
}

func (w *workspace) lender(id Identity) *lenderState {
	l := w.lenders[id]
	if l == nil {
		l = &lenderState{}
		w.lenders[id] = l
	}
	return l
}

// forgetLenders drops what is known of hosts that are no longer ranked.
func (w *workspace) forgetLenders() {
	for id := range w.lenders {
		if !slices.Contains(w.ranking.order, id) {
			delete(w.lenders, id)
		}
	}
}

// Waiting is the tokens for which requests wait at this host, by class.
type Waiting struct{ Online, Batch float64 }

// Request is one message to a lender.
type Request struct {
	Lender  Identity
	Wants   []Want
	Reports []Report
}

// PlanWaiting returns the messages to send now for requests that wait, and with
// reports on closed grants. Lenders for which busy returns true are left out;
// there a message is under way. It costs time in proportion to the workspaces
// with waiting requests, and may be called whenever one begins to wait.
func (s *State) PlanWaiting(now time.Time, waiting map[string]Waiting, busy func(Identity) bool) []Request {
	requests := map[Identity]*Request{}
	for name, tokens := range waiting {
		w := s.active[name]
		if w == nil || !w.exists || s.opts.Policy == Static {
			continue
		}
		s.refill(now, w)
		s.expireBorrowed(now, w)
		s.planWorkspace(now, w, tokens, busy, requests)
	}
	return s.collect(now, requests, busy)
}

// Plan returns the same and also what to borrow for the demand of the next
// moments. It gives back surplus tokens and costs time in proportion to all
// active workspaces.
func (s *State) Plan(now time.Time, waiting map[string]Waiting, busy func(Identity) bool) []Request {
	s.dropReports(now)
	requests := map[Identity]*Request{}
	for name, w := range s.active {
		s.refill(now, w)
		s.expireBorrowed(now, w)
		s.returnSurplus(now, w)
		if s.idle(now, w, waiting[name]) {
			delete(s.active, name)
			continue
		}
		if s.opts.Policy != Static && w.exists {
			s.planWorkspace(now, w, waiting[name], busy, requests)
		}
	}
	return s.collect(now, requests, busy)
}

// collect attaches reports and orders the messages.
func (s *State) collect(now time.Time, requests map[Identity]*Request, busy func(Identity) bool) []Request {
	s.addReports(now, requests, busy)
	out := make([]Request, 0, len(requests))
	for _, r := range requests {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.Lender.Host, b.Lender.Host) })
	return out
}

func (s *State) idle(now time.Time, w *workspace, waiting Waiting) bool {
	return len(w.borrowed) == 0 && waiting == (Waiting{}) && now.Sub(w.touched) > idleAfter
}

func (s *State) planWorkspace(now time.Time, w *workspace, waiting Waiting, busy func(Identity) bool, requests map[Identity]*Request) {
	if want := w.onlineWant(now, waiting.Online) - w.asked.Online; want > 0 {
		s.spread(now, w, want, waiting.Online > 0, false, busy, requests)
	}
	if want := waiting.Batch - w.borrowedFor(true) - w.asked.Batch; want > 0 && w.bucket.level < waiting.Batch {
		s.spread(now, w, want, true, true, busy, requests)
	}
}

// onlineWant returns how many tokens to borrow: what waiting requests lack
// and, where the demand is more than a token per horizon, what it will lack.
func (w *workspace) onlineWant(now time.Time, waiting float64) float64 {
	stock := w.bucket.level + w.borrowedFor(false)
	predicted := w.online.at(now) * prefetchHorizon.Seconds()
	supply := w.bucket.share.Rate * prefetchHorizon.Seconds()
	if predicted < 1 {
		predicted = 0
	}
	want := max(waiting-stock, predicted+waiting-stock-supply)
	// Less than half the prediction is not worth a message.
	if waiting <= stock && want < predicted/2 {
		return 0
	}
	return want
}

// spread divides a want over the lenders, those with the fullest buckets first.
func (s *State) spread(now time.Time, w *workspace, want float64, urgent, batch bool, busy func(Identity) bool, requests map[Identity]*Request) {
	holders := w.ranking.holders(s.opts.Policy, w.limit)
	share := Share{Rate: w.limit.Rate / float64(len(holders)), Cap: w.limit.Burst / float64(len(holders))}
	for _, id := range s.byEstimate(now, w, holders, share) {
		l := w.lender(id)
		available := l.estimate(now, share)
		if available < 1 && (!urgent || now.Sub(l.asked) < probeInterval) {
			continue
		}
		if busy(id) || want <= 0 || now.Before(l.downUntil) {
			continue
		}
		ask := min(want, max(1, available))
		if !addWant(requests, id, Want{Workspace: w.name, Amount: ask, Batch: batch}) {
			continue
		}
		l.asked = now
		want -= ask
		if batch {
			w.asked.Batch += ask
		} else {
			w.asked.Online += ask
		}
	}
}

// byEstimate returns the lenders in order of believed level, in random order where equal.
func (s *State) byEstimate(now time.Time, w *workspace, holders []Identity, share Share) []Identity {
	out := make([]Identity, 0, len(holders))
	for _, id := range holders {
		if id.Host != s.opts.Self.Host {
			out = append(out, id)
		}
	}
	s.opts.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Identity) int {
		return cmp.Compare(w.lender(b).estimate(now, share), w.lender(a).estimate(now, share))
	})
	return out
}

func addWant(requests map[Identity]*Request, id Identity, want Want) bool {
	r := requests[id]
	if r == nil {
		r = &Request{Lender: id}
		requests[id] = r
	}
	if len(r.Wants) >= maxWants {
		return false
	}
	r.Wants = append(r.Wants, want)
	return true
}

// returnSurplus gives back borrowed tokens of which half the lifetime has
// passed and that the demand of the rest will not use.
func (s *State) returnSurplus(now time.Time, w *workspace) {
	rest := time.Duration((1 - returnAfter) * float64(s.opts.GrantLifetime))
	needed := (w.online.at(now) + w.batch.at(now)) * rest.Seconds()
	surplus := w.borrowedFor(false) - needed
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool {
		if b.expires.Sub(now) > rest || surplus < b.left {
			return false
		}
		surplus -= b.left
		s.closeBorrowed(now, w, b)
		return true
	})
}

// addReports attaches reports to messages, and makes messages for lenders that
// are not asked for anything for a while.
func (s *State) addReports(now time.Time, requests map[Identity]*Request, busy func(Identity) bool) {
	for id, reports := range s.reports {
		if busy(id) {
			continue
		}
		r := requests[id]
		if r == nil && now.Sub(reports[0].closed) < reportDelay {
			continue
		}
		if r == nil {
			r = &Request{Lender: id}
			requests[id] = r
		}
		for _, rep := range reports[:min(len(reports), maxWants)] {
			r.Reports = append(r.Reports, rep.Report)
		}
	}
}

// dropReports forgets reports on grants that their lender has let expire.
func (s *State) dropReports(now time.Time) {
	for id, reports := range s.reports {
		kept := slices.DeleteFunc(reports, func(r report) bool { return !now.Before(r.until) })
		if len(kept) == 0 {
			delete(s.reports, id)
			continue
		}
		s.reports[id] = kept
	}
}
