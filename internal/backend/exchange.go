package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/invariant"
)

var (
	errSilent  = errors.New("no byte within the deadline")
	errCrossed = errors.New("response carries the id of another request")
	errUpgrade = errors.New("protocol upgrades are not supported")
	errMethod  = errors.New("method is not forwarded")
)

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	server *server
	gen    *generation
	ctx    context.Context
	cancel context.CancelCauseFunc

	firstByte  time.Duration
	idempotent bool
	// waitingSince is the coarse time at which the wait for the next byte
	// began, 0 while not waiting for the server.
	waitingSince atomic.Int64
	begun        atomic.Bool // a byte of the response body has arrived
	silent       atomic.Bool // ended by the monitor

	conn       *trackedConn
	sentBefore int64 // bytes written on conn before this exchange
	sentOther  bool  // bytes were written on an earlier connection
	reused     bool
}

func newExchange(ctx context.Context, c *Client, s *server, req *Request) *exchange {
	ex := &exchange{client: c, server: s, idempotent: req.Idempotent, firstByte: req.FirstByte}
	if ex.firstByte <= 0 {
		ex.firstByte = c.opts.FirstByte
	}
	ex.ctx, ex.cancel = context.WithCancelCause(ctx)
	return ex
}

// limit is the longest wait for the next byte.
func (ex *exchange) limit() time.Duration {
	if ex.begun.Load() {
		return ex.client.opts.BetweenBytes
	}
	return ex.firstByte
}

// mayCut reports whether ending the exchange early loses nothing: it may be
// repeated, or its response is lost already.
func (ex *exchange) mayCut() bool {
	return ex.idempotent || ex.begun.Load()
}

func (ex *exchange) endSilent() {
	ex.silent.Store(true)
	counters.Add("silent_exchanges", 1)
	ex.cancel(errSilent)
}

// finish releases the exchange. It may be called more than once.
func (ex *exchange) finish() {
	ex.server.unregister(ex)
	ex.cancel(nil)
}

// run sends the request and waits for the response's header.
func (ex *exchange) run(req *Request) (*Response, *Error) {
	out, err := ex.build(req)
	if err != nil {
		ex.cancel(nil)
		return nil, ex.fail(NotSent, Malformed, "build", err)
	}
	ex.waitingSince.Store(ex.client.clock.Load())
	ex.server.register(ex)
	resp, err := ex.gen.requests.RoundTrip(out)
	ex.waitingSince.Store(0)
	if err != nil {
		failure := ex.classify(err)
		ex.finish()
		return nil, failure
	}
	if failure := ex.verify(out, resp); failure != nil {
		ex.finish()
		_ = resp.Body.Close()
		return nil, failure
	}
	stripHop(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: newBody(ex, resp, req.Stream)}, nil
}

func (ex *exchange) build(req *Request) (*http.Request, error) {
	if req.Method == http.MethodConnect || req.Method == http.MethodTrace {
		return nil, errors.Wrapf(errMethod, "%s", req.Method)
	}
	target, err := url.ParseRequestURI(req.Path)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", ex.server.address
	out := &http.Request{
		Method: req.Method, URL: target, Host: ex.server.address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: outgoingHeader(req.Header, req.ID, ex.server.name),
		Body:   requestBody(req), ContentLength: int64(len(req.Body)),
	}
	trace := &httptrace.ClientTrace{GotConn: ex.gotConn}
	return out.WithContext(httptrace.WithClientTrace(ex.ctx, trace)), nil
}

// requestBody returns a body that net/http cannot rewind, so that it never
// repeats a request on its own: repeats are counted against the retry budget
// and against crash quarantine by the dispatcher.
func requestBody(req *Request) io.ReadCloser {
	if len(req.Body) > 0 {
		return io.NopCloser(bytes.NewReader(req.Body))
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return io.NopCloser(bytes.NewReader(nil))
	}
	return http.NoBody
}

// gotConn records the connection that carries the exchange. net/http calls it
// again only after it wrote nothing on the earlier connection.
func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	if ex.conn != nil && ex.conn.sent() > ex.sentBefore {
		ex.sentOther = true
		invariant.Check(ex.idempotent, "I10", "send", ex.server.name, "fault", "sent on two connections")
	}
	ex.conn, ex.sentBefore, ex.reused = conn, conn.sent(), info.Reused
}

// sentAnything reports whether any byte was sent. It closes the connection,
// so that the result stays true.
func (ex *exchange) sentAnything() bool {
	if ex.sentOther {
		return true
	}
	return ex.conn != nil && ex.conn.closeAndCount() > ex.sentBefore
}

// classify turns a round trip's error into an Error.
func (ex *exchange) classify(err error) *Error {
	stage, step := NotSent, "dial"
	if ex.conn != nil {
		step = "send"
	}
	if ex.sentAnything() {
		stage, step = NoResponse, "read header"
	}
	return ex.fail(stage, ex.cause(err), step, err)
}

func (ex *exchange) cause(err error) Cause {
	var op *net.OpError
	switch {
	case ex.silent.Load():
		return Silent
	case ex.ctx.Err() != nil:
		return Cancelled
	case ex.conn == nil && errors.As(err, &op) && op.Op == "dial":
		return Dial
	case ex.conn == nil:
		return Dial
	default:
		return Broken
	}
}

// verify refuses a response that cannot belong to the request.
func (ex *exchange) verify(out *http.Request, resp *http.Response) *Error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ex.fail(NoResponse, Malformed, "read header", errUpgrade)
	}
	for _, name := range []string{attemptHeader, requestIDHeader} {
		if echo := resp.Header.Get(name); echo != "" && echo != out.Header.Get(name) {
			counters.Add("crossed_responses", 1)
			return ex.fail(NoResponse, Crossed, "read header", errCrossed)
		}
	}
	resp.Header.Del(attemptHeader)
	return nil
}

func (ex *exchange) fail(stage Stage, cause Cause, step string, err error) *Error {
	return &Error{Stage: stage, Cause: cause, Step: step, Peer: ex.server.name, Err: err}
}
