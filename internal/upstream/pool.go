package upstream

import (
	"bufio"
	"net"
	"sync"
	"time"

	"ragwortstep/internal/rawconn"
)

// keepAlive detects idle connections whose server has gone without a word.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// conn is a connection to a server.
type conn struct {
	*rawconn.Conn
	reader *bufio.Reader
	pool   *pool
	idle   time.Duration // kept so long without a statement of the server
	used   bool
	since  time.Time // end of the last request
	until  time.Time
}

// pool is the idle connections to one server, the last used one last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// take returns the connection that was used last and is still sound, or nil
// when there is none that was idle for at most maxIdle; 0 is no bound.
func (p *pool) take(now time.Time, maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		if maxIdle > 0 && now.Sub(c.since) > maxIdle {
			return nil // the others were idle for longer
		}
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.until) && c.quiet() {
			_ = c.SetDeadline(time.Time{})
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection for idle, or for its default when idle is 0.
func (p *pool) put(c *conn, idle time.Duration, now time.Time) {
	if idle <= 0 {
		idle = c.idle
	}
	c.used, c.since, c.until = true, now, now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.idle) >= idlePerServer {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// expire closes the connections that were idle for too long. The caller holds mu.
func (p *pool) expire(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.until) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	p.idle = kept
}

// drop closes all idle connections.
func (p *pool) drop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// quiet reports whether nothing arrived on an idle connection. A byte would
// belong to no request, and an end means that the server closed it.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && c.Conn.Quiet() }
