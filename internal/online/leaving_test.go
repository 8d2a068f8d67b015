package online_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/servertest"
)

// leavingAnswers are the kinds of answers by which a server may say that it is
// leaving.
var leavingAnswers = map[string]func(*servertest.Conn) bool{
	"success": func(c *servertest.Conn) bool {
		c.WriteHead(200, "Content-Length: 2", servertest.LeavingLine)
		_, _ = io.WriteString(c, "ok")
		return true
	},
	"stream": func(c *servertest.Conn) bool {
		c.WriteHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked", servertest.LeavingLine)
		c.WriteEvents(c.After+1, 4)
		c.EndStream()
		return true
	},
	"error": func(c *servertest.Conn) bool {
		c.WriteHead(500, "Content-Length: 0", servertest.LeavingLine)
		return true
	},
	"rejection": func(c *servertest.Conn) bool { c.RespondNotRun(503, servertest.LeavingLine); return true },
	"broken off": func(c *servertest.Conn) bool {
		c.WriteHead(200, "Content-Length: 9", servertest.LeavingLine)
		return false
	},
}

// Requests must not reach a server after an answer of any kind in which it said
// that it is leaving, neither as first attempts nor as further ones, although its
// entry stays ready, lapses and comes back.
func TestLeavingServerGetsNoRequest(t *testing.T) {
	for kind, answer := range leavingAnswers {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := "/get/1"
			if kind == "stream" {
				path = "/resumable/1"
			}
			leaving := servertest.New(t, answer)
			full := servertest.New(t, func(c *servertest.Conn) bool { c.RespondNotRun(503); return true })
			f := newFixture(t, leaving)
			f.call(path, "k") // a rejected one may return to servers that were full
			is.Equal(len(leaving.ReceivedRequests()), 1)
			f.setServers(leaving, full)
			for range 3 {
				is.Equal(f.call(path, "k").status, http.StatusServiceUnavailable)
			}
			is.Equal(len(full.ReceivedRequests()), 3)
			f.slots.SetServers(nil)
			f.setServers(leaving)
			got := f.call(path, "k")
			is.Equal(got.status, http.StatusServiceUnavailable)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(len(leaving.ReceivedRequests()), 1)
			f.slots.SetServers([]placement.Server{leaving.PlacementServer("restarted", "s", 4)})
			f.call(path, "k")
			is.True(len(leaving.ReceivedRequests()) > 1)
		})
	}
}

// An answer that belongs to another request, or that another server gave at the
// address, says nothing about the server that was asked, which must stay in use.
func TestAnswerOfAnotherMarksNoServer(t *testing.T) {
	for kind, answer := range map[string]func(*servertest.Conn) bool{
		"another request": func(c *servertest.Conn) bool {
			c.ID = "other"
			c.WriteHead(200, "Content-Length: 0", servertest.LeavingLine)
			return true
		},
		"another server": func(c *servertest.Conn) bool {
			c.RespondNotRun(http.StatusMisdirectedRequest, servertest.LeavingLine)
			return true
		},
	} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				first := true
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if first {
						first = false
						return answer(c)
					}
					return ok(c)
				})
				got, _ := f.serve("/once/1", "k")
				is.True(got.Code != http.StatusOK)
				time.Sleep(time.Second) // until the server takes requests again
				got, _ = f.serve("/once/1", "k")
				is.Equal(got.Code, http.StatusOK)
			})
		})
	}
}

// Requests that run at a server when it says that it is leaving must end there
// undisturbed.
func TestRequestsGoOnAtLeavingServer(t *testing.T) {
	is := is.New(t)
	leave := make(chan struct{})
	var started sync.WaitGroup
	started.Add(3)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		if c.Body == "" {
			return leavingAnswers["success"](c)
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		started.Done()
		<-leave
		c.WriteEvents(3, 4)
		c.EndStream()
		return true
	})
	f := newFixture(t, s)
	answers := make(chan response, 3)
	for range 3 {
		go func() { answers <- f.call("/stream/1", "k") }()
	}
	started.Wait()
	got, _ := f.serve("/get/1", "k")
	is.Equal(got.Code, http.StatusOK)
	close(leave)
	for range 3 {
		answer := <-answers
		is.NoErr(answer.err)
		is.Equal(answer.body, events(1, 4))
	}
	is.Equal(len(s.ReceivedRequests()), 4)
}

// A server that has said it is leaving, in an answer or by its entry, ends with requests
// in flight. The loss of its connections must not count as crashes by these requests:
// after the second one the same request was refused on all hosts for ten minutes.
func TestEndOfLeavingServerIsNoCrash(t *testing.T) {
	for _, c := range []struct {
		name         string
		says, drains bool
		status       int // of the same request afterwards
	}{
		{"by its answer", true, false, http.StatusOK},
		{"by its entry", false, true, http.StatusOK},
		{"it crashes", false, false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := newPipedFixture(t, func(conn *servertest.Conn) bool {
					switch {
					case conn.ID == "leaving":
						return leavingAnswers["success"](conn)
					case conn.Header.Get("X-Instance") == "c":
						conn.Respond(http.StatusOK, "ok")
						return true
					}
					time.Sleep(100 * time.Millisecond) // until the server ends
					return false
				})
				setEntry := func(id string, ready bool) {
					f.slots.SetServers([]placement.Server{{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: 4, Ready: ready}})
				}
				for _, id := range []string{"a", "b"} {
					setEntry(id, true)
					status := make(chan int)
					go func() { got, _ := f.serveAs("lost", "/once/1", "k"); status <- got.Code }()
					synctest.Wait()
					if c.says {
						got, _ := f.serveAs("leaving", "/get/1", "k")
						is.Equal(got.Code, http.StatusOK)
					}
					setEntry(id, !c.drains)
					is.Equal(<-status, http.StatusBadGateway)
				}
				setEntry("c", true)
				time.Sleep(time.Second) // in which other hosts would have reported the same losses
				got, _ := f.serveAs("again", "/once/1", "k")
				is.Equal(got.Code, c.status)
			})
		})
	}
}
