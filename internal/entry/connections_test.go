package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// shortTime is a limit of the HTTP server in these tests, and longTime one of the
	// configuration.
	shortTime = 100 * time.Millisecond
	longTime  = 2 * time.Second
)

// startLimitedServer starts a server with the limits of a configuration.
func startLimitedServer(t *testing.T, limits func() callerLimits) *caller {
	t.Helper()
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {})
	s.server.IdleTimeout, s.server.ReadHeaderTimeout, s.server.MaxHeaderBytes = shortTime, shortTime, maxHeaderBytes
	s.listener.connections.limits = limits
	go func() { _ = s.serve() }() // it ends with the listener
	c, err := dialCaller(s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		if err := s.drain(context.WithoutCancel(t.Context())); err != nil {
			t.Error(err)
		}
	})
	return c
}

func (c *caller) expect(t *testing.T, want int) {
	t.Helper()
	status, _, err := c.answer()
	if err != nil || status != want {
		t.Fatalf("status %d, error %v; want %d", status, err, want)
	}
}

// Callers that were idle, or took their time for a header, within the limits of the
// configuration found their connections closed by shorter limits of the host.
func TestConnectionsLastAsLongAsConfigured(t *testing.T) {
	is := is.New(t)
	c := startLimitedServer(t, func() callerLimits { return callerLimits{idleTime: longTime, headerTime: longTime} })
	text := requestText("id", "/")
	for range 3 {
		time.Sleep(3 * shortTime)
		is.NoErr(c.send(text[:30]))
		time.Sleep(3 * shortTime)
		is.NoErr(c.send(text[30:]))
		c.expect(t, http.StatusOK)
	}
}

// A change of the configuration allowed callers a longer idle time, and connections
// that were idle at that moment were closed after the former one.
func TestIdleConnectionLastsAsLongAsNewlyConfigured(t *testing.T) {
	is := is.New(t)
	var limits atomic.Pointer[callerLimits]
	limits.Store(&callerLimits{})
	c := startLimitedServer(t, func() callerLimits { return *limits.Load() })
	is.NoErr(c.send(requestText("id", "/")))
	c.expect(t, http.StatusOK)
	limits.Store(&callerLimits{idleTime: longTime})
	time.Sleep(3 * shortTime)
	is.NoErr(c.send(requestText("id", "/")))
	c.expect(t, http.StatusOK)
	limits.Store(&callerLimits{}) // guards against connections without a limit
	time.Sleep(longTime + shortTime)
	_ = c.send(requestText("id", "/")) // the answer tells
	_, _, err := c.answer()
	is.True(err != nil)
}

// A request with a header within the limit of the configuration was refused with 431.
func TestHeaderMayBeAsLargeAsConfigured(t *testing.T) {
	is := is.New(t)
	request := func(size int) string {
		return fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", size))
	}
	large := callerLimits{headerBytes: 4 * minHeaderBytes}
	c := startLimitedServer(t, func() callerLimits { return large })
	for range 3 { // each is counted by itself
		is.NoErr(c.send(request(3 * minHeaderBytes)))
		c.expect(t, http.StatusOK)
	}
	is.NoErr(c.send(request(5 * minHeaderBytes)))
	c.expect(t, http.StatusRequestHeaderFieldsTooLarge)
	_, _, err := c.answer()
	is.True(err != nil) // closed
	c = startLimitedServer(t, func() callerLimits { return callerLimits{} })
	is.NoErr(c.send(request(minHeaderBytes - 100)))
	c.expect(t, http.StatusOK)
}
