package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/upstream"
)

const (
	// streamBufferBytes is the size of the copy buffer of one relayed stream.
	streamBufferBytes = 32 << 10
	// maxBufferedBytes is the largest response that is read completely before its
	// first byte is sent. Larger ones are relayed as they arrive, and so are those for
	// which the others that are buffered leave no memory.
	maxBufferedBytes = 4 << 20
	// slowReaderTimeout ends the stream of a caller that reads nothing for this long.
	slowReaderTimeout = 30 * time.Second
	// writeDeadlineInterval limits how often the write deadline is extended, since
	// each extension costs about as much as a system call.
	writeDeadlineInterval = 5 * time.Second
	// maxTruncatedAttempts is how often an idempotent request is tried when its
	// response is truncated.
	maxTruncatedAttempts = 2
)

var streamBuffers = sync.Pool{New: func() any { b := make([]byte, streamBufferBytes); return &b }}

// relay runs the request and sends the response to the caller.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *dispatch.Request) {
	attempts := 1
	if req.Idempotent {
		attempts = maxTruncatedAttempts
	}
	var apiErr *apiError
	for attempt := range attempts {
		var response *response
		response, apiErr = g.fetch(ctx, req)
		if apiErr == nil {
			response.send(ctx, w, g)
			return
		}
		if attempt > 0 { // the dispatcher knows of this attempt only
			apiErr.Executed = dispatch.ExecutedUnknown
		}
		if apiErr.Code != codeTruncated {
			break
		}
	}
	apiErr.write(w)
}

const codeTruncated = "answer_truncated"

// response is a backend server's response, either buffered completely or with a
// body that is still to be relayed.
type response struct {
	resp     *dispatch.Response
	buffered []byte
	held     *upstream.HeldAnswer // counts buffered, nil for a stream
	unread   bool                 // resp.Body continues after buffered
	sse      bool
}

// fetch runs the request and buffers the response unless it is an event stream.
func (g *Gateway) fetch(ctx context.Context, req *dispatch.Request) (*response, *apiError) {
	resp, err := g.opts.Dispatcher.Do(ctx, req)
	if err != nil {
		return nil, dispatchError(ctx, err)
	}
	taken := false
	defer func() { // also after a panic, so that the slot is freed
		if !taken {
			resp.Body.Close()
		}
	}()
	// The dispatcher appends numbers to the request id.
	if echoed := resp.Header.Get(headerRequestID); !strings.HasPrefix(echoed, req.ID) && echoed != "" {
		counters.Add("answers_crossed", 1)
		return nil, &apiError{
			Status: http.StatusBadGateway, Code: "answer_mismatch",
			Message: "the backend server answered another request", Executed: dispatch.ExecutedUnknown,
		}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		taken = true
		return &response{resp: resp, unread: true, sse: true}, nil
	}
	buffered, apiErr := g.bufferResponse(ctx, resp)
	taken = apiErr == nil && buffered.unread
	return buffered, apiErr
}

// bufferResponse reads a response as far as it may be held in memory.
func (g *Gateway) bufferResponse(ctx context.Context, resp *dispatch.Response) (out *response, apiErr *apiError) {
	held := g.answers.Hold()
	defer func() { // also after a panic
		if out == nil {
			held.Release()
		}
	}()
	buffered, err := held.ReadAll(resp.Body)
	unread := errors.IsAny(err, upstream.ErrAnswerTooLarge, upstream.ErrAnswerMemory)
	if err != nil && !unread {
		return nil, responseReadError(ctx, err)
	}
	return &response{resp: resp, buffered: buffered, held: held, unread: unread}, nil
}

// responseReadError returns the error for a response that could not be read to
// its end.
func responseReadError(ctx context.Context, err error) *apiError {
	e := &apiError{Status: http.StatusBadGateway, Code: codeTruncated, Message: "the backend server's answer was cut off", Executed: dispatch.ExecutedUnknown}
	switch {
	case errors.Is(context.Cause(ctx), errKeyRevoked):
		e.Status, e.Code, e.Message = http.StatusUnauthorized, "key_revoked", "the key was revoked"
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Status, e.Code, e.Message = http.StatusGatewayTimeout, "deadline_exceeded", "the deadline passed while the answer was read"
	case !errors.IsAny(err, io.ErrUnexpectedEOF, io.EOF):
		e.Message += ": " + err.Error()
	}
	return e
}

// send writes the response. When the body ends early it aborts the connection,
// so that the caller does not take the response for complete.
func (r *response) send(ctx context.Context, w http.ResponseWriter, g *Gateway) {
	defer r.close()
	copyHeader(w.Header(), r.resp.Header)
	if r.resp.Status >= http.StatusInternalServerError {
		// The server received the request, so it may have been executed in part.
		w.Header().Set(headerExecuted, string(dispatch.ExecutedUnknown))
	}
	if r.sse {
		w.Header().Del("Content-Length")
		w.Header().Set("Cache-Control", "no-cache")
	}
	w.WriteHeader(r.resp.Status)
	if _, err := w.Write(r.buffered); err != nil || !r.unread {
		return
	}
	end, err := copyStream(w, r.resp.Body)
	if err == nil && (!r.sse || end.complete()) {
		return
	}
	counters.Add("answers_aborted", 1)
	if r.sse && end.betweenEvents() {
		writeEventError(w, streamError(ctx, err))
	}
	panic(http.ErrAbortHandler)
}

// close frees what the response holds.
func (r *response) close() {
	r.resp.Body.Close()
	if r.held != nil {
		r.held.Release()
	}
}

// copyHeader copies the response's end-to-end headers.
func copyHeader(to, from http.Header) {
	dropped := hopByHopNames(from)
	for name, values := range from {
		if name == "Content-Length" || !dropped[name] && name != headerRequestID {
			to[name] = values
		}
	}
	to.Del("Set-Cookie2")
}

// streamTail keeps the last bytes of a stream to find its end marker.
type streamTail struct {
	last [tailBytes]byte
	n    int
}

const tailBytes = 32

var endMarker = []byte("data: [DONE]")

func (t *streamTail) add(p []byte) {
	if len(p) >= tailBytes {
		t.n = copy(t.last[:], p[len(p)-tailBytes:])
		return
	}
	if over := t.n + len(p) - tailBytes; over > 0 {
		t.n = copy(t.last[:], t.last[over:t.n])
	}
	t.n += copy(t.last[t.n:], p)
}

// complete reports whether the stream ended with endMarker.
func (t *streamTail) complete() bool {
	return bytes.HasSuffix(bytes.TrimRight(t.last[:t.n], "\r\n"), endMarker)
}

// betweenEvents reports whether the stream ended after an event. Anything written
// after a part of one would become part of it.
func (t *streamTail) betweenEvents() bool {
	return t.n == 0 || bytes.HasSuffix(t.last[:t.n], []byte("\n\n")) || bytes.HasSuffix(t.last[:t.n], []byte("\n\r\n"))
}

// copyStream relays the body, flushing after each read.
func copyStream(w http.ResponseWriter, body io.Reader) (*streamTail, error) {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	rc := http.NewResponseController(w)
	// The connection is reused after the stream, so the deadline must be cleared.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	tail := &streamTail{}
	var deadlineSet time.Time
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if now := time.Now(); now.Sub(deadlineSet) > writeDeadlineInterval {
				_ = rc.SetWriteDeadline(now.Add(slowReaderTimeout))
				deadlineSet = now
			}
			tail.add((*buf)[:n])
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return tail, errors.Wrap(werr, "write to caller")
			}
			if werr := rc.Flush(); werr != nil {
				return tail, errors.Wrap(werr, "flush to caller")
			}
		}
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return tail, nil
		}
		if err != nil {
			return tail, err
		}
	}
}

func streamError(ctx context.Context, err error) *apiError {
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return responseReadError(ctx, err)
}

// writeEventError sends an error as the last event of a stream.
func writeEventError(w http.ResponseWriter, e *apiError) {
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(e.body())
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
