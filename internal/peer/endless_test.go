package peer

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A message without end at the address of a peer, of a party that has not proved to be that
// peer, must not be kept: addresses of hosts that are gone are used again.
func TestEndlessGreetingIsBounded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	const endless, maxTaken = 48 << 20, 12 << 20 // with the buffers of the network
	var taken atomic.Int64
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Write(binary.AppendUvarint(nil, endless)) // the next write fails as well
				_, _ = io.WriteString(c, `{"jsonrpc":"2.0","id":0,"result":"`)
				for piece := strings.Repeat("0", 64<<10); taken.Load() < endless; {
					n, err := io.WriteString(c, piece)
					taken.Add(int64(n))
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	a := startNode(t, Options{Self: "a", Secret: "s", RedialBackoff: time.Minute, DialTimeout: 5 * time.Second})
	a.SetAddress("b", listener.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.True(a.Call(ctx, "b", "count", 1, nil) != nil)
	is.True(taken.Load() < maxTaken)
}
