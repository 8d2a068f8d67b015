// Package rawconn reads and writes TCP connections with raw system calls.
//
// The calls bypass the Go scheduler's system call accounting. The sockets are
// non-blocking, so no call can block a thread, and a process that forwards small
// events at a low rate avoids waking the runtime's monitor thread for each of
// them.
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

// Wrap returns a Conn for a TCP connection. It fails for other connections.
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
		n, errno = rawSyscall(syscall.SYS_READ, fd, p)
		return errno != syscall.EAGAIN
	})
	switch {
	case err != nil:
		return 0, err
	case errno != 0:
		return 0, c.opError("read", errno)
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
			n, errno = rawSyscall(syscall.SYS_WRITE, fd, p[written:])
			return errno != syscall.EAGAIN
		})
		if err != nil {
			return written, err
		}
		if errno != 0 {
			return written, c.opError("write", errno)
		}
		written += n
	}
	return written, nil
}

// IsIdle reports whether the connection is open and has no unread bytes. It does not
// wait for a pending Read.
func (c *Conn) IsIdle() bool {
	errno := syscall.Errno(0)
	err := c.raw.Control(func(fd uintptr) {
		_, _, peek := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		errno, _ = peek.(syscall.Errno)
	})
	return err == nil && errno == syscall.EAGAIN
}

// rawSyscall makes a system call on a buffer and repeats it when a signal
// interrupts it.
func rawSyscall(trap, fd uintptr, p []byte) (int, syscall.Errno) {
	for {
		n, _, errno := syscall.RawSyscall(trap, fd, uintptr(unsafe.Pointer(unsafe.SliceData(p))), uintptr(len(p)))
		if errno != syscall.EINTR {
			return int(n), errno
		}
	}
}

func (c *Conn) opError(op string, errno syscall.Errno) error {
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
