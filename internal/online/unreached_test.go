package online_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// A call that has begun at a server which breaks off, or is silent for good, must not end
// because the only other server accepts no connection for a second or two: that one is
// asked again.
func TestBegunCallReachesServerThatWasSilentAtFirst(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		for _, silent := range []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second} {
			for _, breaks := range []bool{true, false} {
				t.Run(fmt.Sprint(path, " ", silent, " breaks ", breaks), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testServerAcceptsLate(t, path, silent, breaks) })
				})
			}
		}
	}
}

func testServerAcceptsLate(t *testing.T, path string, silent time.Duration, breaks bool) {
	const dialTimeout = 400 * time.Millisecond
	is := is.NewRelaxed(t)
	began := time.Now()
	resumable := strings.HasPrefix(path, "/resumable")
	f := &fixture{t: t}
	server := servertest.NewPiped(t, func(c *servertest.Conn) bool {
		switch {
		case c.Header.Get("X-Instance") == "b" && resumable:
			return stream(c)
		case c.Header.Get("X-Instance") == "b":
			return ok(c)
		case resumable:
			c.StartStream()
			c.WriteEvents(1, 2)
		}
		time.Sleep(10 * time.Millisecond)
		if !breaks {
			<-c.PeerClosed()
		}
		return false
	})
	connect := func(ctx context.Context, address string) (upstream.Conn, error) {
		if left := silent - time.Since(began); address == "b" && left > 0 {
			time.Sleep(min(left, dialTimeout))
			if left > dialTimeout {
				return nil, os.ErrDeadlineExceeded
			}
		}
		return server.Connect(ctx, address)
	}
	f.build(upstream.Options{Connect: connect}, nil)
	entry := func(id string) placement.Server {
		return placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: 4, Ready: true}
	}
	f.slots.SetServers([]placement.Server{entry("a")})
	time.AfterFunc(time.Millisecond, func() { f.slots.SetServers([]placement.Server{entry("a"), entry("b")}) })
	f.setRoutes(func(r *routing.Route) { r.Timeout, r.GapObjective = 8*time.Second, 400*time.Millisecond })
	status, body := f.serveWhole(path, "k")
	is.Equal(status, http.StatusOK)
	want := "ok"
	if resumable {
		want = events(1, 4)
	}
	is.Equal(body, want)
	is.True(time.Since(began) <= 3200*time.Millisecond) // what callers bear
	time.Sleep(time.Second)
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}
