package backend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/servertest"
)

// brokenReports are answers to polls with a broken head.
var brokenReports = map[string]string{
	"status 000":       "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name":  "HTTP/1.1 200 X\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
	"head without end": "HTTP/1.1 200 X\r\n" + strings.Repeat("X-Pad: 0\r\n", 20_000),
}

// Guards against taking a server for up whose answer to a poll is broken, and for hung: its
// streams and its idempotent exchanges were cut when they paused.
func TestServerWithBrokenLoadReport(t *testing.T) {
	const pause = 2500 * time.Millisecond
	for name, report := range brokenReports {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := servertest.New(t, func(c *servertest.Conn) bool {
				if c.Body == "" { // a poll
					return servertest.RespondAndHold(report)(c)
				}
				time.Sleep(pause)
				c.Respond(http.StatusOK, "whole")
				return true
			})
			c := New(Options{PollInterval: 100 * time.Millisecond})
			c.SetServers([]config.Server{{Name: "s", Address: s.Address()}})
			outcomes := make(pollOutcomes, 1000)
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			go c.Run(ctx, outcomes)
			resp, err := c.Do(ctx, "s", &Request{Method: "POST", Path: "/v1/x", Body: []byte("x"), Idempotent: true})
			is.NoErr(err)
			got, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(string(got), "whole")
			is.True(len(outcomes) > 0)
			for range len(outcomes) {
				is.True(<-outcomes != nil)
			}
		})
	}
}
