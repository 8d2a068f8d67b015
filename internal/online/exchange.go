package online

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"ragwortstep/internal/core/hedge"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

// exchange is a call sent to one server, and the server's answer. The answer is
// read by a goroutine, so that the call can ask another server while this one is
// silent and still use whichever answers.
type exchange struct {
	slot      *slots.Slot
	sentAt    time.Time
	after     int64        // id of the event after which the server was asked to go on, 0 for the start
	isNew     bool         // the call was not sent to this server before
	isolated  bool         // the call is a suspect and the only one at the server
	rejected  bool         // the server states that it has not run the request
	heardAt   time.Time    // when a part of the answer arrived last
	readAt    atomic.Int64 // when bytes of a whole body were read last, as Unix nanoseconds
	inBody    bool         // a response that is no stream has begun
	streaming bool         // the response is a sound stream
	relayed   bool         // a part of the stream has reached the caller
	skipped   bool         // comments of the stream were dropped
	beganAt   time.Time
	begun     bool                 // a complete event of the stream has arrived
	answered  bool                 // the server went on with its answer after the first bytes
	held      *upstream.HeldAnswer // counts the whole body, or an event of the stream
	arrivals  chan arrival
	dropped   chan struct{} // closed when nobody waits for the answer any more
	cancel    context.CancelFunc
}

// arrival is a part of an answer, or the failure that ends it.
type arrival struct {
	part  part
	resp  *upstream.Response
	body  []byte         // of a wholeBody
	event upstream.Event // of an event
	err   error          // io.EOF at the regular end of a stream
}

// isComment reports whether the arrival is a comment of a stream, which is no progress.
func (a arrival) isComment() bool { return a.part == event && a.err == nil && a.event.IsComment }

// part is the part of an answer that arrived.
type part int

const (
	head      part = iota // the response header
	wholeBody             // the complete body
	event                 // one event of a stream, or its end
)

// start sends a request to the server of the slot.
func start(ctx context.Context, client *upstream.Client, slot *slots.Slot, request *upstream.Request) *exchange {
	ctx, cancel := context.WithCancel(ctx)
	now := time.Now()
	x := &exchange{
		slot: slot, sentAt: now, heardAt: now, held: client.Hold(), arrivals: make(chan arrival), dropped: make(chan struct{}), cancel: cancel,
	}
	go func() {
		defer x.recoverAs(head, nil)
		resp, err := client.Do(ctx, slot.Server.Address, request)
		if !x.deliver(arrival{part: head, resp: resp, err: err}) && err == nil {
			closeBroken(resp)
		}
	}()
	return x
}

// deliver passes an arrival on. It reports false if the exchange was dropped.
func (x *exchange) deliver(a arrival) bool {
	select {
	case x.arrivals <- a:
		return true
	case <-x.dropped:
		return false
	}
}

// recoverAs makes a panic the failure of a part of the answer. The server may have run
// the request. Defer it.
func (x *exchange) recoverAs(p part, resp *upstream.Response) {
	panicked := recover()
	if panicked == nil {
		return
	}
	err := panics.New(panicked)
	if resp != nil {
		closeBroken(resp)
	}
	x.deliver(arrival{part: p, resp: resp, err: err})
}

// drop ends the exchange. The server is told by the end of its connection.
func (x *exchange) drop() {
	close(x.dropped)
	x.cancel()
}

// closeBroken closes a response whose connection must not be used again.
func closeBroken(resp *upstream.Response) {
	resp.Body.DisableReuse()
	_ = resp.Body.Close()
}

// readBody reads the whole body of a response, which arrives as one part.
func (x *exchange) readBody(resp *upstream.Response) {
	x.inBody = true
	go func() {
		defer x.recoverAs(wholeBody, resp)
		body, err := x.held.ReadAll(&notingReader{resp.Body, &x.readAt})
		if err == nil && resp.UntilClose && len(body) == 0 && resp.Status < http.StatusMultipleChoices {
			err = io.ErrUnexpectedEOF // the server may have ended before the body began
		}
		if err != nil {
			resp.Body.DisableReuse()
		}
		_ = resp.Body.Close()
		x.deliver(arrival{part: wholeBody, resp: resp, body: body, err: err})
	}()
}

// readEvents reads the events of a stream, which arrive one by one.
func (x *exchange) readEvents(resp *upstream.Response) {
	go func() {
		defer x.recoverAs(event, resp)
		reader := upstream.NewEventReader(resp.Body, x.after, x.held)
		begun := false
		for {
			next, err := reader.Next()
			if err == io.EOF && resp.UntilClose && !begun {
				err = io.ErrUnexpectedEOF // the connection may have ended before the stream began
			}
			begun = begun || err == nil && !next.IsComment
			if err != nil {
				if err != io.EOF {
					resp.Body.DisableReuse()
				}
				_ = resp.Body.Close()
				x.deliver(arrival{part: event, resp: resp, err: err})
				return
			}
			next.Raw = bytes.Clone(next.Raw) // valid until the next call only
			if !x.deliver(arrival{part: event, resp: resp, event: next}) {
				closeBroken(resp)
				return
			}
		}
	}()
}

// notingReader notes when it has read bytes.
type notingReader struct {
	r  io.Reader
	at *atomic.Int64
}

// Read implements io.Reader.
func (n *notingReader) Read(p []byte) (int, error) {
	count, err := n.r.Read(p)
	if count > 0 {
		n.at.Store(time.Now().UnixNano())
	}
	return count, err
}

// phase returns how far the answer has come.
func (x *exchange) phase() hedge.Phase {
	switch {
	case x.inBody:
		return hedge.InBody
	case x.streaming:
		return hedge.InStream
	}
	return hedge.Unanswered
}

// silentFor returns how long nothing of the answer has arrived.
func (x *exchange) silentFor() time.Duration {
	silent := time.Since(x.heardAt)
	if at := x.readAt.Load(); at > 0 {
		silent = min(silent, time.Since(time.Unix(0, at)))
	}
	return silent
}
