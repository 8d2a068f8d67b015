package host

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/settings"
)

const (
	drainRounds  = 100
	drainCallers = 12
	drainTimeout = 7 * time.Second
	// headerID names a request.
	headerID = "X-Request-Id"
)

// testServer is a host's server for callers with a handler of its own.
type testServer struct {
	httpServer
	t       *testing.T
	address string
	read    atomic.Int64 // requests whose header the server has read
}

// startServer starts a server that speaks TLS if files are given.
func startServer(t *testing.T, files settings.TLS, handler http.HandlerFunc) *testServer {
	t.Helper()
	h := &Host{settings: &settings.Settings{}, logger: slog.New(slog.DiscardHandler)}
	h.settings.Listen.TLS = files
	server, err := h.callersServer(listen(t))
	if err != nil {
		t.Fatal(err)
	}
	return serveTest(t, server, handler)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serveTest(t *testing.T, server httpServer, handler http.HandlerFunc) *testServer {
	t.Helper()
	s := &testServer{httpServer: server, t: t, address: server.listener.Addr().String()}
	if handler != nil {
		s.server.Handler = handler
	}
	hook := s.server.ConnState
	s.server.ConnState = func(c net.Conn, state http.ConnState) {
		if hook != nil {
			hook(c, state)
		}
		if state == http.StateActive {
			s.read.Add(1)
		}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.serve(); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { _ = s.server.Close(); <-ended }) // it may be closed
	return s
}

// drainNow drains the server and returns how long that took.
func (s *testServer) drainNow() time.Duration {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), drainTimeout)
	defer cancel()
	began := time.Now()
	if err := s.drain(ctx); err != nil {
		s.t.Error(err)
	}
	return time.Since(began)
}

// testCertificate writes a certificate and its key.
func testCertificate(t *testing.T) settings.TLS {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	rawKey, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	files := settings.TLS{Cert: filepath.Join(t.TempDir(), "cert.pem"), Key: filepath.Join(t.TempDir(), "key.pem")}
	is.NoErr(os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600))
	is.NoErr(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: rawKey}), 0o600))
	return files
}

// eachTransport runs a test without and with TLS.
func eachTransport(t *testing.T, test func(t *testing.T, files settings.TLS)) {
	t.Run("tcp", func(t *testing.T) { test(t, settings.TLS{}) })
	t.Run("tls", func(t *testing.T) { test(t, testCertificate(t)) })
}

// testCaller is a connection of HTTP/1.1.
type testCaller struct {
	net.Conn
	answers *bufio.Reader
}

// dial connects. The handshake of TLS begins with the first request.
func (s *testServer) dial() (*testCaller, error) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		return nil, err
	}
	if s.tls != nil {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}})
	}
	return &testCaller{c, bufio.NewReader(c)}, c.SetDeadline(time.Now().Add(2 * drainTimeout))
}

// dialAll returns n connections.
func (s *testServer) dialAll(n int) []*testCaller {
	s.t.Helper()
	var out []*testCaller
	for range n {
		c, err := s.dial()
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = c.Close() })
		out = append(out, c)
	}
	return out
}

func requestText(id, path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", path, headerID, id)
}

func (c *testCaller) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Error(err)
	}
}

// answer reads a whole answer.
func (c *testCaller) answer() (*http.Response, error) {
	resp, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

func (c *testCaller) expectAnswer(t *testing.T, name string) {
	t.Helper()
	resp, err := c.answer()
	if err != nil {
		t.Errorf("%s: %v", name, err)
	} else if resp.StatusCode != http.StatusOK {
		t.Errorf("%s: status %d", name, resp.StatusCode)
	}
}

// A host that shuts down read requests from connections that it had accepted, and
// closed these without an answer.
func TestRequestsReadDuringDrainAreAnswered(t *testing.T) {
	eachTransport(t, func(t *testing.T, files settings.TLS) {
		s := startServer(t, files, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body) // may be cut
			if r.URL.Path == "/slow" {
				time.Sleep(400 * time.Millisecond)
			}
		})
		all := s.dialAll(5)
		kept, begun, behind, unused, first := all[0], all[1], all[2], all[3], all[4]
		for _, c := range []*testCaller{kept, begun, behind} {
			c.send(t, requestText("first", "/"))
			c.expectAnswer(t, "before the drain")
		}
		text := requestText("begun", "/")
		begun.send(t, text[:20])
		first.send(t, text[:20])
		behind.send(t, requestText("behind", "/slow"))
		time.Sleep(100 * time.Millisecond) // until these are read
		drained := make(chan time.Duration)
		go func() { drained <- s.drainNow() }()
		time.Sleep(100 * time.Millisecond) // until the server drains
		unused.send(t, requestText("unused", "/"))
		begun.send(t, text[20:])
		first.send(t, text[20:])
		unused.expectAnswer(t, "on an unused connection")
		begun.expectAnswer(t, "in two pieces on a kept connection")
		first.expectAnswer(t, "in two pieces on a new connection")
		behind.expectAnswer(t, "while the drain begins")
		if resp, err := kept.answer(); err == nil {
			t.Errorf("an idle connection had an answer %d", resp.StatusCode)
		}
		if took := <-drained; took > drainTimeout/2 {
			t.Errorf("the drain took %s", took)
		}
	})
}

// A host that shuts down closed connections on which a request had just been read,
// without an answer.
func TestDrainCutsNoRequest(t *testing.T) {
	eachTransport(t, func(t *testing.T, files settings.TLS) {
		var read, handled, answered, cut int64
		for round := range drainRounds {
			results := drainBelowCallers(t, files, round)
			read += results.read.Load()
			handled += results.handled.Load()
			answered += results.answered.Load()
			cut += results.cut.Load()
		}
		t.Logf("%d requests read, %d of them not handled, %d answered, %d handled and cut", read, read-handled, answered, cut)
		is := is.NewRelaxed(t)
		is.Equal(read, handled)
		is.Equal(cut, int64(0))
		is.True(answered >= drainRounds*drainCallers) // the callers were at work
	})
}

// drainResults counts the requests of a round.
type drainResults struct {
	read, handled, answered, cut *atomic.Int64
}

// drainBelowCallers drains a server while callers send requests.
func drainBelowCallers(t *testing.T, files settings.TLS, round int) drainResults {
	t.Helper()
	out := drainResults{handled: &atomic.Int64{}, answered: &atomic.Int64{}, cut: &atomic.Int64{}}
	var ids sync.Map // of handled requests
	s := startServer(t, files, func(_ http.ResponseWriter, r *http.Request) {
		out.handled.Add(1)
		ids.Store(r.Header.Get(headerID), true)
		_, _ = io.ReadAll(r.Body) // may be cut
	})
	out.read = &s.read
	var group sync.WaitGroup
	for n := range drainCallers {
		group.Go(func() {
			for call := 0; ; call++ { // on a new connection after each fourth request
				id, err := s.callSome(fmt.Sprintf("%d-%d-%d", round, n, call), n%2 == 0, out.answered)
				if _, wasHandled := ids.Load(id); wasHandled && err != nil {
					t.Logf("request %s was handled and its caller got %v", id, err)
					out.cut.Add(1)
				}
				if err != nil {
					return
				}
			}
		})
	}
	time.Sleep(time.Duration(10000+37*round%5000) * time.Microsecond)
	s.drainNow()
	group.Wait()
	return out
}

// callSome sends four requests on a connection, in two pieces if inPieces is set. It
// returns the last one and the error of its answer.
func (s *testServer) callSome(name string, inPieces bool, answered *atomic.Int64) (id string, err error) {
	c, err := s.dial()
	if err != nil {
		return "", err
	}
	defer c.Close()
	for n := range 4 {
		id = fmt.Sprintf("%s-%d", name, n)
		text := requestText(id, "/")
		if inPieces {
			_, _ = io.WriteString(c, text[:10]) // the answer tells, now and below
			text = text[10:]
		}
		_, _ = io.WriteString(c, text)
		if _, err = c.answer(); err != nil {
			return id, err
		}
		answered.Add(1)
	}
	return id, nil
}

// Guards against requests over HTTP/2 that a drain cuts, and against a drain that
// waits for connections of HTTP/2 without requests.
func TestDrainCutsNoRequestOverHTTP2(t *testing.T) {
	is := is.NewRelaxed(t)
	var handled sync.Map
	s := startServer(t, testCertificate(t), func(w http.ResponseWriter, r *http.Request) {
		handled.Store(r.Header.Get(headerID), true)
		if r.ProtoMajor != 2 {
			t.Errorf("a request over %s", r.Proto)
		}
		time.Sleep(time.Millisecond)
		_, _ = io.WriteString(w, "done")
	})
	var group sync.WaitGroup
	var answered, cut atomic.Int64
	for n := range drainCallers {
		transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
		t.Cleanup(transport.CloseIdleConnections)
		group.Go(func() {
			for call := 0; ; call++ {
				id := fmt.Sprintf("%d-%d", n, call)
				err := callOver(transport, "https://"+s.address, id)
				if _, wasHandled := handled.Load(id); wasHandled && err != nil {
					t.Logf("request %s was handled and its caller got %v", id, err)
					cut.Add(1)
				}
				if err != nil || n == 0 { // whose connection stays idle
					return
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	took := s.drainNow()
	group.Wait()
	t.Logf("%d requests answered, %d cut, drained in %s", answered.Load(), cut.Load(), took)
	is.Equal(cut.Load(), int64(0))
	is.True(answered.Load() > drainCallers)
	is.True(took < drainTimeout/2)
}

func callOver(transport http.RoundTripper, url, id string) error {
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader("ok"))
	if err != nil {
		return err
	}
	r.Header.Set(headerID, id)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against operators that keep a draining host with requests on one connection.
func TestAnswersToOperatorsDuringDrainCloseTheirConnection(t *testing.T) {
	is := is.New(t)
	h := &Host{settings: &settings.Settings{}, logger: slog.New(slog.DiscardHandler)}
	s := serveTest(t, h.internalServer("admin", http.NotFoundHandler(), listen(t)), nil)
	c := s.dialAll(1)[0]
	for _, draining := range []bool{false, true} {
		h.draining.Store(draining)
		c.send(t, requestText("id", "/"))
		resp, err := c.answer()
		is.NoErr(err)
		is.Equal(resp.Close, draining)
	}
	s.drainNow()
}

// Guards against a drain that waits for callers that have finished their handshake of
// TLS only, and against one that closes them while their first request arrives.
func TestDrainEndsConnectionsWithoutRequestOverTLS(t *testing.T) {
	is := is.New(t)
	s := startServer(t, testCertificate(t), func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body) // may be cut
	})
	all := s.dialAll(2)
	for _, c := range all {
		is.NoErr(c.Conn.(*tls.Conn).Handshake())
	}
	text := requestText("first", "/")
	all[1].send(t, text[:20])
	drained := make(chan time.Duration)
	go func() { drained <- s.drainNow() }()
	time.Sleep(2 * time.Second) // longer than on connections without a handshake
	all[1].send(t, text[20:])
	all[1].expectAnswer(t, "in two pieces")
	_, err := all[0].answer()
	is.Equal(err, io.ErrUnexpectedEOF)
	is.True(<-drained < drainTimeout-time.Second)
}

// Guards against a host that accepts requests until the end of its drain while an item
// of a batch hangs, and then stops below them.
func TestHangingItemsKeepNoCallersAtDrainingHost(t *testing.T) {
	is := is.New(t)
	var open atomic.Int64
	s := startServer(t, settings.TLS{}, func(_ http.ResponseWriter, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		_, _ = io.ReadAll(r.Body) // may be cut
		time.Sleep(300 * time.Millisecond)
	})
	var group sync.WaitGroup
	for range drainCallers {
		group.Go(func() {
			for err := error(nil); err == nil; { // until it is refused
				_, err = s.callSome("id", false, &atomic.Int64{})
			}
		})
	}
	time.Sleep(100 * time.Millisecond) // until requests are open
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	h := &Host{logger: slog.New(slog.DiscardHandler)}
	h.endWork(ctx, []httpServer{s.httpServer}, func(ctx context.Context) error {
		<-ctx.Done() // as jobs.Service.Close while an item hangs
		return nil
	})
	is.Equal(open.Load(), int64(0)) // requests that the end of the process would cut
	_ = s.server.Close()            // ends callers of a host that is not drained
	group.Wait()
}
