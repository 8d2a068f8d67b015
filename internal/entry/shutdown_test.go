package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/callers"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store/storetest"
)

// testGrace leaves 1 s to drain, half of it before the host accepts no more
// connections.
const testGrace = time.Second + shutdownMargin

// testHost is a host over real connections with a handler of its own.
type testHost struct {
	t       *testing.T
	address string
	metrics *metrics.Registry
	logs    logBuffer
	stop    context.CancelFunc // as by SIGTERM
	stopped chan struct{}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

func startTestHost(t *testing.T, handler http.HandlerFunc) *testHost {
	t.Helper()
	h := &testHost{t: t, address: freeAddress(t), metrics: metrics.New(), stopped: make(chan struct{})}
	ctx, stop := context.WithCancel(t.Context())
	h.stop = stop
	settings := &Settings{Host: "a", Zone: "z", Size: 1000, Callers: h.address, Peers: freeAddress(t), Grace: testGrace}
	go func() {
		defer close(h.stopped)
		logger := slog.New(slog.NewTextHandler(&h.logs, nil))
		if err := Serve(ctx, settings, &fakePlatform{store: storetest.New(), callers: handler}, h.metrics, logger); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { stop(); <-h.stopped })
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", h.address); err == nil {
			_ = c.Close()
			return h
		}
		if time.Now().After(deadline) {
			t.Fatal("the host does not start")
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// awaitLog waits until a log line contains all parts.
func (h *testHost) awaitLog(parts ...string) {
	h.t.Helper()
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		for line := range strings.Lines(h.logs.String()) {
			missing := false
			for _, part := range parts {
				missing = missing || !strings.Contains(line, part)
			}
			if !missing {
				return
			}
		}
		if time.Now().After(deadline) {
			h.t.Fatalf("no log line with %q in\n%s", parts, h.logs.String())
		}
	}
}

// hasMetric reports whether a metric has the value.
func (h *testHost) hasMetric(line string) bool {
	var out bytes.Buffer
	_ = h.metrics.Write(&out) // a buffer does not fail
	return strings.Contains(out.String(), line+"\n")
}

// caller is a connection to a host.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dialCaller(address string) (*caller, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &caller{c, bufio.NewReader(c)}, c.SetDeadline(time.Now().Add(5 * time.Second))
}

func (h *testHost) dial() *caller {
	h.t.Helper()
	c, err := dialCaller(h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.Close() })
	return c
}

// requestText is a whole request.
func requestText(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", path, servertest.HeaderID, id)
}

func (c *caller) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// answer reads an answer and returns its status and whether its body is complete.
func (c *caller) answer() (int, *http.Response, error) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, nil, err
	}
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp, err
}

// scriptedHandler answers a request as its path says.
func scriptedHandler(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body) // requests of tests have complete bodies
	switch r.URL.Path {
	case "/wait":
		<-r.Context().Done()
	case "/slow":
		time.Sleep(400 * time.Millisecond)
	case "/hang":
		time.Sleep(testGrace)
	case "/abort":
		panic(http.ErrAbortHandler)
	case "/panic":
		w.Header().Set(servertest.HeaderSeal, "s")
		panic("a fault")
	case "/panic-late":
		_, _ = io.WriteString(w, "a part") // the caller waits
		_ = http.NewResponseController(w).Flush()
		panic("a late fault")
	}
}

// A panic of a handler closed the connection without an answer, and its log line
// did not name the request.
func TestPanicOfHandlerIsAnswered(t *testing.T) {
	is := is.New(t)
	h := startTestHost(t, scriptedHandler)
	c := h.dial()
	is.NoErr(c.send(requestText("id-1", "/panic")))
	status, resp, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusInternalServerError) // makes no statement about execution
	is.Equal(resp.Header.Get(servertest.HeaderSeal), "")
	h.awaitLog("event=handler_panicked", "request=id-1", `error="a fault"`, "scriptedHandler")
	is.NoErr(c.send(requestText("id-2", "/")))
	status, _, err = c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(h.hasMetric("handler_panics_total 1"))
	is.NoErr(c.send(requestText("id-3", "/panic-late")))
	_, _, err = c.answer()
	is.True(err != nil) // must not look complete
	h.awaitLog("event=answer_cut", "request=id-3", "by=panic", "status=200")
}

// A connection that ended without an answer did not tell in the log whether its
// caller or the host had ended it.
func TestLogTellsWhoCutAnAnswer(t *testing.T) {
	is := is.New(t)
	h := startTestHost(t, scriptedHandler)
	left, aborted, leaving, hangs := h.dial(), h.dial(), h.dial(), h.dial()
	is.NoErr(left.send(requestText("left", "/wait")))
	is.NoErr(leaving.send(requestText("leaving", "/wait")))
	is.NoErr(hangs.send(requestText("hangs", "/hang")))
	is.NoErr(aborted.send(requestText("aborted", "/abort")))
	_, _, err := aborted.answer()
	is.True(err != nil)
	time.Sleep(50 * time.Millisecond) // until the handlers run
	is.NoErr(left.Close())
	h.awaitLog("request=left", "event=answer_cut", "by=caller", "draining=false", "reason=closed", "status=0")
	h.awaitLog("request=aborted", "event=answer_cut", "by=host", "draining=false")
	h.stop()
	h.awaitLog("event=draining")
	is.NoErr(leaving.Close())
	h.awaitLog("request=leaving", "event=answer_cut", "by=caller", "draining=true")
	<-h.stopped
	h.awaitLog("request=hangs", "event=answer_cut", "by=grace_period", "draining=true")
	for _, line := range []string{
		`answers_cut_total{by="caller",draining="false"} 1`, `answers_cut_total{by="caller",draining="true"} 1`,
		`answers_cut_total{by="host",draining="false"} 1`, `answers_cut_total{by="grace_period",draining="true"} 1`,
	} {
		is.True(h.hasMetric(line)) // line
	}
}

// awaitClosedListener waits until the host accepts no more connections.
func (h *testHost) awaitClosedListener() {
	for {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			return
		}
		_ = c.Close()
		time.Sleep(time.Millisecond)
	}
}

// A host that shuts down read requests from connections that it had accepted, and
// closed these without an answer.
func TestRequestsReadDuringShutdownAreAnswered(t *testing.T) {
	is := is.New(t)
	h := startTestHost(t, scriptedHandler)
	kept, begun, behind := h.dial(), h.dial(), h.dial()
	for _, c := range []*caller{kept, begun} {
		is.NoErr(c.send(requestText("first", "/")))
		status, _, err := c.answer()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	h.stop()
	h.awaitLog("event=draining")
	time.Sleep(400 * time.Millisecond)
	unused := h.dial()
	is.NoErr(behind.send(requestText("slow", "/slow")))
	text := requestText("begun", "/")
	is.NoErr(begun.send(text[:20]))
	h.awaitClosedListener()
	is.NoErr(unused.send(requestText("new", "/")))
	is.NoErr(begun.send(text[20:]))
	for _, c := range []*caller{unused, begun, behind} {
		status, resp, err := c.answer()
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(resp.Close) // the caller must not send another request
	}
	_, _, err := kept.answer()
	is.Equal(err, io.ErrUnexpectedEOF) // it was idle
	<-h.stopped
	for _, event := range []string{"answer_cut", "drain_incomplete"} {
		if strings.Contains(h.logs.String(), event) {
			t.Errorf("%s in\n%s", event, h.logs.String())
		}
	}
}

// An answer that began before the host shuts down does not say that its connection
// will be closed. Guards against a host that waits for it until it is killed.
func TestConnectionAfterAnAnswerDuringShutdownIsClosed(t *testing.T) {
	is := is.New(t)
	h := startTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush() // the caller waits
		scriptedHandler(w, r)
	})
	c := h.dial()
	is.NoErr(c.send(requestText("slow", "/slow")))
	time.Sleep(50 * time.Millisecond) // until its answer begins
	h.stop()
	status, resp, err := c.answer()
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(!resp.Close)
	<-h.stopped
	_, err = c.r.ReadByte()
	is.Equal(err, io.EOF)
	is.True(!strings.Contains(h.logs.String(), "drain_incomplete"))
}

const (
	drainRounds  = 200
	drainCallers = 16
	maxThinkTime = time.Millisecond // of a caller between requests
)

// A host that shuts down closed connections on which a request had just been read,
// without an answer.
func TestDrainCutsNoRequest(t *testing.T) {
	is := is.NewRelaxed(t)
	var read, handledAll atomic.Int64
	cut, answered := 0, 0
	for round := range drainRounds {
		var mu sync.Mutex
		handled := map[string]bool{}
		s := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
			handledAll.Add(1)
			mu.Lock()
			handled[r.Header.Get(servertest.HeaderID)] = true
			mu.Unlock()
			_, _ = io.ReadAll(r.Body) // may be cut
		}, func() callers.Limits { return callers.Limits{} })
		s.server.ConnState = func(c net.Conn, state http.ConnState) {
			callers.StateChanged(c, state)
			if state == http.StateActive {
				read.Add(1)
			}
		}
		go func() { _ = s.serve() }() // it ends with the listener
		var group sync.WaitGroup
		for n := range drainCallers {
			group.Go(func() {
				got, id, err := callUntilClosed(s.listener.Addr().String(), fmt.Sprintf("%d-%d", round, n), n%2 == 0)
				mu.Lock()
				defer mu.Unlock()
				answered += got
				if err != nil && handled[id] {
					cut++
					t.Logf("request %s was handled and its caller got %v", id, err)
				}
			})
		}
		time.Sleep(time.Duration(2000+37*round%3000) * time.Microsecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		is.NoErr(s.listener.Drain(ctx))
		cancel()
		group.Wait()
	}
	t.Logf("%d requests answered, %d of %d not handled, %d cut", answered, read.Load()-handledAll.Load(), read.Load(), cut)
	is.Equal(cut, 0)
	is.Equal(read.Load(), handledAll.Load()) // whoever was read was handled
	is.True(answered > drainRounds*drainCallers)
}

// drainWait is some times the interval at which a drain looks for idle connections.
const drainWait = 100 * time.Millisecond

// newTestServer returns a server of callers' connections without a host.
func newTestServer(t *testing.T, handler http.HandlerFunc, limits func() callers.Limits) httpServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ConnContext: callers.WithConnection, ConnState: callers.StateChanged}
	return httpServer{"callers", server, callers.NewListener(l, limits)}
}

// callUntilClosed sends requests on one connection until it is closed. It returns
// the number of answers, and the last request with the error of its answer. The
// requests are sent in two pieces if inPieces is set.
func callUntilClosed(address, name string, inPieces bool) (answers int, id string, err error) {
	c, err := dialCaller(address)
	if err != nil {
		return 0, "", nil // the host accepts no more connections
	}
	defer c.Close()
	for {
		id = fmt.Sprintf("%s-%d", name, answers)
		text := requestText(id, "/")
		if inPieces {
			_ = c.send(text[:10]) // the answer tells
			text = text[10:]
		}
		_ = c.send(text) // the answer tells
		_, resp, err := c.answer()
		if err != nil {
			return answers, id, err
		}
		answers++
		if resp.Close {
			return answers, id, nil
		}
		time.Sleep(time.Duration(rand.IntN(int(maxThinkTime))))
	}
}

// A host that shuts down closed a connection on which it had read the beginning of a
// request together with the one before, without an answer.
func TestRequestBegunBehindAnotherIsAnsweredDuringShutdown(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, scriptedHandler, nil)
	go func() { _ = s.serve() }() // it ends with the listener
	c, err := dialCaller(s.listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	next := requestText("next", "/")
	is.NoErr(c.send(requestText("first", "/") + next[:20]))
	c.expect(t, http.StatusOK)
	drained := make(chan error, 1)
	go func() { drained <- s.listener.Drain(context.WithoutCancel(t.Context())) }()
	time.Sleep(drainWait)
	is.NoErr(c.send(next[20:]))
	c.expect(t, http.StatusOK)
	is.NoErr(<-drained) // the connection is idle now
}

// A host whose HTTP server has ended by itself cut the requests that were open: its
// listener was closed already, which was taken for a failure of the drain.
func TestDrainAfterServerEndedAwaitsRequests(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	ended := make(chan struct{})
	s := newTestServer(t, func(http.ResponseWriter, *http.Request) {
		close(begun)
		time.Sleep(drainWait)
	}, nil)
	go func() {
		defer close(ended)
		_ = s.serve() // it ends with the listener
	}()
	c, err := dialCaller(s.listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.send(requestText("open", "/")))
	<-begun
	is.NoErr(s.listener.Close())
	<-ended
	is.NoErr(s.listener.Drain(t.Context()))
	c.expect(t, http.StatusOK)
}

// A host that shuts down closed a connection, without an answer, on which it had read
// up to three bytes of a request together with the one before or while that one ran.
func TestFirstBytesBehindARequestAreAnsweredDuringShutdown(t *testing.T) {
	for _, apart := range []bool{false, true} {
		for read := 1; read <= 4; read++ {
			t.Run(fmt.Sprintf("apart=%t/bytes=%d", apart, read), func(t *testing.T) {
				is := is.New(t)
				s := newTestServer(t, scriptedHandler, nil)
				go func() { _ = s.serve() }() // it ends with the listener
				c, err := dialCaller(s.listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				next := requestText("next", "/")
				if apart {
					is.NoErr(c.send(requestText("first", "/slow")))
					time.Sleep(drainWait) // until the handler runs
					is.NoErr(c.send(next[:read]))
				} else {
					is.NoErr(c.send(requestText("first", "/") + next[:read]))
				}
				c.expect(t, http.StatusOK)
				drained := make(chan error, 1)
				go func() { drained <- s.listener.Drain(context.WithoutCancel(t.Context())) }()
				time.Sleep(drainWait)
				is.NoErr(c.send(next[read:]))
				c.expect(t, http.StatusOK)
				is.NoErr(<-drained) // the connection is idle now
			})
		}
	}
}
