// Package servertest provides a backend server for tests that speaks raw
// HTTP/1.1, so that it can break off, garble and delay at any byte, and a codec
// with header names of its own.
package servertest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/online"
)

// Headers of the codec.
const (
	HeaderID     = "X-Call"
	HeaderSeal   = "X-Seal"
	HeaderNotRun = "X-Not-Run"
	HeaderResume = "X-After"
	HeaderOwner  = "X-Workspace"
)

// Codec implements online.Codec and bulk.ItemCodec.
type Codec struct{}

// ServerHeader implements online.Codec.
func (Codec) ServerHeader(call *online.Call, out online.Outgoing) http.Header {
	return header(call.ID, out.Workspace, out.Instance, out.Resume, out.After)
}

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

// Answer implements online.Codec.
func (Codec) Answer(_ int, h http.Header) online.Answer {
	return online.Answer{ID: h.Get(HeaderID), Sealed: h.Get(HeaderSeal) != "", NotRun: h.Get(HeaderNotRun) != ""}
}

// Arrival is one request that a server received.
type Arrival struct {
	ID     string
	After  int64 // event after which it goes on, 0 for the start
	Header http.Header
	Body   string
	At     time.Time
}

// Conn is a connection on which a script answers a request.
type Conn struct {
	net.Conn
	Arrival
	gone chan struct{}
}

// Gone is closed when the peer closed the connection.
func (c *Conn) Gone() <-chan struct{} { return c.gone }

// Head writes an answer's status line and header, sealed and with the
// request's id, and what extra adds.
func (c *Conn) Head(status int, extra ...string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: s\r\n%s\r\n", status, HeaderID, c.ID, HeaderSeal, lines(extra))
}

// NotRun answers that the request was not run.
func (c *Conn) NotRun(status int) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, HeaderID, c.ID, HeaderNotRun)
}

// Whole answers with a body of known length.
func (c *Conn) Whole(status int, body string) {
	c.Head(status, "Content-Length: "+strconv.Itoa(len(body)))
	_, _ = io.WriteString(c, body) // the peer may have gone
}

// StreamHead begins a chunked stream of events.
func (c *Conn) StreamHead() {
	c.Head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// Event writes one whole event as a chunk.
func (c *Conn) Event(id int64) {
	event := fmt.Sprintf("id: %d\ndata: token%d\n\n", id, id)
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
}

// Events writes events from first to last.
func (c *Conn) Events(first, last int64) {
	for id := first; id <= last; id++ {
		c.Event(id)
	}
}

// End ends a chunked stream.
func (c *Conn) End() { _, _ = io.WriteString(c, "0\r\n\r\n") } // the peer may have gone

func lines(extra []string) string {
	var b strings.Builder
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	return b.String()
}

// Server is a backend server. Its script answers each request; after it
// returns true the connection takes the next request, otherwise it is closed.
type Server struct {
	listener net.Listener
	mu       sync.Mutex
	script   func(*Conn) bool
	arrivals []Arrival
	dials    int
}

// New starts a server that ends with the test.
func New(t testing.TB, script func(*Conn) bool) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

// Address returns the server's address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Entry returns the server as a placement sees it.
func (s *Server) Entry(id, service string, slots int) placement.Server {
	return placement.Server{ID: id, Instance: id, Service: service, Address: s.Address(), Zone: "z", Slots: slots, Ready: true}
}

// Script replaces the script.
func (s *Server) Script(script func(*Conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.script = script
}

// Arrivals returns the requests received so far.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Dials returns the number of accepted connections.
func (s *Server) Dials() int {
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
		s.mu.Unlock()
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
		after, _ := strconv.ParseInt(req.Header.Get(HeaderResume), 10, 64) // 0 without one
		a := Arrival{ID: req.Header.Get(HeaderID), After: after, Header: req.Header, Body: string(body), At: time.Now()}
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		script := s.script
		s.mu.Unlock()
		c := &Conn{Conn: raw, Arrival: a, gone: make(chan struct{})}
		peeked := make(chan struct{})
		go func() {
			defer close(peeked)
			if _, err := r.Peek(1); err != nil {
				close(c.gone)
			}
		}()
		if !script(c) {
			return
		}
		<-peeked
	}
}
