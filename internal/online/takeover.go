package online

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/upstream"
)

const (
	// A repeatable request is sent to another server too if no response header
	// arrives within firstByteFactor times the route's objective, and at least
	// minFirstByte.
	firstByteFactor = 3
	minFirstByte    = 250 * time.Millisecond
	// A resumable stream is offered to another server if no event arrives within
	// eventGapFactor times the route's gap objective, and at least minEventGap.
	eventGapFactor = 3
	minEventGap    = 500 * time.Millisecond
	// takeOverWait is how long a call waits for a place at another server while the
	// current one is silent.
	takeOverWait = 100 * time.Millisecond
	// maxStreamOverlap is how long two servers may work on one stream. Servers must
	// not go on with a stream at the same time for longer than 400 ms.
	maxStreamOverlap = 300 * time.Millisecond
	// maxSoundSilence is how long a sound server may be silent. One that is silent
	// for longer is given up for a server that has not answered yet.
	maxSoundSilence = 2500 * time.Millisecond
)

// converse relays the answer of the current exchange. While its server is silent,
// it asks another one, which takes over once its answer has begun. It returns true
// if the call is finished, and false if there is no exchange left.
func (f *forwarding) converse() bool {
	f.silence = time.NewTimer(maxSoundSilence) // set below
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
			f.handleSilence()
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
			f.releaseOther()
		}
		f.awaitCurrent()
	}
	return false
}

// otherHeard handles a part of the other exchange's answer. It returns true if the
// call is finished.
func (f *forwarding) otherHeard(a arrival) bool {
	x := f.other
	if a.part == event && a.err == nil && a.event.IsComment {
		return false
	}
	if f.takesOver(x, a) {
		silentFor := time.Since(f.current.heardAt)
		f.recordFailure(f.current, f.silenceOf(f.current))
		f.log.Info("another server takes over", "event", "taken_over", "request", f.call.ID, "route", f.route.Name,
			"from", f.server, "server", x.slot.Server.ID, "silent_ms", silentFor.Milliseconds(), "events", f.eventsSent)
		f.otherBecomesCurrent()
		return f.currentHeard(a)
	}
	switch f.process(x, a) {
	case finished:
		return true
	case ended:
		f.logGoesOn(x, "the other server has no answer")
		f.awaitCurrent()
	}
	return false
}

// otherBecomesCurrent goes on with the other exchange, if there is one, after the
// end of the current one.
func (f *forwarding) otherBecomesCurrent() {
	if f.current, f.other = f.other, nil; f.current == nil {
		return
	}
	f.server = f.current.slot.Server.ID
	f.silent = slices.DeleteFunc(f.silent, func(id string) bool { return id == f.server })
}

// takesOver reports whether the other exchange's answer has begun soundly.
func (f *forwarding) takesOver(x *exchange, a arrival) bool {
	switch a.part {
	case wholeBody:
		return a.err == nil && a.resp.Status < http.StatusMultipleChoices
	case event:
		return a.err == io.EOF || a.err == nil && f.checkEventOrder(a.event) == nil
	}
	return false
}

// handleSilence is called when the current exchange, or the other one, was silent
// for too long.
func (f *forwarding) handleSilence() {
	switch {
	case f.current == nil:
	case f.other == nil:
		f.askAnother()
	case time.Since(f.current.heardAt) >= maxSoundSilence && f.ctx.Err() == nil:
		f.recordFailure(f.current, f.silenceOf(f.current))
		f.otherBecomesCurrent()
		f.awaitCurrent()
	case f.route.Kind == routing.Stream:
		if id := f.other.slot.Server.ID; !slices.Contains(f.silent, id) {
			f.silent = append(f.silent, id)
		}
		f.releaseOther()
		f.awaitCurrent()
	default:
		f.awaitOther()
	}
}

// askAnother sends the call to another server because the current one is silent.
func (f *forwarding) askAnother() {
	request := f.slotRequest()
	if request.Tried = f.tried; f.sends >= f.route.MaxAttempts {
		request.Tried, request.Only = nil, f.silent
	}
	ctx, cancel := context.WithTimeoutCause(f.ctx, takeOverWait, errDeadline)
	defer cancel()
	slot, refusal := f.slot(ctx, request)
	if refusal != nil {
		f.awaitCurrent()
		return
	}
	f.opts.Metrics.Retried(f.route.Name)
	f.log.Info("asking another server", "event", "retry", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "sends", f.sends, "events", f.eventsSent, "silent_ms", time.Since(f.current.heardAt).Milliseconds(),
		"left_ms", time.Until(f.deadline).Milliseconds())
	f.other = f.send(slot)
	f.awaitOther()
}

// releaseOther drops the other exchange because the current one goes on.
func (f *forwarding) releaseOther() {
	f.logGoesOn(f.other, "its server was heard again or the other one was silent")
	f.mayRun = true // the other server may have begun
	f.release(f.other, placement.Neutral, 0)
}

func (f *forwarding) logGoesOn(other *exchange, reason string) {
	f.log.Info("answer goes on at its server", "event", "not_taken_over", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "other", other.slot.Server.ID, "reason", reason, "sends", f.sends, "events", f.eventsSent)
}

// silenceOf is the failure of an exchange that was given up because its server was
// silent.
func (f *forwarding) silenceOf(x *exchange) *upstream.Error {
	f.mayRun = true
	stage := upstream.Sent
	if x.streaming {
		stage = upstream.InResponse
	}
	return &upstream.Error{Stage: stage, Silent: true, Step: "await answer of", Peer: x.slot.Server.Address, Err: context.DeadlineExceeded}
}

// awaitCurrent sets the silence of the current exchange after which another server
// is asked.
func (f *forwarding) awaitCurrent() { f.setSilenceTimeout(f.silenceTimeout()) }

// awaitOther sets the time after which the other exchange is reconsidered.
func (f *forwarding) awaitOther() {
	switch {
	case f.route.Kind == routing.Stream:
		f.setSilenceTimeout(maxStreamOverlap)
	case f.sends < f.route.MaxAttempts:
		f.setSilenceTimeout(max(firstByteFactor*f.route.Objective, minFirstByte))
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

// silenceTimeout returns the silence of the current exchange after which another
// server is asked, 0 if none may be asked.
func (f *forwarding) silenceTimeout() time.Duration {
	x := f.current
	if x == nil || x.inBody || !f.route.Repeatable() || f.sends >= f.route.MaxAttempts && len(f.silent) == 0 {
		return 0
	}
	if x.streaming {
		return max(eventGapFactor*f.route.GapObjective, minEventGap)
	}
	return max(firstByteFactor*f.route.Objective, minFirstByte)
}
