package callers

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// A request whose bytes had arrived at the moment of an idle time-out got no answer:
// its connection was closed with the bytes unread.
func TestRequestThatArrivesAtTheTimeOutIsRead(t *testing.T) {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		for _, allowed := range []time.Duration{0, shortTime} {
			t.Run(fmt.Sprintf("%s/%s", state, allowed), func(t *testing.T) {
				is := is.New(t)
				bound, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				l := NewListener(bound, func() Limits { return Limits{IdleTime: allowed} })
				defer l.Close()
				caller, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				defer caller.Close()
				accepted, err := l.Accept()
				is.NoErr(err)
				c := accepted.(*connection)
				defer c.Close()
				is.NoErr(c.SetReadDeadline(time.Now().Add(shortTime)))
				StateChanged(c, state)
				is.NoErr(c.SetReadDeadline(time.Now().Add(shortTime)))
				_, err = io.WriteString(caller, "GET")
				is.NoErr(err)
				time.Sleep(2 * shortTime) // the process does not run in time
				n, err := c.Read(make([]byte, 10))
				is.NoErr(err)
				is.Equal(n, len("GET"))
				stop := time.AfterFunc(longTime, func() { _ = caller.Close() })
				defer stop.Stop()
				_, err = c.Read(make([]byte, 10)) // the rest of the header keeps a limit
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
			})
		}
	}
}

const (
	raceCallers = 8
	raceRounds  = 100
	raceTime    = 20 * time.Millisecond // of an idle connection
	raceSpread  = time.Millisecond      // of requests, round the time-out
	// maxUnreadPart is the part of the requests that may cross the close of their
	// connection.
	maxUnreadPart = 0.1
)

// witness is a connection that notes whether it is closed with unread bytes.
type witness struct {
	*connection
	unread *atomic.Int64
}

// Close implements net.Conn.
func (w witness) Close() error {
	_ = w.Conn.SetReadDeadline(time.Time{}) // it may be past; fails if it is closed
	if !w.IsIdle() {
		if n, _ := w.Conn.Read(make([]byte, 1)); n > 0 { // its caller has not closed it
			w.unread.Add(1)
		}
	}
	return w.connection.Close()
}

// witnessListener accepts connections that are witnesses.
type witnessListener struct {
	*Listener
	unread *atomic.Int64
}

// Accept implements net.Listener.
func (l witnessListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return witness{c.(*connection), l.unread}, nil
}

// Requests that arrived round the idle time-out of their connections were read by
// nobody. The configuration changes the idle time all the while.
func TestFewRequestsAreLostAtTheTimeOut(t *testing.T) {
	var unread, answered, closed atomic.Int64
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var longer atomic.Bool
	l := NewListener(bound, func() Limits {
		if longer.Load() {
			return Limits{IdleTime: raceTime + raceSpread/2}
		}
		return Limits{}
	})
	server := &http.Server{
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		IdleTimeout: raceTime,
		ConnState:   func(c net.Conn, state http.ConnState) { StateChanged(c.(witness).connection, state) },
	}
	go func() { _ = server.Serve(witnessListener{l, &unread}) }() // it ends with the listener
	defer server.Close()
	var group sync.WaitGroup
	for range raceCallers {
		group.Go(func() {
			for range raceRounds {
				if raceTimeOut(t, l.Addr().String()) {
					answered.Add(1)
				} else {
					closed.Add(1)
				}
				longer.Store(!longer.Load())
			}
		})
	}
	group.Wait()
	t.Logf("%d requests round the time-out were answered, %d were not, connections closed with unread bytes: %d", answered.Load(), closed.Load(), unread.Load())
	is := is.New(t)
	is.True(answered.Load() > 0 && closed.Load() > 0) // they were sent round it
	is.True(float64(unread.Load()) <= maxUnreadPart*raceCallers*raceRounds)
}

// raceTimeOut sends a request round the idle time-out after the answer to another one,
// and reports whether it is answered.
func raceTimeOut(t *testing.T, address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return false
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for range 2 {
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // the answer tells
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return false
		}
		_ = resp.Body.Close() // it is empty
		time.Sleep(raceTime - raceSpread + time.Duration(rand.Int64N(int64(2*raceSpread))))
	}
	return true
}
