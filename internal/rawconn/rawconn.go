// Package rawconn uses the sockets of TCP connections directly.
//
// It reads and writes with system calls that do not tell the Go scheduler. The
// sockets are non-blocking, so that no such call can hold up a thread, and a
// process that forwards small events at a low rate is spared the wake-up of
// the runtime's monitor thread at each of them.
package rawconn

import (
	"io"
	"net"
	"os"
	"syscall"
	"unsafe"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is a TCP connection. Deadlines and closing work as those of net.TCPConn.
type Conn struct {
	*net.TCPConn
	raw syscall.RawConn
}

// Wrap returns a TCP connection as a Conn. It fails for any other.
func Wrap(c net.Conn) (*Conn, error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Newf("%T is not a TCP connection", c)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &Conn{TCPConn: t, raw: raw}, nil
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, errno := 0, syscall.Errno(0)
	err := c.raw.Read(func(fd uintptr) bool {
		n, errno = call(syscall.SYS_READ, fd, p)
		return errno != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case errno != 0:
		return 0, c.failed("read", errno)
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, errno := 0, syscall.Errno(0)
		err := c.raw.Write(func(fd uintptr) bool {
			n, errno = call(syscall.SYS_WRITE, fd, p[written:])
			return errno != syscall.EAGAIN
		})
		if err != nil {
			return written, err
		}
		if errno != 0 {
			return written, c.failed("write", errno)
		}
		written += n
	}
	return written, nil
}

// Quiet reports whether the connection is open and no byte waits to be read.
func (c *Conn) Quiet() bool {
	errno := syscall.Errno(0)
	err := c.raw.Read(func(fd uintptr) bool {
		_, _, peek := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		errno, _ = peek.(syscall.Errno)
		return true // does not wait
	})
	return err == nil && errno == syscall.EAGAIN
}

// call makes a system call on a buffer, again while a signal interrupts it.
func call(trap, fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(trap, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}

func (c *Conn) failed(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, errno)}
}

// Listener wraps the connections that it accepts.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped, err := Wrap(c)
	if err != nil {
		_ = c.Close() // the error of Wrap is returned
		return nil, err
	}
	return wrapped, nil
}
