package bulk_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// An answer whose head is malformed must not become the output of an item.
func TestMalformedStatusIsNoOutput(t *testing.T) {
	t.Parallel()
	testMalformedHeads(t, servertest.MalformedStatuses)
}

// The same for a malformed line of the header.
func TestMalformedFieldIsNoOutput(t *testing.T) {
	t.Parallel()
	testMalformedHeads(t, servertest.MalformedFields)
}

// testMalformedHeads answers items with malformed heads first, and then soundly.
func testMalformedHeads(t *testing.T, malformed func(lines, body string) map[string]string) {
	const body = "id: 1\ndata: boom\n\n"
	for name, answer := range malformed("X-Call: job-0\r\nX-Seal: s\r\nContent-Length: 18\r\n", body) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var answered atomic.Bool
			sound := generate(time.Millisecond)
			script := func(c *servertest.Conn) bool {
				if answered.Swap(true) {
					return sound(c)
				}
				_, _ = io.WriteString(c, answer) // fails once the host has closed the connection
				return false
			}
			f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
			a := f.start("a")
			is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
			for _, r := range f.complete(a, "job", 1) { // compares the text
				is.Equal(r.State, itemlist.Completed)
			}
		})
	}
}
