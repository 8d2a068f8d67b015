// Package upstream sends requests to backend servers over pooled HTTP/1.1
// connections. A connection carries one request at a time, so every failure
// reports whether any byte of the request was sent. Connections are closed after
// any irregularity instead of being reused, and requests are never retried here.
// Transport gives the clients of other servers the same checks of what they read.
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/defaults"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/rawconn"
)

// Defaults of Options.
const (
	// defaultDialTimeout is several round trips between zones. A host that does
	// not respond within it is down or unreachable.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultUserTimeout closes connections whose peer accepts no data. A sound server
	// that reads nothing for a second or two accepts none of a long request.
	defaultUserTimeout = 3 * time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the server
	// does not send a Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's Keep-Alive timeout, so that a
	// request is not sent while the server closes the connection.
	idleMargin = time.Second
	// maxIdlePerServer bounds the idle connections to one server, because servers
	// limit the total connections of all hosts.
	maxIdlePerServer = 6
	readBufferBytes  = 8 << 10
)

// Stage is the progress of a request when it failed.
type Stage int

// Stages of a request.
const (
	NotSent    Stage = iota // no byte of the request was sent
	Sent                    // some or all of the request was sent, no response received
	InResponse              // the response had started
)

// Error is a failure to send a request or to read its response.
type Error struct {
	Stage  Stage
	Silent bool // a timeout expired without data from the server
	Reused bool // the connection had carried an earlier request
	Step   string
	Peer   string // address of the server
	Err    error
}

// Error implements error.
func (e *Error) Error() string { return e.Step + " " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Options configures a Client. Zero fields take their defaults.
type Options struct {
	Dial        time.Duration // default 400 ms
	UserTimeout time.Duration // TCP_USER_TIMEOUT, default 3 s
	Idle        time.Duration // default 4 s
	// AnswerMemory bounds the bytes of large answers that are held at once, 32 MiB by
	// default.
	AnswerMemory int64
	// Connect opens a connection to an address, over TCP by default.
	Connect func(ctx context.Context, address string) (Conn, error)
}

// Request is one request to one server.
type Request struct {
	Method string
	Target string // path and query as sent to the server
	Host   string
	Header http.Header
	Body   []byte
	// FirstByteTimeout bounds the wait for the response header; 0 means only the
	// context limits it.
	FirstByteTimeout time.Duration
	// MaxIdle is the longest idle time of a pooled connection that may carry the
	// request; 0 means no limit. Servers may drop idle connections without
	// notice, and a request that must not be retried fails on such a connection.
	MaxIdle time.Duration
	// Sends is shared by all sends of a request that carry the same id; nil if it is
	// sent only once.
	Sends *Sends
}

// Response is a server's response. Body must be closed. Closing it before its
// end closes the connection, which cancels the request at the server.
type Response struct {
	Status int
	Header http.Header
	Length int64 // -1 when unknown
	// UntilClose is set if the body has neither length nor chunks and ends with the
	// connection, so that the end of the server looks like the end of the body.
	UntilClose bool
	Body       *Body
}

var counters = expvar.NewMap("upstream")

// Client pools connections to backend servers by address. It is safe for
// concurrent use.
type Client struct {
	opts   Options
	mu     sync.Mutex
	pools  map[string]*pool
	opened atomic.Uint64 // connections opened

	answers *AnswerMemory
}

// New returns a client without connections.
func New(opts Options) *Client {
	defaults.Positive(&opts.Dial, defaultDialTimeout)
	defaults.Positive(&opts.UserTimeout, defaultUserTimeout)
	defaults.Positive(&opts.Idle, defaultIdleTimeout)
	defaults.Set(&opts.AnswerMemory, DefaultAnswerMemory)
	if opts.Connect == nil {
		opts.Connect = opts.connectTCP
	}
	return &Client{opts: opts, pools: map[string]*pool{}, answers: NewAnswerMemory(MaxAnswerBytes, opts.AnswerMemory)}
}

// CloseIdleExcept closes idle connections to all addresses not in addresses.
func (c *Client) CloseIdleExcept(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		if !addresses[address] {
			p.closeAll()
			delete(c.pools, address)
		}
	}
}

// CloseIdle closes the idle connections to an address. Call it after one of them
// timed out: a network failure that dropped it without a close affects the others
// too.
func (c *Client) CloseIdle(address string) {
	c.pool(address).closeAll()
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

// Do sends a request to the server at an address and returns when the response
// header has been received. ctx bounds the whole exchange, including reading the
// body. Errors are of type *Error; a panic is one too.
func (c *Client) Do(ctx context.Context, address string, req *Request) (resp *Response, err error) {
	var ex *exchange // nil before a byte may be sent
	defer func() {
		if panicked := recover(); panicked != nil {
			resp, err = nil, failPanicked(ex, address, panicked)
		}
	}()
	conn, err := c.connect(ctx, address, req)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	ex = &exchange{conn: conn, ctx: ctx, stop: stop, address: address}
	req.Sends.add(conn)
	resp, failure := ex.roundTrip(req)
	if failure != nil {
		ex.closeConn()
		return nil, failure
	}
	return resp, nil
}

// failPanicked ends an exchange that panicked; nil if there was no connection yet.
func failPanicked(ex *exchange, address string, panicked any) error {
	failure := &Error{Stage: NotSent, Step: "connect to", Peer: address, Err: panics.New(panicked)}
	if ex != nil {
		ex.closeConn()
		failure.Stage, failure.Reused, failure.Step = Sent, ex.conn.used, "exchange with"
	}
	return failure
}

// connect returns a pooled connection or dials a new one.
func (c *Client) connect(ctx context.Context, address string, req *Request) (*conn, error) {
	p := c.pool(address)
	if kept := p.get(time.Now(), req.MaxIdle, req.Sends); kept != nil {
		counters.Add("reused", 1)
		return kept, nil
	}
	counters.Add("dialed", 1)
	opened, err := c.opts.Connect(ctx, address)
	if err != nil {
		var timeout net.Error
		silent := errors.As(err, &timeout) && timeout.Timeout() && ctx.Err() == nil
		return nil, &Error{Stage: NotSent, Silent: silent, Step: "dial", Peer: address, Err: err}
	}
	checked := &checkedReader{r: opened}
	return &conn{
		Conn: opened, pool: p, number: c.opened.Add(1), idle: c.opts.Idle,
		checked: checked, reader: bufio.NewReaderSize(checked, readBufferBytes),
	}, nil
}

// connectTCP is the default of Options.Connect.
func (o Options) connectTCP(ctx context.Context, address string) (Conn, error) {
	dialer := net.Dialer{Timeout: o.Dial, KeepAliveConfig: keepAlive, Control: rawconn.UserTimeout(o.UserTimeout)}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped, err := rawconn.Wrap(raw)
	if err != nil {
		_ = raw.Close() // the error of Wrap is returned
		return nil, errors.Wrap(err, "wrap connection")
	}
	return wrapped, nil
}

// exchange is one request and its response on one connection.
type exchange struct {
	conn    *conn
	ctx     context.Context
	stop    func() bool
	address string
}

// roundTrip sends the request and reads the response header.
func (ex *exchange) roundTrip(req *Request) (*Response, *Error) {
	if n, err := ex.conn.Write(encode(req)); err != nil {
		if n == 0 {
			return nil, ex.newError(NotSent, "send to", err)
		}
		return ex.readEarlyResponse(req, err)
	}
	if req.FirstByteTimeout > 0 {
		ex.setReadDeadline(req.FirstByteTimeout)
	}
	resp, err := ex.conn.readResponse(req.Method)
	if err != nil {
		return nil, ex.newError(Sent, "read answer of", err)
	}
	ex.setReadDeadline(0)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, UntilClose: endsWithConnection(resp),
		Body: &Body{ex: ex, body: resp.Body, reusable: !resp.Close, idle: keepAliveTimeout(resp.Header)},
	}, nil
}

// earlyResponseTimeout bounds the wait for a response after a failed send. Such a
// response was sent before the connection broke, so it has arrived or is lost.
const earlyResponseTimeout = 50 * time.Millisecond

// readEarlyResponse reads the response of a server that stopped reading the
// request. The end of the connection does not complete it.
func (ex *exchange) readEarlyResponse(req *Request, sendErr error) (*Response, *Error) {
	ex.conn.checked.sendErr = sendErr
	ex.setReadDeadline(earlyResponseTimeout)
	resp, err := ex.conn.readResponse(req.Method)
	if err != nil {
		return nil, ex.newError(Sent, "send to", sendErr)
	}
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, UntilClose: endsWithConnection(resp),
		Body: &Body{ex: ex, body: resp.Body},
	}, nil
}

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// setReadDeadline bounds the next reads. If the context has ended, it restores
// the past deadline that makes all I/O fail.
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

func (ex *exchange) newError(stage Stage, step string, err error) *Error {
	var timeout net.Error
	silent := errors.As(err, &timeout) && timeout.Timeout() && ex.ctx.Err() == nil
	if ex.ctx.Err() != nil {
		err = context.Cause(ex.ctx)
	}
	return &Error{Stage: stage, Silent: silent, Reused: ex.conn.used, Step: step, Peer: ex.address, Err: err}
}

// closeConn closes the connection instead of returning it to the pool.
func (ex *exchange) closeConn() {
	ex.stop()
	_ = ex.conn.Close()
}

// keepConn returns the connection to the pool.
func (ex *exchange) keepConn(idle time.Duration) {
	if !ex.stop() { // the context has ended and is setting a past deadline
		_ = ex.conn.Close()
		return
	}
	_ = ex.conn.SetDeadline(time.Time{}) // that of the response would make the idle connection unusable
	ex.conn.pool.put(ex.conn, idle, time.Now())
}

// encode writes the request's header and body into one buffer, so that they are
// usually sent in one segment.
func encode(req *Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(req.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	_ = req.Header.Write(&b) // writes to a bytes.Buffer do not fail
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

// readResponse reads the header of the final response. A server at work may send any
// number of interim responses before it, within the bound of a header.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.checked.head.expect()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil && c.checked.head.err != nil {
			return nil, c.checked.head.err // the parser may report the line that it ends
		}
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
}

// keepAliveTimeout returns the timeout of a Keep-Alive header less idleMargin, at
// least half a second, or 0 if there is none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, time.Second/2)
		}
	}
	return 0
}

// Body is a response body.
type Body struct {
	ex       *exchange
	body     io.ReadCloser
	reusable bool
	idle     time.Duration
	ended    bool
	closed   bool
}

// Read implements io.Reader. It returns io.EOF only if the response is complete. The end
// of a connection that was reset, or on which sending failed, completes none.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err == io.EOF {
		b.ended = true
		return n, err
	}
	if err != nil {
		return n, b.ex.newError(InResponse, "read answer of", err)
	}
	return n, nil
}

// SetReadTimeout bounds the next reads; 0 removes the limit.
func (b *Body) SetReadTimeout(d time.Duration) { b.ex.setReadDeadline(d) }

// DisableReuse makes Close close the connection. It is for unexpected responses.
func (b *Body) DisableReuse() { b.reusable = false }

const (
	// maxDiscardedBytes and discardTimeout bound what is read of a response that is
	// not used, so that its connection can carry the next request.
	maxDiscardedBytes = 16 << 10
	discardTimeout    = 50 * time.Millisecond
)

// Discard reads a response that is not used and closes the body.
func (b *Body) Discard() {
	b.SetReadTimeout(discardTimeout)
	_, _ = io.CopyN(io.Discard, b, maxDiscardedBytes) // EOF is the expected end
	_ = b.Close()
}

// Close ends the exchange. The connection returns to the pool if the response was
// read completely and no bytes follow it.
func (b *Body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if b.ended && b.reusable && b.ex.conn.reader.Buffered() == 0 {
		b.ex.keepConn(b.idle)
		return nil
	}
	b.ex.closeConn()
	return nil
}
