package online

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/decisionlog"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

// forwarding is the state of one admitted call across its attempts.
type forwarding struct {
	*Service
	*admitted
	ctx             context.Context
	w               http.ResponseWriter
	sends           int      // servers that were sent at least one byte of the request, each counted once
	mayRun          bool     // a server may have executed the request
	tried           []string // ids of the servers tried
	full            []string // ids of the servers that rejected the call because they were full
	returning       bool     // the next attempt goes to one of the full servers
	headerSent      bool     // the response to the caller has started
	lastEventID     int64    // of the last complete event relayed
	eventsSent      int      // complete events relayed
	timeToFirstByte time.Duration
	slotWait        time.Duration // total wait for slots
	server          string        // of the last attempt
	isolated        bool          // the call is a suspect and the only one at the server
	sentAt          time.Time     // begin of the last attempt
	answered        bool          // the server of this attempt went on with its answer after the first bytes
	// failureResponse is the last error response of a server, relayed if no
	// later attempt succeeds.
	failureResponse *bufferedResponse
	// paused is a stream without an event for a while, which goes on at its own
	// server unless another one takes it over.
	paused *serverStream
}

// bufferedResponse is a complete response held in memory.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// run tries servers until the call is finished.
func (f *forwarding) run() {
	f.lastEventID = f.call.LastEventID
	for {
		slot, refusal := f.slot()
		if f.callerLeft() {
			f.finishAbandoned()
			return
		}
		if refusal != nil && f.paused == nil {
			f.fail(refusal)
			return
		}
		paused, finished := f.paused, false
		if refusal == nil {
			finished = f.attempt(slot)
		}
		if !finished && paused != nil && f.paused == paused {
			finished = f.continuePaused()
		}
		if finished || !f.retryOrFinish() {
			return
		}
	}
}

// slot waits for a slot at a server and rechecks the call afterwards.
func (f *forwarding) slot() (*slots.Slot, *Refusal) {
	request := f.slotRequest()
	if request.Tried = f.tried; f.returning {
		request.Tried, request.Only = nil, f.full
	}
	ctx := f.ctx
	if f.paused != nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, takeOverWait, errDeadline)
		defer cancel()
	}
	slot, err := f.opts.Slots.Acquire(ctx, request)
	if err == nil {
		if refusal := f.recheck(f.admitted); refusal != nil {
			slot.Done(placement.Neutral, 0)
			return nil, refusal
		}
		return slot, nil
	}
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		return nil, unavailable(codeNoSlot, refused.Reason, refused.After)
	}
	if errors.Is(err, errDeadline) {
		return nil, unavailable(codeTimeout, "no server had a place in time", f.opts.Slots.RetryAfter(f.service))
	}
	return nil, unavailable(codeTimeout, "the caller has left", 0)
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
	case f.sends >= f.route.MaxAttempts && f.mayReturn():
		f.returning = true
		return true
	case f.sends >= f.route.MaxAttempts, f.mayRun && !f.route.Repeatable(), time.Until(f.deadline) < minTimeLeft:
		f.fail(&Refusal{Status: http.StatusBadGateway, Code: codeFailed, Detail: "the server did not answer soundly"})
	default:
		f.opts.Metrics.Retried(f.route.Name)
		f.log.Info("retrying request", "event", "retry", "request", f.call.ID, "route", f.route.Name,
			"server", f.server, "sends", f.sends, "events", f.eventsSent, "left_ms", time.Until(f.deadline).Milliseconds())
		return true
	}
	return false
}

// mayReturn reports whether the call may be sent again to servers that were full.
// They have not run it, so it reaches no more servers than the route allows.
func (f *forwarding) mayReturn() bool {
	until := f.call.Arrived.Add(time.Duration(fullRetryPart * float64(f.route.Objective)))
	return !f.mayRun && len(f.full) > 0 && time.Now().Before(until)
}

// fail finishes a call without a valid response. A response that has already
// started is aborted, so that the caller cannot take it for a complete one. A
// request that certainly did not execute is refused with a status that says
// so. If it may have executed, the caller gets the server's error response or
// a 502 or 504, which make no statement about execution.
func (f *forwarding) fail(r *Refusal) {
	f.dropPaused()
	if !f.mayRun {
		f.opts.Quotas.ReturnToken(f.workspace)
	}
	if f.headerSent {
		f.opts.Metrics.ResponseAborted(f.route.Name)
		f.log.Warn("response aborted", "event", "broken_off", "request", f.call.ID, "route", f.route.Name, "server", f.server,
			"sends", f.sends, "events", f.eventsSent, "code", r.Code, "detail", r.Detail, "held_ms", time.Since(f.call.Arrived).Milliseconds())
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
	f.refuse(f.w, f.call, f.admitted, r, f.sends)
}

// attempt sends the call to one server. It returns true if the call is
// finished.
func (f *forwarding) attempt(slot *slots.Slot) bool {
	first := !slices.Contains(f.tried, slot.Server.ID)
	if first {
		f.tried = append(f.tried, slot.Server.ID)
	}
	f.server = slot.Server.ID
	f.slotWait += slot.Waited
	f.sentAt, f.answered = time.Now(), false
	if f.isolated = f.opts.Suspects.Start(f.fps, f.server); f.isolated {
		defer f.opts.Suspects.End(f.fps)
	}
	out := RequestMeta{Workspace: f.workspace.Name, Instance: slot.Server.Instance, TimeLeft: time.Until(f.deadline)}
	if f.eventsSent > 0 || f.call.LastEventID > 0 {
		out.Resume, out.AfterEventID = true, f.lastEventID
	}
	resp, err := f.opts.Upstream.Do(f.ctx, slot.Server.Address, f.call.request(f.opts.Codec, out, f.firstByteTimeout(), f.route.Repeatable()))
	if err != nil {
		return f.handleNoResponse(slot, err)
	}
	if first {
		f.sends++
	}
	meta := f.opts.Codec.ResponseMeta(resp.Status, resp.Header)
	if meta.Load != nil {
		slot.UpdateServerLoad(meta.Load.Running, meta.Load.Waiting, meta.Load.Slots)
	}
	if meta.ID != f.call.ID {
		f.mayRun = true
		return f.dropInvalid(slot, resp, "the response belongs to another request")
	}
	if meta.NotRun {
		if resp.Status == http.StatusServiceUnavailable && first {
			f.full = append(f.full, f.server)
		}
		resp.Body.Discard()
		slot.Done(placement.Rejected, 0)
		f.log.Info("server rejected request", "event", "rejected", "request", f.call.ID, "server", slot.Server.ID, "status", resp.Status)
		return false
	}
	f.mayRun = true
	success := resp.Status < http.StatusMultipleChoices && meta.Sealed && !meta.Encoded
	switch {
	case success && f.route.Kind == routing.Stream:
		f.dropPaused()
		return f.relay(newServerStream(slot, resp, f.sentAt))
	case success:
		return f.relayWhole(slot, resp)
	case resp.Status < http.StatusMultipleChoices:
		return f.dropInvalid(slot, resp, "success response without the server's signature")
	default:
		return f.handleServerError(slot, resp)
	}
}

// handleNoResponse handles an attempt that got no response header.
func (f *forwarding) handleNoResponse(slot *slots.Slot, err error) bool {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		failure = &upstream.Error{Stage: upstream.Sent, Step: "send to", Peer: slot.Server.Address, Err: err}
	}
	if failure.Stage != upstream.NotSent {
		f.sends++
		f.mayRun = true
	}
	f.recordFailure(slot, failure)
	return false
}

// handleTruncated handles a response that broke off after its header. The
// attempt has already been counted in sends.
func (f *forwarding) handleTruncated(slot *slots.Slot, resp *upstream.Response, err error) bool {
	resp.Body.DisableReuse()
	_ = resp.Body.Close()
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		failure = &upstream.Error{Stage: upstream.InResponse, Step: "read response of", Peer: slot.Server.Address, Err: err}
	}
	f.recordFailure(slot, failure)
	return false
}

// recordFailure releases the slot and records what a failed exchange says
// about the server's health. An exchange that the caller ended is not counted as
// a failure of the server.
func (f *forwarding) recordFailure(slot *slots.Slot, failure *upstream.Error) {
	if f.ctx.Err() != nil {
		outcome := placement.Neutral
		if errors.Is(context.Cause(f.ctx), errDeadline) {
			outcome = placement.Failed
		}
		slot.Done(outcome, 0)
		return
	}
	if failure.Silent {
		f.opts.Upstream.CloseIdle(slot.Server.Address)
	}
	if failure.Stage != upstream.NotSent && !failure.Silent {
		f.opts.Suspects.ConnectionLost(f.fps, slot.Server.ID, f.sentAt, f.isolated, f.answered)
	}
	slot.Done(placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("server failed", "event", "server_failed", "request", f.call.ID, "server", slot.Server.ID, "address", slot.Server.Address,
		"stage", int(failure.Stage), "silent", failure.Silent, "reused", failure.Reused, "events", f.eventsSent,
		"prompt_parts", f.call.SharedParts, "error", failure)
}

// dropInvalid drops a response that cannot be a valid one of this server to
// this call.
func (f *forwarding) dropInvalid(slot *slots.Slot, resp *upstream.Response, detail string) bool {
	resp.Body.DisableReuse()
	_ = resp.Body.Close()
	slot.Done(placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("invalid response from server", "event", "odd_answer", "request", f.call.ID, "server", slot.Server.ID, "status", resp.Status, "detail", detail)
	return false
}

// handleServerError handles an error response of a server that executed the
// request.
func (f *forwarding) handleServerError(slot *slots.Slot, resp *upstream.Response) bool {
	body, err := readAll(resp)
	if err != nil {
		return f.handleTruncated(slot, resp, err)
	}
	_ = resp.Body.Close()
	outcome := placement.Success
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		f.opts.Metrics.ServerFailed(f.service)
	}
	slot.Done(outcome, f.call.Cost)
	f.failureResponse = &bufferedResponse{resp.Status, resp.Header, body}
	if resp.Status >= http.StatusInternalServerError && f.route.Repeatable() && f.sends < f.route.MaxAttempts || f.paused != nil {
		return false
	}
	if f.headerSent {
		f.fail(&Refusal{Code: codeFailed, Detail: "the server failed the rest of the stream"})
		return true
	}
	f.writeResponse(f.failureResponse)
	return true
}

// maxBufferedBytes bounds a response that is held in memory until it is complete.
const maxBufferedBytes = 4 << 20

var errTooLarge = errors.New("response is too large to buffer")

func readAll(resp *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) > maxBufferedBytes {
		err = errTooLarge
	}
	return body, err
}

// relayWhole relays a response once its last byte has arrived, so that the
// request can be retried after a truncated one, which the caller never sees.
func (f *forwarding) relayWhole(slot *slots.Slot, resp *upstream.Response) bool {
	body, err := readAll(resp)
	if err != nil {
		return f.handleTruncated(slot, resp, err)
	}
	_ = resp.Body.Close()
	slot.Done(placement.Success, 1)
	f.opts.Suspects.Succeeded(f.fps, f.server)
	f.timeToFirstByte = time.Since(f.call.Arrived)
	f.writeResponse(&bufferedResponse{resp.Status, resp.Header, body})
	return true
}

// writeResponse sends a complete response to the caller.
func (f *forwarding) writeResponse(b *bufferedResponse) {
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
		"workspace", f.workspace.Name, "server", f.server, "status", status, "sends", f.sends, "events", f.eventsSent,
		"waited_ms", f.slotWait.Milliseconds(), "first_ms", f.timeToFirstByte.Milliseconds(), "took_ms", took.Milliseconds(),
		"config_version", f.version, "config_age_ms", f.opts.Config.Age().Milliseconds())
}

// firstByteTimeout bounds the wait for the response header if the call may go to
// another server afterwards or has a paused stream to go on with, 0 for no bound.
func (f *forwarding) firstByteTimeout() time.Duration {
	if f.paused == nil && (!f.route.Repeatable() || f.sends+1 >= f.route.MaxAttempts) {
		return 0
	}
	return max(firstByteFactor*f.route.Objective, minFirstByte)
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
