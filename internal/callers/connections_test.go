package callers

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const (
	shortTime = 100 * time.Millisecond
	longTime  = 2 * time.Second
)

// A caller whose header began to arrive while its connection was being closed could
// take any time for the rest: the limit for headers was gone.
func TestHeaderThatRevokesCloseKeepsItsLimit(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			bound, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := NewListener(bound, nil)
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			accepted, err := l.Accept()
			is.NoErr(err)
			c := accepted.(*connection)
			defer c.Close()
			StateChanged(c, state)
			began := time.Now()
			is.NoErr(c.SetReadDeadline(began.Add(shortTime)))
			c.retire(false)
			_, err = io.WriteString(caller, "GET")
			is.NoErr(err)
			time.Sleep(shortTime / 2) // it arrives
			n, err := c.Read(make([]byte, 10))
			is.NoErr(err)
			is.Equal(n, len("GET"))
			stop := time.AfterFunc(longTime, func() { _ = caller.Close() })
			defer stop.Stop()
			_, err = c.Read(make([]byte, 10))
			is.True(errors.Is(err, os.ErrDeadlineExceeded))
		})
	}
}

// A connection that was idle, before its first request or after one, was closed after
// the idle time of a former configuration although the present one allows more.
func TestIdleConnectionStaysAsNewlyConfigured(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		t.Run(state.String(), func(t *testing.T) {
			is := is.New(t)
			var limits atomic.Pointer[Limits]
			limits.Store(&Limits{})
			bound, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := NewListener(bound, func() Limits { return *limits.Load() })
			defer l.Close()
			caller, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer caller.Close()
			accepted, err := l.Accept()
			is.NoErr(err)
			c := accepted.(*connection)
			defer c.Close()
			StateChanged(c, state)
			is.NoErr(c.SetReadDeadline(time.Now().Add(shortTime)))
			limits.Store(&Limits{IdleTime: 5 * longTime})
			time.AfterFunc(3*shortTime, func() { _, _ = io.WriteString(caller, "GET") }) // the read tells
			n, err := c.Read(make([]byte, 10))
			is.NoErr(err)
			is.Equal(n, len("GET"))
		})
	}
}

// A connection that a drain retires just before the HTTP server sets the deadline for its
// wait stayed open until that deadline, and kept the host that was to stop.
func TestRetiredConnectionEndsDespiteNewDeadline(t *testing.T) {
	is := is.New(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(bound, nil)
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	c := accepted.(*connection)
	defer c.Close()
	StateChanged(c, http.StateIdle)
	c.retire(false)
	began := time.Now()
	is.NoErr(c.SetReadDeadline(began.Add(10 * longTime)))
	_, err = c.Read(make([]byte, 10))
	is.Equal(err, io.EOF)
	is.True(time.Since(began) < 5*longTime)
}

// lateListener returns an accepted connection only once it is released.
type lateListener struct {
	net.Listener
	accepted chan struct{}
	release  chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted <- struct{}{}
		<-l.release
	}
	return c, err
}

// A connection that was accepted just before a drain, and that the drain did not know,
// was cut by the end of the process with the request on it.
func TestDrainKnowsConnectionBeingAccepted(t *testing.T) {
	is := is.New(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	late := lateListener{bound, make(chan struct{}, 1), make(chan struct{})}
	l := NewListener(late, nil)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: StateChanged, ReadHeaderTimeout: longTime}
	go func() { _ = server.Serve(l) }() // it ends with the listener
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	<-late.accepted
	drained := make(chan error, 1)
	go func() { drained <- l.Drain(t.Context()) }()
	select {
	case <-drained:
		t.Fatal("the drain ended before the connection was known")
	case <-time.After(shortTime):
	}
	close(late.release)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	answer, err := io.ReadAll(caller)
	is.NoErr(err)
	is.True(len(answer) > 0)
	is.NoErr(<-drained)
}

// A connection on which no request ever came kept a host that was to stop until the end
// of its time, in which it accepts nothing.
func TestDrainEndsUnusedConnection(t *testing.T) {
	is := is.New(t)
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := NewListener(bound, nil)
	server := &http.Server{Handler: http.NotFoundHandler(), ConnState: StateChanged, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }() // it ends with the listener
	caller, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer caller.Close()
	for len(l.list()) == 0 {
		time.Sleep(time.Millisecond) // it is being accepted
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*newConnectionTime)
	defer cancel()
	is.NoErr(l.Drain(ctx))
}
