package online_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// Figures of a host that stops: its calls end drainTime after the signal, its
// connections are closed lastAnswers later, and servers need answerTime.
const (
	drainTime   = 7300 * time.Millisecond
	lastAnswers = 300 * time.Millisecond
	answerTime  = 2500 * time.Millisecond
)

// slowServer answers in answerTime, by four events or one body, and counts the calls
// that it received.
type slowServer struct {
	mu       sync.Mutex
	received map[string]int
}

func (s *slowServer) serve(c *servertest.Conn) bool {
	s.mu.Lock()
	s.received[c.ID]++
	s.mu.Unlock()
	if strings.HasPrefix(c.ID, "stream") || strings.HasPrefix(c.ID, "resumable") {
		c.StartStream()
		for id := c.After + 1; id <= 4; id++ {
			time.Sleep(answerTime / 4)
			c.WriteEvent(id)
		}
		c.EndStream()
		return true
	}
	time.Sleep(answerTime)
	return ok(c)
}

func (s *slowServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[id]
}

// Calls that came late in a planned stop were passed on and cut, or answered by 504, at
// its end, among them calls that may not be repeated. One whose answer can't be expected
// before the end must be refused at once and reach no server, so that it can go to another
// host; any other must be answered whole. It must hold for a route with earlier answers
// and for one without, and for calls that wait for a place.
func TestLateCallIsNotSentBeforeTheHostStops(t *testing.T) {
	for _, route := range []string{"get", "once", "stream", "resumable"} {
		for _, known := range []bool{true, false} {
			for _, servers := range []int{1, 12} {
				t.Run(fmt.Sprint(route, " known ", known, " servers ", servers), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testLateCalls(t, route, known, servers) })
				})
			}
		}
	}
}

func testLateCalls(t *testing.T, route string, known bool, servers int) {
	is := is.NewRelaxed(t)
	backend := &slowServer{received: map[string]int{}}
	var ids []string
	for n := range servers {
		ids = append(ids, fmt.Sprint("server-", n))
	}
	f := newPipedFixture(t, backend.serve, ids...)
	f.setRoutes(func(r *routing.Route) {
		r.Timeout, r.Objective, r.GapObjective = 6*time.Second, answerTime, answerTime
	})
	path := "/" + route + "/1"
	if known {
		got, _ := f.serveAs(route+"-first", path, "k")
		is.Equal(got.Code, http.StatusOK)
	}
	stopped := time.Now()
	f.service.StopAt(stopped.Add(drainTime))
	time.AfterFunc(drainTime, f.service.EndCalls)
	var group sync.WaitGroup
	var mu sync.Mutex
	whole, refused := 0, 0
	for after := time.Duration(0); after < drainTime; after += 100 * time.Millisecond {
		group.Go(func() {
			time.Sleep(after)
			id := fmt.Sprint(route, "-", after)
			defer func() {
				if r := recover(); r != nil {
					t.Errorf("call %v after the signal: the answer was aborted", after)
				}
			}()
			got, took := f.serveAs(id, path, "k")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case got.Code == http.StatusOK && after+took <= drainTime+lastAnswers:
				whole++
				is.True(isWhole(got, route))
			case got.Code == http.StatusServiceUnavailable && backend.runs(id) == 0:
				refused++
				is.True(got.Header().Get("Retry-After") != "")
				if servers > 1 {
					is.True(took < 10*time.Millisecond) // at once: it waits for no place
				}
			default:
				t.Errorf("call %v after the signal: status %d after %v, sent to %d servers", after, got.Code, took, backend.runs(id))
			}
		})
	}
	group.Wait()
	time.Sleep(answerTime) // until the servers have ended calls that were cut
	is.True(whole > 0)
	is.True(refused > 0)
	if known && servers > 1 { // served as long as answers can be expected
		is.True(whole >= int((drainTime-answerTime-400*time.Millisecond)/(100*time.Millisecond)))
	}
}

func isWhole(got *httptest.ResponseRecorder, route string) bool {
	if route == "stream" || route == "resumable" {
		return got.Body.String() == events(1, 4)
	}
	return got.Body.String() == "ok"
}
