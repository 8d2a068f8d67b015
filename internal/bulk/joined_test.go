package bulk_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// oddAnswers are answers to an item, whose id stands for ID, that hold nothing of its
// output.
var oddAnswers = map[string]string{
	"error, with length":         "HTTP/1.1 500 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"error, chunked":             "HTTP/1.1 500 X\r\nX-Call: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nboom\r\n0\r\n\r\n",
	"error, until close":         "HTTP/1.1 500 X\r\nX-Call: ID\r\nX-Seal: s\r\n\r\nboom",
	"error without seal":         "HTTP/1.1 500 X\r\nX-Call: ID\r\nContent-Length: 4\r\n\r\nboom",
	"error as the next event":    "HTTP/1.1 500 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata: boom\n\n",
	"client error":               "HTTP/1.1 404 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"no item, without seal":      "HTTP/1.1 422 X\r\nX-Call: ID\r\nContent-Length: 4\r\n\r\nboom",
	"no item, cut":               "HTTP/1.1 422 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nbo",
	"misdirected":                "HTTP/1.1 421 X\r\nX-Call: ID\r\nContent-Length: 4\r\n\r\nboom",
	"refusal":                    "HTTP/1.1 503 X\r\nX-Call: ID\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nboom",
	"success without seal":       "HTTP/1.1 200 X\r\nX-Call: ID\r\nContent-Length: 18\r\n\r\nid: 3\ndata: boom\n\n",
	"success of another request": "HTTP/1.1 200 X\r\nX-Call: other\r\nX-Seal: s\r\nContent-Length: 18\r\n\r\nid: 3\ndata: boom\n\n",
	"text":                       "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 4\r\n\r\nboom",
	"text, ended like an event":  "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 6\r\n\r\nboom\n\n",
	"text, until close":          "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\n\r\nboom\n\n",
	"comment":                    "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 8\r\n\r\n: boom\n\n",
	"no event, chunked":          "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"no event, length 0":         "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n",
	"no event, until close":      "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\n\r\n",
	"no content":                 "HTTP/1.1 204 X\r\nX-Call: ID\r\nX-Seal: s\r\n\r\n",
	"nothing":                    "",
	"no head":                    "boom\r\n\r\nboom",
	"head cut":                   "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: boom\r\n",
	"interim response and error": "HTTP/1.1 103 X\r\nLink: boom\r\n\r\nHTTP/1.1 500 X\r\nX-Call: ID\r\nContent-Length: 4\r\n\r\nboom",
}

// oddRests are answers that only a server that was to go on with an output must not
// give.
var oddRests = map[string]string{
	"event without id":   "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 25\r\n\r\nevent: error\ndata: boom\n\n",
	"event out of order": "HTTP/1.1 200 X\r\nX-Call: ID\r\nX-Seal: s\r\nContent-Length: 18\r\n\r\nid: 4\ndata: boom\n\n",
}

// The text of an answer that holds nothing of an item's output must not become part
// of its result, and the item must not be listed as completed with a part of its
// output: neither if the answer is the first one nor if it follows one that broke off.
func TestNoOtherAnswerInItem(t *testing.T) {
	t.Parallel()
	for name, answer := range oddAnswers {
		t.Run("first "+name, func(t *testing.T) { testOddAnswer(t, answer, 0, 1) })
		t.Run("next "+name, func(t *testing.T) { testOddAnswer(t, answer, 1, 1) })
	}
	for name, answer := range oddRests {
		t.Run("next "+name, func(t *testing.T) { testOddAnswer(t, answer, 1, 1) })
	}
}

// always is more answers than an item gets in a test.
const always = 1 << 20

// An item whose rest no server sends must be run from the start, or it would never
// end.
func TestItemWithoutRestStartsOver(t *testing.T) {
	testOddAnswer(t, oddAnswers["no event, length 0"], 1, always)
}

// Answers that may hold something else than an empty output, or may have been cut, must
// not complete an item with an empty output, however many come.
func TestOddAnswersAreNoEmptyOutput(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"comment", "text, ended like an event", "text, until close", "no event, until close"} {
		t.Run(name, func(t *testing.T) { testOddAnswer(t, oddAnswers[name], 0, 4) })
	}
}

// An item whose output is empty must complete: its servers give complete answers
// without an event, each time. It would be run until its retention is over.
func TestItemWithEmptyOutputCompletes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var asked atomic.Int64
	script := func(c *servertest.Conn) bool {
		asked.Add(1)
		c.StartStream()
		c.EndStream()
		return true
	}
	f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
	var page *bulk.Page
	f.eventually("listed", func() bool {
		var err error
		page, err = a.bulk.Results(context.Background(), "w", "job", 0, 0)
		return err == nil && len(page.Results) == 1
	})
	is.Equal(page.Results[0].State, itemlist.Completed)
	is.Equal(page.Results[0].Output, "")
	is.Equal(asked.Load(), int64(3))
}

// testOddAnswer runs an item whose servers break off at first, then give an odd answer
// to each request for the rest, for the given numbers of requests, and are sound.
func testOddAnswer(t *testing.T, answer string, broken, odd int) {
	t.Parallel()
	var mu sync.Mutex
	asked := 0
	sound := generate(time.Millisecond)
	script := func(c *servertest.Conn) bool {
		mu.Lock()
		asked++
		n := asked
		mu.Unlock()
		switch {
		case n <= broken:
			c.StartStream()
			c.WriteEvents(1, 2)
			return false
		case n <= broken+odd && (broken == 0 || c.After > 0):
			_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", c.ID))
			return false
		}
		return sound(c)
	}
	is := is.New(t)
	f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
	a := f.start("a")
	f.eventually("accepted", func() bool { return a.bulk.Submit(context.Background(), submission("job", 1)) == nil })
	for _, r := range f.complete(a, "job", 1) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
}

// An item of which a server had sent events was listed with an empty output after
// three answers without an event in all, of which only one had come after the events.
func TestItemWithEventsHasNoEmptyOutput(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sound := generate(time.Millisecond)
	var asked atomic.Int64
	script := func(c *servertest.Conn) bool {
		n := asked.Add(1)
		switch {
		case n == 3:
			c.StartStream()
			c.WriteEvents(1, 2)
			return false
		case n <= 6: // two for the rest, so that the item is run from the start, and one for all
			c.StartStream()
			c.EndStream()
			return true
		}
		return sound(c)
	}
	f := newFleet(t, servertest.New(t, script), servertest.New(t, script))
	a := f.start("a")
	is.NoErr(a.bulk.Submit(context.Background(), submission("job", 1)))
	for _, r := range f.complete(a, "job", 1) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
}
