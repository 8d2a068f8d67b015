package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against taking a server's answer that ends after any byte for a whole one, or
// for the statement that a call was not executed.
func TestCutAnswerIsNoStatement(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		for framing, rest := range map[string]string{
			"length":  "Content-Length: 2\r\n\r\nok",
			"chunked": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprint(status, " ", framing, " reset ", reset), func(t *testing.T) {
					testCutAnswer(t, fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, rest), reset)
				})
			}
		}
	}
}

func testCutAnswer(t *testing.T, answer string, reset bool) {
	is := is.NewRelaxed(t)
	var cut atomic.Int64
	// A server of its own for each answer, since one that fails is taken out of use.
	list := newFakeServers(t, 2*len(answer), 8, func(_ *fakeServer, w http.ResponseWriter, _ *http.Request, _ []byte) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer[:cut.Load()])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	d := newNetwork(t, snapshot(list, map[string]float64{"a": 1}), "h1").start(t, "h1", Options{})
	for n := range len(answer) {
		cut.Store(int64(n))
		id := fmt.Sprint("call-", n)
		_, err := call(context.Background(), d, &Request{ID: id, Workspace: "a", Body: []byte(id), Deadline: time.Now().Add(5 * time.Second)})
		var refused *RefusedError
		switch {
		case err == nil:
			t.Errorf("after %d bytes: a success", n)
		case errors.As(err, &refused):
			is.Equal(refused.Executed, ExecutedUnknown)
			is.Equal(refused.Status, http.StatusBadGateway)
		default: // the body broke off
			is.True(errors.Is(err, io.ErrUnexpectedEOF))
		}
	}
}
