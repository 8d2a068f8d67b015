package bulk_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/servertest"
)

// cutItemAnswer returns the head and the framed body of an answer to an item.
func cutItemAnswer(c *servertest.Conn, status int, framing string) (head, body string) {
	payload := "no"
	if status == 200 {
		payload = ""
		for id := 1; id <= lastEvent; id++ {
			payload += fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id)
		}
	}
	head = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\n", status, servertest.HeaderID, c.ID, servertest.HeaderSeal)
	switch framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(payload))
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
		payload = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(payload), payload)
	}
	return head + "\r\n", payload
}

// An item whose server ends in the middle of its answer must not be listed without
// its whole output, nor as a dead letter because of a failure that was cut. The
// answer to each item is cut after another byte, and its servers are sound then.
func TestCutAnswerEndsNoItem(t *testing.T) {
	t.Parallel()
	for _, status := range []int{200, 422, 500} {
		for _, framing := range []string{"length", "chunked", "until close"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(status, " ", framing, " reset ", reset), func(t *testing.T) {
					t.Parallel()
					testCutItems(t, status, framing, reset)
				})
			}
		}
	}
}

func testCutItems(t *testing.T, status int, framing string, reset bool) {
	is := is.New(t)
	const items = 200 // more than the bytes of any answer
	var asked sync.Map
	sound := generate(0)
	script := func(c *servertest.Conn) bool {
		if _, again := asked.LoadOrStore(c.ID, true); again {
			return sound(c)
		}
		cut, err := strconv.Atoi(strings.TrimPrefix(c.ID, "job-"))
		if err != nil {
			t.Error(err)
		}
		head, body := cutItemAnswer(c, status, framing)
		if framing == "until close" && !reset {
			body = "" // any more may be all of it
		}
		bytes := head + body
		if cut >= len(bytes) && status != 200 {
			return sound(c) // it would be an answer
		}
		_, _ = io.WriteString(c, bytes[:min(cut, len(bytes))])
		if reset {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
	var servers []*servertest.Server
	for range items / 2 { // few failures each, so that they are not taken out of use
		servers = append(servers, servertest.New(t, script))
	}
	f := newFleet(t, servers...)
	a := f.start("a")
	f.eventually("accepted", func() bool { return a.bulk.Submit(context.Background(), submission("job", items)) == nil })
	for _, r := range f.complete(a, "job", items) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
}
