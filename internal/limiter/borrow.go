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

// methodBorrow asks a host for tokens of many workspaces.
const methodBorrow = "limit.borrow"

// borrowParams is the request of limit.borrow.
type borrowParams struct {
	From    string         `json:"from"` // incarnation of the borrower
	To      string         `json:"to"`   // incarnation of the lender that the reports are for
	Wants   []limit.Want   `json:"wants,omitempty"`
	Reports []limit.Report `json:"reports,omitempty"`
}

// borrowReply answers each want.
type borrowReply struct {
	Incarnation string `json:"incarnation"`
	limit.Answer
}

// run serves waiting requests and borrows until Close.
func (l *Limiter) run() {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.kick:
		case <-timer.C:
		}
		timer.Reset(l.pump())
	}
}

// pump serves the queues, sends what is to be borrowed, and returns when to do
// so again.
func (l *Limiter) pump() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	l.serveQueues(now)
	if l.ctx.Err() == nil && l.opts.Fleet.MayAdmit(now) == nil {
		for _, r := range l.plan(now) {
			l.send(now, r)
		}
	}
	switch {
	case l.waiting > 0:
		return waitingTick
	case l.state.Active():
		return activeTick
	default:
		return idleTick
	}
}

// plan looks at all active workspaces once per activeTick, and at those with
// waiting requests in between.
func (l *Limiter) plan(now time.Time) []limit.Request {
	if now.Sub(l.planned) < activeTick {
		return l.state.PlanWaiting(now, l.waitingTokens(), l.busyAt(now))
	}
	l.planned = now
	return l.state.Plan(now, l.waitingTokens(), l.busyAt(now))
}

// serveQueues admits waiting requests in order, online ones first. Without a
// freshness lease online requests fail and batch items go on waiting.
func (l *Limiter) serveQueues(now time.Time) {
	if l.waiting == 0 {
		return
	}
	fresh := l.opts.Fleet.MayAdmit(now)
	for name, q := range l.queues {
		l.serveQueue(now, name, q, fresh)
		if q.empty() {
			delete(l.queues, name)
		}
	}
}

func (l *Limiter) serveQueue(now time.Time, name string, q *queue, fresh error) {
	for len(q.waiters[Online]) > 0 {
		w := q.waiters[Online][0]
		if fresh == nil && !l.take(now, name, w.n, Online) {
			return
		}
		if fresh != nil {
			stats.Add("not_fresh", 1)
		}
		l.finish(q, w, fresh)
	}
	for fresh == nil && len(q.waiters[Batch]) > 0 {
		w := q.waiters[Batch][0]
		if !l.take(now, name, w.n, Batch) {
			return
		}
		l.finish(q, w, nil)
	}
}

func (l *Limiter) finish(q *queue, w *waiter, err error) {
	q.remove(w)
	l.waiting--
	w.done <- err
}

func (l *Limiter) waitingTokens() map[string]limit.Waiting {
	out := make(map[string]limit.Waiting, len(l.queues))
	for name, q := range l.queues {
		if !q.empty() {
			out[name] = limit.Waiting{Online: q.tokens[Online], Batch: q.tokens[Batch]}
		}
	}
	return out
}

// busyAt tells lenders with a message under way, or sent a moment ago.
func (l *Limiter) busyAt(now time.Time) func(limit.Identity) bool {
	return func(id limit.Identity) bool {
		return l.inFlight[id] || now.Sub(l.lastSent[id]) < borrowGap
	}
}

// send carries out one request on its own goroutine. The caller holds mu.
func (l *Limiter) send(now time.Time, r limit.Request) {
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
		// Tokens of a process that this host does not know as a member are
		// left to expire.
		stats.Add("borrow_failures", 1)
		l.state.Failed(now, r.Lender, r.Wants)
		return
	}
	for _, g := range reply.Grants {
		stats.AddFloat("tokens_borrowed", g.Amount)
	}
	l.state.Receive(now, sentAt, r, reply.Answer)
	l.serveQueues(now)
	if l.waiting > 0 {
		l.wake()
	}
}

// serveBorrow answers limit.borrow. A host without a freshness lease lends
// nothing, since its shares may have been taken over.
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
	answer := l.state.Lend(now, borrower, in.Wants, in.Reports)
	for i, g := range answer.Grants {
		stats.AddFloat("tokens_lent", g.Amount)
		invariant.Check(l.state.Consistent(in.Wants[i].Workspace), "I7", "lend tokens", string(from), "workspace", in.Wants[i].Workspace)
	}
	stats.Add("lend_calls", 1)
	return borrowReply{Incarnation: l.self.Incarnation, Answer: answer}, nil
}
