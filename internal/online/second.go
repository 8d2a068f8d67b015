package online

import (
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/hedge"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/decisionlog"
	"ragwortstep/internal/slots"
)

// firstByteSection is the digest section with the times to the first byte.
const firstByteSection = "first_bytes"

// SecondAttempts limits the second attempts of a host and learns when they start. It is safe
// for concurrent use; a nil one has none.
type SecondAttempts struct {
	log    *slog.Logger
	mu     sync.Mutex
	policy *hedge.Policy
}

// NewSecondAttempts returns the second attempts of a host, limited to a part of the requests
// of each route, and registers it with the cluster. It returns nil if the limit is 0.
func NewSecondAttempts(c *cluster.Cluster, limit float64, logger *slog.Logger) *SecondAttempts {
	if limit <= 0 {
		return nil
	}
	s := &SecondAttempts{log: logger, policy: hedge.New(limit)}
	c.Provide(firstByteSection, s.digest)
	c.Merge(firstByteSection, mergeFirstBytes)
	c.Receive(firstByteSection, s.received)
	return s
}

func (s *SecondAttempts) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy.Report(time.Now())
}

func decodeFirstBytes(raw cluster.Raw) (hedge.Report, error) {
	var out hedge.Report
	return out, cbor.Unmarshal(raw, &out)
}

func mergeFirstBytes(values []cluster.Raw) (any, error) {
	var out hedge.Report
	for _, raw := range values {
		r, err := decodeFirstBytes(raw)
		if err != nil {
			return nil, err
		}
		out.Add(r, 1)
	}
	return out, nil
}

func (s *SecondAttempts) received(u cluster.SectionUpdate) {
	report, err := decodeFirstBytes(u.Raw)
	if err == nil && u.Own != nil {
		var own hedge.Report
		own, err = decodeFirstBytes(u.Own)
		report.Add(own, -1)
	}
	if err != nil {
		s.log.Warn("cannot decode times to the first byte of peer", "step", "decode digest", "peer", u.From.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy.Merge(u.From.Name, report, time.Now())
}

// sent records the first send of a call, whose objective is at an instant. It returns nil if
// there are no second attempts.
func (s *SecondAttempts) sent(route, service, server string, objective time.Time) *hedge.Awaited {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	a := s.policy.Sent(hedge.Key{Route: route, Service: service}, server, objective.Sub(now), now)
	return &a
}

// with calls fn with the policy.
func (s *SecondAttempts) with(fn func(p *hedge.Policy, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.policy, time.Now())
}

// startSecond sends the call to a second server, if it may be, because the first one takes
// unusually long. It returns true if the call is finished.
func (f *forwarding) startSecond() bool {
	select {
	case a := <-f.current.arrivals:
		f.awaitNextStep(f.current.silentFor()) // not all arrivals do
		return f.currentHeard(a)
	default:
	}
	f.secondDecided = true
	slot, denial := f.spareSlot()
	if denial != hedge.Allowed {
		f.opts.Metrics.Add("second_attempts_denied_total", 1, "route", f.route.Name, "reason", string(denial))
		f.log.Log(f.ctx, decisionlog.LevelSampled, "no second attempt", "event", "second_attempt_denied", "request", f.call.ID,
			"route", f.route.Name, "server", f.server, "reason", string(denial), "after_ms", f.firstAwaited.After.Milliseconds())
		f.awaitNextStep(f.current.silentFor())
		return false
	}
	f.opts.Metrics.Add("second_attempts_total", 1, "route", f.route.Name)
	f.other = f.send(slot)
	f.second = f.other
	f.log.Info("second attempt started", "event", "second_attempt", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "other", slot.Server.ID, "after_ms", f.firstAwaited.After.Milliseconds(),
		"sends", f.attempts.Count(), "left_ms", time.Until(f.deadline).Milliseconds())
	f.awaitOther()
	return false
}

// spareSlot returns a slot for a second attempt and uses up its budget, or the reason why
// there is none.
func (f *forwarding) spareSlot() (*slots.Slot, hedge.Denial) {
	suspect := f.opts.Suspects.suspected(f.fps)
	demand := f.opts.Slots.Demand(f.service)
	denial := hedge.Allowed
	f.opts.SecondAttempts.with(func(p *hedge.Policy, now time.Time) {
		p.Overdue(f.firstAwaited, now)
		denial = p.Decide(*f.firstAwaited, hedge.Conditions{
			MayAskNew: f.attempts.MayAskNew(), Suspect: suspect, Waiting: demand.Waiting > 0, Load: demand.Load, Slots: demand.Slots,
			SinceStart: now.Sub(f.call.Arrived), Objective: min(f.route.Objective, f.deadline.Sub(f.call.Arrived)),
		}, now)
	})
	if denial != hedge.Allowed {
		return nil, denial
	}
	request := f.slotRequest()
	request.Tried = f.attempts.Tried()
	slot := f.opts.Slots.Spare(request, f.current.slot.Server.Address)
	if slot == nil {
		return nil, hedge.Scarce
	}
	f.granted = slot
	if f.recheckGranted() != nil {
		denial = hedge.Refused
	} else {
		f.opts.SecondAttempts.with(func(p *hedge.Policy, now time.Time) {
			if !p.Spend(*f.firstAwaited, now) {
				denial = hedge.NoBudget
			}
		})
	}
	if denial != hedge.Allowed {
		f.giveBack()
		return nil, denial
	}
	return slot, hedge.Allowed
}

// cancelFirst goes on with the second attempt, which has begun to answer. The first server
// was slower and may be at work, so that this is no failure of it.
func (f *forwarding) cancelFirst() {
	failed := false
	if f.firstAwaited != nil {
		f.opts.SecondAttempts.with(func(p *hedge.Policy, _ time.Time) { failed = p.Lost(f.firstAwaited) })
	}
	if failed {
		f.giveUpCurrent("its server has begun no answer while several others answered")
		return
	}
	x := f.current
	f.mayRun = true
	f.release(x, placement.Neutral, 0)
	f.attempts.AllowAgain(x.slot.Server.ID)
	f.otherBecomesCurrent()
}

// secondWon records that the call goes on with its second attempt.
func (f *forwarding) secondWon() {
	x := f.second
	f.second = nil
	f.endSecond("won", x)
}

// endSecond logs and counts the outcome of a second attempt. The work for the call at the
// server that lost is extra work, of which its tokens are an upper bound.
func (f *forwarding) endSecond(outcome string, x *exchange) {
	f.opts.Metrics.Add("second_attempts_"+outcome+"_total", 1, "route", f.route.Name)
	if !x.rejected {
		f.opts.Metrics.Add("second_attempt_tokens_total", int64(f.call.Cost), "route", f.route.Name)
	}
	f.log.Info("second attempt "+outcome, "event", "second_attempt_"+outcome, "request", f.call.ID, "route", f.route.Name,
		"server", f.first.slot.Server.ID, "other", x.slot.Server.ID, "rejected", x.rejected, "took_ms", time.Since(x.sentAt).Milliseconds())
}

// firstByteArrived records that the answer of an exchange has begun soundly.
func (f *forwarding) firstByteArrived(x *exchange) {
	if x != f.first || f.firstAwaited == nil {
		return
	}
	f.opts.SecondAttempts.with(func(p *hedge.Policy, now time.Time) { p.Answered(f.firstAwaited, now.Sub(x.sentAt), now) })
	f.firstAwaited = nil
}

// stopAwaiting is called at the end of each exchange.
func (f *forwarding) stopAwaiting(x *exchange) {
	if x == f.second {
		f.second = nil
		f.endSecond("lost", x)
	}
	if x != f.first || f.firstAwaited == nil {
		return
	}
	if f.firstAwaited.IsOverdue {
		f.opts.SecondAttempts.with(func(p *hedge.Policy, now time.Time) { p.Unanswered(f.firstAwaited, now.Sub(x.sentAt), now) })
	}
	f.firstAwaited = nil
}
