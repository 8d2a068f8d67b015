package bulk_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// Bytes of a faulty server that are no event of an item's answer must not become a part
// of its output: items were listed as completed with an error text among their events.
func TestSpoiledEventIsNoPartOfAnItem(t *testing.T) {
	t.Parallel()
	for _, sound := range []int64{0, 3} {
		spoiled := servertest.SpoiledEvents(sound + 1)
		spoiled["comment"] = ": boom\n\n"
		for name, bytes := range spoiled {
			t.Run(fmt.Sprintf("%s after %d", name, sound), func(t *testing.T) { testSpoiledItem(t, bytes, sound) })
		}
	}
}

// testSpoiledItem runs an item whose first answer has sound events, then other bytes, and
// then breaks off.
func testSpoiledItem(t *testing.T, spoiled string, sound int64) {
	t.Parallel()
	is := is.New(t)
	var spoiledOnce atomic.Bool
	whole := generate(time.Millisecond)
	script := func(c *servertest.Conn) bool {
		if spoiledOnce.Swap(true) {
			return whole(c)
		}
		c.WriteSpoiled(sound, spoiled)
		return false
	}
	f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
	for _, r := range f.complete(a, "job", 1) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
}
