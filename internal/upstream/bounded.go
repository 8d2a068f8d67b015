package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds a response's header and the interim responses before it.
const maxHeadBytes = 64 << 10

var errHeadTooLarge = errors.Newf("the header of the response exceeds %d bytes", maxHeadBytes)

// boundedReader fails with errHeadTooLarge once it has read the allowed bytes.
type boundedReader struct {
	r         io.Reader
	unlimited bool
	left      int
	// sendErr is the error of a failed send. It replaces io.EOF: a system call reports a
	// reset only once, so that reads after a failed send find a regular end.
	sendErr error
}

// limit allows n more bytes.
func (b *boundedReader) limit(n int) { b.unlimited, b.left = false, n }

// removeLimit allows any number of bytes.
func (b *boundedReader) removeLimit() { b.unlimited = true }

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.unlimited && b.left <= 0 {
		return 0, errHeadTooLarge
	}
	if !b.unlimited {
		p = p[:min(len(p), b.left)]
	}
	n, err := b.r.Read(p)
	b.left -= n
	if err == io.EOF && b.sendErr != nil {
		err = b.sendErr
	}
	return n, err
}
