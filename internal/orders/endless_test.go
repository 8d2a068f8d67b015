package orders

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
)

// A response to an order that goes on without end must end at the sender's bound: all of it
// was kept until the order's time was over.
func TestEndlessResponseToOrderEnds(t *testing.T) {
	const maxTaken = 16 << 20 // with the buffers of the network
	for place, start := range map[string]string{
		"body": "HTTP/1.1 200 X\r\n\r\n", "body of a failure": "HTTP/1.1 500 X\r\n\r\n", "head": "HTTP/1.1 200 X\r\nX-Pad: ",
	} {
		t.Run(place, func(t *testing.T) {
			is := is.New(t)
			var taken atomic.Int64
			s := servertest.New(t, servertest.RespondEndlessly(start, "0", &taken))
			err := newSender(2*time.Second, nil).send(t.Context(), s.Address(), Order{Server: "s"}, 1, func() bool { return true })
			is.True(err != nil)
			is.True(taken.Load() < maxTaken)
		})
	}
}
