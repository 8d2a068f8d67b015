package online

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/decisionlog"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

// forwarding is one admitted call on its way through servers.
type forwarding struct {
	*Service
	*admitted
	ctx    context.Context
	w      http.ResponseWriter
	sends  int      // servers that got at least one byte of the request
	mayRun bool     // a server may have run the request
	tried  []string // ids of servers that were tried
	begun  bool     // the answer to the caller has begun
	last   int64    // last whole event passed on
	events int      // whole events passed on
	first  time.Duration
	waited time.Duration // for places
	server string        // of the last attempt
	alone  bool          // the call is a suspect and the only one at the server
	// kept is the answer of a server that failed the request, passed on when
	// no attempt does better.
	kept *buffered
}

// buffered is a whole answer.
type buffered struct {
	status int
	header http.Header
	body   []byte
}

// run tries servers until the call has its answer.
func (f *forwarding) run() {
	f.last = f.call.LastID
	for {
		place, refusal := f.place()
		if f.callerLeft() {
			f.gone()
			return
		}
		if refusal != nil {
			f.giveUp(refusal)
			return
		}
		if f.attempt(place) || !f.again() {
			return
		}
	}
}

// place waits for a place at a server.
func (f *forwarding) place() (*slots.Place, *Refusal) {
	place, err := f.opts.Slots.Acquire(f.ctx, f.work(f.tried))
	if err == nil {
		if refusal := f.stillAllowed(f.admitted); refusal != nil {
			place.Done(placement.Neutral, 0)
			return nil, refusal
		}
		return place, nil
	}
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		return nil, notRun(codeNoPlace, refused.Reason, refused.After)
	}
	if errors.Is(err, errDeadline) {
		return nil, notRun(codeTimeout, "no server had a place in time", f.opts.Slots.Advise(f.service))
	}
	return nil, notRun(codeTimeout, "the caller has left", 0)
}

// callerLeft reports whether the caller has gone.
func (f *forwarding) callerLeft() bool {
	return f.ctx.Err() != nil && !errors.Is(context.Cause(f.ctx), errDeadline)
}

// again reports whether another attempt may start, and answers the caller
// when not.
func (f *forwarding) again() bool {
	switch {
	case f.callerLeft():
		f.gone()
	case f.ctx.Err() != nil:
		f.giveUp(&Refusal{Status: http.StatusGatewayTimeout, Code: codeTimeout, Detail: "no answer in time"})
	case f.sends >= f.route.MaxAttempts, f.mayRun && !f.route.Repeatable(), time.Until(f.deadline) < lastMoment:
		f.giveUp(&Refusal{Status: http.StatusBadGateway, Code: codeFailed, Detail: "the server did not answer soundly"})
	default:
		f.opts.Metrics.Retried(f.route.Name)
		f.log.Info("request tried again", "event", "retry", "request", f.call.ID, "route", f.route.Name,
			"server", f.server, "sends", f.sends, "events", f.events, "left_ms", time.Until(f.deadline).Milliseconds())
		return true
	}
	return false
}

// giveUp ends a call that got no sound answer. A begun answer is broken off,
// so that it cannot pass for a whole one. A request that certainly did not run
// is refused as such; one that may have run gets the server's own failure, or
// a status that promises nothing.
func (f *forwarding) giveUp(r *Refusal) {
	if !f.mayRun {
		f.opts.Quotas.Return(f.workspace)
	}
	if f.begun {
		f.opts.Metrics.Broken(f.route.Name)
		f.log.Warn("answer broken off", "event", "broken_off", "request", f.call.ID, "route", f.route.Name, "server", f.server,
			"sends", f.sends, "events", f.events, "code", r.Code, "detail", r.Detail, "held_ms", time.Since(f.call.Arrived).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	if f.kept != nil {
		f.pass(f.kept)
		return
	}
	if !f.mayRun && r.Status != http.StatusUnauthorized {
		r = notRun(r.Code, r.Detail, max(r.After, rejectedRetry))
	} else if f.mayRun && r.Status == http.StatusServiceUnavailable {
		r = &Refusal{Status: http.StatusBadGateway, Code: r.Code, Detail: r.Detail}
	}
	f.refuse(f.w, f.call, f.admitted, r, f.sends)
}

// attempt sends the call to one server. It returns true when the caller has
// its answer, or is gone.
func (f *forwarding) attempt(place *slots.Place) bool {
	f.tried = append(f.tried, place.Server.ID)
	f.server = place.Server.ID
	f.waited += place.Waited
	if f.alone = f.opts.Suspects.Start(f.print, f.server); f.alone {
		defer f.opts.Suspects.End(f.print)
	}
	out := Outgoing{Workspace: f.workspace.Name, Instance: place.Server.Instance, Left: time.Until(f.deadline)}
	if f.events > 0 || f.call.LastID > 0 {
		out.Resume, out.After = true, f.last
	}
	resp, err := f.opts.Upstream.Do(f.ctx, place.Server.Address, f.call.request(f.opts.Codec, out, f.firstByte(), f.route.Repeatable()))
	if err != nil {
		return f.noAnswer(place, err)
	}
	f.sends++
	answer := f.opts.Codec.Answer(resp.Status, resp.Header)
	if answer.Load != nil {
		place.Told(answer.Load.Running, answer.Load.Waiting, answer.Load.Slots)
	}
	if answer.ID != f.call.ID {
		f.mayRun = true
		return f.odd(place, resp, "the answer belongs to another request")
	}
	if answer.NotRun {
		f.discard(resp)
		place.Done(placement.Rejected, 0)
		f.log.Info("server rejected request", "event", "rejected", "request", f.call.ID, "server", place.Server.ID, "status", resp.Status)
		return false
	}
	f.mayRun = true
	sound := resp.Status < http.StatusMultipleChoices && answer.Sealed && !answer.Encoded
	switch {
	case sound && f.route.Kind == routing.Stream:
		return f.stream(place, resp)
	case sound:
		return f.whole(place, resp)
	case resp.Status < http.StatusMultipleChoices:
		return f.odd(place, resp, "a success without the server's signature")
	default:
		return f.failure(place, resp)
	}
}

// noAnswer handles an attempt without an answer's header.
func (f *forwarding) noAnswer(place *slots.Place, err error) bool {
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		failure = &upstream.Error{Stage: upstream.Sent, Step: "send to", Peer: place.Server.Address, Err: err}
	}
	if failure.Stage != upstream.NotSent {
		f.sends++
		f.mayRun = true
	}
	f.failedAt(place, failure)
	return false
}

// cutShort handles an answer that broke off after its header. The attempt is
// counted already.
func (f *forwarding) cutShort(place *slots.Place, resp *upstream.Response, err error) bool {
	resp.Body.Spoil()
	_ = resp.Body.Close()
	var failure *upstream.Error
	if !errors.As(err, &failure) {
		failure = &upstream.Error{Stage: upstream.InResponse, Step: "read answer of", Peer: place.Server.Address, Err: err}
	}
	f.failedAt(place, failure)
	return false
}

// failedAt notes what a broken exchange says about the server.
func (f *forwarding) failedAt(place *slots.Place, failure *upstream.Error) {
	if f.ctx.Err() != nil {
		outcome := placement.Neutral
		if errors.Is(context.Cause(f.ctx), errDeadline) {
			outcome = placement.Failed
		}
		place.Done(outcome, 0)
		return
	}
	if failure.Silent {
		f.opts.Upstream.Distrust(place.Server.Address)
	}
	if failure.Stage != upstream.NotSent && !failure.Silent {
		f.opts.Suspects.Lost(f.print, place.Server.ID, f.alone)
	}
	place.Done(placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("server failed", "event", "server_failed", "request", f.call.ID, "server", place.Server.ID, "address", place.Server.Address,
		"stage", int(failure.Stage), "silent", failure.Silent, "reused", failure.Reused, "events", f.events, "error", failure)
}

// odd drops an answer that cannot be the server's sound answer to this call.
func (f *forwarding) odd(place *slots.Place, resp *upstream.Response, detail string) bool {
	resp.Body.Spoil()
	_ = resp.Body.Close()
	place.Done(placement.Failed, 0)
	f.opts.Metrics.ServerFailed(f.service)
	f.log.Warn("server answered oddly", "event", "odd_answer", "request", f.call.ID, "server", place.Server.ID, "status", resp.Status, "detail", detail)
	return false
}

// drainLimit bounds the bytes read of a rejection to keep its connection.
const drainLimit = 16 << 10

func (f *forwarding) discard(resp *upstream.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, drainLimit) // EOF is the expected end
	_ = resp.Body.Close()
}

// failure handles an answer with which the server failed the request. It ran.
func (f *forwarding) failure(place *slots.Place, resp *upstream.Response) bool {
	body, err := readAll(resp)
	if err != nil {
		return f.cutShort(place, resp, err)
	}
	_ = resp.Body.Close()
	outcome := placement.Good
	if resp.Status >= http.StatusInternalServerError {
		outcome = placement.Failed
		f.opts.Metrics.ServerFailed(f.service)
	}
	place.Done(outcome, f.call.Cost)
	f.kept = &buffered{resp.Status, resp.Header, body}
	if resp.Status >= http.StatusInternalServerError && f.route.Repeatable() && f.sends < f.route.MaxAttempts {
		return false
	}
	if f.begun {
		f.giveUp(&Refusal{Code: codeFailed, Detail: "the server failed the rest of the stream"})
		return true
	}
	f.pass(f.kept)
	return true
}

// wholeLimit bounds an answer that is held in memory until it is complete.
const wholeLimit = 4 << 20

var errTooLarge = errors.New("answer is larger than this host holds in memory")

func readAll(resp *upstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeLimit+1))
	if err == nil && len(body) > wholeLimit {
		err = errTooLarge
	}
	return body, err
}

// whole passes on an answer after its last byte has arrived, so that a broken
// one can be repeated and never looks complete.
func (f *forwarding) whole(place *slots.Place, resp *upstream.Response) bool {
	body, err := readAll(resp)
	if err != nil {
		return f.cutShort(place, resp, err)
	}
	_ = resp.Body.Close()
	place.Done(placement.Good, 1)
	f.opts.Suspects.Succeeded(f.print, f.server)
	f.first = time.Since(f.call.Arrived)
	f.pass(&buffered{resp.Status, resp.Header, body})
	return true
}

// pass sends a whole answer to the caller.
func (f *forwarding) pass(b *buffered) {
	copyHeader(f.w.Header(), b.header)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	f.w.WriteHeader(b.status)
	_, _ = f.w.Write(b.body) // the caller may have gone
	f.served(b.status)
}

// served logs and counts an answer that was passed on.
func (f *forwarding) served(status int) {
	took := time.Since(f.call.Arrived)
	f.opts.Metrics.Served(f.route.Name, status, f.first, took)
	f.log.Log(f.ctx, decisionlog.LevelSampled, "request served", "event", "served", "request", f.call.ID, "route", f.route.Name,
		"workspace", f.workspace.Name, "server", f.server, "status", status, "sends", f.sends, "events", f.events,
		"waited_ms", f.waited.Milliseconds(), "first_ms", f.first.Milliseconds(), "took_ms", took.Milliseconds(),
		"config_version", f.version, "config_age_ms", f.opts.Config.Age().Milliseconds())
}

// firstByte bounds the wait for the answer's header where the call may go to
// another server afterwards.
func (f *forwarding) firstByte() time.Duration {
	if !f.route.Repeatable() || f.sends+1 >= f.route.MaxAttempts {
		return 0
	}
	return max(firstByteFactor*f.route.Objective, minFirstByte)
}

// connectionHeaders apply to one connection only and are not passed on.
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
