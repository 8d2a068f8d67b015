// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections. One request uses one connection at a time, so the package knows
// for each failure whether any byte of the request was sent, and closes a
// connection after anything odd instead of using it again. It never repeats a
// request on its own.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/defaults"
	"ragwortstep/internal/rawconn"
)

// Defaults of Options.
const (
	// defaultDial is several round trips between zones; a host that does not
	// answer by then has no power or is cut off.
	defaultDial = 400 * time.Millisecond
	// defaultUserTimeout ends connections whose peer acknowledges nothing.
	defaultUserTimeout = 1500 * time.Millisecond
	// defaultIdle is how long a connection is kept when the server does not
	// state its own idle time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the idle time that a server states, so that a
	// request does not cross the server's close.
	idleMargin = time.Second
	// idlePerServer bounds the kept connections to one server. Servers bound
	// the connections of all hosts together.
	idlePerServer = 6
	readBuffer    = 8 << 10
)

// Stage tells how far a failed request came.
type Stage int

// Stages of a request.
const (
	NotSent    Stage = iota // no byte of the request left this host
	Sent                    // a part or all of it was sent, no answer came
	InResponse              // the answer had begun
)

// Error is a failure to send a request or to read its answer.
type Error struct {
	Stage  Stage
	Silent bool // the server was silent beyond a time-out
	Reused bool // the connection had carried a request before
	Step   string
	Peer   string // address of the server
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configures a Client. Zero fields take the stated defaults.
type Options struct {
	Dial        time.Duration // default 400 ms
	UserTimeout time.Duration // TCP_USER_TIMEOUT, default 1.5 s
	Idle        time.Duration // default 4 s
}

// Request is one request to one server.
type Request struct {
	Method string
	Target string // path and query as the server reads them
	Host   string
	Header http.Header
	Body   []byte
	// FirstByte bounds the wait for the answer's header, 0 for no bound but
	// the context's.
	FirstByte time.Duration
	// MaxIdle is the longest idle time of a kept connection that may carry the
	// request, 0 for no bound. Servers may drop idle connections without notice,
	// and a request that may not be repeated is lost with one.
	MaxIdle time.Duration
}

// Response is a server's answer. Body must be closed. Closing it before its
// end closes the connection, which cancels the work at the server.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 when unknown
	Body   *Body
}

var counters = expvar.NewMap("upstream")

// Client keeps connections to backend servers by address. It is safe for
// concurrent use.
type Client struct {
	opts  Options
	mu    sync.Mutex
	pools map[string]*pool
}

// New returns a client without connections.
func New(opts Options) *Client {
	defaults.Positive(&opts.Dial, defaultDial)
	defaults.Positive(&opts.UserTimeout, defaultUserTimeout)
	defaults.Positive(&opts.Idle, defaultIdle)
	return &Client{opts: opts, pools: map[string]*pool{}}
}

// Keep closes idle connections to all addresses that are not listed.
func (c *Client) Keep(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] {
			p.drop()
			delete(c.pools, address)
		}
	}
}

// Distrust closes idle connections to an address after one of them went
// silent: connections opened before a silent cut share its fate.
func (c *Client) Distrust(address string) {
	c.pool(address).drop()
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[address]
	if !ok {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// Do sends a request to the server at an address and returns when the
// answer's header has arrived. ctx bounds the whole exchange, the body's
// reading included. A failure is an *Error.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	conn, err := c.connect(ctx, address, req.MaxIdle)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	ex := &exchange{conn: conn, ctx: ctx, stop: stop, address: address}
	resp, failure := ex.run(req)
	if failure != nil {
		ex.abandon()
		return nil, failure
	}
	return resp, nil
}

// connect takes a kept connection or opens one.
func (c *Client) connect(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	p := c.pool(address)
	if kept := p.take(time.Now(), maxIdle); kept != nil {
		counters.Add("reused", 1)
		return kept, nil
	}
	counters.Add("dialed", 1)
	dialer := net.Dialer{Timeout: c.opts.Dial, KeepAliveConfig: keepAlive, Control: rawconn.UserTimeout(c.opts.UserTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		var timeout net.Error
		silent := errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil
		return nil, &Error{Stage: NotSent, Silent: silent, Step: "dial", Peer: address, Err: err}
	}
	wrapped, err := rawconn.Wrap(raw)
	if err != nil {
		_ = raw.Close() // the error of Wrap is returned
		return nil, &Error{Stage: NotSent, Step: "wrap connection to", Peer: address, Err: err}
	}
	return &conn{Conn: wrapped, pool: p, idle: c.opts.Idle, reader: bufio.NewReaderSize(wrapped, readBuffer)}, nil
}

// exchange is one request and its answer on one connection.
type exchange struct {
	conn    *conn
	ctx     context.Context
	stop    func() bool
	address string
}

// run sends the request and reads the answer's header.
func (ex *exchange) run(req *Request) (*Response, *Error) {
	if n, err := ex.conn.Write(encode(req)); err != nil {
		if n == 0 {
			return nil, ex.fail(NotSent, "send to", err)
		}
		return ex.earlyAnswer(req, err)
	}
	if req.FirstByte > 0 {
		ex.setReadDeadline(req.FirstByte)
	}
	resp, err := readResponse(ex.conn.reader, req.Method)
	if err != nil {
		return nil, ex.fail(Sent, "read answer of", err)
	}
	ex.setReadDeadline(0)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &Body{ex: ex, body: resp.Body, reusable: !resp.Close, idle: statedIdle(resp.Header)},
	}, nil
}

// earlyAnswerWait bounds the wait for an answer after a failed send. Such an
// answer was sent before the connection broke, so it is there or lost.
const earlyAnswerWait = 50 * time.Millisecond

// earlyAnswer reads the answer of a server that stopped reading the request.
func (ex *exchange) earlyAnswer(req *Request, sendErr error) (*Response, *Error) {
	ex.setReadDeadline(earlyAnswerWait)
	resp, err := readResponse(ex.conn.reader, req.Method)
	if err != nil {
		return nil, ex.fail(Sent, "send to", sendErr)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Body: &Body{ex: ex, body: resp.Body},
	}, nil
}

// setReadDeadline bounds the next reads, unless the context has ended: its
// own deadline in the past must not be lifted.
func (ex *exchange) setReadDeadline(d time.Duration) {
	var at time.Time
	if d > 0 {
		at = time.Now().Add(d)
	}
	_ = ex.conn.SetReadDeadline(at)
	if ex.ctx.Err() != nil {
		_ = ex.conn.SetDeadline(time.Unix(1, 0))
	}
}

func (ex *exchange) fail(stage Stage, step string, err error) *Error {
	var timeout net.Error
	silent := errors.As(err, &timeout) && timeout.Timeout() && ex.ctx.Err() == nil
	if ex.ctx.Err() != nil {
		err = context.Cause(ex.ctx)
	}
	return &Error{Stage: stage, Silent: silent, Reused: ex.conn.used, Step: step, Peer: ex.address, Err: err}
}

// abandon closes the connection.
func (ex *exchange) abandon() {
	ex.stop()
	_ = ex.conn.Close()
}

// release keeps the connection for the next request.
func (ex *exchange) release(idle time.Duration) {
	if !ex.stop() { // the context's end is about to spoil the deadlines
		_ = ex.conn.Close()
		return
	}
	ex.conn.pool.put(ex.conn, idle, time.Now())
}

// encode writes the request's head and body into one buffer, so that it
// usually leaves in one segment.
func encode(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	_ = req.Header.Write(&b) // a bytes.Buffer does not fail
	if len(req.Body) > 0 || mayHaveBody(req.Method) {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(req.Body))
	}
	b.WriteString("\r\n")
	b.Write(req.Body)
	return b.Bytes()
}

func mayHaveBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}

// maxInterim bounds the interim responses before the final one.
const maxInterim = 5

func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("protocol upgrades are not supported")
		}
	}
	return nil, errors.New("too many interim responses")
}

// statedIdle returns the idle time of a Keep-Alive header, 0 without one.
func statedIdle(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, time.Second/2)
		}
	}
	return 0
}

// Body is an answer's body.
type Body struct {
	ex       *exchange
	body     io.ReadCloser
	reusable bool
	idle     time.Duration
	ended    bool
	closed   bool
}

// Read implements io.Reader. It returns io.EOF only at the answer's sound end.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		return n, b.ex.fail(InResponse, "read answer of", err)
	}
	return n, nil
}

// SetReadTimeout bounds the next reads; 0 removes the bound.
func (b *Body) SetReadTimeout(d time.Duration) { b.ex.setReadDeadline(d) }

// Spoil makes Close end the connection, for answers that were not as expected.
func (b *Body) Spoil() { b.reusable = false }

// Close ends the exchange. The connection is kept when the answer ended
// soundly and left no byte unread.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.ended && b.reusable && b.ex.conn.reader.Buffered() == 0 {
		b.ex.release(b.idle)
		return nil
	}
	b.ex.abandon()
	return nil
}
