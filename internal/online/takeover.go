package online

import (
	"context"
	"net/http"
	"time"

	"ragwortstep/internal/core/hedge"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

const (
	// takeOverWait is how long a call waits for a place at another server while the
	// current one is silent.
	takeOverWait = 100 * time.Millisecond
	// maxStreamOverlap is how long two servers may work on one stream. Servers must
	// not go on with a stream at the same time for longer than 400 ms.
	maxStreamOverlap = 300 * time.Millisecond
	// minSilenceTimeout is the shortest time to a next step that is overdue.
	minSilenceTimeout = time.Millisecond
	// deadlineSilencePart is the part of the route's timeout after which a server that
	// is silent until the deadline counts as failed, on routes whose timeout is short.
	deadlineSilencePart = 0.5
)

// converse relays the answer of the current exchange. While its server is silent,
// it asks another one, which takes over once its answer has begun. It returns true
// if the call is finished, and false if there is no exchange left.
func (f *forwarding) converse() bool {
	f.silence = time.NewTimer(f.objectives().GiveUpAfter()) // set below
	defer f.silence.Stop()
	f.awaitCurrent()
	for f.current != nil {
		var others chan arrival
		if f.other != nil {
			others = f.other.arrivals
		}
		done := false
		select {
		case a := <-f.current.arrivals:
			done = f.currentHeard(a)
		case a := <-others:
			done = f.otherHeard(a)
		case <-f.silence.C:
			done = f.handleSilence()
		}
		if done {
			f.releaseAll()
			return true
		}
	}
	return false
}

// currentHeard handles a part of the current exchange's answer. It returns true if
// the call is finished.
func (f *forwarding) currentHeard(a arrival) bool {
	switch f.process(f.current, a) {
	case finished:
		return true
	case ended:
		f.otherBecomesCurrent()
		f.awaitCurrent()
	case goesOn:
		f.current.heardAt = time.Now()
		if f.other != nil {
			f.releaseOther("its server was heard")
		}
		f.awaitCurrent()
	}
	return false
}

// otherHeard handles a part of the other exchange's answer. It returns true if the
// call is finished.
func (f *forwarding) otherHeard(a arrival) bool {
	x, isSecond := f.other, f.other == f.second
	if a.isComment() {
		x.skipped = true
		return false
	}
	if f.takesOver(x, a) {
		if isSecond && !f.isSilent(f.current) {
			f.cancelFirst()
		} else {
			f.giveUpCurrent("the other server answers")
		}
		return f.currentHeard(a)
	}
	switch f.process(x, a) {
	case finished:
		return true
	case ended:
		if x.rejected {
			f.attempts.AllowAgain(x.slot.Server.ID)
		}
		f.logGoesOn(x, "the other server has no answer")
		f.awaitAfterOther(isSecond)
	case goesOn:
		x.heardAt = time.Now()
	}
	return false
}

// giveUpCurrent goes on with the other exchange instead of the current one, whose
// server is silent.
func (f *forwarding) giveUpCurrent(reason string) {
	x := f.current
	f.takeOvers++
	f.log.Info("another server takes over", "event", "taken_over", "request", f.call.ID, "route", f.route.Name,
		"from", f.server, "server", f.other.slot.Server.ID, "reason", reason,
		"silent_ms", x.silentFor().Milliseconds(), "events", f.eventsSent)
	f.mayRun = true
	stage := upstream.Sent
	if x.streaming {
		stage = upstream.InResponse
	}
	f.recordFailure(x, &upstream.Error{
		Stage: stage, Silent: true, Step: "await answer of", Peer: x.slot.Server.Address, Err: context.DeadlineExceeded,
	})
	f.attempts.AllowAgain(x.slot.Server.ID)
	f.otherBecomesCurrent()
}

// otherBecomesCurrent goes on with the other exchange, if there is one, after the
// end of the current one.
func (f *forwarding) otherBecomesCurrent() {
	// A caller that has left ends both exchanges, and neither of them wins.
	if f.other != nil && f.other == f.second && f.ctx.Err() == nil {
		f.secondWon()
	}
	if f.current, f.other = f.other, nil; f.current != nil {
		f.server = f.current.slot.Server.ID
	}
}

// takesOver reports whether the other exchange's answer has begun soundly.
func (f *forwarding) takesOver(x *exchange, a arrival) bool {
	switch a.part {
	case wholeBody:
		return a.err == nil && a.resp.Status < http.StatusMultipleChoices
	case event:
		return a.err == nil && f.checkEventOrder(a.event) == nil
	}
	return false
}

// handleSilence is called when the current exchange, or the other one, was silent
// for too long. It returns true if the call is finished.
func (f *forwarding) handleSilence() bool {
	switch {
	case f.other == nil:
		return f.takeNextStep()
	case f.route.Kind != routing.Stream:
		return f.replaceCurrent()
	case f.current.silentFor() >= f.giveUpAfter():
		f.giveUpCurrent("the other server was sent the request later")
		f.awaitCurrent()
	default:
		isSecond := f.other == f.second
		f.releaseOther("the other server is silent too")
		f.awaitAfterOther(isSecond)
	}
	return false
}

// takeNextStep does what is due while the current exchange is silent and there is no other
// one. It returns true if the call is finished.
func (f *forwarding) takeNextStep() bool {
	switch step, in := f.nextStep(f.current.silentFor()); {
	case step == hedge.Wait:
	case in > 0:
		f.setSilenceTimeout(in)
	case step == hedge.Second:
		return f.startSecond()
	default:
		return f.askAnother()
	}
	return false
}

// askAnother sends the call to another server because the current one is silent,
// unless that one is heard before there is a place. It returns true if the call is
// finished.
func (f *forwarding) askAnother() bool {
	if time.Until(f.deadline) < minTimeLeft {
		return false
	}
	slot, refusal := f.slot(time.Now().Add(takeOverWait), f.nextServers())
	if refusal != nil && f.mayReach(refusal) {
		return f.askAnother()
	}
	if refusal != nil {
		f.awaitCurrent()
		return false
	}
	defer f.giveBack() // unless it is used
	select {
	case a := <-f.current.arrivals:
		x := f.current
		f.awaitCurrent() // not all arrivals do
		if done := f.currentHeard(a); done || f.current != x || !a.isComment() {
			return done
		}
	default:
	}
	f.sendToOther(slot)
	return false
}

// replaceCurrent gives the current exchange up if there is a place at a server that
// was not asked before. Otherwise it keeps both exchanges: their servers may be at
// work, and would never end it if they were given up for one another in turn. It
// returns true if the call is finished.
func (f *forwarding) replaceCurrent() bool {
	if !f.attempts.MayAskNew() || f.current.silentFor() < f.giveUpAfter() || time.Until(f.deadline) < minTimeLeft {
		f.awaitOther()
		return false
	}
	request := f.slotRequest()
	request.Tried = f.attempts.Tried()
	slot, refusal := f.slot(time.Now().Add(takeOverWait), request)
	if refusal != nil {
		f.awaitOther()
		return false
	}
	select {
	case a := <-f.current.arrivals:
		f.giveBack()
		f.awaitOther() // not all arrivals restart the timer
		return f.currentHeard(a)
	case a := <-f.other.arrivals:
		f.giveBack()
		f.awaitOther()
		return f.otherHeard(a)
	default:
	}
	f.giveUpCurrent("a further server has a place")
	f.sendToOther(slot)
	return false
}

// sendToOther sends the call to another server beside the current one.
func (f *forwarding) sendToOther(slot *slots.Slot) {
	f.opts.Metrics.Retried(f.route.Name)
	f.log.Info("asking another server", "event", "retry", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "sends", f.attempts.Count(), "events", f.eventsSent, "silent_ms", f.current.silentFor().Milliseconds(),
		"left_ms", time.Until(f.deadline).Milliseconds())
	f.other = f.send(slot)
	f.awaitOther()
}

// releaseOther drops the other exchange, whose server may be asked again.
func (f *forwarding) releaseOther(reason string) {
	x := f.other
	f.logGoesOn(x, reason)
	f.mayRun = true // the other server may have begun
	f.release(x, placement.Neutral, 0)
	f.attempts.AllowAgain(x.slot.Server.ID)
}

func (f *forwarding) logGoesOn(other *exchange, reason string) {
	f.log.Info("answer goes on at its server", "event", "not_taken_over", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "other", other.slot.Server.ID, "reason", reason, "sends", f.attempts.Count(), "events", f.eventsSent)
}

// awaitCurrent sets the time after which a further server is asked, unless the current one
// is heard.
func (f *forwarding) awaitCurrent() { f.awaitNextStep(0) }

// awaitNextStep is awaitCurrent for an exchange that has been silent for a time already.
func (f *forwarding) awaitNextStep(silent time.Duration) {
	step, in := f.nextStep(silent)
	if step != hedge.Wait {
		in = max(in, minSilenceTimeout)
	}
	f.setSilenceTimeout(in)
}

// awaitAfterOther awaits the current exchange alone after the other one has ended. A second
// attempt does not put off the replacement of a silent server.
func (f *forwarding) awaitAfterOther(wasSecond bool) {
	if wasSecond && f.current != nil {
		f.awaitNextStep(f.current.silentFor())
		return
	}
	f.awaitCurrent()
}

// awaitOther sets the time after which the other exchange is reconsidered.
func (f *forwarding) awaitOther() {
	switch {
	case f.route.Kind == routing.Stream:
		f.setSilenceTimeout(maxStreamOverlap)
	case f.attempts.MayAskNew():
		f.setSilenceTimeout(f.objectives().FirstByteSilence())
	default:
		f.setSilenceTimeout(0) // both may answer
	}
}

// setSilenceTimeout restarts the timer; 0 means that it doesn't fire.
func (f *forwarding) setSilenceTimeout(d time.Duration) {
	f.silence.Stop()
	if d > 0 {
		f.silence.Reset(d)
	}
}

// objectives returns those of the call's route.
func (f *forwarding) objectives() hedge.Objectives {
	return hedge.Objectives{FirstByte: f.route.Objective, Gap: f.route.GapObjective}
}

// nextStep returns what is due next for a current exchange that has been silent for a
// time, and when.
func (f *forwarding) nextStep(silent time.Duration) (hedge.Step, time.Duration) {
	if f.current == nil {
		return hedge.Wait, 0
	}
	s := hedge.Situation{
		Repeatable: f.route.Repeatable(), MayAsk: f.attempts.MayAsk(), Phase: f.current.phase(), Silent: silent, TakeOvers: f.takeOvers,
	}
	if f.firstAwaited != nil && f.current == f.first && !f.secondDecided && f.firstAwaited.After > 0 {
		s.HasSecond, s.SecondIn = true, time.Until(f.first.sentAt.Add(f.firstAwaited.After))
	}
	return f.objectives().Next(s)
}

// maxSilence returns the silence of an exchange that is expected of servers at work.
func (f *forwarding) maxSilence(x *exchange) time.Duration {
	return f.objectives().MaxSilence(x.phase(), f.takeOvers)
}

// isSilent reports whether the server of an exchange that ends at the deadline was
// silent for longer than servers at work are.
func (f *forwarding) isSilent(x *exchange) bool {
	limit := time.Duration(deadlineSilencePart * float64(routeTimeout(f.route)))
	return x.silentFor() >= min(f.maxSilence(x), limit)
}

// giveUpAfter returns the silence after which the current exchange is given up for
// one whose server has not answered yet, while the caller still waits.
func (f *forwarding) giveUpAfter() time.Duration { return f.objectives().GiveUpAfter() }
