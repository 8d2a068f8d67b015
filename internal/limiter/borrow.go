package limiter

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/peer"
)

// methodBorrow requests tokens of several workspaces from a host.
const methodBorrow = "limit.borrow"

// borrowParams is the request of limit.borrow.
type borrowParams struct {
	From    string         `json:"from"` // incarnation of the borrower
	To      string         `json:"to"`   // incarnation of the lender that the reports are for
	Wants   []limit.Want   `json:"wants,omitempty"`
	Reports []limit.Report `json:"reports,omitempty"`
}

// borrowReply responds to the wants in order.
type borrowReply struct {
	Incarnation string `json:"incarnation"`
	limit.Response
}

// loop serves waiting requests and borrows until Close.
func (l *Limiter) loop() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.wakeup:
		case <-timer.C:
		}
		timer.Reset(l.serveAndBorrow())
	}
}

// serveAndBorrow admits waiting requests, starts borrow calls, and returns the
// time until the next round.
func (l *Limiter) serveAndBorrow() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.admitWaiting(now)
	if l.ctx.Err() == nil && l.opts.Fleet.MayAdmit(now) == nil {
		for _, r := range l.planRequests(now) {
			l.startBorrow(now, r)
		}
	}
	switch {
	case l.waitingCount > 0:
		return waitingInterval
	case l.state.Active():
		return activeInterval
	default:
		return idleInterval
	}
}

// planRequests plans for all active workspaces once per activeInterval, and in
// between only for those with waiting requests.
func (l *Limiter) planRequests(now time.Time) []limit.Request {
	if now.Sub(l.lastFullPlan) < activeInterval {
		return l.state.PlanWaiting(now, l.waitingTokens(), l.lenderBusy(now))
	}
	l.lastFullPlan = now
	return l.state.Plan(now, l.waitingTokens(), l.lenderBusy(now))
}

// admitWaiting admits waiting requests in order, online requests first. Without
// a freshness lease online requests fail and batch items keep waiting.
func (l *Limiter) admitWaiting(now time.Time) {
	if l.waitingCount == 0 {
		return
	}
	leaseErr := l.opts.Fleet.MayAdmit(now)
	for name, q := range l.queues {
		l.admitFromQueue(now, name, q, leaseErr)
		if q.empty() {
			delete(l.queues, name)
		}
	}
}

func (l *Limiter) admitFromQueue(now time.Time, name string, q *queue, leaseErr error) {
	for len(q.waiters[Online]) > 0 {
		w := q.waiters[Online][0]
		if leaseErr == nil && !l.take(now, name, w.amount, Online) {
			return
		}
		if leaseErr != nil {
			stats.Add("not_fresh", 1)
		}
		l.finish(q, w, leaseErr)
	}
	for leaseErr == nil && len(q.waiters[Batch]) > 0 {
		w := q.waiters[Batch][0]
		if !l.take(now, name, w.amount, Batch) {
			return
		}
		l.finish(q, w, nil)
	}
}

func (l *Limiter) finish(q *queue, w *waiter, err error) {
	q.remove(w)
	l.waitingCount--
	w.result <- err
}

func (l *Limiter) waitingTokens() map[string]limit.ClassTokens {
	out := make(map[string]limit.ClassTokens, len(l.queues))
	for name, q := range l.queues {
		if !q.empty() {
			out[name] = limit.ClassTokens{Online: q.tokens[Online], Batch: q.tokens[Batch]}
		}
	}
	return out
}

// lenderBusy returns a function that reports whether a call to a lender is in
// flight or was sent within minBorrowInterval.
func (l *Limiter) lenderBusy(now time.Time) func(limit.Identity) bool {
	return func(id limit.Identity) bool {
		return l.inFlight[id] || now.Sub(l.lastSent[id]) < minBorrowInterval
	}
}

// startBorrow sends one borrow call on its own goroutine. The caller holds mu.
func (l *Limiter) startBorrow(now time.Time, r limit.Request) {
	l.inFlight[r.Lender] = true
	l.lastSent[r.Lender] = now
	stats.Add("borrow_calls", 1)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.borrow(now, r)
	}()
}

func (l *Limiter) borrow(sentAt time.Time, r limit.Request) {
	ctx, cancel := context.WithTimeout(l.ctx, borrowTimeout)
	defer cancel()
	params := borrowParams{From: l.self.Incarnation, To: r.Lender.Incarnation, Wants: r.Wants, Reports: r.Reports}
	var reply borrowReply
	err := l.opts.Peers.Call(ctx, peer.HostID(r.Lender.Host), methodBorrow, params, &reply)

	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	delete(l.inFlight, r.Lender)
	if err != nil || reply.Incarnation != r.Lender.Incarnation {
		// Tokens from a process that is not a known member are left to expire.
		stats.Add("borrow_failures", 1)
		l.state.OnFailure(now, r.Lender, r.Wants)
		return
	}
	for _, g := range reply.Grants {
		stats.AddFloat("tokens_borrowed", g.Amount)
	}
	l.state.OnResponse(now, sentAt, r, reply.Response)
	l.admitWaiting(now)
	if l.waitingCount > 0 {
		l.wakeLoop()
	}
}

// serveBorrow handles limit.borrow. A host without a freshness lease lends
// nothing, because other hosts may have taken over its shares.
func (l *Limiter) serveBorrow(_ context.Context, from peer.HostID, raw json.RawMessage) (any, error) {
	var in borrowParams
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrapf(err, "decode limit.borrow of %s", from)
	}
	if in.To != l.self.Incarnation {
		return borrowReply{Incarnation: l.self.Incarnation}, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if err := l.opts.Fleet.MayAdmit(now); err != nil {
		return nil, err
	}
	borrower := limit.Identity{Host: string(from), Incarnation: in.From}
	response := l.state.Lend(now, borrower, in.Wants, in.Reports)
	for i, g := range response.Grants {
		stats.AddFloat("tokens_lent", g.Amount)
		invariant.Check(l.state.TokensWithinShare(in.Wants[i].Workspace), "I7", "lend tokens", string(from), "workspace", in.Wants[i].Workspace)
	}
	stats.Add("lend_calls", 1)
	return borrowReply{Incarnation: l.self.Incarnation, Response: response}, nil
}
