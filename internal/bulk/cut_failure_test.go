package bulk_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// longFailures are answers with status 422 and a long body, and whether they are whole.
var longFailures = map[string]struct {
	framing, body string
	whole         bool
}{
	"length, cut":    {"Content-Length: 40000", strings.Repeat("0", 30000), false},
	"chunks, cut":    {"Transfer-Encoding: chunked", "9c40\r\n" + strings.Repeat("0", 40000) + "\r\n", false},
	"length, whole":  {"Content-Length: 40000", strings.Repeat("0", 40000), true},
	"chunks, whole":  {"Transfer-Encoding: chunked", "9c40\r\n" + strings.Repeat("0", 40000) + "\r\n0\r\n\r\n", true},
	"without an end": {"Transfer-Encoding: chunked", strings.Repeat("ffff\r\n"+strings.Repeat("0", 0xffff)+"\r\n", 100), false},
}

// A failure whose long body is cut, or has no end, must not count as the server's answer
// that an item can never be done: the item was given up.
func TestCutFailureGivesNoItemUp(t *testing.T) {
	for name, failure := range longFailures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var failed atomic.Bool
			sound := generate(time.Millisecond)
			script := func(c *servertest.Conn) bool {
				if failed.Swap(true) {
					return sound(c)
				}
				c.WriteHead(http.StatusUnprocessableEntity, failure.framing)
				_, _ = io.WriteString(c, failure.body) // fails once the host has closed the connection
				return false
			}
			f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
			a := f.start("a")
			is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
			want := itemlist.Completed
			if failure.whole {
				want = itemlist.DeadLetter
			}
			for _, r := range f.complete(a, "job", 1) { // compares the text
				is.Equal(r.State, want)
			}
		})
	}
}
