package store

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// cutPlatform sends the given bytes as the answer to each call and ends the
// connection, with a reset or not.
type cutPlatform struct {
	listener net.Listener
	mu       sync.Mutex
	answer   string
	reset    bool
}

func newCutPlatform(t *testing.T) *cutPlatform {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &cutPlatform{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.serve(c.(*net.TCPConn))
		}
	}()
	return p
}

func (p *cutPlatform) set(answer string, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer, p.reset = answer, reset
}

func (p *cutPlatform) serve(c *net.TCPConn) {
	defer c.Close()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // the client always sends the whole body
	p.mu.Lock()
	answer, reset := p.answer, p.reset
	p.mu.Unlock()
	_, _ = io.WriteString(c, answer)
	if reset {
		time.Sleep(time.Millisecond) // so that the bytes arrive before it
		_ = c.SetLinger(0)
	}
}

// platformCall is a call of the client with the body of the answer to it.
type platformCall struct {
	body string
	call func(*HTTPStore) error
}

var platformReads = map[string]platformCall{
	"get":   {"value", func(s *HTTPStore) error { _, err := s.Get(context.Background(), "a/b"); return err }},
	"list":  {`{"objects":[]}`, func(s *HTTPStore) error { _, err := s.List(context.Background(), "a/", "", 9); return err }},
	"watch": {`{"events":[]}`, func(s *HTTPStore) error { _, err := s.Watch(context.Background(), "a/", 1, time.Second); return err }},
	"hosts": {`{"hosts":[]}`, func(s *HTTPStore) error { _, err := s.Hosts(context.Background()); return err }},
}

var platformWrites = map[string]platformCall{
	"put":    {"", func(s *HTTPStore) error { _, err := s.Put(context.Background(), "a/b", []byte("x"), 1); return err }},
	"delete": {"", func(s *HTTPStore) error { return s.Delete(context.Background(), "a/b", 1) }},
}

// An answer of the platform that ends after any byte must not count as whole, nor a
// write as certainly not done. A read whose end is marked neither by a length nor by
// chunks may have been cut as well.
func TestCutAnswerOfPlatform(t *testing.T) {
	for _, status := range []int{200, 404, 412, 503} {
		for _, reset := range []bool{false, true} {
			for _, framing := range []string{"length", "chunked", "until close"} {
				for name, call := range platformReads {
					t.Run(fmt.Sprint(name, " ", status, " ", framing, " reset ", reset), func(t *testing.T) {
						t.Parallel()
						testCutPlatform(t, status, framing, reset, call, ErrUnavailable)
					})
				}
			}
			for name, call := range platformWrites {
				t.Run(fmt.Sprint(name, " ", status, " reset ", reset), func(t *testing.T) {
					t.Parallel()
					testCutPlatform(t, status, "length", reset, call, ErrUnknownOutcome)
				})
			}
		}
	}
}

func testCutPlatform(t *testing.T, status int, framing string, reset bool, call platformCall, lost error) {
	is := is.NewRelaxed(t)
	p := newCutPlatform(t)
	s := NewHTTPStore("http://"+p.listener.Addr().String(), "host-1")
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nETag: 7\r\n", status)
	body := call.body
	switch framing {
	case "length":
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	case "chunked":
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	head += "\r\n"
	for n := range len(head) + len(body) {
		if status != 200 && n >= len(head) && framing == "until close" {
			break // the head says it all
		}
		p.set((head + body)[:n], reset)
		if err := call.call(s); !errors.Is(err, lost) {
			t.Errorf("after %d bytes %q: %v", n, (head + body)[:n], err)
		}
	}
	if framing != "until close" {
		p.set(head+body, false)
		is.Equal(call.call(s) == nil, status == 200)
	}
}

// A write whose answer says that it was done, but not at which version, must not count as
// one that failed, nor may such a read count as any other error than a lost one.
func TestAnswerWithoutVersionIsLost(t *testing.T) {
	for name, etag := range map[string]string{"no version": "", "no number": "ETag: x\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			p := newCutPlatform(t)
			s := NewHTTPStore("http://"+p.listener.Addr().String(), "host-1")
			p.set("HTTP/1.1 200 X\r\n"+etag+"Content-Length: 1\r\n\r\n1", false)
			is.True(errors.Is(platformWrites["put"].call(s), ErrUnknownOutcome))
			is.True(errors.Is(platformReads["get"].call(s), ErrUnavailable))
		})
	}
}
