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
	// maxInFlightChunks bounds the data queued in one direction of a
	// connection to 4 MiB, so that a slow receiver applies backpressure.
	maxInFlightChunks = 256
)

var chunkPool = sync.Pool{New: func() any { return new([chunkBytes]byte) }}

// errTruncated ends a pipe that reached the limit of the truncation fault.
var errTruncated = errors.New("truncated")

// chunk is the data of one read, or the end of the stream.
type chunk struct {
	buf   *[chunkBytes]byte
	n     int
	dueAt time.Time // earliest time to write it
	eof   bool      // end of the stream; there is no data
}

// pipe carries one direction of a connection.
type pipe struct {
	link     *link
	conn     *conn
	toClient bool
	src, dst *net.TCPConn

	mu    sync.Mutex
	queue []chunk

	wakeWriter chan struct{} // capacity 1: the first chunk may be due
	hasRoom    chan struct{} // capacity 1: the queue has room
	sentBytes  int64         // bytes counted towards limit; used by the writer only
	limit      *truncation   // the truncation that sentBytes counts for
	bytes      *atomic.Int64 // the link's byte counter of this direction
	writes     *atomic.Int64 // the link's write counter of this direction
}

func newPipe(c *conn, src, dst *net.TCPConn, toClient bool) *pipe {
	p := &pipe{
		link: c.link, conn: c, toClient: toClient, src: src, dst: dst,
		wakeWriter: make(chan struct{}, 1), hasRoom: make(chan struct{}, 1),
		bytes: &c.link.bytesToTarget, writes: &c.link.writesToTarget,
	}
	if toClient {
		p.bytes, p.writes = &c.link.bytesToClient, &c.link.writesToClient
	}
	return p
}

// signal wakes the writer.
func (p *pipe) signal() { notify(p.wakeWriter) }

// notify sends on ch, which has capacity 1, unless a value is already pending.
func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// read queues received data until the source closes. On a frozen connection it
// discards the data and closes only the source, so that the other side does not
// see the close.
func (p *pipe) read() {
	for {
		buf := chunkPool.Get().(*[chunkBytes]byte)
		n, err := p.src.Read(buf[:])
		if p.conn.frozen.Load() {
			chunkPool.Put(buf)
			if err != nil {
				_ = p.src.Close()
				p.conn.directionEnded()
				return
			}
			continue
		}
		if n > 0 {
			p.enqueue(chunk{buf: buf, n: n})
		}
		if errors.Is(err, io.EOF) {
			p.enqueue(chunk{eof: true})
			return
		}
		if err != nil {
			p.conn.reset()
			p.link.startProbe()
			return
		}
	}
}

// enqueue adds a chunk to the queue, and blocks while the queue is full.
func (p *pipe) enqueue(c chunk) {
	delay := p.link.delay()
	c.dueAt = p.link.scheduler.now().Add(delay)
	for !p.tryEnqueue(c) {
		select {
		case <-p.hasRoom:
		case <-p.conn.done:
			return
		}
	}
}

func (p *pipe) tryEnqueue(c chunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.queue) >= maxInFlightChunks {
		return false
	}
	p.queue = append(p.queue, c)
	if len(p.queue) == 1 {
		p.signalAt(c.dueAt)
	}
	return true
}

// signalAt wakes the writer at the given time.
func (p *pipe) signalAt(at time.Time) {
	if !at.After(p.link.scheduler.now()) {
		p.signal()
		return
	}
	p.link.scheduler.schedule(at, p)
}

// write writes chunks when they are due, until the end of the stream or an error.
func (p *pipe) write() {
	var due []chunk
	for {
		select {
		case <-p.wakeWriter:
		case <-p.conn.done:
			return
		}
		due = p.dequeueDue(due[:0])
		if !p.waitWhileSilent() {
			return
		}
		err := p.writeChunks(due)
		if errors.Is(err, io.EOF) {
			_ = p.dst.CloseWrite()
			p.conn.directionEnded()
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

// dequeueDue moves the chunks that are due from the queue to due, and schedules
// the next one.
func (p *pipe) dequeueDue(due []chunk) []chunk {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.link.scheduler.now()
	n := 0
	for n < len(p.queue) && !p.queue[n].dueAt.After(now) {
		n++
	}
	due = append(due, p.queue[:n]...)
	p.queue = append(p.queue[:0], p.queue[n:]...)
	if len(p.queue) > 0 {
		p.signalAt(p.queue[0].dueAt)
	}
	notify(p.hasRoom)
	return due
}

// waitWhileSilent waits while this direction is silent. It returns false if the
// connection has ended or is frozen.
func (p *pipe) waitWhileSilent() bool {
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

// writeChunks writes the chunks and returns their buffers to the pool. It returns
// io.EOF at the end of the stream.
func (p *pipe) writeChunks(due []chunk) error {
	var err error
	for _, c := range due {
		if c.eof {
			if err == nil {
				err = io.EOF
			}
			continue
		}
		if err == nil {
			err = p.writeChunk(c.buf[:c.n])
		}
		chunkPool.Put(c.buf)
	}
	return err
}

func (p *pipe) writeChunk(data []byte) error {
	truncated := false
	if p.toClient {
		data, truncated = p.truncate(data)
	}
	p.bytes.Add(int64(len(data)))
	p.writes.Add(1)
	if _, err := p.dst.Write(data); err != nil {
		return err
	}
	if truncated {
		return errTruncated
	}
	return nil
}

// truncate cuts the data at the limit of the truncation fault and reports whether
// the limit is reached. Bytes are counted per connection, from the first data
// after the fault was set.
func (p *pipe) truncate(data []byte) ([]byte, bool) {
	limit := p.link.truncation()
	if limit == nil {
		return data, false
	}
	if limit != p.limit {
		p.limit, p.sentBytes = limit, 0
	}
	remaining := limit.maxBytes - p.sentBytes
	p.sentBytes += int64(len(data))
	if int64(len(data)) < remaining {
		return data, false
	}
	return data[:remaining], true
}
