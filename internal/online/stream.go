package online

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/upstream"
)

// lateWriteTime is how long after the call's deadline a write to its caller may end. A
// call that is past its deadline is aborted after the write.
const lateWriteTime = 50 * time.Millisecond

// relayEvent relays a complete event as it arrives, and handles the end of the
// stream.
func (f *forwarding) relayEvent(x *exchange, a arrival) verdict {
	switch {
	case a.err == io.EOF && f.joins(x):
		return f.dropEmptyRest(x)
	case a.err == io.EOF:
		return f.finishStream(x, a.resp)
	case a.err != nil:
		return f.handleTruncated(x, a.err)
	case a.event.IsComment && f.joins(x):
		return awaited
	}
	if err := f.checkEventOrder(a.event); err != nil {
		return f.handleTruncated(x, err)
	}
	if !a.event.IsComment {
		f.lastEventID = a.event.ID
	}
	if f.other != nil && !a.event.IsComment {
		f.releaseOther("its server was heard") // the write may take as long as the caller likes
	}
	f.sendHeader(a.resp)
	x.relayed = true
	_, err := f.w.Write(a.event.Raw)
	if err == nil {
		err = http.NewResponseController(f.w).Flush()
	}
	if err != nil || f.ctx.Err() != nil {
		return f.stopStream(x)
	}
	if a.event.IsComment {
		return awaited
	}
	f.eventsSent++
	if !x.begun {
		x.begun = true
		x.slot.Answers()
		f.firstByteArrived(x)
	}
	if !x.answered && time.Since(x.beganAt) >= survivalMargin {
		x.answered = true
		f.opts.Suspects.Answered(f.fps)
	}
	return goesOn
}

// joins reports whether an exchange would go on with a response that another server
// began or may still begin, or lacks comments that were dropped meanwhile. Until its
// server has sent the next event, nothing tells its answer from one that is no part of
// the stream, so none of it is relayed.
func (f *forwarding) joins(x *exchange) bool {
	return !x.relayed && (f.headerSent.Load() || x == f.other || x.skipped)
}

// checkEventOrder checks that an event directly follows the last one relayed, which may
// be that of another server.
func (f *forwarding) checkEventOrder(e upstream.Event) error {
	if !e.IsComment && e.ID != f.lastEventID+1 {
		return errors.Wrapf(upstream.ErrEventOrder, "event %d after %d", e.ID, f.lastEventID)
	}
	return nil
}

// dropEmptyRest drops the answer, without an event, of a server whose exchange joins.
// It need not mean that the stream was complete.
func (f *forwarding) dropEmptyRest(x *exchange) verdict {
	f.release(x, placement.Neutral, 0)
	f.log.Info("no event from the server that was asked to go on", "event", "empty_rest", "request", f.call.ID,
		"route", f.route.Name, "server", x.slot.Server.ID, "events", f.eventsSent)
	return ended
}

// sendHeader sends the response header before the first event. The headers of
// servers that continue the stream are not sent. From then on writes are bounded, so
// that a caller that stops reading doesn't hold the server beyond the call's time.
func (f *forwarding) sendHeader(resp *upstream.Response) {
	if f.headerSent.Load() {
		return
	}
	f.headerSent.Store(true)
	f.timeToFirstByte = time.Since(f.call.Arrived)
	// Fails only for a writer without a connection. The HTTP server removes the limit
	// after the answer.
	_ = http.NewResponseController(f.w).SetWriteDeadline(f.deadline.Add(lateWriteTime))
	copyHeader(f.w.Header(), resp.Header)
	f.w.WriteHeader(resp.Status)
}

// finishStream finishes a call whose stream is complete.
func (f *forwarding) finishStream(x *exchange, resp *upstream.Response) verdict {
	f.release(x, placement.Success, f.call.Cost)
	f.durations.add(f.route.Name, time.Since(f.sentAt))
	f.opts.Suspects.Succeeded(f.fps, x.slot.Server.ID)
	f.releaseAll() // the write may take as long as the caller likes
	f.sendHeader(resp)
	_ = http.NewResponseController(f.w).Flush() // the caller may have disconnected
	f.recordServed(resp.Status)
	return finished
}

// stopStream aborts a stream after a failed write to the caller or the end of
// the call's context.
func (f *forwarding) stopStream(x *exchange) verdict {
	f.release(x, placement.Neutral, 0)
	if !f.callerLeft() && f.ctx.Err() != nil {
		f.fail(&Refusal{Code: codeTimeout, Detail: "the stream took longer than the call's time"})
	}
	f.finishAbandoned()
	return finished
}

// finishAbandoned finishes a call whose caller disconnected before the response
// was complete. A caller that closed only its side of the connection may still read,
// and would take a normal end for that of a complete response, so it is aborted.
func (f *forwarding) finishAbandoned() {
	f.releaseAll()
	if !f.mayRun {
		f.opts.Quotas.ReturnToken(f.workspace)
	}
	f.opts.Metrics.CallerDisconnected(f.route.Name)
	f.log.Info("caller disconnected", "event", "caller_left", "request", f.call.ID, "route", f.route.Name, "server", f.server,
		"events", f.eventsSent, "held_ms", time.Since(f.call.Arrived).Milliseconds())
	panic(http.ErrAbortHandler)
}
