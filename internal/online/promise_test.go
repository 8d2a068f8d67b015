package online_test

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// A server that answers 408, 429 or 503 without the statement that it has not run the
// request may have run it. The caller takes these statuses for that promise, so they
// must not be passed on, and a request that may run once is sent to no other server.
func TestStatusWithoutStatementIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for path, runs := range map[string]int{"/once/1": 1, "/stream/1": 1, "/get/1": 2, "/resumable/1": 2} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					received := 0
					f := newPipedFixture(t, func(c *servertest.Conn) bool {
						received++
						c.Respond(status, "failed midway")
						return true
					}, "a", "b")
					got, _ := f.serve(path, "k")
					is.Equal(got.Code, http.StatusBadGateway)
					is.Equal(got.Header().Get(servertest.HeaderSeal), "") // the server gave another status
					is.Equal(received, runs)
				})
			})
		}
	}
}

// The same after another server failed: its error is relayed, which promises nothing.
func TestStatusWithoutStatementKeepsEarlierError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		received := 0
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if received++; received == 1 {
				c.Respond(http.StatusInternalServerError, "failed")
			} else {
				c.Respond(http.StatusServiceUnavailable, "failed midway")
			}
			return true
		}, "a", "b")
		got, _ := f.serve("/get/1", "k")
		is.Equal(got.Code, http.StatusInternalServerError)
		is.Equal(got.Body.String(), "failed")
		is.Equal(received, 2)
	})
}

// A request that reached no server has certainly not run: it may be sent to another one,
// and its caller is told so if there is none.
func TestRequestThatReachedNoServerIsRefused(t *testing.T) {
	for _, down := range []int{1, 2} {
		t.Run(fmt.Sprint(down, " servers down"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := servertest.NewPiped(t, ok)
				refused := 0
				f := &fixture{t: t}
				f.build(upstream.Options{Connect: func(ctx context.Context, address string) (upstream.Conn, error) {
					if refused < down {
						refused++
						return nil, syscall.ECONNREFUSED
					}
					return server.Connect(ctx, address)
				}}, nil)
				var list []placement.Server
				for _, id := range []string{"a", "b"} {
					list = append(list, placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: 4, Ready: true})
				}
				f.slots.SetServers(list)
				f.setRoutes(func(r *routing.Route) { r.Timeout = 100 * time.Millisecond })
				got, _ := f.serve("/once/1", "k")
				if down == 1 {
					is.Equal(got.Code, http.StatusOK)
					return
				}
				is.Equal(got.Code, http.StatusServiceUnavailable)
				is.True(got.Header().Get("Retry-After") != "")
			})
		})
	}
}
