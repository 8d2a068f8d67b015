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

	"ragwortstep/internal/servertest"
)

// endless writes a piece until the host closes the connection, with a pause after
// each, and counts the bytes.
func endless(c *servertest.Conn, piece string, pause time.Duration, written *atomic.Int64) {
	for {
		n, err := io.WriteString(c, piece)
		written.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// endlessResponses are responses that never end, by the place of the bytes that
// belong to no answer.
var endlessResponses = map[string]struct{ start, piece string }{
	"one line of a head":    {"HTTP/1.1 200 OK\r\nX-Pad: ", "aaaaaaaaaaaaaaaa"},
	"lines of a head":       {"HTTP/1.1 200 OK\r\n", "X-Pad: aaaaaaaaaaaaaaaa\r\n"},
	"no head":               {"", "\x00\x01\x02\x03\x04\x05\x06\x07"},
	"interim responses":     {"", "HTTP/1.1 103 Early Hints\r\nLink: aaaaaaaaaaaaaaaa\r\n\r\n"},
	"chunk extensions":      {"HTTP/1.1 200 OK\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1;", "aaaaaaaaaaaaaaaa"},
	"trailers":              {"HTTP/1.1 200 OK\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: aaaaaaaaaaaaaaaa\r\n"},
	"a body":                {"HTTP/1.1 200 OK\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n", "aaaaaaaaaaaaaaaa"},
	"a line of an event":    {"HTTP/1.1 200 OK\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\nid: 1\ndata: ", "aaaaaaaaaaaaaaaa"},
	"the body of a refusal": {"HTTP/1.1 503 X\r\nX-Call: id-1\r\nX-Not-Run: 1\r\n\r\n", "aaaaaaaaaaaaaaaa"},
}

// maxFaultyBytes is the most that a host reads of one faulty response, which
// bounds its memory: a response that is held in memory, and buffers. Connections
// of the tests have no buffers of their own.
const maxFaultyBytes = 5 << 20

// A server whose response never ends must not fill the host's memory, and must not
// hold a call and its slot beyond the route's timeout. The call may have run, so
// its caller must not be told otherwise, unless the server said so.
func TestEndlessResponseEnds(t *testing.T) {
	for name, response := range endlessResponses {
		for _, path := range []string{"/once/1", "/stream/1"} {
			for speed, piece := range map[string]string{"fast": strings.Repeat(response.piece, 4096), "slow": response.piece} {
				t.Run(fmt.Sprint(name, path, speed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testEndlessResponse(t, path, response.start, piece, speed == "slow") })
				})
			}
		}
	}
}

func testEndlessResponse(t *testing.T, path, start, piece string, slow bool) {
	is := is.New(t)
	var written atomic.Int64
	pause := time.Duration(0)
	if slow {
		pause = 50 * time.Millisecond
	}
	f := newPipedFixture(t, func(c *servertest.Conn) bool {
		_, _ = io.WriteString(c, start)
		endless(c, piece, pause, &written)
		return false
	})
	status, took := f.serveAborting(path, "k")
	time.Sleep(time.Second)        // the server finds its connection closed
	is.True(took <= 2*time.Second) // the route's timeout
	is.True(written.Load() <= maxFaultyBytes)
	refused := strings.Contains(start, "X-Not-Run")
	is.Equal(status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, refused)
	load, _ := f.slots.ServiceLoad("s")
	is.Equal(load, 0)
}

// A stalled stream that sends a comment, an empty chunk or a part of an event now
// and then must continue at another server after the gap that the route allows.
func TestStalledStreamContinuesElsewhere(t *testing.T) {
	for name, piece := range map[string]string{
		"comment": "4\r\n:x\n\n\r\n", "part of an event": "1\r\nd\r\n", "chunk extension": "1;x\r\n:\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var written atomic.Int64
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if c.After > 0 {
						return stream(c)
					}
					c.StartStream()
					c.WriteEvents(1, 2)
					endless(c, piece, 200*time.Millisecond, &written)
					return false
				}, "a", "b")
				got, took := f.serve("/resumable/1", "k")
				is.Equal(strings.ReplaceAll(got.Body.String(), ":x\n\n", ""), events(1, 4))
				is.True(took < 1500*time.Millisecond)
				time.Sleep(time.Second) // the stalled server finds its connection closed
			})
		})
	}
}

// A sound stream whose events come just within the allowed gap must not be cut.
func TestSlowSoundStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			c.StartStream()
			for id := range int64(4) {
				time.Sleep(450 * time.Millisecond)
				c.WriteEvent(id + 1)
			}
			c.EndStream()
			return true
		}, "a", "b")
		got, _ := f.serve("/resumable/1", "k")
		is.Equal(got.Body.String(), events(1, 4))
	})
}

// A second copy of an answer that arrives late on a kept connection must not reach
// the next caller, whenever it comes.
func TestLateSecondCopyReachesNoCaller(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var answered atomic.Bool
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if !answered.Swap(true) {
						c.Respond(200, "first")
						time.Sleep(delay)
						go c.Respond(200, "first") // blocks until the next request's response is read
						return true
					}
					c.Respond(200, "second")
					return true
				})
				got, _ := f.serveAs("id-1", "/once/1", "k")
				is.Equal(got.Body.String(), "first")
				time.Sleep(delay + 5*time.Millisecond)
				got, _ = f.serveAs("id-2", "/once/1", "k")
				is.True(got.Body.String() != "first")
			})
		})
	}
}

// A stream without length or chunks ends with its connection, so a server that ends
// before the first event leaves an answer that looks complete. Its caller must not
// take it for one; a stream that may be resumed goes on at another server.
func TestStreamUntilCloseWithoutEventIsNotComplete(t *testing.T) {
	is := is.New(t)
	untilClose := func(c *servertest.Conn) bool { c.WriteHead(200, "Content-Type: text/event-stream"); return false }
	f := newFixture(t, servertest.New(t, untilClose))
	is.Equal(f.call("/stream/1", "k").status, http.StatusBadGateway)
	f = newFixture(t, servertest.New(t, untilClose), servertest.New(t, stream))
	for range 4 {
		got := f.call("/resumable/1", "k")
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.body, events(1, 4))
	}
}

// A stream without length or chunks that ends between two events is complete, one
// that ends inside an event is not.
func TestStreamUntilClose(t *testing.T) {
	is := is.New(t)
	ending := func(tail string) func(*servertest.Conn) bool {
		return func(c *servertest.Conn) bool {
			c.WriteHead(200, "Content-Type: text/event-stream")
			_, _ = io.WriteString(c, events(1, 4)+tail)
			return false
		}
	}
	got := newFixture(t, servertest.New(t, ending(""))).call("/stream/1", "k")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, events(1, 4))
	is.NoErr(got.err)
	got = newFixture(t, servertest.New(t, ending("id: 5\ndata: tok"))).call("/stream/1", "k")
	is.True(got.err != nil) // broken off
}

// A sound stream that pauses for longer than the allowed gap must not be cut
// because no other server takes it over: its own server goes on.
func TestPausedStreamIsNotCutWhenNoOtherServerTakesIt(t *testing.T) {
	for name, elsewhere := range map[string]func(*servertest.Conn) bool{
		"no other server": nil,
		"rejected":        func(c *servertest.Conn) bool { c.RespondNotRun(http.StatusServiceUnavailable); return true },
		"error":           func(c *servertest.Conn) bool { c.Respond(http.StatusInternalServerError, "e"); return true },
		"broken":          func(*servertest.Conn) bool { return false },
		"silent":          func(c *servertest.Conn) bool { <-c.PeerClosed(); return false },
		"not signed": func(c *servertest.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				others := []string{"a", "b"}
				if elsewhere == nil {
					others = others[:1]
				}
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if c.After > 0 {
						return elsewhere(c)
					}
					c.StartStream()
					c.WriteEvents(1, 2)
					time.Sleep(900 * time.Millisecond)
					c.WriteEvents(3, 4)
					c.EndStream()
					return true
				}, others...)
				got, _ := f.serve("/resumable/1", "k")
				is.Equal(got.Body.String(), events(1, 4))
				load, _ := f.slots.ServiceLoad("s")
				is.Equal(load, 0)
			})
		})
	}
}

// A stream that is paused for good must end at the call's deadline, and free its
// server.
func TestPausedStreamEndsAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		closed := 0
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if c.After > 0 {
				c.RespondNotRun(http.StatusServiceUnavailable)
				return true
			}
			c.StartStream()
			c.WriteEvents(1, 2)
			<-c.PeerClosed()
			closed++
			return false
		}, "a", "b")
		status, took := f.serveAborting("/resumable/1", "k")
		is.Equal(status, 0) // aborted
		is.Equal(took, 2*time.Second)
		synctest.Wait()
		is.Equal(closed, 1)
		load, _ := f.slots.ServiceLoad("s")
		is.Equal(load, 0)
	})
}
