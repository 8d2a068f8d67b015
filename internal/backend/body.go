package backend

import (
	"bytes"
	"context"
	"io"
	"mime"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// doneMark ends every complete SSE stream of a model engine.
var doneMark = []byte("data: [DONE]")

// tailBytes is how much of a stream's end is kept to look for doneMark,
// enough for the mark and the line ends after it.
const tailBytes = 32

// Body is a response's body. Read does not allocate. One goroutine may read
// while another closes.
type Body struct {
	ex   *exchange
	rc   io.ReadCloser
	err  error // result of all further reads
	once sync.Once

	endless bool // neither a length nor chunks mark the end
	stream  bool // complete only when doneMark is at the end
	tail    [tailBytes]byte
	tailLen int
}

func newBody(ex *exchange, resp *http.Response, stream bool) *Body {
	b := &Body{ex: ex, rc: resp.Body}
	b.stream = stream && resp.StatusCode == http.StatusOK && isEventStream(resp.Header)
	b.endless = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	return b
}

func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// Read implements io.Reader. It returns io.EOF only after a complete response.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	ex := b.ex
	ex.waitingSince.Store(ex.client.clock.Load())
	n, err := b.rc.Read(p)
	ex.waitingSince.Store(0)
	if n > 0 {
		b.received(p[:n])
	}
	if err != nil {
		b.err = b.ending(err)
		ex.server.unregister(ex)
	}
	return n, b.err
}

func (b *Body) received(p []byte) {
	if !b.ex.begun.Load() {
		b.ex.begun.Store(true)
	}
	if b.stream {
		b.keepTail(p)
	}
}

// keepTail keeps the last bytes of the stream.
func (b *Body) keepTail(p []byte) {
	if len(p) >= tailBytes {
		b.tailLen = copy(b.tail[:], p[len(p)-tailBytes:])
		return
	}
	keep := min(b.tailLen, tailBytes-len(p))
	copy(b.tail[:keep], b.tail[b.tailLen-keep:b.tailLen])
	b.tailLen = keep + copy(b.tail[keep:], p)
}

// Complete reports whether the stream's final event has arrived.
func (b *Body) Complete() bool {
	return bytes.HasSuffix(bytes.TrimRight(b.tail[:b.tailLen], "\r\n "), doneMark)
}

// ending maps the reader's last error to what Read promises.
func (b *Body) ending(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return b.atEnd()
	}
	if b.ex.silent.Load() {
		return io.ErrUnexpectedEOF
	}
	if b.ex.ctx.Err() != nil {
		return context.Cause(b.ex.ctx)
	}
	return io.ErrUnexpectedEOF
}

func (b *Body) atEnd() error {
	switch {
	case b.stream && !b.Complete():
		return io.ErrUnexpectedEOF
	case b.endless && !b.stream:
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// Silent reports whether the response ended because the connection went silent.
func (b *Body) Silent() bool { return b.ex.silent.Load() }

// Close implements io.Closer. Before the end of the response it closes the
// connection, which cancels the work at the server.
func (b *Body) Close() error {
	var err error
	b.once.Do(func() {
		b.ex.finish()
		err = b.rc.Close()
	})
	return err
}
