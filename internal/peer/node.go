package peer

import (
	"context"
	"encoding/json"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// acceptRetryDelay bounds the rate of failing Accept calls, for example when
// the process has no free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Peer    HostID
	Method  string
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return string(e.Peer) + " " + e.Method + ": " + e.Message
}

// Node implements Caller over TCP. It keeps one outgoing connection per peer
// address and serves calls on the connections it accepted. It is safe for
// concurrent use.
type Node struct {
	opts Options
	tls  *certificates // nil without TLS

	mu        sync.Mutex
	handlers  map[string]HandlerFunc
	directory map[HostID]string
	links     map[string]*link // by address
	accepted  map[*session]struct{}
	listener  net.Listener
	closed    bool

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

var _ Caller = (*Node)(nil)

// New returns a node that is not started. It fails on incomplete options or
// unreadable certificates.
func New(opts Options) (*Node, error) {
	opts = opts.withDefaults()
	if err := opts.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		opts:      opts,
		handlers:  map[string]HandlerFunc{},
		directory: map[HostID]string{},
		links:     map[string]*link{},
		accepted:  map[*session]struct{}{},
	}
	if opts.TLS.Enabled() {
		certs, err := loadCertificates(opts.TLS)
		if err != nil {
			return nil, err
		}
		n.tls = certs
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n, nil
}

// Handle implements Caller.
func (n *Node) Handle(method string, fn HandlerFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = fn
}

// Start listens and accepts peers until Close.
func (n *Node) Start() error {
	listener, err := net.Listen("tcp", n.opts.Listen)
	if err != nil {
		return errors.Wrapf(err, "peer listen %s", n.opts.Listen)
	}
	n.mu.Lock()
	n.listener = listener
	n.mu.Unlock()
	n.wg.Add(1)
	go n.acceptLoop(listener)
	return nil
}

// Address returns the address the node listens on, empty before Start.
func (n *Node) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// Close stops listening, closes all connections and waits for the handlers to
// return. Calls in flight fail with ErrNoResponse.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	listener, links, sessions := n.listener, n.links, n.accepted
	n.links, n.accepted = map[string]*link{}, map[*session]struct{}{}
	n.mu.Unlock()

	n.cancel()
	var err error
	if listener != nil {
		err = listener.Close()
	}
	for _, l := range links {
		l.close()
	}
	for s := range sessions {
		s.close()
	}
	n.wg.Wait()
	return err
}

// SetAddress sets a host's address in the directory that Call uses. The
// connection to the host's previous address is closed.
func (n *Node) SetAddress(host HostID, address string) {
	n.mu.Lock()
	former, known := n.directory[host]
	n.directory[host] = address
	var stale *link
	if known && former != address && !n.addressInUse(former) {
		stale = n.links[former]
		delete(n.links, former)
	}
	n.mu.Unlock()
	if stale != nil {
		stale.close()
	}
}

// RemoveAddress removes a host from the directory and closes the connection to it.
func (n *Node) RemoveAddress(host HostID) {
	n.mu.Lock()
	address, known := n.directory[host]
	delete(n.directory, host)
	var stale *link
	if known && !n.addressInUse(address) {
		stale = n.links[address]
		delete(n.links, address)
	}
	n.mu.Unlock()
	if stale != nil {
		stale.close()
	}
}

// addressInUse reports whether a host of the directory has the address. The caller holds mu.
func (n *Node) addressInUse(address string) bool {
	for _, a := range n.directory {
		if a == address {
			return true
		}
	}
	return false
}

// Call implements Caller. A call to the node's own host runs the handler directly.
func (n *Node) Call(ctx context.Context, to HostID, method string, params, result any) error {
	ctx, cancel := n.withDeadline(ctx)
	defer cancel()
	if to == n.opts.Self {
		return n.callSelf(ctx, method, params, result)
	}
	l, err := n.linkTo(to)
	if err != nil {
		return errors.Wrapf(err, "call %s at %s", method, to)
	}
	_, err = l.call(ctx, to, method, params, result)
	return errors.Wrapf(err, "call %s at %s", method, to)
}

// CallAddress calls a method of the host that listens on the address and
// returns that host's authenticated name. It is for hosts whose name is not known yet.
func (n *Node) CallAddress(ctx context.Context, address, method string, params, result any) (HostID, error) {
	ctx, cancel := n.withDeadline(ctx)
	defer cancel()
	l, err := n.linkAt(address)
	if err != nil {
		return "", errors.Wrapf(err, "call %s at %s", method, address)
	}
	host, err := l.call(ctx, "", method, params, result)
	return host, errors.Wrapf(err, "call %s at %s", method, address)
}

func (n *Node) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, n.opts.CallTimeout)
}

func (n *Node) callSelf(ctx context.Context, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrapf(err, "encode params of %s", method)
	}
	out, err := n.serve(ctx, n.opts.Self, method, raw)
	if err != nil {
		return &RemoteError{Peer: n.opts.Self, Method: method, Message: err.Error()}
	}
	if result == nil {
		return nil
	}
	if raw, err = json.Marshal(out); err != nil {
		return errors.Wrapf(err, "encode result of %s", method)
	}
	return errors.Wrapf(json.Unmarshal(raw, result), "decode result of %s", method)
}

// serve runs the handler of a method.
func (n *Node) serve(ctx context.Context, from HostID, method string, params json.RawMessage) (result any, err error) {
	n.mu.Lock()
	fn := n.handlers[method]
	n.mu.Unlock()
	if fn == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "method not found: " + method}
	}
	stats.Add("served", 1)
	defer func() { // a panic fails this call only
		if r := recover(); r != nil {
			stats.Add("handler_panics", 1)
			n.opts.Logger.Error("handler of a peer call panicked", "event", "peer_call_lost", "step", method, "peer", from, "panic", r, "stack", string(debug.Stack()))
			result, err = nil, errors.Newf("the handler of %s failed", method)
		}
	}()
	return fn(ctx, from, params)
}

func (n *Node) linkTo(host HostID) (*link, error) {
	n.mu.Lock()
	address, ok := n.directory[host]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Wrapf(ErrPeerUnreachable, "no address of %s", host)
	}
	return n.linkAt(address)
}

func (n *Node) linkAt(address string) (*link, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, errors.Wrap(ErrPeerUnreachable, "node closed")
	}
	l := n.links[address]
	if l == nil {
		l = &link{node: n, address: address}
		n.links[address] = l
	}
	return l, nil
}

func (n *Node) acceptLoop(listener net.Listener) {
	defer n.wg.Done()
	for {
		conn, err := listener.Accept()
		if n.ctx.Err() != nil {
			if conn != nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			stats.Add("accept_failures", 1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.accept(conn)
	}
}
