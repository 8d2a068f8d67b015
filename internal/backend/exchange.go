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
	"ragwortstep/internal/panics"
	"ragwortstep/internal/upstream"
)

var (
	errSilent     = errors.New("no byte within the deadline")
	errMismatched = errors.New("response carries the id of another request")
	errUpgrade    = errors.New("protocol upgrades are not supported")
	errMethod     = errors.New("method is not forwarded")
)

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	server *server
	gen    *generation
	ctx    context.Context
	cancel context.CancelCauseFunc

	firstByteTimeout time.Duration
	idempotent       bool
	// waitingSince is the client's clock when the wait for the next byte began,
	// 0 while not waiting for the server.
	waitingSince atomic.Int64
	headArrived  atomic.Bool // the response's header has arrived
	bodyStarted  atomic.Bool // a byte of the response body has arrived
	silent       atomic.Bool // cancelled by checkDeadlines

	conn            *trackedConn
	sentBefore      int64 // bytes written on conn before this exchange
	sentOnOtherConn bool  // bytes were written on an earlier connection
	reused          bool
}

func newExchange(ctx context.Context, c *Client, s *server, req *Request) *exchange {
	ex := &exchange{client: c, server: s, idempotent: req.Idempotent, firstByteTimeout: req.FirstByteTimeout}
	if ex.firstByteTimeout <= 0 {
		ex.firstByteTimeout = c.opts.FirstByteTimeout
	}
	ex.ctx, ex.cancel = context.WithCancelCause(ctx)
	return ex
}

// nextByteTimeout returns the longest wait for the next byte.
func (ex *exchange) nextByteTimeout() time.Duration {
	if ex.bodyStarted.Load() {
		return ex.client.opts.BetweenBytesTimeout
	}
	return ex.firstByteTimeout
}

// canAbort reports whether the exchange, which has waited for a byte since a time, may
// be cancelled before its deadline after its connection was replaced: either the
// request can be retried, or the rest of its response is lost anyway, because a poll
// that was sent later got no answer. A byte after that poll shows that the server is
// at work.
func (ex *exchange) canAbort(since, replacedAt, unansweredSince int64) bool {
	if ex.headArrived.Load() {
		return since <= unansweredSince
	}
	return ex.idempotent && since <= replacedAt
}

// abortSilent cancels an exchange that received no byte within its deadline.
func (ex *exchange) abortSilent() {
	ex.silent.Store(true)
	counters.Add("silent_exchanges", 1)
	ex.cancel(errSilent)
}

// release unregisters and cancels the exchange. It may be called more than once.
func (ex *exchange) release() {
	ex.server.unregister(ex)
	ex.cancel(nil)
}

// runGuarded is run, whose panic is a failure: the server may have run the request.
func (ex *exchange) runGuarded(req *Request) (resp *Response, failure *Error) {
	defer func() {
		if value := recover(); value != nil {
			counters.Add("exchange_panics", 1)
			_ = ex.closeAndCheckSent()
			ex.release()
			resp, failure = nil, ex.newError(NoResponse, Malformed, "exchange", panics.New(value))
		}
	}()
	return ex.run(req)
}

// run sends the request and waits for the response's header.
func (ex *exchange) run(req *Request) (*Response, *Error) {
	out, err := ex.buildRequest(req)
	if err != nil {
		ex.cancel(nil)
		return nil, ex.newError(NotSent, Malformed, "build", err)
	}
	ex.waitingSince.Store(ex.client.clock.Load())
	ex.server.register(ex)
	resp, err := ex.gen.requests.RoundTrip(out)
	ex.waitingSince.Store(0)
	if err != nil {
		failure := ex.classify(err)
		ex.release()
		return nil, failure
	}
	if failure := ex.verify(out, resp); failure != nil {
		ex.release()
		_ = resp.Body.Close()
		// A response without a body has returned the connection to the pool, with the
		// answer to this request still due on it.
		if ex.conn != nil {
			_ = ex.conn.Close()
		}
		return nil, failure
	}
	ex.headArrived.Store(true)
	stripHopByHop(resp.Header)
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: newBody(ex, resp, req.Stream)}, nil
}

func (ex *exchange) buildRequest(req *Request) (*http.Request, error) {
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
// retries a request by itself. Retries are the dispatcher's, which counts them
// against the retry budget and for crash quarantine.
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
// again only when it wrote nothing on the earlier connection.
func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := tracked(info.Conn)
	if !ok {
		return
	}
	if ex.conn != nil && ex.conn.sent() > ex.sentBefore {
		ex.sentOnOtherConn = true
		invariant.Check(ex.idempotent, "I10", "send", ex.server.name, "fault", "sent on two connections")
	}
	ex.conn, ex.sentBefore, ex.reused = conn, conn.sent(), info.Reused
}

// closeAndCheckSent closes the connection and reports whether any byte of the
// request was sent. Closing first keeps the result from changing afterwards.
func (ex *exchange) closeAndCheckSent() bool {
	if ex.sentOnOtherConn {
		return true
	}
	return ex.conn != nil && ex.conn.closeAndCount() > ex.sentBefore
}

// classify converts an error of RoundTrip to an Error. It closes the connection.
func (ex *exchange) classify(err error) *Error {
	stage, step := NotSent, "dial"
	if ex.conn != nil {
		step = "send"
	}
	if ex.closeAndCheckSent() {
		stage, step = NoResponse, "read header"
	}
	cause := ex.cause(err)
	if cause == Broken && stage == NoResponse && isBrokenHead(err) {
		cause = Malformed
	}
	return ex.newError(stage, cause, step, err)
}

// isBrokenHead reports whether a response arrived whose head is not accepted.
func isBrokenHead(err error) bool {
	return errors.IsAny(err, upstream.ErrMalformedHead, upstream.ErrHeadTooLarge)
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

// verify rejects protocol upgrades and responses that echo the id of another
// request.
func (ex *exchange) verify(out *http.Request, resp *http.Response) *Error {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return ex.newError(NoResponse, Malformed, "read header", errUpgrade)
	}
	for _, name := range []string{attemptHeader, requestIDHeader} {
		if echo := resp.Header.Get(name); echo != "" && echo != out.Header.Get(name) {
			counters.Add("crossed_responses", 1)
			return ex.newError(NoResponse, Mismatched, "read header", errMismatched)
		}
	}
	resp.Header.Del(attemptHeader)
	return nil
}

func (ex *exchange) newError(stage Stage, cause Cause, step string, err error) *Error {
	return &Error{Stage: stage, Cause: cause, Step: step, Peer: ex.server.name, Err: err}
}
