package upstream_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// TestMalformedStatusIsNoResponse guards against returning a response whose status line is
// malformed, and against waiting for another one behind it: status 000 was taken for that
// of an interim response.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	for name, response := range servertest.MalformedStatuses("Content-Length: 5\r\n", "hello") {
		t.Run(name, func(t *testing.T) { testMalformedHead(t, response) })
	}
}

// TestMalformedFieldIsNoResponse guards against returning a response in whose head the name
// of a field holds a blank or a control byte: the line was passed on, or would have been
// the length or coding of the body.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	for name, response := range servertest.MalformedFields("Content-Length: 5\r\n", "hello") {
		t.Run(name, func(t *testing.T) { testMalformedHead(t, response) })
	}
}

// testMalformedHead sends a request to a server that responds with a malformed head and
// keeps the connection open.
func testMalformedHead(t *testing.T, response string) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := servertest.NewPiped(t, servertest.RespondAndHold(response))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		_, err := upstream.New(upstream.Options{Connect: s.Connect}).Do(ctx, "a", request())
		var failure *upstream.Error
		is.True(errors.As(err, &failure))
		is.True(errors.Is(err, upstream.ErrMalformedHead))
		is.Equal(failure.Stage, upstream.Sent)
		is.Equal(time.Since(began), time.Duration(0)) // no wait for more bytes
	})
}
