package online_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// sealedHead begins the head of a server's answer.
const sealedHead = "HTTP/1.1 200 X\r\nX-Call: id-1\r\nX-Seal: s\r\n"

// unsoundAnswers hold no whole answer to a request, whatever follows on the connection.
var unsoundAnswers = map[string]string{
	"two lengths":                      sealedHead + "Content-Length: 5\r\nContent-Length: 2\r\n\r\nhello",
	"two lengths in one line":          sealedHead + "Content-Length: 5, 2\r\n\r\nhello",
	"negative length":                  sealedHead + "Content-Length: -1\r\n\r\nhello",
	"length with a sign":               sealedHead + "Content-Length: +5\r\n\r\nhello",
	"length without a number":          sealedHead + "Content-Length: \r\n\r\nhello",
	"length beyond the body":           sealedHead + "Content-Length: 6\r\n\r\nhello",
	"unknown encoding":                 sealedHead + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"two encodings":                    sealedHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"chunk without a size":             sealedHead + "Transfer-Encoding: chunked\r\n\r\nhello\r\n0\r\n\r\n",
	"chunk beyond its size":            sealedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n",
	"no last chunk":                    sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
	"no end behind the last chunk":     sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
	"trailer cut":                      sealedHead + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n",
	"line without a colon":             sealedHead + "hello\r\n\r\nhello",
	"head of another answer in a head": sealedHead + sealedHead + "Content-Length: 5\r\n\r\nhello",
	"head cut behind the status line":  "HTTP/1.1 200 X\r\n",
	"head cut behind a line":           sealedHead + "Content-Length: 0\r\n",
	"interim response and head cut":    "HTTP/1.1 103 X\r\nX-Call: id-1\r\nX-Seal: s\r\n\r\n" + sealedHead + "Content-Length: 0\r\n",
	"interim response with the marks":  "HTTP/1.1 103 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"interim response as a refusal":    "HTTP/1.1 103 X\r\nX-Call: id-1\r\nX-Not-Run: 1\r\n\r\n",
	"upgrade":                          "HTTP/1.1 101 X\r\nX-Call: id-1\r\nX-Seal: s\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nhello",
	"body that is encoded":             sealedHead + "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\nhello",
	"refusal with two lengths":         "HTTP/1.1 503 X\r\nX-Call: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
}

// An answer that is not sound HTTP, or of which a part is missing, must not reach the
// caller as a whole one, nor as the promise that nothing ran.
func TestUnsoundAnswerIsNotComplete(t *testing.T) {
	for name, answer := range unsoundAnswers {
		for path, sends := range map[string]int{"/once/1": 1, "/get/1": 2} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.NewRelaxed(t)
					received := 0
					f := newPipedFixture(t, func(c *servertest.Conn) bool {
						received++
						_, _ = io.WriteString(c, answer)
						return false
					}, "a", "b")
					status, body := f.serveWhole(path, "k")
					is.Equal(status, http.StatusBadGateway)
					is.True(body != "hello")
					is.Equal(received, sends)
				})
			})
		}
	}
}

// boundedAnswers are whole answers, with bytes behind them that are none.
var boundedAnswers = map[string]string{
	"length":       sealedHead + "Content-Length: 5\r\n\r\nhello",
	"equal length": sealedHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
	"chunks":       sealedHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"trailer":      sealedHead + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n",
	"interim":      "HTTP/1.1 103 X\r\nX-Call: id-0\r\n\r\n" + sealedHead + "Content-Length: 5\r\n\r\nhello",
	"no content":   "HTTP/1.1 204 X\r\nX-Call: id-1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\n",
	"length 0":     sealedHead + "Content-Length: 0\r\n\r\n",
}

// Bytes behind an answer belong to no request: the caller gets the answer without them,
// and the next request is not sent on that connection.
func TestBytesBehindAnswerAreDropped(t *testing.T) {
	for name, answer := range boundedAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			received := 0
			server := servertest.New(t, func(c *servertest.Conn) bool {
				received++
				_, _ = io.WriteString(c, answer+sealedHead+"Content-Length: 4\r\n\r\nboom")
				return true
			})
			f := newFixture(t, server)
			for n := 1; n <= 3; n++ {
				got := f.call("/once/1", "k")
				is.NoErr(got.err)
				is.True(got.status == http.StatusOK || got.status == http.StatusNoContent)
				is.True(got.body == "hello" || got.body == "")
				is.Equal(server.AcceptedConnections(), n)
			}
		})
	}
}
