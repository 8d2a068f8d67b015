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
)

const (
	// streamBuffer bounds the memory of one relayed stream, in bytes.
	streamBuffer = 32 << 10
	// wholeAnswerLimit is the largest answer that is checked for completeness
	// before its first byte goes out; larger ones are relayed as they come.
	wholeAnswerLimit = 4 << 20
	// slowReaderTimeout ends the stream of a caller that accepts nothing for this long.
	slowReaderTimeout = 30 * time.Second
	// writeDeadlineStep is how often the write deadline is moved, since each move costs a system call's worth of work.
	writeDeadlineStep = 5 * time.Second
	// wholeAttempts is how often an idempotent request is tried when its answer was truncated.
	wholeAttempts = 2
)

var buffers = sync.Pool{New: func() any { b := make([]byte, streamBuffer); return &b }}

// relay runs the request and sends the answer to the caller.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, req *dispatch.Request) {
	attempts := 1
	if req.Idempotent {
		attempts = wholeAttempts
	}
	var refused *apiError
	for range attempts {
		var answer *answer
		answer, refused = g.fetch(ctx, req)
		if refused == nil {
			answer.send(ctx, w, g)
			return
		}
		if refused.Code != codeTruncated {
			break
		}
	}
	refused.write(w)
}

const codeTruncated = "answer_truncated"

// answer is a server's answer: whole in memory, or a body still to be relayed.
type answer struct {
	resp  *dispatch.Response
	whole []byte
	rest  bool // the body goes on after whole
	sse   bool
}

// fetch runs the request and reads answers that are not streams to their end.
func (g *Gateway) fetch(ctx context.Context, req *dispatch.Request) (*answer, *apiError) {
	resp, err := g.opts.Dispatcher.Do(ctx, req)
	if err != nil {
		return nil, dispatchError(ctx, err)
	}
	// The backend client numbers the attempts of a request by a suffix of its id.
	if echoed := resp.Header.Get(headerRequestID); !strings.HasPrefix(echoed, req.ID) && echoed != "" {
		resp.Body.Close()
		counters.Add("answers_crossed", 1)
		return nil, &apiError{
			Status: http.StatusBadGateway, Code: "answer_mismatch",
			Message: "the backend server answered another request", Executed: dispatch.ExecutedUnknown,
		}
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return &answer{resp: resp, rest: true, sse: true}, nil
	}
	return readWhole(ctx, resp)
}

// readWhole reads an answer up to wholeAnswerLimit. It closes the body unless
// the answer goes on.
func readWhole(ctx context.Context, resp *dispatch.Response) (*answer, *apiError) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswerLimit+1))
	if err != nil {
		resp.Body.Close()
		return nil, readError(ctx, err)
	}
	if len(body) > wholeAnswerLimit {
		return &answer{resp: resp, whole: body, rest: true}, nil
	}
	resp.Body.Close()
	return &answer{resp: resp, whole: body}, nil
}

// readError tells why an answer could not be read to its end.
func readError(ctx context.Context, err error) *apiError {
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

// send writes the answer. A body that ends early aborts the connection, so
// that the caller cannot take it for a whole answer.
func (a *answer) send(ctx context.Context, w http.ResponseWriter, g *Gateway) {
	defer a.resp.Body.Close()
	copyHeader(w.Header(), a.resp.Header)
	if a.resp.Status >= http.StatusInternalServerError {
		// The server answered, so the request may have run in part.
		w.Header().Set(headerExecuted, string(dispatch.ExecutedUnknown))
	}
	if a.sse {
		w.Header().Del("Content-Length")
		w.Header().Set("Cache-Control", "no-cache")
	}
	w.WriteHeader(a.resp.Status)
	if _, err := w.Write(a.whole); err != nil || !a.rest {
		return
	}
	end, err := copyStream(w, a.resp.Body)
	if err == nil && (!a.sse || end.done()) {
		return
	}
	counters.Add("answers_aborted", 1)
	if a.sse {
		writeEventError(w, streamError(ctx, err))
	}
	panic(http.ErrAbortHandler)
}

// copyHeader copies the answer's end-to-end headers.
func copyHeader(to, from http.Header) {
	dropped := connectionTokens(from)
	for name, values := range from {
		if name == "Content-Length" || !dropped[name] && name != headerRequestID {
			to[name] = values
		}
	}
	to.Del("Set-Cookie2")
}

// streamTail keeps the last bytes of a stream to recognise its end marker.
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

// done reports whether the stream ended with the end marker.
func (t *streamTail) done() bool {
	return bytes.HasSuffix(bytes.TrimRight(t.last[:t.n], "\r\n"), endMarker)
}

// copyStream relays the body, flushing after each read.
func copyStream(w http.ResponseWriter, body io.Reader) (*streamTail, error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	rc := http.NewResponseController(w)
	// The connection outlives the stream, so its deadline must not stay behind.
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	tail := &streamTail{}
	var deadlineSet time.Time
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if now := time.Now(); now.Sub(deadlineSet) > writeDeadlineStep {
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
	return readError(ctx, err)
}

// writeEventError sends an error as the last event of a stream.
func writeEventError(w http.ResponseWriter, e *apiError) {
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(e.body())
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
