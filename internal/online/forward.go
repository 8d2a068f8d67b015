package online

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/hedge"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/decisionlog"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

// forwarding is the state of one admitted call across its attempts.
type forwarding struct {
	*Service
	*admitted
	ctx             context.Context
	w               http.ResponseWriter
	attempts        hedge.Attempts
	mayRun          bool        // a server may have executed the request
	sentAt          time.Time   // when the request was sent to a server first
	full            []string    // ids of the servers that rejected the call because they were full
	unreached       []string    // ids of the servers that accepted no connection in time
	returning       bool        // the next attempt goes to one of the full servers
	headerSent      atomic.Bool // the response to the caller has started
	lastEventID     int64       // of the last complete event relayed
	eventsSent      int         // complete events relayed
	takeOvers       int         // exchanges that another server took over from a silent one
	timeToFirstByte time.Duration
	slotWait        time.Duration // total wait for slots
	server          string        // of the current exchange, or of the last one
	// failureResponse is the last error response of a server, relayed if no
	// later attempt succeeds.
	failureResponse *bufferedResponse
	buffered        []*bufferedResponse // all complete responses so far
	// current is the exchange whose answer is relayed, and other the one with a
	// second server that was asked because the current one is silent.
	current, other *exchange
	// granted is a slot that no exchange holds yet.
	granted *slots.Slot
	silence *time.Timer // fires when the current exchange, or the other one, was silent for too long
	// first is the first exchange of the call, whose answer is awaited while firstAwaited
	// is not nil, and second the one of a second attempt until that has won or lost.
	first, second *exchange
	firstAwaited  *hedge.Awaited
	secondDecided bool // whether there is a second attempt has been decided

	connections upstream.Sends // those that the call was sent on
	lostKept    bool           // one of them had carried another request, and ended without an answer
}

// bufferedResponse is a complete response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	held   *upstream.HeldAnswer // counts the body
}

// run tries servers until the call is finished.
func (f *forwarding) run() {
	f.lastEventID = f.call.LastEventID
	f.attempts.Max = f.route.MaxAttempts
	for {
		slot, refusal := f.slot(f.latestStart(), f.nextServers())
		if f.callerLeft() {
			f.finishAbandoned()
			return
		}
		if refusal != nil && f.mayReach(refusal) {
			continue
		}
		if refusal != nil {
			f.fail(refusal)
			return
		}
		f.current = f.send(slot)
		f.server = slot.Server.ID
		if f.converse() || !f.retryOrFinish() {
			return
		}
	}
}

// nextServers describes the servers that may be asked next.
func (f *forwarding) nextServers() slots.Request {
	request := f.slotRequest()
	switch {
	case f.returning:
		request.Only = f.full
	case !f.attempts.MayAskNew() && f.attempts.MayAsk():
		request.Only = f.attempts.AskAgain()
	default:
		request.Tried = f.attempts.Excluded()
	}
	return request
}

// mayReach reports whether a call that no server takes any more may be sent to those
// that accepted no connection in time: they may have been silent for a moment. A call
// that no server may have begun is refused instead, so that its caller reaches another
// host.
func (f *forwarding) mayReach(refusal *Refusal) bool {
	if refusal.Code != codeNoSlot || !f.mayRun && f.current == nil || len(f.unreached) == 0 || time.Until(f.deadline) < minTimeLeft {
		return false
	}
	f.attempts.Forget(f.unreached)
	f.unreached = nil
	return true
}

// latestStart returns until when the call waits for a place at a server while none is
// at work on it. Its caller is told before its own time is over, and earlier if the
// servers that may be asked were asked before.
func (f *forwarding) latestStart() time.Time {
	until := f.deadline.Add(-minTimeLeft)
	if latest, stops := f.latestSend(f.admitted); stops && !f.headerSent.Load() {
		until = earlier(until, latest)
	}
	switch {
	case f.returning:
		return earlier(until, f.returnUntil())
	case !f.attempts.MayAskNew() && f.headerSent.Load():
		return earlier(until, time.Now().Add(f.giveUpAfter()))
	case !f.attempts.MayAskNew():
		return earlier(until, time.Now().Add(takeOverWait))
	}
	return until
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// slot waits for a slot at a server and rechecks the call afterwards.
func (f *forwarding) slot(until time.Time, request slots.Request) (*slots.Slot, *Refusal) {
	ctx, cancel := context.WithDeadlineCause(f.ctx, until, errDeadline)
	defer cancel()
	request.Begun = f.mayRun || f.current != nil
	request.MayReturn = request.MayReturn && f.attempts.Count() == 0
	if f.headerSent.Load() && f.route.GapObjective > 0 {
		request.OnTimeBy = time.Now().Add(f.route.GapObjective) // of the stream's next event
	}
	slot, err := f.opts.Slots.Acquire(ctx, request)
	if err == nil {
		f.granted = slot
		if refusal := f.recheckGranted(); refusal != nil {
			f.giveBack()
			return nil, refusal
		}
		return slot, nil
	}
	var refused *slots.RefusedError
	if errors.As(err, &refused) && refused.SentAround {
		return nil, unavailable(codeSentAround, refused.Reason, refused.After)
	}
	if errors.As(err, &refused) {
		return nil, unavailable(codeNoSlot, refused.Reason, refused.After)
	}
	if errors.Is(err, errDeadline) {
		return nil, unavailable(codeTimeout, "no server had a place in time", f.opts.Slots.RetryAfter(f.service))
	}
	return nil, unavailable(codeTimeout, "the caller has left", 0)
}

// recheckGranted repeats the checks of admission for a call that got a slot.
func (f *forwarding) recheckGranted() *Refusal {
	refusal := f.recheck(f.admitted)
	if refusal == nil && !f.headerSent.Load() { // the slot may be that of another call that ended
		refusal = f.refuseAtStop(f.admitted)
	}
	if f.ending.Err() != nil && !f.headerSent.Load() {
		refusal = unavailable(codeStopping, "the host stops", 0)
	}
	return refusal
}

// giveBack frees a slot that no exchange has used.
func (f *forwarding) giveBack() {
	if slot := f.granted; slot != nil {
		f.granted = nil
		slot.Done(placement.Neutral, 0)
	}
}

// callerLeft reports whether the caller has disconnected.
func (f *forwarding) callerLeft() bool {
	return f.ctx.Err() != nil && !errors.Is(context.Cause(f.ctx), errDeadline)
}

// retryOrFinish reports whether another attempt may start. If not, it finishes
// the call.
func (f *forwarding) retryOrFinish() bool {
	switch {
	case f.callerLeft():
		f.finishAbandoned()
	case f.ctx.Err() != nil:
		f.fail(&Refusal{Status: http.StatusGatewayTimeout, Code: codeTimeout, Detail: "no answer in time"})
	case !f.attempts.MayAskNew() && f.mayReturn():
		f.returning = true
		return true
	case !f.attempts.MayAsk(), f.mayRun && !f.route.Repeatable(), time.Until(f.deadline) < minTimeLeft:
		f.fail(&Refusal{Status: http.StatusBadGateway, Code: codeFailed, Detail: "the server did not answer soundly"})
	default:
		f.opts.Metrics.Retried(f.route.Name)
		f.log.Info("retrying request", "event", "retry", "request", f.call.ID, "route", f.route.Name,
			"server", f.server, "sends", f.attempts.Count(), "events", f.eventsSent, "left_ms", time.Until(f.deadline).Milliseconds())
		return true
	}
	return false
}

// mayReturn reports whether the call may be sent again to servers that were full.
// They have not run it, so it reaches no more servers than the route allows.
func (f *forwarding) mayReturn() bool {
	return !f.mayRun && len(f.full) > 0 && time.Now().Before(f.returnUntil())
}

func (f *forwarding) returnUntil() time.Time {
	return f.call.Arrived.Add(time.Duration(fullRetryPart * float64(f.route.Objective)))
}

// fail finishes a call without a valid response. A response that has already
// started is aborted, so that the caller cannot take it for a complete one. A
// request that certainly did not execute is refused with a status that says
// so. If it may have executed, the caller gets the server's error response or
// a 502 or 504, which make no statement about execution.
func (f *forwarding) fail(r *Refusal) {
	f.releaseAll()
	if !f.mayRun {
		f.opts.Quotas.ReturnToken(f.workspace)
	}
	if f.headerSent.Load() {
		f.opts.Metrics.ResponseAborted(f.route.Name)
		f.log.Warn("response aborted", "event", "broken_off", "request", f.call.ID, "route", f.route.Name, "server", f.server,
			"sends", f.attempts.Count(), "events", f.eventsSent, "code", r.Code, "detail", r.Detail, "held_ms", time.Since(f.call.Arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	if f.failureResponse != nil {
		f.writeResponse(f.failureResponse)
		return
	}
	if !f.mayRun && r.Status != http.StatusUnauthorized {
		r = unavailable(r.Code, r.Detail, max(r.RetryAfter, rejectedRetryAfter))
	} else if f.mayRun && r.Status == http.StatusServiceUnavailable {
		r = &Refusal{Status: http.StatusBadGateway, Code: r.Code, Detail: r.Detail}
	}
	f.refuse(f.w, f.call, f.admitted, r, f.attempts.Count())
}

// send sends the call to one server.
func (f *forwarding) send(slot *slots.Slot) *exchange {
	id := slot.Server.ID
	isNew := f.attempts.Send(id)
	f.slotWait += slot.Waited
	if f.sentAt.IsZero() {
		f.sentAt = time.Now()
	}
	out := RequestMeta{Workspace: f.workspace.Name, Instance: slot.Server.Instance, TimeLeft: time.Until(f.deadline)}
	if f.eventsSent > 0 || f.call.LastEventID > 0 {
		out.Resume, out.AfterEventID = true, f.lastEventID
	}
	request := f.call.request(f.opts.Codec, out, !f.route.Repeatable() || f.lostKept, &f.connections)
	isolated := f.opts.Suspects.Start(f.fps, id)
	x := start(f.ctx, f.opts.Upstream, slot, request)
	x.isNew, x.isolated, x.after = isNew, isolated, out.AfterEventID
	if f.first == nil {
		f.first, f.firstAwaited = x, f.opts.SecondAttempts.sent(f.route.Name, f.service, id, f.call.Arrived.Add(f.route.Objective))
	}
	f.granted = nil
	return x
}

// verdict is what an arrival means for its exchange.
type verdict int

const (
	goesOn   verdict = iota // the server is at work on the call and was heard
	awaited                 // more of an answer that may turn out to be useless is awaited
	ended                   // the exchange has ended without an answer for the caller
	finished                // the call is finished
)

// process handles a part of the answer of an exchange.
func (f *forwarding) process(x *exchange, a arrival) verdict {
	switch a.part {
	case head:
		return f.processHead(x, a)
	case wholeBody:
		return f.processBody(x, a)
	default:
		return f.relayEvent(x, a)
	}
}

// processHead handles the response header.
func (f *forwarding) processHead(x *exchange, a arrival) verdict {
	if a.err != nil {
		return f.handleNoResponse(x, a.err)
	}
	resp, slot := a.resp, x.slot
	isRead := false
	defer func() {
		if !isRead { // nobody else closes it, also after a panic
			closeBroken(resp)
		}
	}()
	meta := f.opts.Codec.ResponseMeta(resp.Status, resp.Header)
	if meta.Load != nil {
		slot.UpdateServerLoad(meta.Load.Running, meta.Load.Waiting, meta.Load.Slots, meta.Load.Slowdown)
	}
	if meta.ColdFor != nil && !meta.Misdirected {
		slot.UpdateCold(*meta.ColdFor)
	}
	if meta.ServerLeaves(f.call.ID) {
		slot.MarkLeaving(f.call.ID)
	}
	if meta.ID != f.call.ID {
		f.mayRun = true
		return f.dropInvalid(x, resp, "the response belongs to another request")
	}
	if meta.NotRun {
		if resp.Status == http.StatusServiceUnavailable && x.isNew {
			f.full = append(f.full, slot.Server.ID)
		}
		resp.Body.Discard()
		x.rejected = true
		f.release(x, placement.Rejected, 0)
		f.log.Info("server rejected request", "event", "rejected", "request", f.call.ID, "server", slot.Server.ID, "status", resp.Status)
		return ended
	}
	f.mayRun = true
	success := resp.Status < http.StatusMultipleChoices
	switch {
	case success && (!meta.Sealed || meta.Encoded):
		return f.dropInvalid(x, resp, "success response without the server's signature")
	case success && f.route.Kind == routing.Stream:
		x.streaming, x.beganAt, isRead = true, time.Now(), true
		x.readEvents(resp)
		return goesOn
	case success:
		isRead = true
		x.readBody(resp)
		f.firstByteArrived(x)
		return goesOn
	default:
		isRead = true
		x.readBody(resp)
		return awaited
	}
}

// processBody handles a complete response, or one that broke off in its body. It is
// relayed only as a whole, so that the request can be retried after a truncated
// one, which the caller never sees.
func (f *forwarding) processBody(x *exchange, a arrival) verdict {
	if a.err != nil {
		return f.handleTruncated(x, a.err)
	}
	response := &bufferedResponse{a.resp.Status, a.resp.Header, a.body, x.held}
	x.held = nil // not released with the exchange
	f.buffered = append(f.buffered, response)
	if response.status >= http.StatusMultipleChoices {
		return f.handleServerError(x, response)
	}
	f.release(x, placement.Success, 1)
	f.durations.add(f.route.Name, time.Since(f.sentAt))
	f.opts.Suspects.Succeeded(f.fps, x.slot.Server.ID)
	f.timeToFirstByte = time.Since(f.call.Arrived)
	f.writeResponse(response)
	return finished
}

// handleNoResponse handles an exchange that got no response header.
func (f *forwarding) handleNoResponse(x *exchange, err error) verdict {
	failure := f.asFailure(x, upstream.Sent, "send to", err)
	if failure.Stage != upstream.NotSent {
		f.mayRun = true
	} else if x.isNew {
		f.attempts.Unsent()
		if failure.Silent {
			f.unreached = append(f.unreached, x.slot.Server.ID)
		}
	}
	f.recordFailure(x, failure)
	return ended
}

// handleTruncated handles a response that broke off after its header.
func (f *forwarding) handleTruncated(x *exchange, err error) verdict {
	f.recordFailure(x, f.asFailure(x, upstream.InResponse, "read response of", err))
	return ended
}

func (f *forwarding) asFailure(x *exchange, stage upstream.Stage, step string, err error) *upstream.Error {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		failure = &upstream.Error{Stage: stage, Step: step, Peer: x.slot.Server.Address, Err: err}
	}
	return failure
}

// release drops an exchange and frees its slot.
func (f *forwarding) release(x *exchange, outcome placement.Outcome, units float64) {
	x.drop()
	if x.held != nil {
		x.held.Release()
	}
	if x.isolated {
		f.opts.Suspects.End(f.fps)
	}
	x.slot.Done(outcome, units)
	f.stopAwaiting(x)
	if f.current == x {
		f.current = nil
	}
	if f.other == x {
		f.other = nil
	}
}

// releaseBuffered gives back the memory of the responses that were buffered.
func (f *forwarding) releaseBuffered() {
	for _, response := range f.buffered {
		response.held.Release()
	}
}

// releaseAll drops what the call no longer needs: its exchanges and a slot without one.
func (f *forwarding) releaseAll() {
	f.giveBack()
	for _, x := range []*exchange{f.current, f.other} {
		if x != nil {
			f.release(x, placement.Neutral, 0)
		}
	}
}

// recordFailure releases the slot and records what a failed exchange says
// about the server's health. An exchange that the caller ended is not counted as
// a failure of the server, nor is one whose server was at work at the deadline. A
// server that is leaving was not crashed by its last requests.
func (f *forwarding) recordFailure(x *exchange, failure *upstream.Error) {
	panicked := f.logPanic(x, failure)
	if f.ctx.Err() != nil {
		outcome := placement.Neutral
		if errors.Is(context.Cause(f.ctx), errDeadline) && f.isSilent(x) {
			outcome = placement.Failed
		}
		f.release(x, outcome, 0)
		return
	}
	server := x.slot.Server
	if failure.Silent {
		f.opts.Upstream.CloseIdle(server.Address)
	}
	f.lostKept = f.lostKept || failure.Reused && failure.Stage != upstream.InResponse
	if failure.Stage != upstream.NotSent && !failure.Silent && !panicked && !isUnusable(failure) && !x.slot.ServerLeaves() {
		f.opts.Suspects.ConnectionLost(f.fps, server.ID, x.sentAt, x.isolated, x.answered)
	}
	if errors.Is(failure, upstream.ErrAnswerMemory) {
		f.release(x, placement.Neutral, 0)
		f.opts.Metrics.Add("answers_dropped_total", 1, "route", f.route.Name)
		f.log.Warn("large answer dropped", "event", "answer_dropped", "request", f.call.ID, "route", f.route.Name, "server", server.ID,
			"events", f.eventsSent, "error", failure)
		return
	}
	f.release(x, placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("server failed", "event", "server_failed", "request", f.call.ID, "server", server.ID, "address", server.Address,
		"stage", int(failure.Stage), "silent", failure.Silent, "reused", failure.Reused, "events", f.eventsSent,
		"prompt_parts", f.call.SharedParts, "error", failure)
}

// logPanic logs and counts a failure that is a panic of this host. It reports false for
// other failures.
func (f *forwarding) logPanic(x *exchange, failure *upstream.Error) bool {
	var panicked *panics.Error
	if !errors.As(failure, &panicked) {
		return false
	}
	f.opts.Metrics.Add("exchange_panics_total", 1)
	f.log.Error("exchange with a server panicked", "event", "exchange_panicked", "request", f.call.ID, "server", x.slot.Server.ID,
		"address", x.slot.Server.Address, "stage", int(failure.Stage), "error", panicked, "stack", panicked.Stack)
	return true
}

// isUnusable reports whether a failure is an answer that this host doesn't use, though
// its connection was not lost.
func isUnusable(failure *upstream.Error) bool {
	return errors.IsAny(failure, upstream.ErrAnswerTooLarge, upstream.ErrAnswerMemory, upstream.ErrEventOrder, upstream.ErrMalformedEvent, upstream.ErrEventTooLarge,
		upstream.ErrMalformedHead, upstream.ErrHeadTooLarge)
}

// dropInvalid drops a response that cannot be a valid one of this server to
// this call.
func (f *forwarding) dropInvalid(x *exchange, resp *upstream.Response, detail string) verdict {
	closeBroken(resp)
	f.release(x, placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("invalid response from server", "event", "odd_answer", "request", f.call.ID, "server", x.slot.Server.ID, "status", resp.Status, "detail", detail)
	return ended
}

// handleServerError handles a complete error response of a server that executed
// the request, or may have executed it.
func (f *forwarding) handleServerError(x *exchange, response *bufferedResponse) verdict {
	outcome := placement.Success
	passable := !promisesNotRun(response.status)
	serverFault := !passable || response.status >= http.StatusInternalServerError
	if serverFault {
		outcome = placement.Failed
		f.opts.Metrics.ServerFailed(f.service)
	}
	f.release(x, outcome, f.call.Cost)
	if passable {
		f.failureResponse = response
	}
	mayRetry := serverFault && f.route.Repeatable() && f.attempts.MayAskNew()
	anotherAtWork := f.current != nil || f.other != nil
	if mayRetry || anotherAtWork && (serverFault || f.headerSent.Load()) {
		return ended
	}
	if f.headerSent.Load() || !passable {
		f.fail(&Refusal{Status: http.StatusBadGateway, Code: codeFailed, Detail: "the server failed with status " + strconv.Itoa(response.status)})
		return finished
	}
	f.writeResponse(response)
	return finished
}

// writeResponse sends a complete response to the caller. No server is held meanwhile.
func (f *forwarding) writeResponse(b *bufferedResponse) {
	f.releaseAll()
	copyHeader(f.w.Header(), b.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	f.w.WriteHeader(b.status)
	_, _ = f.w.Write(b.body) // the caller may have disconnected
	f.recordServed(b.status)
}

// recordServed logs and counts a relayed response.
func (f *forwarding) recordServed(status int) {
	took := time.Since(f.call.Arrived)
	f.opts.Metrics.Served(f.route.Name, status, f.timeToFirstByte, took)
	f.log.Log(f.ctx, decisionlog.LevelSampled, "request served", "event", "served", "request", f.call.ID, "route", f.route.Name,
		"workspace", f.workspace.Name, "server", f.server, "status", status, "sends", f.attempts.Count(), "events", f.eventsSent,
		"waited_ms", f.slotWait.Milliseconds(), "first_ms", f.timeToFirstByte.Milliseconds(), "took_ms", took.Milliseconds(),
		"config_version", f.version, "config_age_ms", f.opts.Config.Age().Milliseconds())
}

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}
