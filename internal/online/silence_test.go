package online_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// answerPieces returns the pieces of a sealed answer: between each two of them the
// server may fall silent. The framing is chunked, with a length, or none.
func answerPieces(c *servertest.Conn, path, framing string) []string {
	stream := strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable")
	var body []string
	if stream {
		for id := c.After + 1; id <= 4; id++ {
			event := fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id)
			body = append(body, event[:7], event[7:])
		}
	} else {
		body = []string{"he", "llo"}
	}
	head := fmt.Sprintf("HTTP/1.1 200 X\r\n%s: %s\r\n%s: s\r\n", servertest.HeaderID, c.ID, servertest.HeaderSeal)
	end := "\r\n"
	switch framing {
	case "chunked":
		end = "Transfer-Encoding: chunked\r\n\r\n"
		for i, part := range body {
			body[i] = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		body = append(body, "0\r\n\r\n")
	case "length":
		end = fmt.Sprintf("Content-Length: %d\r\n\r\n", len(strings.Join(body, "")))
	}
	return append([]string{head[:12], head[12:], end}, body...)
}

// otherServers are the scripts of a second server, which a host may ask while the
// first one is silent.
var otherServers = map[string]func(*servertest.Conn) bool{
	"none":    nil,
	"rejects": func(c *servertest.Conn) bool { c.RespondNotRun(http.StatusServiceUnavailable); return true },
	"fails":   func(c *servertest.Conn) bool { c.Respond(http.StatusInternalServerError, "e"); return true },
	"breaks":  func(*servertest.Conn) bool { return false },
	"silent":  func(c *servertest.Conn) bool { <-c.PeerClosed(); return false },
	"unsigned": func(c *servertest.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
		return true
	},
}

// firstAsked tells the server that is asked first from the other one.
type firstAsked struct{ id atomic.Pointer[string] }

func (f *firstAsked) is(c *servertest.Conn) bool {
	server := c.Header.Get("X-Instance")
	f.id.CompareAndSwap(nil, &server)
	return *f.id.Load() == server
}

// A sound server that falls silent for a while in any phase of its answer goes on
// with it, so its caller must get the whole answer: the host must not give the
// server up before another one has answered. The configuration changes meanwhile.
func TestSilentServerIsNotGivenUp(t *testing.T) {
	for _, path := range []string{"/get/1", "/once/1", "/stream/1", "/resumable/1"} {
		for _, framing := range []string{"chunked", "length", "until close"} {
			phases := len(answerPieces(&servertest.Conn{}, path, framing)) + 1 // the last one is before the connection is closed or kept
			for other, script := range otherServers {
				for _, silence := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
					for phase := range phases {
						t.Run(fmt.Sprint(path, " ", framing, " other ", other, " ", silence, " before piece ", phase), func(t *testing.T) {
							synctest.Test(t, func(t *testing.T) { testSilentServer(t, path, framing, script, silence, phase) })
						})
					}
				}
			}
		}
	}
}

func testSilentServer(t *testing.T, path, framing string, other func(*servertest.Conn) bool, silence time.Duration, phase int) {
	is := is.NewRelaxed(t) // so that the server's goroutine ends in the bubble
	var first firstAsked
	ids := []string{"a", "b"}
	if other == nil {
		ids = ids[:1]
	}
	f := newPipedFixture(t, func(c *servertest.Conn) bool {
		if !first.is(c) {
			return other(c)
		}
		for i, piece := range append(answerPieces(c, path, framing), "") {
			if i == phase {
				time.Sleep(silence)
			}
			if _, err := io.WriteString(c, piece); err != nil {
				return false
			}
		}
		return framing != "until close"
	}, ids...)
	f.setPatience(8 * time.Second)
	time.AfterFunc(silence/2, func() {
		f.snapshot.Store(routing.New(2, nil, f.snapshot.Load().Workspaces, nil, map[string]string{"k": "w"}))
	})
	status, body := f.serveWhole(path, "k")
	is.Equal(status, http.StatusOK) // 0 if the response was aborted
	want := "hello"
	if strings.HasPrefix(path, "/stream") || strings.HasPrefix(path, "/resumable") {
		want = events(1, 4)
	}
	is.Equal(body, want)
	time.Sleep(silence) // a server that is no longer asked finds its connection closed
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}

// Two servers must not go on with the same stream for more than 400 ms, also when
// the second one falls silent too.
func TestServersOverlapShortlyOnOneStream(t *testing.T) {
	for name, begin := range map[string]func(*servertest.Conn){
		"before its head":        func(*servertest.Conn) {},
		"before its first event": (*servertest.Conn).StartStream,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				overlaps := make(chan time.Duration, 10)
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if c.After > 0 {
						begin(c)
						<-c.PeerClosed()
						overlaps <- time.Since(c.At)
						return false
					}
					c.StartStream()
					c.WriteEvents(1, 2)
					time.Sleep(2 * time.Second)
					c.WriteEvents(3, 4)
					c.EndStream()
					return true
				}, "a", "b")
				f.setRoutes(func(r *routing.Route) { r.Timeout, r.Objective = 8*time.Second, 800*time.Millisecond })
				status, body := f.serveWhole("/resumable/1", "k")
				is.Equal(status, http.StatusOK)
				is.Equal(body, events(1, 4))
				synctest.Wait()
				is.True(len(overlaps) >= 2) // the second server is asked again
				close(overlaps)
				for overlap := range overlaps {
					is.True(overlap <= 400*time.Millisecond)
				}
			})
		})
	}
}

// A server that stays silent must not hold a call: another one answers it, also if
// that one needs longer than the servers may overlap.
func TestCallLeavesServerThatStaysSilent(t *testing.T) {
	for _, path := range []string{"/get/1", "/resumable/1"} {
		for _, slow := range []time.Duration{0, time.Second} {
			for _, started := range []bool{false, true} {
				t.Run(fmt.Sprint(path, " other needs ", slow, " after the head ", started), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testServerStaysSilent(t, path, slow, started) })
				})
			}
		}
	}
}

func testServerStaysSilent(t *testing.T, path string, slow time.Duration, started bool) {
	is := is.NewRelaxed(t)
	var first firstAsked
	f := newPipedFixture(t, func(c *servertest.Conn) bool {
		streams := strings.HasPrefix(path, "/resumable")
		switch {
		case !first.is(c):
			time.Sleep(slow)
			if streams {
				return stream(c)
			}
			return ok(c)
		case started && streams:
			c.StartStream()
			c.WriteEvents(1, 2)
		case started:
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n") // the head is not complete
		}
		<-c.PeerClosed()
		return false
	}, "a", "b")
	f.setPatience(8 * time.Second)
	asked := time.Now()
	status, body := f.serveWhole(path, "k")
	is.Equal(status, http.StatusOK)
	want := "ok"
	if path == "/resumable/1" {
		want = events(1, 4)
	}
	is.Equal(body, want)
	// A second of silence and the wait for another server are borne, and a server
	// that is given up after some seconds is not waited for again.
	is.True(time.Since(asked) <= 3*time.Second+slow)
	time.Sleep(slow + time.Second)
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}
