package callers

import (
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// SmallBodyBytes is the size of bodies that are read whatever others take. The room
	// for connections covers them.
	SmallBodyBytes = 16 << 10
	// firstBodyBytes is the size of a new buffer for a body.
	firstBodyBytes = 64 << 10
	// firstUnknownBytes is that of a buffer for a body without a length.
	firstUnknownBytes = 4 << 10
	// discardTime bounds what is read of a request that was refused, so that its caller
	// can receive the answer.
	discardTime = 2 * time.Second
)

// Reasons why a body is not read. The request was not passed on.
var (
	// ErrBodyTooLarge reports a body of more bytes than allowed.
	ErrBodyTooLarge = errors.New("the body is too large")
	// ErrNoRoom reports that other requests take the memory for bodies, or that this one
	// was so slow that it made room for another one.
	ErrNoRoom = errors.New("requests take all memory for bodies")
	// ErrBodyLate reports a body that was not complete when its caller gave up.
	ErrBodyLate = errors.New("the body was not complete in time")
)

// Body says what the body of a request may take.
type Body struct {
	Limit  int64     // bytes
	Factor int64     // bytes of memory for each byte of the body, with what is made of it
	Until  time.Time // when the caller gives up
}

// IsSmall reports whether a request says that it has no body or one of up to
// SmallBodyBytes.
func IsSmall(r *http.Request) bool {
	return r.ContentLength >= 0 && r.ContentLength <= SmallBodyBytes
}

// connectionOf returns the connection of a request, nil if it came over none of a
// Listener.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// ReadBody reads the body of a request. Errors that are none of the above are those of
// the connection.
func ReadBody(r *http.Request, b Body) ([]byte, error) {
	c := connectionOf(r)
	if c == nil {
		return readBody(r, b, nil)
	}
	if r.ContentLength != 0 {
		c.beginBody(b.Until)
	}
	body, err := readBody(r, b, c)
	if err == nil {
		c.finishBody()
		return body, nil
	}
	return nil, c.bodyError(err)
}

func readBody(r *http.Request, b Body, c *connection) ([]byte, error) {
	size := r.ContentLength
	if size > b.Limit {
		return nil, ErrBodyTooLarge
	}
	if size == 0 {
		return nil, nil
	}
	if size > SmallBodyBytes && c != nil && !c.takeMemory(size*b.Factor) {
		return nil, ErrNoRoom
	}
	first := min(size, firstBodyBytes)
	if size < 0 {
		first = firstUnknownBytes
	}
	body := make([]byte, 0, first)
	for int64(len(body)) != size {
		if len(body) == cap(body) {
			next := min(int64(2*cap(body)), b.Limit+1) // the last byte shows that there are more
			if size > 0 {
				next = min(next, size)
			} else if next > SmallBodyBytes && c != nil && !c.takeMemory(next*b.Factor) {
				return nil, ErrNoRoom
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if c != nil && n > 0 && int64(len(body)) != size {
			c.bodyArrives(n)
		}
		switch {
		case int64(len(body)) > b.Limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return body, nil
}

func (c *connection) beginBody(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody, c.bodyUntil = true, until
}

// boundBody sets the deadline for a body of which not all was read with its header. Most
// bodies need none.
func (c *connection) boundBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inBody || c.bodyUntil.IsZero() || c.yielded {
		return
	}
	c.heardAt, c.readDeadline, c.bodyUntil = time.Now(), c.bodyUntil, time.Time{}
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails if it is closed
}

// finishBody notes that a request has arrived whole. It is served also if it was told
// to make room in the meantime.
func (c *connection) finishBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yielded || !c.readDeadline.IsZero() {
		c.yielded, c.readDeadline = false, time.Time{}
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails if it is closed
	}
	c.inBody, c.bodyUntil = false, time.Time{}
	c.finishMemory()
}

// bodyError returns the reason why a body was not read.
func (c *connection) bodyError(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = false
	switch {
	case errors.Is(err, ErrNoRoom):
		c.owner.bounds.count(refusedBody)
	case errors.Is(err, os.ErrDeadlineExceeded) && c.yielded:
		c.owner.bounds.count(yieldedBody)
		return ErrNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.owner.bounds.count(lateBody)
		return ErrBodyLate
	}
	return err
}

// discardBuffers are those for bytes of refused requests.
var discardBuffers = sync.Pool{New: func() any { return new([16 << 10]byte) }}

// RefuseUnread answers a request whose body was not read to its end, and closes its
// connection. Up to limit bytes that still arrive are discarded, so that a caller that
// sends all before it reads receives the answer.
func RefuseUnread(w http.ResponseWriter, r *http.Request, limit int64, write func(http.ResponseWriter)) {
	w.Header().Set("Connection", "close")
	c := connectionOf(r)
	if c == nil {
		write(w)
		return
	}
	c.beginDiscard()
	write(w)
	_ = http.NewResponseController(w).Flush() // the caller may have left
	if r.Header.Get("Expect") == "" {         // otherwise it sends no body after the answer
		c.discard(limit)
	}
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // the HTTP server would go on reading the body
}

// beginDiscard gives the memory of a refused request back.
func (c *connection) beginDiscard() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody, c.yielded, c.discarding = false, false, true
	c.releaseMemory()
	c.readDeadline = time.Now().Add(discardTime)
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails if it is closed
}

func (c *connection) discard(limit int64) {
	buffer := discardBuffers.Get().(*[16 << 10]byte)
	defer discardBuffers.Put(buffer)
	for limit > 0 {
		n, err := c.Conn.Read(buffer[:])
		if err != nil {
			return // the answer was sent, and the connection ends anyway
		}
		limit -= int64(n)
	}
}
