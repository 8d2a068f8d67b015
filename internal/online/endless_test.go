package online_test

import (
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// Many large answers that never end must not take more memory than the host has for
// large answers, in whole bodies and in events: each of them stayed below its own bound,
// all together they took the memory of the host. Small answers beside them are passed on.
func TestManyEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const (
		calls     = 48
		maxMemory = 160 << 20 // several times the default for answers, for buffers and garbage
	)
	for path, begin := range map[string]string{"/get/1": "", "/stream/1": "id: 1\ndata: "} {
		t.Run(path, func(t *testing.T) {
			is := is.NewRelaxed(t)
			chunk := strings.Repeat("x", 64<<10)
			var served atomic.Int64
			ended := make(chan struct{})
			script := func(c *servertest.Conn) bool {
				if !strings.HasPrefix(c.ID, "large") {
					return ok(c)
				}
				c.WriteHead(http.StatusOK)
				_, _ = c.Write([]byte(begin))
				for range 15 { // just less than one event may have
					if _, err := c.Write([]byte(chunk)); err != nil {
						return false
					}
				}
				if path == "/get/1" {
					for range 48 { // just less than a whole body may have
						if _, err := c.Write([]byte(chunk)); err != nil {
							return false
						}
					}
				}
				served.Add(1)
				<-ended
				return false
			}
			var servers []*servertest.Server
			for range 12 {
				servers = append(servers, servertest.New(t, script))
			}
			f := newFixture(t, servers...)
			f.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = 3*time.Second, 1 })
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var group sync.WaitGroup
			for range calls {
				group.Go(func() { f.callAs("large", path, "k") })
			}
			time.Sleep(time.Second)
			runtime.GC()
			runtime.ReadMemStats(&during)
			is.True(int64(during.HeapAlloc)-int64(before.HeapAlloc) < maxMemory/2)
			is.True(int64(during.HeapSys)-int64(before.HeapSys) < maxMemory)
			got := f.callAs("small", "/get/1", "k")
			is.Equal(got.status, http.StatusOK)
			close(ended)
			group.Wait()
		})
	}
}
