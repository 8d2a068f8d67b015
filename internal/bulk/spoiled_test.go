package bulk_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// spoiledEvents are bytes that a faulty server sends in place of the next event, N,
// before its connection ends. None of them is an event with the next id and data.
var spoiledEvents = map[string]string{
	"data without id":            "data: {\"error\":\"internal\"}\n\n",
	"error without id":           "event: error\ndata: boom\n\n",
	"id without data":            "id: N\n\n",
	"cut field":                  "id: N\nda\n\n",
	"cut field without colon":    "id: N\ndata\n\n",
	"text":                       "boom\n\n",
	"text in an event":           "id: N\ndata: boom\nboom\n\n",
	"head of an answer":          "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\nboom",
	"id that is no number":       "id: Nx\ndata: boom\n\n",
	"two ids":                    "id: 9\nid: N\ndata: boom\n\n",
	"later event":                "id: 9\ndata: boom\n\n",
	"negative id":                "id: -N\ndata: boom\n\n",
	"field of a name of no kind": "id: N\n{\"error\": 1}\ndata: boom\n\n",
	"comment":                    ": boom\n\n",
	"line feeds":                 "\n\n\n",
}

// Bytes of a faulty server that are no event of an item's answer must not become a part
// of its output: items were listed as completed with an error text among their events.
func TestSpoiledEventIsNoPartOfAnItem(t *testing.T) {
	t.Parallel()
	for name, bytes := range spoiledEvents {
		for _, sound := range []int64{0, 3} {
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
		c.WriteHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		c.WriteEvents(1, sound)
		text := servertest.Numbered(spoiled, sound+1)
		fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
		_, _ = io.WriteString(c, "7\r\nid: ") // the server breaks off within a chunk
		return false
	}
	f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
	for _, r := range f.complete(a, "job", 1) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
}
