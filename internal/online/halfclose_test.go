package online_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// phases are the first parts of a server's answer, after which it is silent.
var phases = map[string]func(*servertest.Conn){
	"before the head":           func(*servertest.Conn) {},
	"in the head":               func(c *servertest.Conn) { _, _ = fmt.Fprint(c, "HTTP/1.1 200 X\r\n") },
	"after the head":            func(c *servertest.Conn) { c.WriteHead(200, "Content-Length: 9") },
	"in a body":                 func(c *servertest.Conn) { c.WriteHead(200, "Content-Length: 9"); _, _ = fmt.Fprint(c, "ok") },
	"in a body until close":     func(c *servertest.Conn) { c.WriteHead(200); _, _ = fmt.Fprint(c, "ok") },
	"in the body of an error":   func(c *servertest.Conn) { c.WriteHead(500, "Content-Length: 9"); _, _ = fmt.Fprint(c, "no") },
	"after events":              func(c *servertest.Conn) { c.StartStream(); c.WriteEvents(1, 2) },
	"after all events":          func(c *servertest.Conn) { c.StartStream(); c.WriteEvents(1, 4) },
	"after events, until close": func(c *servertest.Conn) { c.WriteHead(200); _, _ = fmt.Fprint(c, events(1, 4)) },
	"after a comment":           func(c *servertest.Conn) { c.StartStream(); _, _ = fmt.Fprint(c, "3\r\n:\n\n\r\n") },
}

// A caller that closes its side of the connection counts as gone, and its request
// ends at the server. If it still reads, it must get no answer that looks complete:
// neither an empty 200 nor the end of a stream.
func TestHalfClosedCallerGetsNoCompleteAnswer(t *testing.T) {
	t.Parallel()
	for name, begin := range phases {
		for _, path := range []string{"/get/1", "/once/1", "/stream/1", "/resumable/1"} {
			for kind, head := range callerKinds {
				t.Run(fmt.Sprint(path, " ", name, kind), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					asked, ended := make(chan struct{}, 9), make(chan struct{}, 9)
					s := servertest.New(t, func(c *servertest.Conn) bool {
						begin(c)
						asked <- struct{}{}
						<-c.PeerClosed()
						ended <- struct{}{}
						return false
					})
					c := newFixture(t, s).dialCaller(head, path)
					defer c.Close()
					<-asked
					time.Sleep(20 * time.Millisecond) // the host receives the part
					is.NoErr(c.CloseWrite())
					got := readRaw(c)
					is.True(got.err != nil)
					select {
					case <-ended:
					case <-time.After(500 * time.Millisecond):
						t.Error("the server is still at work 500 ms after the caller has left")
					}
				})
			}
		}
	}
}

// The same holds while the call waits for a slot, and no server is asked.
func TestHalfClosedCallerWaitsForNoSlot(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/get/1", "/once/1", "/stream/1", "/resumable/1"} {
		for kind, head := range callerKinds {
			t.Run(path+kind, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := servertest.New(t, func(c *servertest.Conn) bool { <-c.PeerClosed(); return false })
				f := newFixture(t, s)
				f.slots.SetServers([]placement.Server{s.PlacementServer("a", "s", 1)})
				first := f.dialCaller(callerKinds[""], "/busy/1")
				defer first.Close()
				for len(s.ReceivedRequests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				second := f.dialCaller(head, path)
				defer second.Close()
				time.Sleep(50 * time.Millisecond)
				is.NoErr(second.CloseWrite())
				is.True(readRaw(second).err != nil)
				is.Equal(len(s.ReceivedRequests()), 1)
			})
		}
	}
}

// A call whose caller leaves just when it gets a slot must give the slot back, or the
// server has one less from then on.
func TestSlotOfCallerThatLeftIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPipedFixture(t, ok)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 50 {
			func() {
				defer func() { _ = recover() }() // the response is aborted
				f.service.Serve(ctx, httptest.NewRecorder(), &online.Call{
					ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: "/get/1", Path: "/get/1", Header: http.Header{}, Arrived: time.Now(),
				})
			}()
		}
		load, _ := f.slots.ServiceLoad("s")
		is.Equal(load, 0)
		got, _ := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusOK)
	})
}
