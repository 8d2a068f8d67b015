package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// chunkBytes is the size of one read.
	chunkBytes = 16 << 10
	// maxInFlightChunks bounds the data held in one direction of a
	// connection, 4 MiB, so that a slow receiver slows its sender.
	maxInFlightChunks = 256
)

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// errTruncated ends a pipe that reached the truncation fault's limit.
var errTruncated = errors.New("truncated")

type chunk struct {
	buf *[chunkBytes]byte
	n   int
	at  time.Time // when it may be written
	end bool      // the sender closed its side
}

// pipe carries one direction of a connection.
type pipe struct {
	link     *link
	conn     *conn
	toClient bool
	src, dst *net.TCPConn

	mu    sync.Mutex
	queue []chunk

	ready chan struct{} // capacity 1: the first chunk may be due
	space chan struct{} // capacity 1: the queue has room
	sent  int64         // bytes since the truncation limit was set; used by the writer only
	limit *truncation   // the limit that sent counts for
	bytes *atomic.Int64 // link's counter of this direction
	parts *atomic.Int64 // link's counter of writes
}

func newPipe(c *conn, src, dst *net.TCPConn, toClient bool) *pipe {
	p := &pipe{
		link: c.link, conn: c, toClient: toClient, src: src, dst: dst,
		ready: make(chan struct{}, 1), space: make(chan struct{}, 1),
		bytes: &c.link.bytesToTarget, parts: &c.link.writesToTarget,
	}
	if toClient {
		p.bytes, p.parts = &c.link.bytesToClient, &c.link.writesToClient
	}
	return p
}

func (p *pipe) signal() { notify(p.ready) }

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// read queues what arrives until the source ends. On a frozen connection it
// discards data and, at the end, closes only its own side, so that the other
// side is not told.
func (p *pipe) read() {
	for {
		buf := chunkPool.Get().(*[chunkBytes]byte)
		n, err := p.src.Read(buf[:])
		if p.conn.frozen.Load() {
			chunkPool.Put(buf)
			if err != nil {
				_ = p.src.Close()
				p.conn.finished()
				return
			}
			continue
		}
		if n > 0 {
			p.push(chunk{buf: buf, n: n})
		}
		if errors.Is(err, io.EOF) {
			p.push(chunk{end: true})
			return
		}
		if err != nil {
			p.conn.reset()
			p.link.suspect()
			return
		}
	}
}

// push adds a chunk, waiting while the queue is full.
func (p *pipe) push(c chunk) {
	delay := p.link.delay()
	c.at = time.Now().Add(delay)
	for !p.tryPush(c) {
		select {
		case <-p.space:
		case <-p.conn.done:
			return
		}
	}
}

func (p *pipe) tryPush(c chunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxInFlightChunks {
		return false
	}
	p.queue = append(p.queue, c)
	if len(p.queue) == 1 {
		p.arm(c.at)
	}
	return true
}

// arm signals the writer at the given time.
func (p *pipe) arm(at time.Time) {
	if !at.After(time.Now()) {
		p.signal()
		return
	}
	p.link.clock.schedule(at, p)
}

// write delivers chunks when they are due, until the end of the stream or an error.
func (p *pipe) write() {
	var due []chunk
	for {
		select {
		case <-p.ready:
		case <-p.conn.done:
			return
		}
		due = p.takeDue(due[:0])
		if !p.awaitOpen() {
			return
		}
		err := p.deliver(due)
		if errors.Is(err, io.EOF) {
			_ = p.dst.CloseWrite()
			p.conn.finished()
			return
		}
		if errors.Is(err, errTruncated) {
			p.conn.close()
			return
		}
		if err != nil {
			p.conn.reset()
			return
		}
	}
}

// takeDue removes the chunks that may be written now and arms the clock for the rest.
func (p *pipe) takeDue(due []chunk) []chunk {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := 0
	for n < len(p.queue) && !p.queue[n].at.After(now) {
		n++
	}
	due = append(due, p.queue[:n]...)
	p.queue = append(p.queue[:0], p.queue[n:]...)
	if len(p.queue) > 0 {
		p.arm(p.queue[0].at)
	}
	notify(p.space)
	return due
}

// awaitOpen waits while this direction is silent. It returns false when the
// connection ended or is frozen for good.
func (p *pipe) awaitOpen() bool {
	for {
		silent, changed := p.link.silent(p.toClient)
		if p.conn.frozen.Load() {
			return false
		}
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-p.conn.done:
			return false
		}
	}
}

// deliver writes the chunks. It returns io.EOF after the end of the stream.
func (p *pipe) deliver(due []chunk) error {
	var failed error
	for _, c := range due {
		if c.end {
			if failed == nil {
				failed = io.EOF
			}
			continue
		}
		if failed == nil {
			failed = p.deliverOne(c.buf[:c.n])
		}
		chunkPool.Put(c.buf)
	}
	return failed
}

func (p *pipe) deliverOne(data []byte) error {
	cut := false
	if p.toClient {
		data, cut = p.truncate(data)
	}
	p.bytes.Add(int64(len(data)))
	p.parts.Add(1)
	if _, err := p.dst.Write(data); err != nil {
		return err
	}
	if cut {
		return errTruncated
	}
	return nil
}

// truncate shortens the data to the limit of the truncation fault, counted
// per connection from the time the fault was set.
func (p *pipe) truncate(data []byte) ([]byte, bool) {
	limit := p.link.truncation()
	if limit == nil {
		return data, false
	}
	if limit != p.limit {
		p.limit, p.sent = limit, 0
	}
	left := limit.after - p.sent
	p.sent += int64(len(data))
	if int64(len(data)) < left {
		return data, false
	}
	return data[:left], true
}
