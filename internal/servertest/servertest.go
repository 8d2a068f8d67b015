// Package servertest provides a backend server for tests and a codec with
// header names of its own. The server writes raw HTTP/1.1, so that a test can
// abort, corrupt or delay a response at any byte.
package servertest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/online"
	"ragwortstep/internal/upstream"
)

// Headers of the codec.
const (
	HeaderID      = "X-Call"
	HeaderSeal    = "X-Seal"
	HeaderNotRun  = "X-Not-Run"
	HeaderLeaving = "X-Leaving"
	HeaderResume  = "X-After"
	HeaderOwner   = "X-Workspace"
)

// Codec implements online.Codec and bulk.ItemCodec.
type Codec struct{}

// ServerHeader implements online.Codec.
func (Codec) ServerHeader(call *online.Call, out online.RequestMeta) http.Header {
	return header(call.ID, out.Workspace, out.Instance, out.Resume, out.AfterEventID)
}

// OutputTokens implements bulk.ItemCodec.
func (Codec) OutputTokens(*bulk.Item) float64 { return 0 }

// ItemHeader implements bulk.ItemCodec.
func (Codec) ItemHeader(item *bulk.Item, workspace, instance string, _ time.Duration, resume bool, after int64) http.Header {
	return header(item.ID, workspace, instance, resume, after)
}

func header(id, workspace, instance string, resume bool, after int64) http.Header {
	h := http.Header{HeaderID: {id}, HeaderOwner: {workspace}, "X-Instance": {instance}}
	if resume {
		h.Set(HeaderResume, strconv.FormatInt(after, 10))
	}
	return h
}

// ResponseMeta implements online.Codec.
func (Codec) ResponseMeta(status int, h http.Header) online.ResponseMeta {
	return online.ResponseMeta{
		ID: h.Get(HeaderID), Sealed: h.Get(HeaderSeal) != "", NotRun: h.Get(HeaderNotRun) != "",
		Misdirected: status == http.StatusMisdirectedRequest, Leaving: h.Get(HeaderLeaving) != "",
		Encoded: h.Get("Content-Encoding") != "",
	}
}

// ReceivedRequest is a request that a server received.
type ReceivedRequest struct {
	ID     string
	After  int64 // id of the event after which the stream resumes, 0 for the start
	Header http.Header
	Body   string
	At     time.Time // when it was received
}

// Conn is a connection with one request, to which a script writes the response.
type Conn struct {
	net.Conn
	ReceivedRequest
	peerClosed chan struct{}
}

// PeerClosed returns a channel that is closed when the peer closes the connection.
func (c *Conn) PeerClosed() <-chan struct{} { return c.peerClosed }

// WriteHead writes the status line and header of a sealed response with the
// request's id and the extra header lines.
func (c *Conn) WriteHead(status int, extra ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\n%s\r\n", status, HeaderID, c.ID, HeaderSeal, headerLines(extra))
}

// RespondNotRun writes a response that states that the request was not run, with
// the extra header lines.
func (c *Conn) RespondNotRun(status int, extra ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n%s\r\n", status, HeaderID, c.ID, HeaderNotRun, headerLines(extra))
}

// LeavingLine is a header line by which a server states that it is leaving.
const LeavingLine = HeaderLeaving + ": 1"

// Respond writes a sealed response with a body of known length.
func (c *Conn) Respond(status int, body string) {
	c.WriteHead(status, "Content-Length: "+strconv.Itoa(len(body)))
	_, _ = io.WriteString(c, body) // fails if the peer closed the connection
}

// StartStream begins a response with a chunked stream of events.
func (c *Conn) StartStream() {
	c.WriteHead(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// WriteEvent writes one event as a chunk.
func (c *Conn) WriteEvent(id int64) {
	event := fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
}

// WriteEvents writes the events with ids first to last.
func (c *Conn) WriteEvents(first, last int64) {
	for id := first; id <= last; id++ {
		c.WriteEvent(id)
	}
}

// EndStream ends a chunked stream.
func (c *Conn) EndStream() { _, _ = io.WriteString(c, "0\r\n\r\n") } // fails if the peer closed the connection

func headerLines(extra []string) string {
	var b strings.Builder
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// Server is a backend server. Its script responds to each request. When the
// script returns true the connection is kept for the next request, otherwise it
// is closed.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	script   func(*Conn) bool
	raw      func(*net.TCPConn) // serves whole connections, if not nil
	requests []ReceivedRequest
	dials    int
	pipes    []net.Conn // of a piped server
}

// processAddress returns a loopback address for this process, so that no request of
// another one, to a server that has ended, reaches a server that got its port.
func processAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 64+pid/256%64, pid%256)
}

// New starts a server that stops at the end of the test.
func New(t testing.TB, script func(*Conn) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", processAddress()+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

// NewRaw starts a server that gives each connection to a script, which reads the request
// itself. The connection is closed when the script returns.
func NewRaw(t testing.TB, script func(*net.TCPConn)) *Server {
	t.Helper()
	s := New(t, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = script
	return s
}

// NewPiped returns a server without a network, for tests in a synctest bubble.
// Connect opens connections to it, which are closed at the end of the test.
func NewPiped(t testing.TB, script func(*Conn) bool) *Server {
	s := &Server{script: script}
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, c := range s.pipes {
			_ = c.Close()
		}
	})
	return s
}

// pipe is a caller's end of a connection to a piped server.
type pipe struct{ net.Conn }

// IsIdle implements upstream.Conn.
func (pipe) IsIdle() bool { return true }

// Connect opens a connection to a piped server. It fits upstream.Options.
func (s *Server) Connect(context.Context, string) (upstream.Conn, error) {
	near, far := net.Pipe()
	s.mu.Lock()
	s.dials++
	s.pipes = append(s.pipes, far)
	s.mu.Unlock()
	go s.serve(far)
	return pipe{near}, nil
}

// Address returns the server's host and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// PlacementServer returns the server's entry for a placement.
func (s *Server) PlacementServer(id, service string, slots int) placement.Server {
	return placement.Server{ID: id, Instance: id, Service: service, Address: s.Address(), Zone: "z", Slots: slots, Ready: true}
}

// SetScript sets the script for requests that arrive from now on.
func (s *Server) SetScript(script func(*Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// ReceivedRequests returns the requests received so far.
func (s *Server) ReceivedRequests() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.requests...)
}

// AcceptedConnections returns the number of accepted connections.
func (s *Server) AcceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dials
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.dials++
		raw := s.raw
		s.mu.Unlock()
		if raw != nil {
			go func() {
				defer c.Close()
				raw(c.(*net.TCPConn))
			}()
			continue
		}
		go s.serve(c)
	}
}

func (s *Server) serve(raw net.Conn) {
	defer raw.Close()
	r := bufio.NewReader(raw)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		after, _ := strconv.ParseInt(req.Header.Get(HeaderResume), 10, 64) // 0 without the header
		a := ReceivedRequest{ID: req.Header.Get(HeaderID), After: after, Header: req.Header, Body: string(body), At: time.Now()}
		s.mu.Lock()
		s.requests = append(s.requests, a)
		script := s.script
		s.mu.Unlock()
		c := &Conn{Conn: raw, ReceivedRequest: a, peerClosed: make(chan struct{})}
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := r.Peek(1); err != nil {
				close(c.peerClosed)
			}
		}()
		if !script(c) {
			return
		}
		<-peeked
	}
}
