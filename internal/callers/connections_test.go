package callers

import (
	"io"
	"net"
	"net/http"
	"os"
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
