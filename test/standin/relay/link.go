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
	// probeInterval is the time between attempts to connect to an unreachable target.
	probeInterval = 20 * time.Millisecond
	// dialTimeout bounds an attempt to connect to a target.
	dialTimeout = 2 * time.Second
)

// Values of Fault.Silent: the directions in which a link delivers no data.
const (
	silentToTarget = "to_target"
	silentToClient = "to_client"
	silentBoth     = "both"
)

// truncation limits the bytes sent to the client on a connection. Each fault has
// its own instance, and a pipe counts from zero when the pointer changes.
type truncation struct{ maxBytes int64 }

// state is the mutable configuration of a link. It is replaced as a whole.
type state struct {
	delay   time.Duration // in each direction
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

	scheduler *scheduler
	state     atomic.Pointer[state]

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	probing  bool
	closed   bool

	accepted                       atomic.Int64
	bytesToTarget, bytesToClient   atomic.Int64
	writesToTarget, writesToClient atomic.Int64
}

func newLink(sched *scheduler, spec Spec) *link {
	l := &link{Name: spec.Name, Listen: spec.Listen, Target: spec.Target, scheduler: sched, conns: map[*conn]struct{}{}}
	l.state.Store(&state{delay: time.Duration(spec.DelayUS) * time.Microsecond, changed: make(chan struct{})})
	return l
}

func (l *link) delay() time.Duration    { return l.state.Load().delay }
func (l *link) truncation() *truncation { return l.state.Load().limit }

// silent reports whether a direction is silent, and returns a channel that is
// closed when that may change.
func (l *link) silent(toClient bool) (bool, <-chan struct{}) {
	s := l.state.Load()
	if toClient {
		return s.silent == silentToClient || s.silent == silentBoth, s.changed
	}
	return s.silent == silentToTarget || s.silent == silentBoth, s.changed
}

// update replaces the state and opens or closes the listener accordingly.
func (l *link) update(edit func(*state)) {
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
	l.startProbe()
}

// startProbe starts to check in the background whether the target accepts
// connections, so that the link listens only while it does. It has no effect if
// a probe is running.
func (l *link) startProbe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probing || l.closed {
		return
	}
	l.probing = true
	go l.probe()
}

// probe connects to the target until the link listens, is closed, or the
// refuse fault is set.
func (l *link) probe() {
	for {
		reachable := l.targetAccepts()
		if !reachable {
			l.stopListening()
		}
		if l.listenAfterProbe(reachable) {
			return
		}
		time.Sleep(probeInterval)
	}
}

// listenAfterProbe opens the listener if the target is reachable and the link
// should listen. It reports whether the probe is complete.
func (l *link) listenAfterProbe(reachable bool) bool {
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

// serve connects to the target and starts to relay. If the target is unreachable
// it resets the connection of the client.
func (l *link) serve(client *net.TCPConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	target, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.Target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		l.startProbe()
		return
	}
	c := &conn{link: l, client: client, target: target.(*net.TCPConn), done: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	c.start()
}

// forEachConn calls fn for each open connection and returns their number.
func (l *link) forEachConn(fn func(*conn)) int {
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

func (l *link) removeConn(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.stopListening()
	l.forEachConn((*conn).reset)
}

// conn is one relayed connection.
type conn struct {
	link            *link
	client, target  *net.TCPConn
	frozen          atomic.Bool
	endedDirections atomic.Int32 // number of directions that have ended
	closeOnce       sync.Once
	done            chan struct{}
}

func (c *conn) start() {
	forward := newPipe(c, c.client, c.target, false)
	back := newPipe(c, c.target, c.client, true)
	for _, p := range []*pipe{forward, back} {
		go p.read()
		go p.write()
	}
}

// directionEnded records the end of one direction. It closes the connection once
// both have ended.
func (c *conn) directionEnded() {
	if c.endedDirections.Add(1) == 2 {
		c.close()
	}
}

// freeze makes the connection permanently silent in both directions.
func (c *conn) freeze() { c.frozen.Store(true) }

// close closes both sides of the connection.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.client.Close()
		_ = c.target.Close()
		c.link.removeConn(c)
	})
}

// reset closes both sides of the connection with a TCP reset.
func (c *conn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.target.SetLinger(0)
	c.close()
}
