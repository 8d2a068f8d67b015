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

var errEventOrder = errors.New("an event is missing or came twice")

// stream passes whole events on as they arrive. It returns true when the
// stream is complete or the caller is gone.
func (f *forwarding) stream(place *slots.Place, resp *upstream.Response) bool {
	reader := upstream.NewEventReader(resp.Body)
	controller := http.NewResponseController(f.w)
	gap := f.gap()
	for {
		resp.Body.SetReadTimeout(gap)
		event, err := reader.Next()
		if err == io.EOF {
			_ = resp.Body.Close()
			return f.complete(place, resp, controller)
		}
		if err == nil {
			err = f.order(event)
		}
		if err != nil {
			return f.cutShort(place, resp, err)
		}
		f.begin(resp)
		if _, err = f.w.Write(event.Raw); err == nil {
			err = controller.Flush()
		}
		if err != nil || f.ctx.Err() != nil {
			return f.left(place, resp)
		}
		f.events++
	}
}

// gap is the longest wait for the next event where the stream may go on at
// another server, 0 for no bound.
func (f *forwarding) gap() time.Duration {
	if !f.route.Repeatable() || f.sends >= f.route.MaxAttempts {
		return 0
	}
	return max(gapFactor*f.route.GapObjective, minGap)
}

// order checks that an event follows the last one. Ids count up by one.
func (f *forwarding) order(event upstream.Event) error {
	if !event.HasID {
		return nil
	}
	if (f.events > 0 || f.call.LastID > 0) && event.ID != f.last+1 {
		return errors.Wrapf(errEventOrder, "event %d after %d", event.ID, f.last)
	}
	f.last = event.ID
	return nil
}

// begin sends the first server's header before the first event.
func (f *forwarding) begin(resp *upstream.Response) {
	if f.begun {
		return
	}
	f.begun = true
	f.first = time.Since(f.call.Arrived)
	copyHeader(f.w.Header(), resp.Header)
	f.w.WriteHeader(resp.Status)
}

// complete ends a stream whose end has arrived.
func (f *forwarding) complete(place *slots.Place, resp *upstream.Response, controller *http.ResponseController) bool {
	place.Done(placement.Good, f.call.Cost)
	f.opts.Suspects.Succeeded(f.print, f.server)
	f.begin(resp)
	_ = controller.Flush() // the caller may have gone
	f.served(resp.Status)
	return true
}

// left ends a stream whose caller does not take it any more.
func (f *forwarding) left(place *slots.Place, resp *upstream.Response) bool {
	resp.Body.Spoil()
	_ = resp.Body.Close()
	place.Done(placement.Neutral, 0)
	if !f.callerLeft() && f.ctx.Err() != nil {
		f.giveUp(&Refusal{Code: codeTimeout, Detail: "the stream took longer than the call's time"})
	}
	f.gone()
	return true
}

// gone ends a call whose caller left before its answer was complete.
func (f *forwarding) gone() {
	if !f.mayRun {
		f.opts.Quotas.Return(f.workspace)
	}
	f.opts.Metrics.Abandoned(f.route.Name)
	f.log.Info("caller left", "event", "caller_left", "request", f.call.ID, "route", f.route.Name, "server", f.server,
		"events", f.events, "held_ms", time.Since(f.call.Arrived).Milliseconds())
}
