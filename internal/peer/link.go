package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// link manages the outgoing connection to one address. It holds at most one
// connection, dialled on demand and again after it broke.
type link struct {
	node    *Node
	address string

	mu        sync.Mutex
	conn      *outConn
	dialing   chan struct{} // closed when the dial in progress ends
	dialError error
	failedAt  time.Time
	closed    bool
}

// outConn is one authenticated outgoing connection.
type outConn struct {
	peer  HostID
	timed *timedConn
	rpc   *jsonrpc2.Conn

	probing sync.Mutex
}

// call calls a method over the link and returns the host that responded. If want
// is not empty, the call fails when another host listens at the address.
func (l *link) call(ctx context.Context, want HostID, method string, params, result any) (HostID, error) {
	raw, err := json.Marshal(params)
	if err != nil {
		return "", errors.Wrap(err, "encode params")
	}
	conn, err := l.get(ctx)
	if err != nil {
		return "", err
	}
	if want != "" && conn.peer != want {
		return conn.peer, errors.Wrapf(ErrPeerUnreachable, "%s is the address of %s", l.address, conn.peer)
	}
	stats.Add("calls", 1)
	sent := monotonicNow()
	err = conn.rpc.Call(ctx, method, json.RawMessage(raw), result)
	return conn.peer, l.classify(ctx, conn, sent, method, err)
}

// classify maps an error of the library to those of Caller.
func (l *link) classify(ctx context.Context, conn *outConn, sent int64, method string, err error) error {
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote) && remote.Code == codeBusy:
		return errors.Wrap(ErrPeerUnreachable, remote.Message)
	case errors.As(err, &remote):
		return &RemoteError{Peer: conn.peer, Method: method, Code: remote.Code, Message: remote.Message}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.timed.lastRead.Load() < sent {
		l.node.background(func() { conn.probe(l.node.opts.PingTimeout) })
	}
	return errors.Mark(err, ErrNoResponse)
}

// get returns the open connection or dials. It waits for a dial in progress.
func (l *link) get(ctx context.Context) (*outConn, error) {
	for {
		conn, wait, err := l.current()
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrPeerUnreachable, "dial %s: %v", l.address, ctx.Err())
		}
	}
}

// current returns the open connection, or a channel that is closed when the
// dial in progress ends, or the error of a dial that failed within the redial
// backoff.
func (l *link) current() (*outConn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, errors.Wrap(ErrPeerUnreachable, "link closed")
	}
	if l.conn != nil && !l.conn.broken() {
		return l.conn, nil, nil
	}
	l.conn = nil
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.dialError != nil && time.Since(l.failedAt) < l.node.opts.RedialBackoff {
		return nil, nil, errors.Wrapf(ErrPeerUnreachable, "dial %s: %v", l.address, l.dialError)
	}
	l.dialing = make(chan struct{})
	if !l.node.background(l.dial) {
		return nil, nil, errors.Wrap(ErrPeerUnreachable, "node closed")
	}
	return nil, l.dialing, nil
}

// dial connects and publishes the result.
func (l *link) dial() {
	ctx, cancel := context.WithTimeout(l.node.ctx, l.node.opts.DialTimeout)
	defer cancel()
	stats.Add("dials", 1)
	conn, err := l.node.connect(ctx, l.address)
	if err != nil {
		stats.Add("dial_failures", 1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	l.dialError, l.failedAt = err, time.Now()
	if err != nil {
		return
	}
	if l.closed {
		_ = conn.rpc.Close()
		return
	}
	l.conn = conn
	l.node.background(func() { conn.monitor(l.node) })
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.conn != nil {
		_ = l.conn.rpc.Close()
	}
}

// background runs fn on a goroutine that Close waits for. It returns false
// when the node is closed.
func (n *Node) background(fn func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
	return true
}

// connect dials the address and authenticates both sides.
func (n *Node) connect(ctx context.Context, address string) (*outConn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	timed := newTimedConn(raw, 0)
	conn, state, err := n.startTLS(ctx, timed)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	codec := newCodec(maxHelloBytes)
	rpc := jsonrpc2.NewConn(n.ctx, jsonrpc2.NewBufferedStream(conn, codec), refuseCalls{}, jsonrpc2.SetLogger(rpcLogger{n.opts.Logger}))
	host, err := n.authenticate(ctx, rpc, state)
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	codec.limit.Store(maxMessageBytes)
	return &outConn{peer: host, timed: timed, rpc: rpc}, nil
}

func (n *Node) startTLS(ctx context.Context, conn net.Conn) (net.Conn, *tls.ConnectionState, error) {
	if n.tls == nil {
		return conn, nil, nil
	}
	secured := tls.Client(conn, n.tls.clientConfig())
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, errors.Wrap(err, "TLS handshake")
	}
	state := secured.ConnectionState()
	return secured, &state, nil
}

// refuseCalls is the handler of outgoing connections, on which peers must not
// make calls.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(ctx context.Context, rpc *jsonrpc2.Conn, req *jsonrpc2.Request) {
	_ = rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "calls are not served on this connection"})
}

func (c *outConn) broken() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// monitor probes the connection when nothing was received for a ping interval.
func (c *outConn) monitor(n *Node) {
	ticker := time.NewTicker(n.opts.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.rpc.DisconnectNotify():
			return
		case <-ticker.C:
			if c.timed.idle() >= n.opts.PingInterval {
				c.probe(n.opts.PingTimeout)
			}
		}
	}
}

// probe sends a ping and closes the connection if nothing is received before the
// timeout. One probe runs at a time.
func (c *outConn) probe(timeout time.Duration) {
	if !c.probing.TryLock() {
		return
	}
	defer c.probing.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	start := monotonicNow()
	err := c.rpc.Call(ctx, methodPing, nil, nil)
	if err == nil || c.timed.lastRead.Load() >= start {
		return
	}
	stats.Add("silent_closed", 1)
	_ = c.rpc.Close()
}
