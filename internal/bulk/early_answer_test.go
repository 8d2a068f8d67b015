package bulk_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/rawconn"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// connectWithSmallBuffer connects to a server. A long request does not fit into the
// connection's buffer, so that its send is in progress while the server answers.
func connectWithSmallBuffer(ctx context.Context, address string) (upstream.Conn, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		return nil, err
	}
	return rawconn.Wrap(c)
}

// A server that answers an item before it has read it, sends some events of an answer
// without a length and resets the connection must not pass for one that has completed the
// item: it was listed with a part of its output.
func TestEarlyAnswerOfResetConnectionCompletesNoItem(t *testing.T) {
	is := is.New(t)
	var cut atomic.Int64
	faulty := servertest.NewRaw(t, func(c *net.TCPConn) {
		_ = c.SetReadBuffer(4 << 10)
		request := make([]byte, 4<<10)
		n, _ := io.ReadAtLeast(c, request, 1<<10) // a shorter request fails the test
		id := servertest.HeaderID + ": "
		_, line, _ := bytes.Cut(request[:n], []byte(id))
		line, _, _ = bytes.Cut(line, []byte("\r\n"))
		fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s%s\r\n%s: s\r\n\r\nid: 1\ndata: token1\n\n", id, line, servertest.HeaderSeal)
		time.Sleep(15 * time.Millisecond) // the bytes arrive before the reset
		_ = c.SetLinger(0)
		cut.Add(1)
	})
	f := newFleet(t, faulty, servertest.New(t, generate(time.Millisecond)))
	f.upstream.Connect = connectWithSmallBuffer
	a := f.start("a")
	sub := submission("job", 8)
	for i := range sub.Items {
		sub.Items[i].Body = bytes.Repeat([]byte("x"), 512<<10)
	}
	is.NoErr(a.bulk.Submit(context.Background(), sub))
	for _, r := range f.complete(a, "job", len(sub.Items)) { // compares the text
		is.Equal(r.State, itemlist.Completed)
	}
	is.True(cut.Load() > 0)
}
