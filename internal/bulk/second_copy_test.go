package bulk_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// A second copy of an earlier failure or refusal that names the item must not be
// taken for the answer to its next run: the item would be given up before it has
// failed in all attempts, or run again while it runs.
func TestSecondCopyIsNoAnswerToNextRunOfItem(t *testing.T) {
	t.Parallel()
	for name, first := range map[string]func(*servertest.Conn){
		"failure":     func(c *servertest.Conn) { c.Respond(500, "no") },
		"refusal":     func(c *servertest.Conn) { c.RespondNotRun(503) },
		"misdirected": func(c *servertest.Conn) { c.RespondNotRun(421) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var mu sync.Mutex
			received := map[string]int{}
			answered := map[net.Conn]string{} // by connection: the item that was not run
			s := servertest.New(t, func(c *servertest.Conn) bool {
				mu.Lock()
				earlier := received[c.ID]
				received[c.ID]++
				copied := answered[c.Conn] == c.ID
				if earlier == 0 {
					answered[c.Conn] = c.ID
				}
				mu.Unlock()
				if earlier == 0 {
					first(c)
					return true
				}
				if copied {
					first(c) // once more, late
				}
				return generate(5 * time.Millisecond)(c)
			})
			f := newFleet(t, s)
			a := f.start("a")
			is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
			for _, r := range f.complete(a, "job", 1) {
				is.Equal(r.State, itemlist.Completed)
			}
			mu.Lock()
			defer mu.Unlock()
			is.Equal(received, map[string]int{"job-0": 2})
		})
	}
}
