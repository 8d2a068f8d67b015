package online_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

// stalledRecorder is the response to a caller that reads nothing during a time.
type stalledRecorder struct {
	*httptest.ResponseRecorder
	from, until time.Time
}

func (s *stalledRecorder) stall() {
	if !time.Now().Before(s.from) {
		time.Sleep(time.Until(s.until))
	}
}

func (s *stalledRecorder) Write(p []byte) (int, error) {
	s.stall()
	return s.ResponseRecorder.Write(p)
}

func (s *stalledRecorder) Flush() {
	s.stall()
	s.ResponseRecorder.Flush()
}

// While the silent server's answer is written to a caller that reads slowly, the other
// server that was asked meanwhile must not be held: it kept its slot and its work as long
// as the caller took, and two servers worked on one stream for over 400 ms.
func TestSlowCallerHoldsNoOtherServer(t *testing.T) {
	const (
		silence     = 600 * time.Millisecond // after which the first server goes on
		maxOverlap  = 400 * time.Millisecond // of two servers on one stream
		callerTakes = 1500 * time.Millisecond
	)
	for name, test := range map[string]struct {
		path  string
		first func(*servertest.Conn) bool
	}{
		"whole": {"/get/1", func(c *servertest.Conn) bool { time.Sleep(silence); return ok(c) }},
		"error": {"/get/1", func(c *servertest.Conn) bool { time.Sleep(silence); c.Respond(400, "bad"); return true }},
		"event": {"/resumable/1", func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvents(1, 2)
			time.Sleep(silence)
			c.WriteEvents(3, 4)
			c.EndStream()
			return true
		}},
		"end": {"/resumable/1", func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvents(1, 4)
			time.Sleep(silence)
			c.EndStream()
			return true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var requests atomic.Int32
				var overlap atomic.Int64
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if requests.Add(1) == 1 {
						return test.first(c)
					}
					began := time.Now()
					<-c.PeerClosed()
					overlap.Store(int64(time.Since(began)))
					return false
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) { r.Timeout = 8 * time.Second })
				now := time.Now()
				w := &stalledRecorder{httptest.NewRecorder(), now.Add(silence), now.Add(silence + callerTakes)}
				f.service.Serve(t.Context(), w, &online.Call{
					ID: "id-1", Key: "k", Host: "h.example", Method: http.MethodPost, Target: test.path, Path: test.path, Header: http.Header{}, Arrived: now,
				})
				synctest.Wait()
				is.Equal(requests.Load(), int32(2))
				is.True(overlap.Load() > 0)
				if got := time.Duration(overlap.Load()); got > maxOverlap {
					t.Errorf("the other server was held for %v", got)
				}
				load, _ := f.slots.ServiceLoad("s")
				is.Equal(load, 0)
			})
		})
	}
}
