package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// cutRelay forwards one connection and ends it once the given bytes have passed in a
// direction.
type cutRelay struct {
	listener net.Listener
	passed   [2]atomic.Int64 // from the caller, to the caller
}

// unlimited is a limit that no connection of the tests reaches.
const unlimited = 1 << 20

func newCutRelay(t *testing.T, target string, fromCaller, toCaller int64, reset bool) *cutRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &cutRelay{listener: listener}
	go func() {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		_ = listener.Close() // no second attempt
		out, err := net.Dial("tcp", target)
		if err != nil {
			_ = in.Close()
			return
		}
		end := func() {
			for _, c := range []net.Conn{in, out} {
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
				_ = c.Close()
			}
		}
		go r.pass(in, out, 0, fromCaller, end)
		go r.pass(out, in, 1, toCaller, end)
	}()
	return r
}

func (r *cutRelay) pass(from, to net.Conn, direction int, limit int64, end func()) {
	defer end()
	buf := make([]byte, 4<<10)
	for left := limit; left > 0; {
		n, err := from.Read(buf[:min(int64(len(buf)), left)])
		left -= int64(n)
		r.passed[direction].Add(int64(n))
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
	time.Sleep(time.Millisecond) // the bytes arrive before a reset
}

// A call between hosts whose request or response ends early, after any byte of the
// handshake or of the message, must fail: it must not run with a part of its
// parameters, nor succeed with a part of its result.
func TestCutCallFails(t *testing.T) {
	is := is.New(t)
	var ran atomic.Int64
	b := startNode(t, Options{Self: "b", Secret: "s"})
	b.Handle("count", func(_ context.Context, _ HostID, params json.RawMessage) (any, error) {
		ran.Add(1)
		return map[string]any{"params": params}, nil
	})
	call := func(t *testing.T, fromCaller, toCaller int64, reset bool) (*cutRelay, error) {
		relay := newCutRelay(t, b.Address(), fromCaller, toCaller, reset)
		a := startNode(t, Options{Self: "a", Secret: "s", RedialBackoff: time.Minute})
		defer a.Close()
		a.SetAddress("b", relay.listener.Addr().String())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var out echoed
		err := a.Call(ctx, "b", "count", "x", &out)
		if err != nil && out.Params != "" {
			t.Error("a failed call has a result")
		}
		return relay, err
	}
	whole, err := call(t, unlimited, unlimited, false)
	is.NoErr(err)
	is.Equal(ran.Load(), int64(1))
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			before := ran.Load()
			for n := range whole.passed[0].Load() {
				_, err := call(t, n, unlimited, reset)
				if !errors.IsAny(err, ErrPeerUnreachable, ErrNoResponse) {
					t.Errorf("after %d bytes of the request: %v", n, err)
				}
			}
			if ran.Load() != before {
				t.Errorf("%d calls whose request was cut have run", ran.Load()-before)
			}
			for n := range whole.passed[1].Load() {
				before := ran.Load()
				_, err := call(t, unlimited, n, reset)
				if !errors.IsAny(err, ErrPeerUnreachable, ErrNoResponse) || ran.Load() > before && !errors.Is(err, ErrNoResponse) {
					t.Errorf("after %d bytes of the response: %v", n, err)
				}
			}
		})
	}
}
