package online_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// Servers that close their kept connections just when a call is sent on them must cost
// no call: it was sent on one after the other, got 502, and the same request was refused
// for ten minutes as one that crashes servers.
func TestKeptConnectionsClosedTogetherCostNoCall(t *testing.T) {
	for path, answer := range map[string]func(*servertest.Conn) bool{"/get/1": ok, "/resumable/1": stream} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				var mu sync.Mutex
				kept := map[any]time.Time{} // since when, by connection
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					mu.Lock()
					since, used := kept[c.Conn]
					mu.Unlock()
					if used && time.Since(since) > time.Second {
						time.Sleep(time.Millisecond)
						return false // it was closed while the request was under way
					}
					time.Sleep(10 * time.Millisecond) // so that calls need connections of their own
					keep := answer(c)
					mu.Lock()
					kept[c.Conn] = time.Now()
					mu.Unlock()
					return keep
				}, "a", "b")
				want := "ok"
				if strings.HasPrefix(path, "/resumable") {
					want = events(1, 4)
				}
				call := func(id int) {
					status, body := f.serveBody(fmt.Sprint("call-", id), path)
					is.Equal(status, http.StatusOK)
					is.Equal(body, want)
				}
				var group sync.WaitGroup
				for i := range 8 {
					group.Go(func() { call(i) })
				}
				group.Wait()
				time.Sleep(2 * time.Second)
				for i := range 5 {
					call(10 + i)
				}
			})
		})
	}
}
