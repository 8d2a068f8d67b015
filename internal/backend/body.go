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

// endMarker ends every complete SSE stream of a model engine.
var endMarker = []byte("data: [DONE]")

// tailBytes is how much of a stream's end is kept: enough for endMarker and the
// line ends after it.
const tailBytes = 32

// Body is a response's body. Read does not allocate. One goroutine may call
// Close while another calls Read.
type Body struct {
	ex   *exchange
	rc   io.ReadCloser
	err  error // returned by all further calls of Read
	once sync.Once

	closeDelimited bool // neither Content-Length nor chunked encoding marks the end
	stream         bool // an SSE stream, complete only when it ends with endMarker
	tail           [tailBytes]byte
	tailLen        int
}

func newBody(ex *exchange, resp *http.Response, stream bool) *Body {
	b := &Body{ex: ex, rc: resp.Body}
	b.stream = stream && resp.StatusCode == http.StatusOK && isEventStream(resp.Header)
	b.closeDelimited = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
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
		b.recordBytes(p[:n])
	}
	if err != nil {
		b.err = b.finalReadError(err)
		ex.server.unregister(ex)
	}
	return n, b.err
}

func (b *Body) recordBytes(p []byte) {
	if !b.ex.bodyStarted.Load() {
		b.ex.bodyStarted.Store(true)
	}
	if b.stream {
		b.appendTail(p)
	}
}

// appendTail updates tail with the latest bytes of the stream.
func (b *Body) appendTail(p []byte) {
	if len(p) >= tailBytes {
		b.tailLen = copy(b.tail[:], p[len(p)-tailBytes:])
		return
	}
	keep := min(b.tailLen, tailBytes-len(p))
	copy(b.tail[:keep], b.tail[b.tailLen-keep:b.tailLen])
	b.tailLen = keep + copy(b.tail[keep:], p)
}

// Complete reports whether the stream ended with endMarker.
func (b *Body) Complete() bool {
	return bytes.HasSuffix(bytes.TrimRight(b.tail[:b.tailLen], "\r\n "), endMarker)
}

// finalReadError maps the last error of the underlying reader to the error that
// Read returns.
func (b *Body) finalReadError(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return b.eofError()
	}
	if b.ex.silent.Load() {
		return io.ErrUnexpectedEOF
	}
	if b.ex.ctx.Err() != nil {
		return context.Cause(b.ex.ctx)
	}
	return io.ErrUnexpectedEOF
}

// eofError returns io.EOF for a complete response, otherwise
// io.ErrUnexpectedEOF. A body without a marked end counts as truncated.
func (b *Body) eofError() error {
	switch {
	case b.stream && !b.Complete():
		return io.ErrUnexpectedEOF
	case b.closeDelimited && !b.stream:
		return io.ErrUnexpectedEOF
	}
	return io.EOF
}

// Silent reports whether the response ended because no byte arrived within the
// deadline.
func (b *Body) Silent() bool { return b.ex.silent.Load() }

// Close implements io.Closer. Called before the end of the response, it closes
// the connection, which cancels the work at the server.
func (b *Body) Close() error {
	var err error
	b.once.Do(func() {
		b.ex.release()
		err = b.rc.Close()
	})
	return err
}
