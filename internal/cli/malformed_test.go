package cli

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// A change must not count as made whose response has a malformed status.
func TestMalformedStatusIsAnError(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedStatuses)
}

// The same for a malformed line of the header.
func TestMalformedFieldIsAnError(t *testing.T) {
	testMalformedHeads(t, servertest.MalformedFields)
}

func testMalformedHeads(t *testing.T, malformed func(lines, body string) map[string]string) {
	for name, response := range malformed("Content-Length: 2\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := servertest.New(t, servertest.RespondAndHold(response))
			c, err := newClient("http://"+s.Address(), "key", 5*time.Second)
			is.NoErr(err)
			_, err = c.call(t.Context(), request{method: http.MethodPut, path: "/x", body: []byte("a,b")})
			is.True(errors.Is(err, upstream.ErrMalformedHead))
		})
	}
}
