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

// usageTailBytes is how much of the end of a JSON response is kept to read its
// token usage.
const usageTailBytes = 512

var (
	eventSeparator = []byte("\n\n")
	totalTokensKey = []byte(`"total_tokens":`)
)

// responseBody is the body of a response that occupies a slot. Reading it to
// the end or closing it frees the slot.
type responseBody struct {
	d           *Dispatcher
	run         *run
	inner       *backend.Body
	release     func() // releases the context of the call
	once        sync.Once
	errorStatus bool // error responses do not report the work done

	stream          bool
	eventCount      atomic.Int64 // complete SSE events
	endsWithNewline bool         // the last read ended with a newline that may be half of an event separator
	tail            []byte       // end of a JSON response, nil for other responses
}

func (d *Dispatcher) wrapResponse(r *run, resp *backend.Response, release func()) *Response {
	b := &responseBody{d: d, run: r, inner: resp.Body, release: release, stream: r.job.req.Stream, errorStatus: resp.Status >= http.StatusBadRequest}
	if !b.stream && !b.errorStatus {
		b.tail = make([]byte, 0, 2*usageTailBytes)
	}
	return &Response{Status: resp.Status, Header: resp.Header, Body: b, Server: r.server}
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF when the response
// was truncated, and *PreemptedError when batch work was cancelled.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.inner.Read(p)
	if n > 0 {
		b.inspect(p[:n])
	}
	if err != nil {
		b.finish(err)
	}
	return n, err
}

func (b *responseBody) inspect(p []byte) {
	if b.stream {
		n := bytes.Count(p, eventSeparator)
		if b.endsWithNewline && p[0] == '\n' {
			n++
		}
		b.endsWithNewline = p[len(p)-1] == '\n' && !bytes.HasSuffix(p, eventSeparator)
		b.eventCount.Add(int64(n))
		return
	}
	if b.tail == nil {
		return
	}
	if len(p) > usageTailBytes {
		p = p[len(p)-usageTailBytes:]
	}
	if len(b.tail)+len(p) > cap(b.tail) {
		b.tail = append(b.tail[:0], b.tail[len(b.tail)-usageTailBytes+len(p):]...)
	}
	b.tail = append(b.tail, p...)
}

// cost returns the tokens that were actually processed. Only a complete,
// non-streaming response ends with its usage; the cost of other responses is
// estimated.
func (b *responseBody) cost(complete bool) float64 {
	j := b.run.job
	if b.stream {
		return EstimateCost(len(j.req.Body), int(b.eventCount.Load()))
	}
	if !complete {
		return j.cost
	}
	if tokens, ok := parseTotalTokens(b.tail); ok {
		return max(1, tokens)
	}
	return j.cost
}

// parseTotalTokens reads the total token count from the end of a JSON response.
func parseTotalTokens(tail []byte) (float64, bool) {
	i := bytes.LastIndex(tail, totalTokensKey)
	if i < 0 {
		return 0, false
	}
	digits := bytes.TrimLeft(tail[i+len(totalTokensKey):], " ")
	end := bytes.IndexFunc(digits, func(r rune) bool { return r < '0' || r > '9' })
	if end < 0 {
		end = len(digits)
	}
	n, err := strconv.ParseFloat(string(digits[:end]), 64)
	return n, err == nil
}

// finish frees the slot once, when the response has ended.
func (b *responseBody) finish(err error) {
	b.once.Do(func() { b.d.responseEnded(b, err) })
}

// Close implements io.Closer. If the response has not ended, it cancels the
// request at the server.
func (b *responseBody) Close() error {
	err := b.inner.Close()
	b.finish(errClosedByCaller)
	b.run.cancel(errClosedByCaller)
	b.release()
	return err
}

// errClosedByCaller is the outcome of a response that the caller closed before
// its end.
var errClosedByCaller = errors.New("response closed by the caller")

// responseEnded updates the server's state, the quarantine and the queue after
// a response and frees its slot.
func (d *Dispatcher) responseEnded(b *responseBody, err error) {
	now := time.Now()
	r := b.run
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == io.EOF:
		d.recordSuccess(r, now)
		cost := b.cost(true)
		if b.errorStatus {
			cost = 0
		}
		d.endRun(r, balance.Succeeded, cost, now)
	case err == io.ErrUnexpectedEOF:
		counters.Add("truncated", 1)
		if !b.inner.Silent() {
			d.recordConnectionLoss(r, now)
		}
		d.endRun(r, balance.Failed, 0, now)
	default:
		d.endRun(r, balance.Neutral, b.cost(false), now)
	}
	d.active--
	d.signalIdle()
}
