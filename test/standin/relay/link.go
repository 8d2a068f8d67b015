package relay

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ragwortstep/test/standin/control"
)

const (
	// probeInterval is the time between attempts to reach a target that refuses connections.
	probeInterval = 20 * time.Millisecond
	// dialTimeout bounds connecting to a target.
	dialTimeout = 2 * time.Second
)

// Silence of a link.
const (
	silentToTarget = "to_target"
	silentToClient = "to_client"
	silentBoth     = "both"
)

// truncation is a limit on bytes to the client; its identity tells one fault from the next.
type truncation struct{ after int64 }

// state is the changeable part of a link. It is replaced as a whole.
type state struct {
	delay   time.Duration // one way
	refuse  bool
	silent  string
	limit   *truncation
	changed chan struct{} // closed when this state is replaced
}

// link relays connections from one listen address to one target. While the
// target refuses connections, the link does not listen, so that its clients
// are refused as well.
type link struct {
	Name, Listen, Target string

	clock *clock
	state atomic.Pointer[state]

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	probing  bool
	closed   bool

	accepted                       atomic.Int64
	bytesToTarget, bytesToClient   atomic.Int64
	writesToTarget, writesToClient atomic.Int64
}

func newLink(c *clock, spec Spec) *link {
	l := &link{Name: spec.Name, Listen: spec.Listen, Target: spec.Target, clock: c, conns: map[*conn]struct{}{}}
	l.state.Store(&state{delay: time.Duration(spec.DelayUS) * time.Microsecond, changed: make(chan struct{})})
	return l
}

func (l *link) delay() time.Duration    { return l.state.Load().delay }
func (l *link) truncation() *truncation { return l.state.Load().limit }

// silent reports whether a direction is silent now, and a channel that is closed when that may change.
func (l *link) silent(toClient bool) (bool, <-chan struct{}) {
	s := l.state.Load()
	if toClient {
		return s.silent == silentToClient || s.silent == silentBoth, s.changed
	}
	return s.silent == silentToTarget || s.silent == silentBoth, s.changed
}

// change replaces the state and opens or closes the listener accordingly.
func (l *link) change(edit func(*state)) {
	l.mu.Lock()
	old := l.state.Load()
	next := *old
	next.changed = make(chan struct{})
	edit(&next)
	l.state.Store(&next)
	l.mu.Unlock()
	close(old.changed)
	if next.refuse {
		l.stopListening()
	}
	l.suspect()
}

// suspect checks in the background whether the target accepts connections,
// and listens exactly while it does.
func (l *link) suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || l.closed {
		return
	}
	l.probing = true
	go l.probe()
}

// probe returns when the link listens, is closed, or refuses by fault.
func (l *link) probe() {
	for {
		reachable := l.targetAccepts()
		if !reachable {
			l.stopListening()
		}
		if l.settle(reachable) {
			return
		}
		time.Sleep(probeInterval)
	}
}

// settle opens the listener when it should be open and reports whether probing may end.
func (l *link) settle(reachable bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := l.closed || l.state.Load().refuse
	if !done && reachable {
		done = l.listener != nil || l.listenLocked()
	}
	if done {
		l.probing = false
	}
	return done
}

func (l *link) targetAccepts() bool {
	c, err := net.DialTimeout("tcp", l.Target, dialTimeout)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

func (l *link) listenLocked() bool {
	listener, err := control.Listen(l.Listen)
	if err != nil {
		return false
	}
	l.listener = listener
	go l.accept(listener)
	return true
}

func (l *link) stopListening() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		l.accepted.Add(1)
		go l.serve(c.(*net.TCPConn))
	}
}

// serve connects to the target and relays until the connection ends.
func (l *link) serve(client *net.TCPConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		l.suspect()
		return
	}
	c := &conn{link: l, client: client, target: target.(*net.TCPConn), done: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	c.start()
}

// each calls fn for all connections that are open now.
func (l *link) each(fn func(*conn)) int {
	l.mu.Lock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		fn(c)
	}
	return len(conns)
}

func (l *link) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stopListening()
	l.each((*conn).reset)
}

// conn is one relayed connection.
type conn struct {
	link           *link
	client, target *net.TCPConn
	frozen         atomic.Bool
	ended          atomic.Int32 // directions that reached their end
	once           sync.Once
	done           chan struct{}
}

func (c *conn) start() {
	forward := newPipe(c, c.client, c.target, false)
	back := newPipe(c, c.target, c.client, true)
	for _, p := range []*pipe{forward, back} {
		go p.read()
		go p.write()
	}
}

// finished notes the end of one direction and closes the connection at the second.
func (c *conn) finished() {
	if c.ended.Add(1) == 2 {
		c.close()
	}
}

// freeze makes the connection silent in both directions for good.
func (c *conn) freeze() { c.frozen.Store(true) }

// close ends the connection in order.
func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.target.Close()
		c.link.forget(c)
	})
}

// reset ends the connection with a reset on both sides.
func (c *conn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.target.SetLinger(0)
	c.close()
}
