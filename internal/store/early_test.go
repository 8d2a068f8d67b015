package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/upstream"
)

// A write must not count as done whose answer had no length and ended with a reset while
// the write was still being sent.
func TestEarlyAnswerOfResetPlatformConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.CopyN(io.Discard, c, 1<<10) // a shorter write fails the test
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nETag: 8\r\n\r\n")
			time.Sleep(15 * time.Millisecond) // the bytes arrive before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	for range 5 {
		s := NewHTTPStore("http://"+l.Addr().String(), "host-1")
		transport := s.client.GetClient().Transport.(*upstream.Transport)
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c, c.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn).SetWriteBuffer(4 << 10)
		}
		_, err := s.Put(context.Background(), "a/b", bytes.Repeat([]byte("x"), MaxValueBytes), 7)
		is.True(errors.Is(err, ErrUnknownOutcome))
	}
}
