package online_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// Calls that were open at the end of a planned stop had their connections closed
// without an answer. One that waited for a place must be told that it did not run, and
// one whose server had not answered that it may have. A stream that has begun goes on.
func TestOpenCallsAreAnsweredWhenTheHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if c.ID != "stream" {
				return hold(c)
			}
			c.StartStream()
			c.WriteEvent(1)
			time.Sleep(400 * time.Millisecond)
			c.WriteEvent(2)
			c.EndStream()
			return true
		})
		var mu sync.Mutex
		answers := map[string]*httptest.ResponseRecorder{}
		var group sync.WaitGroup
		call := func(id, path string) {
			group.Go(func() {
				got, took := f.serveAs(id, path, "k")
				is.True(took < time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers[id] = got
			})
			synctest.Wait()
		}
		call("stream", "/stream/1")
		for i := range 4 { // 4 slots and one request that waits at the server
			call(fmt.Sprint("sent-", i), "/once/1")
		}
		call("waiting", "/once/1")
		time.Sleep(200 * time.Millisecond)
		f.service.EndCalls()
		synctest.Wait()
		is.Equal(len(answers), 5) // all but the stream
		call("late", "/once/1")
		group.Wait()
		for id, got := range answers {
			want := http.StatusGatewayTimeout
			switch id {
			case "stream":
				want = http.StatusOK
				is.Equal(got.Body.String(), events(1, 2))
			case "waiting", "late":
				want = http.StatusServiceUnavailable
				is.True(got.Header().Get("Retry-After") != "")
			}
			if got.Code != want {
				t.Errorf("call %s: status %d, want %d", id, got.Code, want)
			}
		}
	})
}

// A call that waited for a place got that of a call which ended with the host: it was
// sent to a server, only to be cut there, and its caller was not told that it had not run.
func TestWaitingCallsAreNotSentWhenTheHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 20 // more than the server takes
		is := is.NewRelaxed(t)
		var received atomic.Int32
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			received.Add(1)
			return hold(c)
		})
		var refused atomic.Int32
		var group sync.WaitGroup
		call := func(id int) {
			group.Go(func() {
				if got, _ := f.serveAs(fmt.Sprint(id), "/once/1", "k"); got.Code == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			})
			synctest.Wait()
		}
		for id := range calls {
			call(id)
		}
		sent := received.Load()
		is.True(sent > 0)
		is.True(sent < calls)
		f.service.EndCalls()
		group.Wait()
		is.Equal(received.Load(), sent)
		is.Equal(refused.Load(), calls-sent)
	})
}
