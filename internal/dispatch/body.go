package dispatch

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/backend"
	"ragwortstep/internal/core/balance"
)

// usageTail is how much of a JSON response's end is kept to read its usage.
const usageTail = 512

var (
	eventEnd  = []byte("\n\n")
	usageMark = []byte(`"total_tokens":`)
)

// body is a response's body in a slot. Reading its end or closing it frees
// the slot.
type body struct {
	d     *Dispatcher
	run   *run
	inner *backend.Body
	done  func() // releases the call's context
	once  sync.Once
	bad   bool // the status says nothing about the work done

	stream bool
	events atomic.Int64 // ends of SSE events
	cut    bool         // the last read ended with a line end
	tail   []byte       // end of a JSON response, nil for other responses
}

// respond wraps a response for the caller.
func (d *Dispatcher) respond(r *run, resp *backend.Response, done func()) *Response {
	b := &body{d: d, run: r, inner: resp.Body, done: done, stream: r.job.req.Stream, bad: resp.Status >= http.StatusBadRequest}
	if !b.stream && !b.bad {
		b.tail = make([]byte, 0, 2*usageTail)
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: b, Server: r.server}
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF when the response
// was truncated, and *PreemptedError when batch work was cancelled.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if n > 0 {
		b.count(p[:n])
	}
	if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *body) count(p []byte) {
	if b.stream {
		n := bytes.Count(p, eventEnd)
		if b.cut && p[0] == '\n' {
			n++
		}
		b.cut = p[len(p)-1] == '\n' && !bytes.HasSuffix(p, eventEnd)
		b.events.Add(int64(n))
		return
	}
	if b.tail == nil {
		return
	}
	if len(p) > usageTail {
		p = p[len(p)-usageTail:]
	}
	if len(b.tail)+len(p) > cap(b.tail) {
		b.tail = append(b.tail[:0], b.tail[len(b.tail)-usageTail+len(p):]...)
	}
	b.tail = append(b.tail, p...)
}

// cost returns the work actually done in tokens. Only a complete response
// that is not a stream has its usage at the end.
func (b *body) cost(complete bool) float64 {
	j := b.run.job
	if b.stream {
		return EstimateCost(len(j.req.Body), int(b.events.Load()))
	}
	if !complete {
		return j.cost
	}
	if tokens, ok := usage(b.tail); ok {
		return max(1, tokens)
	}
	return j.cost
}

// usage reads the total of tokens from the end of a JSON response.
func usage(tail []byte) (float64, bool) {
	i := bytes.LastIndex(tail, usageMark)
	if i < 0 {
		return 0, false
	}
	digits := bytes.TrimLeft(tail[i+len(usageMark):], " ")
	end := bytes.IndexFunc(digits, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(digits)
	}
	n, err := strconv.ParseFloat(string(digits[:end]), 64)
	return n, err == nil
}

// finish frees the slot after the response ended.
func (b *body) finish(err error) {
	b.once.Do(func() { b.d.responded(b, err) })
}

// Close implements io.Closer. Before the end of the response it cancels the
// work at the server.
func (b *body) Close() error {
	err := b.inner.Close()
	b.finish(errClosed)
	b.run.cancel(errClosed)
	b.done()
	return err
}

// errClosed ends a response that the caller closed before its end.
var errClosed = errors.New("response closed by the caller")

// responded takes the end of a response into account.
func (d *Dispatcher) responded(b *body, err error) {
	now := time.Now()
	r := b.run
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == io.EOF:
		d.succeeded(r, now)
		cost := b.cost(true)
		if b.bad {
			cost = 0
		}
		d.end(r, balance.Succeeded, cost, now)
	case err == io.ErrUnexpectedEOF:
		counters.Add("truncated", 1)
		if !b.inner.Silent() {
			d.lost(r, now)
		}
		d.end(r, balance.Failed, 0, now)
	default:
		d.end(r, balance.Neutral, b.cost(false), now)
	}
	d.active--
	d.signalIdle()
}
