package online

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

var errEventOrder = errors.New("missing or duplicate event")

// serverStream is a stream of one server.
type serverStream struct {
	slot   *slots.Slot
	resp   *upstream.Response
	reader *upstream.EventReader
	sentAt time.Time
	began  time.Time
	events int // relayed
	// pause is the time-out that paused the stream, and answered the forwarding's
	// field at that time.
	pause    *upstream.Error
	answered bool
}

func newServerStream(slot *slots.Slot, resp *upstream.Response, sentAt time.Time) *serverStream {
	return &serverStream{slot: slot, resp: resp, reader: upstream.NewEventReader(resp.Body), sentAt: sentAt, began: time.Now()}
}

// relay relays complete events as they arrive. It returns true if the stream is
// complete or the caller has disconnected.
func (f *forwarding) relay(s *serverStream) bool {
	slot, resp := s.slot, s.resp
	controller := http.NewResponseController(f.w)
	gap := f.eventGapTimeout()
	resp.Body.SetReadTimeout(gap)
	for {
		if gap > 0 && !s.reader.Buffered() {
			if s.pause = resp.Body.AwaitData(); s.pause != nil {
				f.paused, s.answered = s, f.answered
				return false
			}
		}
		event, err := s.reader.Next()
		if err == io.EOF && resp.UntilClose && s.events == 0 {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			_ = resp.Body.Close()
			return f.finishStream(slot, resp, controller)
		}
		if err == nil {
			err = f.checkEventOrder(event)
		}
		if err != nil {
			return f.handleTruncated(slot, resp, err)
		}
		f.sendHeader(resp)
		if _, err = f.w.Write(event.Raw); err == nil {
			err = controller.Flush()
		}
		if err != nil || f.ctx.Err() != nil {
			return f.stopStream(slot, resp)
		}
		if !event.IsComment {
			s.events++
			f.eventsSent++
			if !f.answered && time.Since(s.began) >= survivalMargin {
				f.answered = true
				f.opts.Suspects.Answered(f.fps)
			}
			resp.Body.SetReadTimeout(gap)
		}
	}
}

// continuePaused relays the rest of the paused stream, which no other server has
// taken over. It returns true if the call is finished.
func (f *forwarding) continuePaused() bool {
	s := f.paused
	f.paused = nil
	f.server, f.sentAt, f.isolated, f.answered = s.slot.Server.ID, s.sentAt, false, s.answered
	f.log.Info("stream goes on at its server", "event", "not_taken_over", "request", f.call.ID, "route", f.route.Name,
		"server", f.server, "sends", f.sends, "events", f.eventsSent)
	return f.relay(s)
}

// dropPaused ends the paused stream, if there is one.
func (f *forwarding) dropPaused() {
	if s := f.paused; s != nil {
		f.paused = nil
		_ = f.handleTruncated(s.slot, s.resp, s.pause) // the call goes on elsewhere, or fails
	}
}

// eventGapTimeout bounds the wait for the next event if the stream may resume
// at another server, 0 for no bound.
func (f *forwarding) eventGapTimeout() time.Duration {
	if !f.route.Repeatable() || f.sends >= f.route.MaxAttempts {
		return 0
	}
	return max(eventGapFactor*f.route.GapObjective, minEventGap)
}

// checkEventOrder checks that an event directly follows the last one. Event ids
// increase by one.
func (f *forwarding) checkEventOrder(event upstream.Event) error {
	if !event.HasID {
		return nil
	}
	if (f.eventsSent > 0 || f.call.LastEventID > 0) && event.ID != f.lastEventID+1 {
		return errors.Wrapf(errEventOrder, "event %d after %d", event.ID, f.lastEventID)
	}
	f.lastEventID = event.ID
	return nil
}

// sendHeader sends the response header before the first event. The headers of
// servers that continue the stream are not sent.
func (f *forwarding) sendHeader(resp *upstream.Response) {
	if f.headerSent {
		return
	}
	f.headerSent = true
	f.timeToFirstByte = time.Since(f.call.Arrived)
	copyHeader(f.w.Header(), resp.Header)
	f.w.WriteHeader(resp.Status)
}

// finishStream finishes a call whose stream is complete.
func (f *forwarding) finishStream(slot *slots.Slot, resp *upstream.Response, controller *http.ResponseController) bool {
	slot.Done(placement.Success, f.call.Cost)
	f.opts.Suspects.Succeeded(f.fps, f.server)
	f.sendHeader(resp)
	_ = controller.Flush() // the caller may have disconnected
	f.recordServed(resp.Status)
	return true
}

// stopStream aborts a stream after a failed write to the caller or the end of
// the call's context.
func (f *forwarding) stopStream(slot *slots.Slot, resp *upstream.Response) bool {
	resp.Body.DisableReuse()
	_ = resp.Body.Close()
	slot.Done(placement.Neutral, 0)
	if !f.callerLeft() && f.ctx.Err() != nil {
		f.fail(&Refusal{Code: codeTimeout, Detail: "the stream took longer than the call's time"})
	}
	f.finishAbandoned()
	return true
}

// finishAbandoned finishes a call whose caller disconnected before the response
// was complete.
func (f *forwarding) finishAbandoned() {
	f.dropPaused()
	if !f.mayRun {
		f.opts.Quotas.ReturnToken(f.workspace)
	}
	f.opts.Metrics.CallerDisconnected(f.route.Name)
	f.log.Info("caller disconnected", "event", "caller_left", "request", f.call.ID, "route", f.route.Name, "server", f.server,
		"events", f.eventsSent, "held_ms", time.Since(f.call.Arrived).Milliseconds())
}
