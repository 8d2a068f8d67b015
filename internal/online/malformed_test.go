package online_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// headerLines are those of a sound answer.
const headerLines = "X-Call: id-1\r\nX-Seal: s\r\nContent-Length: 5\r\n"

// A server whose answer has a malformed status must be given up at once: status 000 held
// the call until its deadline, and others reached the caller.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for name, answer := range servertest.MalformedStatuses(headerLines, "hello") {
		testMalformedHead(t, name, servertest.RespondAndHold(answer))
	}
}

// An answer in whose head the name of a field holds a blank or a control byte must not
// reach the caller: the line was passed on, or it would have been the length or coding of
// the body, so that the body was too short, cut, or had the bytes of the chunks.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	for name, answer := range servertest.MalformedFields(headerLines, "hello") {
		testMalformedHead(t, name+", held", servertest.RespondAndHold(answer))
		testMalformedHead(t, name+", closed", func(c *servertest.Conn) bool {
			_, _ = io.WriteString(c, answer) // fails once the host has closed the connection
			return false
		})
	}
}

// Malformed answers must not count as the loss of a server under the request: it was refused
// on all hosts for a while, also once servers answered soundly.
func TestMalformedHeadIsNoCrash(t *testing.T) {
	for name, answer := range map[string]string{
		"status that is no number": "HTTP/1.1 2x0 X\r\n" + headerLines + "\r\nhello",
		"head too large":           "HTTP/1.1 200 X\r\n" + strings.Repeat("X-Pad: 0\r\n", 10_000) + headerLines + "\r\nhello",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				sound := false
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					if sound {
						return ok(c)
					}
					_, _ = io.WriteString(c, answer) // fails once the host has closed the connection
					return false
				}, "a", "b", "c", "d")
				for range 4 {
					status, _ := f.serveWhole("/get/1", "k")
					is.Equal(status, http.StatusBadGateway)
				}
				sound = true
				time.Sleep(10 * time.Second) // servers that were ejected are in use again
				status, _ := f.serveWhole("/get/1", "k")
				is.Equal(status, http.StatusOK)
			})
		})
	}
}

// testMalformedHead has calls on all kinds of routes answered by a script.
func testMalformedHead(t *testing.T, name string, script func(*servertest.Conn) bool) {
	for path, sends := range map[string]int{"/once/1": 1, "/get/1": 2, "/stream/1": 1, "/resumable/1": 2} {
		t.Run(name+path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				received := 0
				f := newPipedFixture(t, func(c *servertest.Conn) bool {
					received++
					return script(c)
				}, "a", "b")
				began := time.Now()
				status, _ := f.serveWhole(path, "k")
				is.Equal(status, http.StatusBadGateway)
				is.True(time.Since(began) < 100*time.Millisecond) // of the fake clock
				is.Equal(received, sends)
			})
		})
	}
}
