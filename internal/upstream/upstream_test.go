package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

func request() *upstream.Request {
	return &upstream.Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Header: http.Header{servertest.HeaderID: {"1"}}, Body: []byte("body")}
}

// exchange sends one request and reads the whole response.
func exchange(t *testing.T, c *upstream.Client, address string) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := c.Do(ctx, address, request())
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.Status, string(body), err
}

func whole(c *servertest.Conn) bool { c.Respond(200, "hello"); return true }

// TestConnectionsAreReused guards against dialing for every request.
func TestConnectionsAreReused(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, whole)
	c := upstream.New(upstream.Options{})
	for range 5 {
		status, body, err := exchange(t, c, s.Address())
		is.NoErr(err)
		is.Equal(status, 200)
		is.Equal(body, "hello")
	}
	is.Equal(s.AcceptedConnections(), 1)
	is.Equal(s.ReceivedRequests()[0].Body, "body")
}

// TestConnectionIsReusedAfterReadTimeout guards against closing an idle connection
// once the time has passed that bounded the reading of its last response.
func TestConnectionIsReusedAfterReadTimeout(t *testing.T) {
	t.Parallel()
	const timeout = 50 * time.Millisecond
	for name, read := range map[string]func(*upstream.Body){
		"unused response": func(b *upstream.Body) { b.Discard() },
		"whole body": func(b *upstream.Body) {
			b.SetReadTimeout(timeout)
			_, _ = io.ReadAll(b) // the number of connections shows a failure
			_ = b.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := servertest.New(t, whole)
			c := upstream.New(upstream.Options{})
			for range 3 {
				resp, err := c.Do(t.Context(), s.Address(), request())
				is.NoErr(err)
				read(resp.Body)
				time.Sleep(2 * timeout)
			}
			is.Equal(s.AcceptedConnections(), 1)
		})
	}
}

// TestConnectionWithExtraBytesIsNotReused guards against returning a late
// second response to the next request on the connection.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		c.Respond(200, "own"+c.Body)
		time.Sleep(20 * time.Millisecond)
		c.Respond(200, "late answer")
		return true
	})
	c := upstream.New(upstream.Options{})
	for range 3 {
		_, body, err := exchange(t, c, s.Address())
		is.NoErr(err)
		is.Equal(body, "ownbody")
		time.Sleep(60 * time.Millisecond)
	}
	is.Equal(s.AcceptedConnections(), 3)
}

// TestTruncatedResponseIsAnError guards against treating a truncated response
// as complete.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, script := range map[string]func(*servertest.Conn) bool{
		"length": func(c *servertest.Conn) bool {
			c.WriteHead(200, "Content-Length: 10")
			_, _ = io.WriteString(c, "12345")
			return false
		},
		"chunked": func(c *servertest.Conn) bool { c.StartStream(); c.WriteEvent(1); return false },
		"reset": func(c *servertest.Conn) bool {
			c.WriteHead(200, "Connection: close")
			_, _ = io.WriteString(c, "12345")
			time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := servertest.New(t, script)
			_, _, err := exchange(t, upstream.New(upstream.Options{}), s.Address())
			var failure *upstream.Error
			is.True(errors.As(err, &failure))
			is.Equal(failure.Stage, upstream.InResponse)
		})
	}
}

// TestErrorStage guards against reporting a request as not sent that a server
// may have run, and as sent when no byte was.
func TestErrorStage(t *testing.T) {
	is := is.New(t)
	var failure *upstream.Error
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	_, _, err = exchange(t, upstream.New(upstream.Options{}), l.Addr().String())
	is.True(errors.As(err, &failure))
	is.Equal(failure.Stage, upstream.NotSent)

	s := servertest.New(t, func(*servertest.Conn) bool { return false })
	_, _, err = exchange(t, upstream.New(upstream.Options{}), s.Address())
	is.True(errors.As(err, &failure))
	is.Equal(failure.Stage, upstream.Sent)
}

// TestFirstByteTimeout guards against waiting without limit for a server that
// accepts a request and sends nothing.
func TestFirstByteTimeout(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool { <-c.PeerClosed(); return false })
	c := upstream.New(upstream.Options{})
	req := request()
	req.FirstByteTimeout = 50 * time.Millisecond
	_, err := c.Do(context.Background(), s.Address(), req)
	var failure *upstream.Error
	is.True(errors.As(err, &failure))
	is.True(failure.Silent)
	is.Equal(failure.Stage, upstream.Sent)
}

// TestContextEndClosesServerConnection guards against a server that keeps
// working for a caller that has disconnected.
func TestContextEndClosesServerConnection(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	s := servertest.New(t, func(c *servertest.Conn) bool {
		c.StartStream()
		c.WriteEvent(1)
		<-c.PeerClosed()
		close(cancelled)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := upstream.New(upstream.Options{}).Do(ctx, s.Address(), request())
	is.NoErr(err)
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err = io.ReadAll(resp.Body)
	is.True(errors.Is(err, context.Canceled))
	is.NoErr(resp.Body.Close())
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Error("the server's connection was not closed")
	}
}

// TestServerKeepAliveTimeoutIsRespected guards against sending a request on a
// connection that the server is about to close.
func TestServerKeepAliveTimeoutIsRespected(t *testing.T) {
	is := is.New(t)
	s := servertest.New(t, func(c *servertest.Conn) bool {
		c.WriteHead(200, "Content-Length: 0", "Keep-Alive: timeout=1")
		return true
	})
	c := upstream.New(upstream.Options{})
	_, _, err := exchange(t, c, s.Address())
	is.NoErr(err)
	time.Sleep(600 * time.Millisecond) // a stated timeout of 1 s is shortened to 500 ms
	_, _, err = exchange(t, c, s.Address())
	is.NoErr(err)
	is.Equal(s.AcceptedConnections(), 2)
}

// TestEventReaderReturnsCompleteEvents guards against splitting events and against
// treating a truncated event as the end of the stream.
func TestEventReaderReturnsCompleteEvents(t *testing.T) {
	is := is.New(t)
	r := upstream.NewEventReader(strings.NewReader("weight-versions: 2\nid: 4\ndata: a\ndata: b\n\n: note\n\nid: 5\ndata: c\n"), 3, upstream.New(upstream.Options{}).Hold())
	ev, err := r.Next()
	is.NoErr(err)
	is.Equal(string(ev.Raw), "weight-versions: 2\nid: 4\ndata: a\ndata: b\n\n")
	is.Equal(ev.ID, int64(4))
	is.Equal(string(ev.Data), "a\nb")
	ev, err = r.Next()
	is.NoErr(err)
	is.True(ev.IsComment)
	_, err = r.Next()
	is.Equal(err, io.ErrUnexpectedEOF)
}

// TestOnlyNextEventIsRead guards against bytes of a faulty server that become an event of
// an answer.
func TestOnlyNextEventIsRead(t *testing.T) {
	for _, c := range []struct {
		next string
		want error
	}{
		{"id: 4\ndata: a\n\n", nil},
		{"id:4\r\ndata:\r\n\r\n", nil},
		{"\n\r\nid: 4\ndata: a\n\n", nil},
		{": note\nid: 4\nevent: token\ndata: a\n\n", nil},
		{"weight-versions: 3\nid: 4\ndata: a\n\n", nil},
		{"data: a\n\n", upstream.ErrMalformedEvent},
		{"event: error\n\n", upstream.ErrMalformedEvent},
		{"id: 4\n\n", upstream.ErrMalformedEvent},
		{"id: 4\nda\n\n", upstream.ErrMalformedEvent},
		{"id: 4\ndata\n\n", upstream.ErrMalformedEvent},
		{"id: 4\ndata: a\n{\"error\":1}\n\n", upstream.ErrMalformedEvent},
		{"id: 4\nid: 4\ndata: a\n\n", upstream.ErrMalformedEvent},
		{"id: 4a\ndata: a\n\n", upstream.ErrMalformedEvent},
		{"id:\ndata: a\n\n", upstream.ErrMalformedEvent},
		{"id: 99999999999999999999\ndata: a\n\n", upstream.ErrMalformedEvent},
		{"internal error\n\n", upstream.ErrMalformedEvent},
		{"HTTP/1.1 500 X\r\n\r\n", upstream.ErrMalformedEvent},
		{"id: 3\ndata: a\n\n", upstream.ErrEventOrder},
		{"id: 5\ndata: a\n\n", upstream.ErrEventOrder},
		{"id: -4\ndata: a\n\n", upstream.ErrEventOrder},
	} {
		t.Run(c.next, func(t *testing.T) {
			is := is.New(t)
			r := upstream.NewEventReader(strings.NewReader("id: 3\ndata: x\n\n"+c.next), 2, upstream.New(upstream.Options{}).Hold())
			_, err := r.Next()
			is.NoErr(err)
			_, err = r.Next()
			is.True(errors.Is(err, c.want) && (err == nil) == (c.want == nil))
		})
	}
}

// FuzzEventReader checks that events neither lose nor reorder bytes.
func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("\n\n\r\n")
	f.Add("data: no end")
	f.Fuzz(func(t *testing.T, stream string) {
		r := upstream.NewEventReader(strings.NewReader(stream), 0, upstream.New(upstream.Options{}).Hold())
		var whole strings.Builder
		for {
			ev, err := r.Next()
			if err != nil {
				break
			}
			whole.Write(ev.Raw)
		}
		if !strings.HasPrefix(stream, whole.String()) {
			t.Errorf("events %q are not a prefix of %q", whole.String(), stream)
		}
	})
}
