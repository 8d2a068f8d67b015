package online_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// A caller that stops reading a stream and keeps its connection open must not keep the
// server beyond the time of its call: the slot stayed taken, and the connection to the
// server open, until the caller left.
func TestStalledCallerKeepsNoSlot(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ended := make(chan struct{})
			s := servertest.New(t, func(c *servertest.Conn) bool {
				defer close(ended)
				c.StartStream()
				for id := 1; ; id++ { // more than the buffers of the connections hold
					event := fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 64<<10))
					if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
						return false
					}
				}
			})
			f := newFixture(t, s)
			c := f.dialCaller(callerKinds[""], path)
			defer c.Close()
			deadline := time.Now().Add(2500 * time.Millisecond) // the route's timeout is 2 s
			select {
			case <-ended:
			case <-time.After(time.Until(deadline)):
				t.Error("the server is still held 0.5 s after the end of the call's time")
			}
			load, _ := f.slots.ServiceLoad("s")
			for load > 0 && time.Now().Before(deadline) { // the slot is freed after its connection is closed
				time.Sleep(time.Millisecond)
				load, _ = f.slots.ServiceLoad("s")
			}
			is.Equal(load, 0)
		})
	}
}

// The time of a stream must not bound the answers that follow on its connection.
func TestTimeOfStreamDoesNotBoundNextAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	answers := map[string]string{"/stream/1": events(1, 4), "/get/1": "ok"}
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if c.ID == "/get/1" {
			return ok(c)
		}
		return stream(c)
	})
	f := newFixture(t, s)
	f.setRoutes(func(r *routing.Route) { r.Timeout = 300 * time.Millisecond })
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	opened := 0
	for _, path := range []string{"/stream/1", "/get/1"} {
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
			if !c.Reused {
				opened++
			}
		}})
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+path, nil)
		is.NoErr(err)
		req.Header.Set(servertest.HeaderID, path)
		req.Header.Set("X-Key", "k")
		resp, err := client.Do(req)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(body), answers[path])
		time.Sleep(500 * time.Millisecond)
	}
	is.Equal(opened, 1)
}
