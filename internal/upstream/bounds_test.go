package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// Bounds of the bytes that are taken of a response, as docs/platform.md has them.
const (
	headBound    = 64 << 10
	lineBound    = 8 << 10 // of a chunk, and a trailer
	discardBound = 16 << 10
	bodyBound    = 1 << 20 // of the transport in the test
	readAhead    = 8 << 10
)

// endlessParts are responses of which a part has no end, by that part.
var endlessParts = map[string]struct {
	start, piece string
	bound        int64
}{
	"line of a head":           {"HTTP/1.1 200 X\r\nX-Pad: ", "0", headBound},
	"lines of a head":          {"HTTP/1.1 200 X\r\n", "X-Pad: 0\r\n", headBound},
	"long names in a head":     {"HTTP/1.1 200 X\r\n", strings.Repeat("X", 300) + ": 0\r\n", headBound},
	"reason":                   {"HTTP/1.1 200 ", "0", headBound},
	"interim responses":        {"", "HTTP/1.1 103 X\r\nX-Pad: 0\r\n\r\n", headBound},
	"head behind interim ones": {strings.Repeat("HTTP/1.1 103 X\r\nX-Pad: 0\r\n\r\n", 1000) + "HTTP/1.1 200 X\r\n", "X-Pad: 0\r\n", headBound},
	"line of a chunk":          {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n1;", "0", lineBound},
	"size of a chunk":          {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "0", lineBound},
	"line of a trailer":        {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Pad: ", "0", lineBound},
	"lines of a trailer":       {"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: 0\r\n", lineBound},
}

// pieceOf returns a piece that is small compared with the bounds.
func pieceOf(piece string) string { return strings.Repeat(piece, 1+(1<<10)/len(piece)) }

// serveEndlessly starts a server whose connections have no buffers, so that what it has
// written was taken.
func serveEndlessly(t *testing.T, start, piece string, taken *atomic.Int64) *servertest.Server {
	return servertest.NewPiped(t, func(c *servertest.Conn) bool {
		n, err := io.WriteString(c, start)
		for taken.Add(int64(n)); err == nil && taken.Load() < 64<<20; taken.Add(int64(n)) {
			n, err = io.WriteString(c, pieceOf(piece))
		}
		return false
	})
}

// TestEndlessPartIsBounded guards against taking more of a response that has a part without
// end than that part may have, by a Client and by a Transport.
func TestEndlessPartIsBounded(t *testing.T) {
	for name, part := range endlessParts {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			s := serveEndlessly(t, part.start, part.piece, &taken)
			resp, err := upstream.New(upstream.Options{Connect: s.Connect}).Do(t.Context(), "a", request())
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			is.True(err != nil)
			is.Equal(errors.Is(err, upstream.ErrHeadTooLarge), part.bound == headBound)
			is.True(taken.Load() <= part.bound+readAhead)

			taken.Store(0)
			err = readWith(t, newBoundedTransport(s))
			is.True(err != nil)
			is.Equal(errors.Is(err, upstream.ErrHeadTooLarge), part.bound == headBound)
			is.True(taken.Load() <= part.bound+readAhead)
		})
	}
}

// TestEndlessBodyOfTransportIsBounded guards against reading a body without end.
func TestEndlessBodyOfTransportIsBounded(t *testing.T) {
	for name, start := range map[string]string{"until close": "", "length": "Content-Length: 1000000000000\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			s := serveEndlessly(t, "HTTP/1.1 200 X\r\n"+start+"\r\n", "0", &taken)
			is.True(readWith(t, newBoundedTransport(s)) != nil)
			is.True(taken.Load() <= bodyBound+bodyBound/8) // the reader's buffers grow with the body
		})
	}
}

func newBoundedTransport(s *servertest.Server) *upstream.Transport {
	return upstream.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return s.Connect(ctx, address) },
	}, upstream.BodyBounds{Each: bodyBound})
}

func readWith(t *testing.T, transport *upstream.Transport) error {
	client := http.Client{Transport: transport, Timeout: 10 * time.Second}
	resp, err := client.Get("http://a/")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// TestDiscardedBodyIsBounded guards against reading a response without end that is not
// used.
func TestDiscardedBodyIsBounded(t *testing.T) {
	for name, body := range map[string]struct {
		start, piece string
		bound        int64
	}{
		"until close":      {"\r\n", "0", discardBound},
		"length":           {"Content-Length: 1000000000000\r\n\r\n", "0", discardBound},
		"small chunks":     {"Transfer-Encoding: chunked\r\n\r\n", "1\r\n0\r\n", 6 * discardBound}, // the bound is on content
		"line of a chunk":  {"Transfer-Encoding: chunked\r\n\r\n1;", "0", lineBound},
		"lines of trailer": {"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: 0\r\n", lineBound},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			s := serveEndlessly(t, "HTTP/1.1 503 X\r\n"+body.start, body.piece, &taken)
			resp, err := upstream.New(upstream.Options{Connect: s.Connect}).Do(t.Context(), "a", request())
			is.NoErr(err)
			resp.Body.Discard()
			is.True(taken.Load() <= body.bound+2*readAhead) // of the connection and of the reader
		})
	}
}
