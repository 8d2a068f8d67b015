package online_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// A stalled stream that sends comments must go on at another server also if a comment
// arrives while the call waits for a place there: the comment ended the watch for
// silence.
func TestCommentDuringWaitForPlaceKeepsNoStalledStream(t *testing.T) {
	for _, busy := range []time.Duration{0, 20, 40, 60, 80, 95} {
		t.Run(fmt.Sprint("place after ms ", int64(busy)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCommentDuringWait(t, busy*time.Millisecond) })
		})
	}
}

func testCommentDuringWait(t *testing.T, busy time.Duration) {
	const (
		eventGap        = 500 * time.Millisecond // after which another server is asked
		commentInterval = 7 * time.Millisecond
		comment         = ": comment\n\n"
	)
	is := is.NewRelaxed(t)
	var first firstAsked
	f := newPipedFixture(t, func(c *servertest.Conn) bool {
		if !first.is(c) {
			return stream(c)
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		for {
			time.Sleep(commentInterval)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(comment), comment); err != nil {
				return false
			}
		}
	}, "a", "b")
	f.setRoutes(func(r *routing.Route) { r.Timeout = 4 * time.Second })
	if busy > 0 {
		time.AfterFunc(eventGap/2, func() {
			request := f.onlineRequest()
			request.Tried = []string{*first.id.Load()}
			for range 5 { // 4 slots and one request that waits at the server
				slot, err := f.slots.Acquire(t.Context(), request)
				is.NoErr(err)
				time.AfterFunc(eventGap/2+busy, func() { slot.Done(placement.Success, 1) })
			}
		})
	}
	began := time.Now()
	status, body := f.serveWhole("/resumable/1", "k")
	is.Equal(status, http.StatusOK)
	is.Equal(strings.ReplaceAll(body, comment, ""), events(1, 4))
	is.True(time.Since(began) <= eventGap+200*time.Millisecond)
	time.Sleep(time.Second)
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}
