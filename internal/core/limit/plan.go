package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// prefetchHorizon is how far ahead tokens are borrowed for online demand. It
	// covers several round trips between hosts.
	prefetchHorizon = 250 * time.Millisecond
	// probeInterval is how often a lender whose bucket is estimated to be empty
	// is asked anyway, since the estimate does not include returned tokens.
	probeInterval = 100 * time.Millisecond
	// returnAfterFraction is the fraction of a grant's lifetime after which
	// tokens that exceed the demand are returned.
	returnAfterFraction = 0.5
	// idleTimeout is how long a workspace stays active without demand.
	idleTimeout = 5 * time.Second
	// failedLenderPause is how long a lender that did not respond gets no requests.
	failedLenderPause = 500 * time.Millisecond
	// reportDelay is how long a report waits for a request to the lender that
	// can carry it. Lent tokens count against the lender's cap until the report
	// arrives, so the delay is short.
	reportDelay = 50 * time.Millisecond
	// maxItemsPerMessage bounds the wants, and likewise the reports, of one message.
	maxItemsPerMessage = 256
)

// lenderState is this host's estimate of a lender's bucket for one workspace.
type lenderState struct {
	level       float64
	reportedAt  time.Time // when level was reported, zero if never
	requested   time.Time // when tokens were last requested
	pausedUntil time.Time // no requests until then, because one got no response
}

// finishRequest records the bucket level from a response.
func (l *lenderState) finishRequest(now time.Time, level float64) {
	l.level, l.reportedAt, l.pausedUntil = level, now, time.Time{}
}

func (l *lenderState) recordFailure(now time.Time) { l.pausedUntil = now.Add(failedLenderPause) }

// estimatedLevel extrapolates the last reported level; a lender that has not
// reported one is assumed to have a full bucket.
func (l *lenderState) estimatedLevel(now time.Time, share Share) float64 {
	if l.reportedAt.IsZero() {
		return share.Cap
	}
	return min(share.Cap, l.level+share.Rate*now.Sub(l.reportedAt).Seconds())
}

// lender returns the state of a lender and creates it if necessary.
func (w *workspace) lender(id Identity) *lenderState {
	l := w.lenders[id]
	if l == nil {
		l = &lenderState{}
		w.lenders[id] = l
	}
	return l
}

// pruneLenders drops the state of lenders that are no longer in the ranking.
func (w *workspace) pruneLenders() {
	for id := range w.lenders {
		if !slices.Contains(w.ranking.order, id) {
			delete(w.lenders, id)
		}
	}
}

// ClassTokens is an amount of tokens by class, for example the tokens that queued
// requests need at this host.
type ClassTokens struct{ Online, Batch float64 }

// Request is one message to a lender.
type Request struct {
	Lender  Identity
	Wants   []Want
	Reports []Report
}

// PlanWaiting returns the messages to send now to borrow tokens for waiting
// requests and to report closed grants. Lenders for which busy returns true are
// skipped, because a message to them is in flight. It takes time proportional to
// the number of workspaces with waiting requests, so it may be called whenever a
// request starts to wait.
func (s *State) PlanWaiting(now time.Time, waiting map[string]ClassTokens, busy func(Identity) bool) []Request {
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
	return s.collectRequests(now, requests, busy)
}

// Plan is like PlanWaiting, but also borrows for predicted demand and returns
// surplus tokens. It takes time proportional to the number of active workspaces.
func (s *State) Plan(now time.Time, waiting map[string]ClassTokens, busy func(Identity) bool) []Request {
	s.dropExpiredReports(now)
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
	return s.collectRequests(now, requests, busy)
}

// collectRequests attaches reports and returns the messages sorted by host.
func (s *State) collectRequests(now time.Time, requests map[Identity]*Request, busy func(Identity) bool) []Request {
	s.attachReports(now, requests, busy)
	out := make([]Request, 0, len(requests))
	for _, r := range requests {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Request) int { return cmp.Compare(a.Lender.Host, b.Lender.Host) })
	return out
}

func (s *State) idle(now time.Time, w *workspace, waiting ClassTokens) bool {
	return len(w.borrowed) == 0 && waiting == (ClassTokens{}) && now.Sub(w.lastDemandAt) > idleTimeout
}

func (s *State) planWorkspace(now time.Time, w *workspace, waiting ClassTokens, busy func(Identity) bool, requests map[Identity]*Request) {
	if want := w.onlineShortfall(now, waiting.Online) - w.requested.Online; want > 0 {
		s.distributeWant(now, w, want, waiting.Online > 0, false, busy, requests)
	}
	if want := waiting.Batch - w.borrowedFor(true) - w.requested.Batch; want > 0 && w.bucket.level < waiting.Batch {
		s.distributeWant(now, w, want, true, true, busy, requests)
	}
}

// onlineShortfall returns how many tokens to borrow for online requests: the
// shortfall of waiting requests and, if the demand exceeds one token per
// prefetchHorizon, the predicted shortfall.
func (w *workspace) onlineShortfall(now time.Time, waiting float64) float64 {
	stock := w.bucket.level + w.borrowedFor(false)
	predicted := w.online.rateAt(now) * prefetchHorizon.Seconds()
	supply := w.bucket.share.Rate * prefetchHorizon.Seconds()
	if predicted < 1 {
		predicted = 0
	}
	want := max(waiting-stock, predicted+waiting-stock-supply)
	// Avoids messages for less than half of the predicted demand.
	if waiting <= stock && want < predicted/2 {
		return 0
	}
	return want
}

// distributeWant divides a want among the lenders, those with the fullest buckets first.
func (s *State) distributeWant(now time.Time, w *workspace, want float64, urgent, batch bool, busy func(Identity) bool, requests map[Identity]*Request) {
	holders := w.ranking.holders(s.opts.Policy, w.limit)
	share := Share{Rate: w.limit.Rate / float64(len(holders)), Cap: w.limit.Burst / float64(len(holders))}
	for _, id := range s.lendersByLevel(now, w, holders, share) {
		l := w.lender(id)
		available := l.estimatedLevel(now, share)
		if available < 1 && (!urgent || now.Sub(l.requested) < probeInterval) {
			continue
		}
		if busy(id) || want <= 0 || now.Before(l.pausedUntil) {
			continue
		}
		amount := min(want, max(1, available))
		if !addWant(requests, id, Want{Workspace: w.name, Amount: amount, Batch: batch}) {
			continue
		}
		l.requested = now
		want -= amount
		if batch {
			w.requested.Batch += amount
		} else {
			w.requested.Online += amount
		}
	}
}

// lendersByLevel returns the lenders by descending estimated level. The order of
// lenders with equal levels is random.
func (s *State) lendersByLevel(now time.Time, w *workspace, holders []Identity, share Share) []Identity {
	out := make([]Identity, 0, len(holders))
	for _, id := range holders {
		if id.Host != s.opts.Self.Host {
			out = append(out, id)
		}
	}
	s.opts.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Identity) int {
		return cmp.Compare(w.lender(b).estimatedLevel(now, share), w.lender(a).estimatedLevel(now, share))
	})
	return out
}

// addWant adds a want to the message for a lender. It returns false if the
// message is full.
func addWant(requests map[Identity]*Request, id Identity, want Want) bool {
	r := requests[id]
	if r == nil {
		r = &Request{Lender: id}
		requests[id] = r
	}
	if len(r.Wants) >= maxItemsPerMessage {
		return false
	}
	r.Wants = append(r.Wants, want)
	return true
}

// returnSurplus returns borrowed tokens past returnAfterFraction of their
// lifetime that exceed the demand predicted for the remaining time.
func (s *State) returnSurplus(now time.Time, w *workspace) {
	remaining := time.Duration((1 - returnAfterFraction) * float64(s.opts.GrantLifetime))
	needed := (w.online.rateAt(now) + w.batch.rateAt(now)) * remaining.Seconds()
	surplus := w.borrowedFor(false) - needed
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool {
		if b.expires.Sub(now) > remaining || surplus < b.left {
			return false
		}
		surplus -= b.left
		s.closeBorrowed(now, w, b)
		return true
	})
}

// attachReports attaches reports to the messages, and creates a message for a
// lender whose oldest report has waited for reportDelay.
func (s *State) attachReports(now time.Time, requests map[Identity]*Request, busy func(Identity) bool) {
	for id, reports := range s.reports {
		if busy(id) {
			continue
		}
		r := requests[id]
		if r == nil && now.Sub(reports[0].closedAt) < reportDelay {
			continue
		}
		if r == nil {
			r = &Request{Lender: id}
			requests[id] = r
		}
		for _, rep := range reports[:min(len(reports), maxItemsPerMessage)] {
			r.Reports = append(r.Reports, rep.Report)
		}
	}
}

// dropExpiredReports drops reports on grants that have expired at their lender.
func (s *State) dropExpiredReports(now time.Time) {
	for id, reports := range s.reports {
		kept := slices.DeleteFunc(reports, func(r queuedReport) bool { return !now.Before(r.keepUntil) })
		if len(kept) == 0 {
			delete(s.reports, id)
			continue
		}
		s.reports[id] = kept
	}
}
