package orders

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// An order must not count as taken whose response has a malformed status.
func TestMalformedStatusTakesNoOrder(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedStatuses)
}

// The same for a malformed line of the header.
func TestMalformedFieldTakesNoOrder(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedFields)
}

func testMalformedHeads(t *testing.T, malformed func(lines, body string) map[string]string) {
	for name, response := range malformed("Content-Length: 2\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := servertest.New(t, servertest.RespondAndHold(response))
			err := newSender(time.Second, nil).send(t.Context(), s.Address(), Order{Server: "s"}, 1, func() bool { return true })
			is.True(errors.Is(err, upstream.ErrMalformedHead))
		})
	}
}
