package bulk_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// endlessBytes is more than a host may read of one answer, and maxTaken what it may read
// with the buffers of the network.
const (
	endlessBytes = 64 << 20
	maxTaken     = 12 << 20
)

// An answer to an item that goes on without end must end at the host's bound: its events,
// with or without the next ids, took all memory of the host and of its successors. The
// item completes at a sound server.
func TestEndlessAnswerToItemEnds(t *testing.T) {
	t.Parallel()
	text := strings.Repeat("0", 1000)
	for name, event := range map[string]func(n int64) string{
		"next ids":    func(n int64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, text) },
		"without ids": func(int64) string { return "data: " + text + "\n\n" },
		"one event":   func(int64) string { return "data: " + text + "\n" },
		"one line":    func(int64) string { return text },
		"comments":    func(int64) string { return ": " + text + "\n\n" },
		"line feeds":  func(int64) string { return strings.Repeat("\n", 1000) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var began atomic.Bool
			var taken atomic.Int64
			sound := generate(time.Millisecond)
			script := func(c *servertest.Conn) bool {
				if began.Swap(true) {
					return sound(c)
				}
				c.StartStream()
				c.WriteEvents(1, 3)
				for n := int64(4); taken.Load() < endlessBytes; n++ {
					text := event(n)
					written, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
					taken.Add(int64(written))
					if err != nil {
						break
					}
				}
				return false
			}
			f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
			a := f.start("a")
			is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
			for _, r := range f.complete(a, "job", 1) { // compares the text
				is.Equal(r.State, itemlist.Completed)
			}
			is.True(taken.Load() < maxTaken)
		})
	}
}
