package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/servertest"
)

// pollOutcomes passes on what polls find.
type pollOutcomes chan error

func (o pollOutcomes) LoadReported(string, Load, bool, time.Time, time.Time) { o <- nil }
func (o pollOutcomes) PollFailed(_ string, err error)                        { o <- err }

// Guards against taking a response with a malformed status for the server's, for the loss
// of its connection, or for a sign that the server is up.
func TestMalformedStatusIsNoResponse(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedStatuses)
}

// The same for a malformed line of the header.
func TestMalformedFieldIsNoResponse(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedFields)
}

func testMalformedHeads(t *testing.T, malformed func(lines, body string) map[string]string) {
	for name, response := range malformed("Content-Type: application/json\r\nContent-Length: 2\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := servertest.New(t, servertest.RespondAndHold(response))
			c := New(Options{FirstByteTimeout: time.Second, PollInterval: 50 * time.Millisecond, PollTimeout: 500 * time.Millisecond})
			c.SetServers([]config.Server{{Name: "s", Address: s.Address()}})
			outcomes := make(pollOutcomes, 100)
			go c.Run(t.Context(), outcomes)
			is.True(<-outcomes != nil) // the poll has failed
			_, err := c.Do(t.Context(), "s", &Request{Method: "POST", Path: "/v1/x", Body: []byte("{}")})
			var failure *Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Stage, NoResponse)
			is.Equal(failure.Cause, Malformed)
		})
	}
}
