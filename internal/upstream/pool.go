package upstream

import (
	"bufio"
	"net"
	"slices"
	"sync"
	"time"
)

// keepAlive detects idle connections whose server disappeared without closing
// them.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Conn is a transport connection to a server.
type Conn interface {
	net.Conn
	// IsIdle reports whether the connection is open and has no unread bytes.
	IsIdle() bool
}

// conn is a connection to a server.
type conn struct {
	Conn
	checked   *checkedReader // of Conn
	reader    *bufio.Reader  // of checked
	pool      *pool
	number    uint64        // unique, ascending
	idle      time.Duration // idle timeout when the server states none
	used      bool
	idleSince time.Time // end of the last request
	expiresAt time.Time
}

// pool holds the idle connections to one server, most recently used last.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// get returns the most recently used connection that is still usable and did not
// carry the request before, or nil if there is none that was idle for at most
// maxIdle; 0 means no limit.
func (p *pool) get(now time.Time, maxIdle time.Duration, sends *Sends) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if maxIdle > 0 && now.Sub(c.idleSince) > maxIdle {
			return nil // the others were idle for longer
		}
		if sends.has(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Before(c.expiresAt) && c.usable() {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// put keeps a connection with the given idle timeout, or with its default if
// idle is 0.
func (p *pool) put(c *conn, idle time.Duration, now time.Time) {
	if idle <= 0 {
		idle = c.idle
	}
	c.used, c.idleSince, c.expiresAt = true, now, now.Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.idle) >= maxIdlePerServer { // the oldest one is of least use
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.idle = append(p.idle, c)
}

// expire closes connections that exceeded their idle timeout. The caller holds mu.
func (p *pool) expire(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			kept = append(kept, c)
		} else {
			_ = c.Close()
		}
	}
	p.idle = kept
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// usable reports whether an idle connection is open and has no unread bytes.
// Such bytes would not belong to any request.
func (c *conn) usable() bool { return c.reader.Buffered() == 0 && c.Conn.IsIdle() }
