package online_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// marker stands in the text of all answers that are no part of a stream.
const marker = "boom"

// nextAnswers are answers of a server that is asked to go on with a stream and does
// not do it.
var nextAnswers = map[string]string{
	"error, with length":          "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"error, chunked":              "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboom\r\n0\r\n\r\n",
	"error, until close":          "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\nboom",
	"error without seal":          "HTTP/1.1 500 X\r\nX-Call: id-1\r\nContent-Length: 4\r\n\r\nboom",
	"error as a stream":           "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nboom\n\n",
	"error as the next event":     "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: boom\n\n",
	"client error":                "HTTP/1.1 404 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"client error without seal":   "HTTP/1.1 404 X\r\nX-Call: id-1\r\nContent-Length: 4\r\n\r\nboom",
	"redirection":                 "HTTP/1.1 302 X\r\nX-Call: id-1\r\nX-Seal: s\r\nLocation: /boom\r\nContent-Length: 4\r\n\r\nboom",
	"misdirected":                 "HTTP/1.1 421 X\r\nX-Call: id-1\r\nContent-Length: 4\r\n\r\nboom",
	"refusal":                     "HTTP/1.1 503 X\r\nX-Call: id-1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nboom",
	"success without seal":        "HTTP/1.1 200 X\r\nX-Call: id-1\r\nContent-Length: 18\r\n\r\nid: 3\ndata: boom\n\n",
	"success of another request":  "HTTP/1.1 200 X\r\nX-Call: id-2\r\nX-Seal: s\r\nContent-Length: 18\r\n\r\nid: 3\ndata: boom\n\n",
	"text":                        "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"text, ended like an event":   "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 6\r\n\r\nboom\n\n",
	"text, chunked":               "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nboom\n\n\r\n0\r\n\r\n",
	"text, until close":           "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\nboom\n\n",
	"comment":                     "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 8\r\n\r\n: boom\n\n",
	"head of an error as text":    "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1b\r\nHTTP/1.1 500 boom\r\nX: y\r\n\r\n\r\n0\r\n\r\n",
	"event without id":            "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\nevent: error\ndata: boom\n\n\n\r\n0\r\n\r\n",
	"event out of order":          "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 18\r\n\r\nid: 4\ndata: boom\n\n",
	"no event, chunked":           "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no event, length 0":          "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"no event, until close":       "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n",
	"no content":                  "HTTP/1.1 204 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n",
	"nothing":                     "",
	"no head":                     "boom\r\n\r\nboom",
	"head cut":                    "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: boom\r\n",
	"head of an error cut":        "HTTP/1.1 500 X\r\nX-Call: id-1\r\nX-Seal: boom",
	"interim response and error":  "HTTP/1.1 103 X\r\nLink: boom\r\n\r\nHTTP/1.1 500 X\r\nX-Call: id-1\r\nContent-Length: 4\r\n\r\nboom",
	"interim response and no end": "HTTP/1.1 100 X\r\n\r\n",
}

// resumedAnswers are answers of a server that goes on with a stream of four events
// after the second.
var resumedAnswers = map[string]string{
	"with length":      "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 40\r\n\r\n" + events(3, 4),
	"until close":      "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n" + events(3, 4),
	"comment":          "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 48\r\n\r\n: boom\n\n" + events(3, 4),
	"interim response": "HTTP/1.1 103 X\r\nLink: boom\r\n\r\nHTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n" + events(3, 4),
}

// callerKinds are the forms of a caller's request line and header.
var callerKinds = map[string]string{
	"":                        "HTTP/1.1\r\nHost: h.example\r\n",
	", closes":                "HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n",
	", HTTP/1.0":              "HTTP/1.0\r\n",
	", HTTP/1.0 that is kept": "HTTP/1.0\r\nConnection: keep-alive\r\n",
}

// rawResponse is what a caller read from its connection.
type rawResponse struct {
	raw  string // all bytes
	resp *http.Response
	body string
	err  error // of reading the head or the body
}

// callRaw sends a request over a connection of its own, and reads the response.
func (f *fixture) callRaw(kind, path string) rawResponse {
	f.t.Helper()
	c := f.dialCaller(kind, path)
	defer c.Close()
	return readRaw(c)
}

// dialCaller opens a connection and sends a request on it.
func (f *fixture) dialCaller(kind, path string) *net.TCPConn {
	f.t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		f.t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s %s%s: id-1\r\nX-Key: k\r\nContent-Length: 1\r\n\r\nx", path, kind, servertest.HeaderID); err != nil {
		f.t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

func readRaw(c net.Conn) rawResponse {
	var raw strings.Builder
	var got rawResponse
	got.resp, got.err = http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if got.err == nil {
		var body []byte
		body, got.err = io.ReadAll(got.resp.Body)
		got.body = string(body)
	}
	got.raw = raw.String()
	return got
}

// Nothing of an answer that is no part of a stream that another server began may
// reach the caller, and the stream must not end like a complete one.
func TestNoOtherAnswerInBrokenStream(t *testing.T) {
	t.Parallel()
	for name, answer := range nextAnswers {
		for kind, head := range callerKinds {
			t.Run(name+kind, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				got := joinedFixture(t, 0, answer).callRaw(head, "/resumable/1")
				is.True(!strings.Contains(got.raw, marker))
				is.True(got.err != nil) // visibly broken off
				is.Equal(got.body, events(1, 2))
			})
		}
	}
}

// A stream that only pauses goes on at its server, whatever another one answers
// meanwhile.
func TestNoOtherAnswerInPausedStream(t *testing.T) {
	t.Parallel()
	for name, answer := range nextAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got := joinedFixture(t, 900*time.Millisecond, answer).callRaw(callerKinds[""], "/resumable/1")
			is.NoErr(got.err)
			is.True(!strings.Contains(got.raw, marker))
			is.Equal(got.body, events(1, 4))
		})
	}
}

// A stream whose rest another server sends soundly reaches the caller as a whole.
func TestStreamJoinsOnlySoundRest(t *testing.T) {
	t.Parallel()
	for name, answer := range resumedAnswers {
		for _, pause := range []time.Duration{0, 900 * time.Millisecond} {
			for kind, head := range callerKinds {
				t.Run(fmt.Sprint(name, kind, " pause ", pause), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					got := joinedFixture(t, pause, answer).callRaw(head, "/resumable/1")
					is.NoErr(got.err)
					is.True(!strings.Contains(got.raw, marker))
					is.Equal(got.body, events(1, 4))
				})
			}
		}
	}
}

// joinedFixture has two servers. The one that is asked first sends two events and
// breaks off, or sends the rest after a pause. The other one has the given answer.
func joinedFixture(t *testing.T, pause time.Duration, answer string) *fixture {
	t.Helper()
	script := func(c *servertest.Conn) bool {
		if c.After > 0 {
			_, _ = io.WriteString(c, answer)
			return false
		}
		c.StartStream()
		c.WriteEvents(1, 2)
		if pause == 0 {
			return false
		}
		time.Sleep(pause)
		c.WriteEvents(3, 4)
		c.EndStream()
		return true
	}
	return newFixture(t, servertest.New(t, script), servertest.New(t, script))
}

// A server that sent only a comment has begun the response: the caller must not get
// the end of an answer without an event for that of its stream.
func TestNoOtherAnswerAfterComment(t *testing.T) {
	t.Parallel()
	for name, answer := range nextAnswers {
		if strings.HasPrefix(name, "event ") {
			continue // the whole answer of a server that was asked from the start
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var first firstAsked
			script := func(c *servertest.Conn) bool {
				if first.is(c) {
					c.StartStream()
					_, _ = io.WriteString(c, "3\r\n:\n\n\r\n")
					return false
				}
				_, _ = io.WriteString(c, answer)
				return false
			}
			got := newFixture(t, servertest.New(t, script), servertest.New(t, script)).callRaw(callerKinds[""], "/resumable/1")
			is.True(!strings.Contains(got.raw, marker))
			is.True(got.err != nil)
			is.Equal(got.body, ":\n\n")
		})
	}
}

// A server that is silent before its first event answers later. Until then, another
// one must not end the call with an answer without an event, or with one of whose
// bytes a part was dropped.
func TestEmptyAnswerTakesOverNoStream(t *testing.T) {
	t.Parallel()
	for name, answer := range nextAnswers {
		if strings.HasPrefix(name, "event ") {
			continue // the whole answer of a server that was asked from the start
		}
		for _, begun := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " head sent ", begun), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var first firstAsked
				script := func(c *servertest.Conn) bool {
					if !first.is(c) {
						_, _ = io.WriteString(c, answer)
						return false
					}
					if begun {
						c.StartStream()
					}
					time.Sleep(900 * time.Millisecond)
					if !begun {
						c.StartStream()
					}
					c.WriteEvents(1, 4)
					c.EndStream()
					return true
				}
				f := newFixture(t, servertest.New(t, script), servertest.New(t, script))
				got := f.callRaw(callerKinds[""], "/resumable/1")
				is.NoErr(got.err)
				if got.resp.StatusCode != http.StatusOK {
					// A failure that is the request's own, as another server found it.
					is.True(got.resp.StatusCode >= http.StatusMultipleChoices && got.resp.StatusCode < http.StatusInternalServerError)
					return
				}
				is.Equal(got.body, events(1, 4))
			})
		}
	}
}

// A server that sent only comments while the first one was silent, and is left alone
// with the call, must not end it: the caller has not got its whole body.
func TestStreamOfDroppedCommentsIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		var first firstAsked
		f := newPipedFixture(t, func(c *servertest.Conn) bool {
			if first.is(c) {
				time.Sleep(400 * time.Millisecond)
				return false
			}
			c.StartStream()
			_, _ = io.WriteString(c, "8\r\n: boom\n\n\r\n")
			time.Sleep(400 * time.Millisecond)
			c.EndStream()
			return true
		}, "a", "b")
		status, body := f.serveWhole("/resumable/1", "k")
		is.Equal(status, http.StatusBadGateway)
		is.True(!strings.Contains(body, marker))
	})
}
