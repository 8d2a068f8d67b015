package store_test

import (
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store"
)

// An answer of the platform that goes on without end must end at the client's bound: all of
// it was kept until the call's time was over.
func TestEndlessAnswerOfPlatformEnds(t *testing.T) {
	const maxTaken = 40 << 20 // what one answer may have, and the buffers of the network
	for name, call := range platformCalls {
		for place, start := range map[string]string{
			"body": "HTTP/1.1 200 X\r\nETag: 7\r\n\r\n", "body of a failure": "HTTP/1.1 500 X\r\n\r\n", "head": "HTTP/1.1 200 X\r\nX-Pad: ",
		} {
			t.Run(name+" "+place, func(t *testing.T) {
				is := is.New(t)
				var taken atomic.Int64
				s := servertest.New(t, servertest.RespondEndlessly(start, "0", &taken))
				is.True(errors.Is(call.call(t.Context(), store.NewHTTPStore("http://"+s.Address(), "host-1")), call.lost))
				is.True(taken.Load() < maxTaken)
			})
		}
	}
}
