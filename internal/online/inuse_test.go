package online_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// endsAtTheDeadline are calls whose time ends while their server is at work.
var endsAtTheDeadline = map[string]struct {
	path   string
	time   time.Duration
	server func(*servertest.Conn) bool
}{
	"stream with events": {"/stream/1", 700 * time.Millisecond, func(c *servertest.Conn) bool {
		c.StartStream()
		for id := int64(1); ; id++ {
			c.WriteEvent(id)
			select {
			case <-c.PeerClosed():
				return false
			case <-time.After(50 * time.Millisecond):
			}
		}
	}},
	"body in pieces": {"/once/1", 700 * time.Millisecond, func(c *servertest.Conn) bool {
		c.WriteHead(200, "Content-Length: 1000")
		for {
			_, _ = fmt.Fprint(c, "x")
			select {
			case <-c.PeerClosed():
				return false
			case <-time.After(50 * time.Millisecond):
			}
		}
	}},
	"less time than the server needs": {"/once/1", 50 * time.Millisecond, func(c *servertest.Conn) bool {
		select {
		case <-c.PeerClosed():
			return false
		case <-time.After(100 * time.Millisecond):
			return ok(c)
		}
	}},
}

// Calls whose time ends while their server is at work, because they last long or had
// little time, must not take the server out of use: others were refused or held
// although it was sound.
func TestServerAtWorkAtTheDeadlineStaysInUse(t *testing.T) {
	for name, c := range endsAtTheDeadline {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPipedFixture(t, func(s *servertest.Conn) bool {
					if s.ID == "id-1" {
						return ok(s)
					}
					return c.server(s)
				})
				var group sync.WaitGroup
				for i := range 3 {
					group.Go(func() {
						defer func() { _ = recover() }() // a stream that has begun is cut
						f.service.Serve(t.Context(), httptest.NewRecorder(), &online.Call{
							ID: fmt.Sprint("long-", i), Key: "k", Host: "h.example", Method: http.MethodPost, Target: c.path, Path: c.path, Header: http.Header{},
							Arrived: time.Now(), CallerTimeout: c.time,
						})
					})
				}
				group.Wait()
				got, took := f.serve("/get/1", "k")
				is.Equal(got.Code, http.StatusOK)
				is.Equal(took, time.Duration(0))
			})
		})
	}
}

// A server that was silent for the whole time of several calls is taken out of use.
func TestSilentServerAtTheDeadlineIsEjected(t *testing.T) {
	for _, path := range []string{"/once/1", "/stream/1", "/busy/1"} { // the last one's timeout is short for its objective
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPipedFixture(t, hold)
				var group sync.WaitGroup
				for range 2 {
					group.Go(func() { f.serveAborting(path, "k") })
				}
				group.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
				defer cancel()
				_, err := f.slots.Acquire(ctx, f.onlineRequest())
				is.True(err != nil)
				time.Sleep(time.Second)
			})
		})
	}
}

// The first request to a server after its ejection may be a long stream. Others must
// not wait for its end once the server answers: they were refused although it was
// sound and had free places.
func TestServerThatAnswersAgainIsInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		sound := false
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if !sound {
				return false
			}
			if c.ID == "id-1" {
				return ok(c)
			}
			return pausingStream(c, 500*time.Millisecond)
		})
		for range 2 {
			f.serveAborting("/once/1", "k")
		}
		sound = true
		time.Sleep(time.Second)
		var group sync.WaitGroup
		group.Go(func() {
			got, _ := f.serveAs("probe", "/stream/1", "k")
			is.Equal(got.Code, http.StatusOK)
		})
		time.Sleep(100 * time.Millisecond)
		got, took := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusOK)
		is.Equal(took, time.Duration(0))
		group.Wait()
	})
}

// A request that waits for the probe's answer must get its place with it, not later.
func TestWaitingRequestGetsItsPlaceWithTheProbesAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		sound := false
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if !sound {
				return false
			}
			if c.ID == "id-1" {
				return ok(c)
			}
			time.Sleep(110 * time.Millisecond)
			return pausingStream(c, 500*time.Millisecond)
		})
		for range 2 {
			f.serveAborting("/once/1", "k")
		}
		sound = true
		time.Sleep(time.Second)
		var group sync.WaitGroup
		group.Go(func() {
			got, _ := f.serveAs("probe", "/stream/1", "k")
			is.Equal(got.Code, http.StatusOK)
		})
		time.Sleep(100 * time.Millisecond)
		got, took := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusOK)
		is.Equal(took, 10*time.Millisecond)
		group.Wait()
	})
}

// Calls whose time ends just after another server has begun its answer to them must not
// take that one out of use.
func TestOtherServerThatHasBegunStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		begun := 0
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if c.Header.Get("X-Instance") == "b" {
				time.Sleep(300 * time.Millisecond)
				begun++
				c.WriteHead(http.StatusOK, "Content-Length: 2")
			}
			return hold(c)
		}, "a", "b")
		f.setRoutes(func(r *routing.Route) { r.Timeout = 600 * time.Millisecond })
		request := f.onlineRequest()
		request.Only = []string{"b"}
		for range 2 {
			for range 5 { // 4 slots and one request that waits at the server
				slot, err := f.slots.Acquire(t.Context(), request)
				is.NoErr(err)
				time.AfterFunc(100*time.Millisecond, func() { slot.Done(placement.Neutral, 0) })
			}
			got, _ := f.serve("/get/1", "k") // the server b is asked after 250 ms of silence
			is.Equal(got.Code, http.StatusGatewayTimeout)
		}
		is.Equal(begun, 2)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		slot, err := f.slots.Acquire(ctx, request)
		is.NoErr(err)
		if err == nil {
			slot.Done(placement.Neutral, 0)
		}
		time.Sleep(time.Second)
	})
}

// A server whose first request after its ejection stays without an answer gets no
// other meanwhile.
func TestServerIsProbedByOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var asked atomic.Int64
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			asked.Add(1)
			if c.ID == "probe" {
				c.StartStream()
				_, _ = fmt.Fprint(c, "4\r\n:x\n\n\r\n")
				return hold(c)
			}
			return false
		})
		for range 2 {
			f.serveAborting("/once/1", "k")
		}
		time.Sleep(time.Second)
		var group sync.WaitGroup
		group.Go(func() {
			defer func() { _ = recover() }() // the stream is cut at its deadline
			f.serveAs("probe", "/stream/1", "k")
		})
		time.Sleep(100 * time.Millisecond)
		got, _ := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusServiceUnavailable)
		is.Equal(asked.Load(), int64(3))
		group.Wait()
	})
}
