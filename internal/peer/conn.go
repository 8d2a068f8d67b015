package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sys/unix"
)

const (
	// maxMessageBytes bounds the memory that one message of a peer can take.
	// The largest is a full configuration of a few megabytes.
	maxMessageBytes = 64 << 20
	// writeTimeout bounds a write to a connection whose peer reads nothing.
	writeTimeout = 2 * time.Second
	// tcpUserTimeout closes connections whose data stays unacknowledged.
	tcpUserTimeout = 2 * time.Second
	// keepAliveInterval finds dead connections on which nothing is sent.
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
)

// timedConn records when a connection last received data, sets write deadlines
// and counts bytes. If readTimeout is not zero, reads fail after that time
// without data.
type timedConn struct {
	net.Conn
	readTimeout time.Duration
	lastRead    atomic.Int64 // nanoseconds since processStart
}

// processStart is the origin of monotonic times kept in atomics.
var processStart = time.Now()

func monotonicNow() int64 { return int64(time.Since(processStart)) }

func newTimedConn(conn net.Conn, readTimeout time.Duration) *timedConn {
	setTCPOptions(conn)
	c := &timedConn{Conn: conn, readTimeout: readTimeout}
	c.lastRead.Store(monotonicNow())
	return c
}

// Read implements net.Conn.
func (c *timedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(monotonicNow())
		stats.Add("bytes_received", int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c *timedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	stats.Add("bytes_sent", int64(n))
	if err != nil {
		// A partly written message leaves the stream unusable, and the library
		// keeps a connection open after a failed write.
		_ = c.Close()
	}
	return n, err
}

// idle returns the time since data was last received.
func (c *timedConn) idle() time.Duration {
	return time.Duration(monotonicNow() - c.lastRead.Load())
}

func setTCPOptions(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetNoDelay(true)
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		slog.Warn("peer: cannot set TCP_USER_TIMEOUT", "error", err)
	}
}

// boundedCodec is jsonrpc2's length-prefixed codec with a limit on the length: that of a
// greeting until the peer is authenticated.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	limit atomic.Uint64
}

func newCodec(limit uint64) *boundedCodec {
	c := &boundedCodec{}
	c.limit.Store(limit)
	return c
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	// Every JSON-RPC message is longer than the peeked header.
	header, err := stream.Peek(binary.MaxVarintLen64)
	if err != nil {
		return io.EOF
	}
	limit := c.limit.Load()
	if size, n := binary.Uvarint(header); n <= 0 || size > limit {
		return errors.Newf("message of %d bytes exceeds %d", size, limit)
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// rpcLogger logs the library's messages, which concern broken connections, at
// debug level.
type rpcLogger struct{ log *slog.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, v ...any) {
	l.log.Debug("peer: "+format, "args", v)
}
