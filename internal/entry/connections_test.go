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

	"ragwortstep/internal/callers"
)

const (
	// shortTime is a limit of the HTTP server in these tests, and longTime one of the
	// configuration.
	shortTime = 100 * time.Millisecond
	longTime  = 2 * time.Second
)

// startLimitedServer starts a server with the limits of a configuration.
func startLimitedServer(t *testing.T, limits func() callers.Limits) *caller {
	t.Helper()
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {}, limits)
	s.server.IdleTimeout, s.server.ReadHeaderTimeout, s.server.MaxHeaderBytes = shortTime, shortTime, maxHeaderBytes
	go func() { _ = s.serve() }() // it ends with the listener
	c, err := dialCaller(s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = c.Close()
		if err := s.listener.Drain(context.WithoutCancel(t.Context())); err != nil {
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
	c := startLimitedServer(t, func() callers.Limits { return callers.Limits{IdleTime: longTime, HeaderTime: longTime} })
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
	var limits atomic.Pointer[callers.Limits]
	limits.Store(&callers.Limits{})
	c := startLimitedServer(t, func() callers.Limits { return *limits.Load() })
	is.NoErr(c.send(requestText("id", "/")))
	c.expect(t, http.StatusOK)
	limits.Store(&callers.Limits{IdleTime: longTime})
	time.Sleep(3 * shortTime)
	is.NoErr(c.send(requestText("id", "/")))
	c.expect(t, http.StatusOK)
	limits.Store(&callers.Limits{}) // guards against connections without a limit
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
	large := callers.Limits{HeaderBytes: 4 * callers.MinHeaderBytes, HeaderTime: longTime, IdleTime: longTime}
	c := startLimitedServer(t, func() callers.Limits { return large })
	for range 3 { // each is counted by itself
		is.NoErr(c.send(request(3 * callers.MinHeaderBytes)))
		c.expect(t, http.StatusOK)
	}
	is.NoErr(c.send(request(5 * callers.MinHeaderBytes)))
	c.expect(t, http.StatusRequestHeaderFieldsTooLarge)
	_, _, err := c.answer()
	is.True(err != nil) // closed
	c = startLimitedServer(t, func() callers.Limits { return callers.Limits{HeaderTime: longTime, IdleTime: longTime} })
	is.NoErr(c.send(request(callers.MinHeaderBytes - 100)))
	c.expect(t, http.StatusOK)
}

// A caller that sent its first request later than the limit for headers allows, but
// within that for idle connections, found its connection closed.
func TestUnusedConnectionMayBeIdleAsLongAsConfigured(t *testing.T) {
	is := is.New(t)
	c := startLimitedServer(t, func() callers.Limits { return callers.Limits{IdleTime: longTime, HeaderTime: shortTime} })
	time.Sleep(3 * shortTime)
	is.NoErr(c.send(requestText("id", "/")))
	c.expect(t, http.StatusOK)
}

// The limit for headers holds from the first byte. Guards against callers that open a
// connection and send the header of a first request without end.
func TestFirstHeaderIsBounded(t *testing.T) {
	is := is.New(t)
	c := startLimitedServer(t, func() callers.Limits { return callers.Limits{IdleTime: 10 * longTime, HeaderTime: 2 * shortTime} })
	began := time.Now()
	go func() {
		for range 20 {
			_ = c.send("G") // until it is closed
			time.Sleep(shortTime / 2)
		}
	}()
	status, _, err := c.answer()
	is.True(err != nil || status == http.StatusBadRequest)
	is.True(time.Since(began) < longTime/2)
}
