package online_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/online"
	"ragwortstep/internal/servertest"
)

func events(first, last int64) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		n := string(rune('0' + id))
		b.WriteString("id: " + n + "\ndata: token" + n + "\n\n")
	}
	return b.String()
}

func closeConnection(*servertest.Conn) bool { return false }

func ok(c *servertest.Conn) bool { c.Respond(200, "ok"); return true }

func stream(c *servertest.Conn) bool {
	c.StartStream()
	c.WriteEvents(c.After+1, 4)
	c.EndStream()
	return true
}

// A request on an at-most-once route must not be executed twice: after a failure
// in which the server may have executed it, it is not retried, and the status
// does not promise that it was not executed.
func TestNoRetryAfterPossibleExecution(t *testing.T) {
	t.Parallel()
	for name, script := range map[string]func(*servertest.Conn) bool{
		"no response":        closeConnection,
		"truncated response": func(c *servertest.Conn) bool { c.WriteHead(200, "Content-Length: 9"); return false },
		"wrong id":           func(c *servertest.Conn) bool { c.ID = "other"; c.Respond(200, "x"); return true },
		"not HTTP": func(c *servertest.Conn) bool {
			_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := servertest.New(t, script), servertest.New(t, script)
			got := newFixture(t, a, b).call("/once/1", "k")
			is.Equal(got.status, http.StatusBadGateway)
			is.Equal(len(a.ReceivedRequests())+len(b.ReceivedRequests()), 1)
		})
	}
}

// A request that every server rejected gets 503 with Retry-After. After a 502
// its caller could not safely retry.
func TestRejectedRequestGetsRetryableStatus(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool { c.RespondNotRun(503); return true })
	got := newFixture(t, s).call("/once/1", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(got.header.Get(servertest.HeaderSeal), "")
}

// A burst at a service with few slots: a request that every server of its route's
// attempts rejected as full must be sent to one of them again instead of being
// refused, because nothing has run it and a slot becomes free soon.
func TestRequestReturnsToFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var rejections atomic.Int64
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if rejections.Add(1) <= 2 {
				c.RespondNotRun(503)
				return true
			}
			return ok(c)
		})
		got, took := f.serve("/busy/1", "k")
		is.Equal(got.Code, http.StatusOK)
		is.True(took < time.Second) // the route's objective
	})
}

// A request that stays rejected must be refused while its caller has time to come
// back, and the refusal must say that it has not run.
func TestRequestAtFullServerIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool { c.RespondNotRun(503); return true })
		got, took := f.serve("/busy/1", "k")
		is.Equal(got.Code, http.StatusServiceUnavailable)
		is.True(got.Header().Get("Retry-After") != "")
		is.True(took < time.Second)
	})
}

// A request that one server rejected must not fail while another has capacity.
func TestRejectedRequestTriesAnotherServer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	full := servertest.New(t, func(c *servertest.Conn) bool { c.RespondNotRun(421); return true })
	good := servertest.New(t, ok)
	f := newFixture(t, full, good)
	for range 6 {
		is.Equal(f.call("/once/1", "k").status, http.StatusOK)
	}
}

// A failing call must not be sent more often than the route's MaxAttempts.
func TestMaxAttemptsOfRoute(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	a, b, c := servertest.New(t, closeConnection), servertest.New(t, closeConnection), servertest.New(t, closeConnection)
	got := newFixture(t, a, b, c).call("/get/1", "k")
	is.Equal(got.status, http.StatusBadGateway)
	is.Equal(len(a.ReceivedRequests())+len(b.ReceivedRequests())+len(c.ReceivedRequests()), 2)
}

// A truncated response of one server must not reach the caller of a repeatable
// request; another server's complete response does.
func TestTruncatedResponseIsRetried(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	bad := servertest.New(t, func(c *servertest.Conn) bool { c.WriteHead(200, "Content-Length: 9"); return false })
	f := newFixture(t, bad, servertest.New(t, ok))
	for range 4 {
		got := f.call("/get/1", "k")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, "ok")
	}
}

// The status, body and signature of a server's own error response must reach
// the caller unchanged.
func TestServerErrorIsRelayed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool { c.Respond(500, "broken blade"); return true })
	got := newFixture(t, s).call("/once/1", "k")
	is.Equal(got.status, 500)
	is.Equal(got.body, "broken blade")
	is.Equal(got.header.Get(servertest.HeaderSeal), "s")
}

// A 200 without the server's signature may come from another machine and must
// not be relayed as a success.
func TestUnsignedSuccessIsDropped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+servertest.HeaderID+": "+c.ID+"\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	is.Equal(newFixture(t, s).call("/once/1", "k").status, http.StatusBadGateway)
}

// A resumed stream must not lose or duplicate events after a server's
// connection broke in the middle of one.
func TestStreamResumesAfterBrokenConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	breakMidEvent := func(c *servertest.Conn) bool {
		if c.After > 0 {
			return stream(c)
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		_, _ = io.WriteString(c, "9\r\nid: 3\nda\r\n")
		return false
	}
	a, b := servertest.New(t, breakMidEvent), servertest.New(t, breakMidEvent)
	got := newFixture(t, a, b).call("/resumable/1", "k")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, events(1, 4))
	all := append(a.ReceivedRequests(), b.ReceivedRequests()...)
	is.Equal(len(all), 2)
	is.Equal(max(all[0].After, all[1].After), int64(2))
}

// A caller must not wait for a server that stops sending in the middle of a
// stream; another server resumes it.
func TestStreamResumesAfterSilence(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stall := func(c *servertest.Conn) bool {
		if c.After > 0 {
			return stream(c)
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		<-c.PeerClosed()
		return false
	}
	got := newFixture(t, servertest.New(t, stall), servertest.New(t, stall)).call("/resumable/1", "k")
	is.NoErr(got.err)
	is.Equal(got.body, events(1, 4))
}

// A truncated stream that must not resume elsewhere, or one with a missing or
// duplicate event, must not end like a complete one for the caller.
func TestTruncatedStreamIsAborted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for name, script := range map[string]func(*servertest.Conn) bool{
		"truncated": func(c *servertest.Conn) bool { c.StartStream(); c.WriteEvents(1, 2); return false },
		"duplicate event": func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvents(1, 2)
			c.WriteEvent(2)
			c.EndStream()
			return true
		},
		"missing event": func(c *servertest.Conn) bool {
			c.StartStream()
			c.WriteEvent(1)
			c.WriteEvent(3)
			c.EndStream()
			return true
		},
	} {
		s := servertest.New(t, script)
		got := newFixture(t, s).call("/stream/1", "k")
		if got.err == nil {
			t.Errorf("%s: the caller got %d %q as a complete response", name, got.status, got.body)
		}
		is.Equal(len(s.ReceivedRequests()), 1)
	}
}

// A server must not continue a stream after its caller disconnected.
func TestServerRequestEndsWhenCallerDisconnects(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	stopped := make(chan struct{})
	s := servertest.New(t, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvent(1)
		<-c.PeerClosed()
		close(stopped)
		return false
	})
	f := newFixture(t, s)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/resumable/1", nil)
	is.NoErr(err)
	req.Header.Set("X-Key", "k")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	time.AfterFunc(100*time.Millisecond, cancel)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
	select {
	case <-stopped:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server is still streaming 500 ms after the caller disconnected")
	}
	is.Equal(len(s.ReceivedRequests()), 1)
}

// A caller must not wait longer than the route's timeout for a silent server.
func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		silent := func(c *servertest.Conn) bool { <-c.PeerClosed(); return false }
		got, took := newPipedFixture(t, silent).serve("/short/1", "k")
		is.Equal(got.Code, http.StatusGatewayTimeout) // the server may have executed it
		is.Equal(took, 150*time.Millisecond)
	})
}

// The log line of a refusal must contain the version of the configuration that
// decided it.
func TestRefusalLogsConfigVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, servertest.New(t, ok))
	is.Equal(f.call("/nowhere/1", "k").status, http.StatusNotFound)
	is.Equal(f.logs.find(t, "no_route")["config_version"], 1.0)
	is.Equal(f.call("/get/1", "unknown").status, http.StatusUnauthorized)
	is.Equal(f.logs.find(t, "unknown_key")["config_version"], 1.0)
}

// Requests without a valid key get 401, and unknown routes 404. While the
// configuration is not confirmed, both get a retryable 503 instead, since key
// and route may be valid in a newer one.
func TestInvalidKeysAndRoutesAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := servertest.New(t, ok)
	f := newFixture(t, s)
	is.Equal(f.call("/get/1", "unknown").status, http.StatusUnauthorized)
	is.Equal(f.call("/get/1", "").status, http.StatusUnauthorized)
	is.Equal(f.call("/nowhere/1", "k").status, http.StatusNotFound)
	is.Equal(f.call("/public/1", "").status, http.StatusOK)
	f.fresh.Store(false)
	for _, key := range []string{"k", "unknown"} {
		got := f.call("/get/1", key)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	is.Equal(f.call("/nowhere/1", "k").status, http.StatusServiceUnavailable)
	is.Equal(f.call("/public/1", "").status, http.StatusOK)
	f.snapshot.Store(nil)
	is.Equal(f.call("/get/1", "k").status, http.StatusServiceUnavailable)
	is.Equal(len(s.ReceivedRequests()), 2)
}

// A request whose key was revoked while it waited for a slot must not run.
func TestKeyRevokedWhileWaiting(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	release := make(chan struct{})
	s := servertest.New(t, func(c *servertest.Conn) bool { <-release; c.Respond(200, "ok"); return true })
	f := newFixture(t, s)
	f.slots.SetServers([]placement.Server{s.PlacementServer("a", "s", 1)})
	first, second := make(chan response, 1), make(chan response, 1)
	go func() { first <- f.call("/once/1", "k") }()
	for len(s.ReceivedRequests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	go func() { second <- f.call("/once/2", "k") }()
	time.Sleep(50 * time.Millisecond)
	f.snapshot.Store(config(nil))
	close(release)
	is.Equal((<-first).status, http.StatusOK)
	is.Equal((<-second).status, http.StatusUnauthorized)
	is.Equal(len(s.ReceivedRequests()), 1)
}

func TestRequestsOverQuotaAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPipedFixture(t, ok)
		time.Sleep(2 * time.Second) // fills the bucket
		var got []int
		for range 4 {
			response, _ := f.serve("/get/1", "l")
			got = append(got, response.Code)
		}
		is.Equal(got, []int{200, 200, 429, 429})
	})
}

// A request for a service without any server must be refused at once instead
// of waiting for its timeout.
func TestRefusedAtOnceWithoutServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		got, took := newPipedFixture(t, nil).serve("/get/1", "k")
		is.Equal(got.Code, http.StatusServiceUnavailable)
		is.Equal(took, time.Duration(0))
	})
}

// Callers must not keep connections open to a host that is shutting down.
func TestConnectionsCloseDuringShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFixture(t, servertest.New(t, ok))
	f.leaving.Store(true)
	req, err := http.NewRequest(http.MethodPost, f.url+"/get/1", nil)
	is.NoErr(err)
	req.Header.Set("X-Key", "k")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	is.True(resp.Close)
}

// A request that crashes servers must be quarantined, or its caller's retries
// would crash one server after another.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var servers []*servertest.Server
	for range 8 {
		servers = append(servers, servertest.New(t, closeConnection))
	}
	f := newFixture(t, servers...)
	for range 12 {
		f.call("/get/1", "k")
		time.Sleep(150 * time.Millisecond)
	}
	arrived := 0
	for _, s := range servers {
		arrived += len(s.ReceivedRequests())
	}
	is.True(arrived <= 6) // three crashed servers and three retries
	is.Equal(f.call("/get/1", "k").status, http.StatusServiceUnavailable)
}

// A Retry-After of a few milliseconds must not be rounded down to 0, or callers
// would retry at once.
func TestRetryAfterIsNeverZero(t *testing.T) {
	is := is.New(t)
	for after, want := range map[time.Duration]string{time.Millisecond: "0.01", 120 * time.Millisecond: "0.12", 121 * time.Millisecond: "0.13", 0: ""} {
		w := httptest.NewRecorder()
		(&online.Refusal{Status: 503, RetryAfter: after}).Write(w)
		is.Equal(w.Header().Get("Retry-After"), want)
	}
}
