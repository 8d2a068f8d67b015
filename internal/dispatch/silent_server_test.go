package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
)

// pausingServer is a sound backend server that falls silent and goes on. It keeps its
// connections.
type pausingServer struct {
	listener net.Listener
	pieces   []string        // of its answer
	silences []time.Duration // before each piece
	whole    bool            // its load reports are silent too, and its new connections
	mu       sync.Mutex
	until    time.Time // it is silent, if whole
	runs     int
}

func newPausingServer(t *testing.T, pieces []string, silences []time.Duration, whole bool) *pausingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &pausingServer{listener: listener, pieces: pieces, silences: silences, whole: whole}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *pausingServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // it is whole
		if req.URL.Path == "/load" {
			s.awaitEnd()
			report := `{"running":1,"slots":8}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		s.mu.Lock()
		s.runs++
		s.mu.Unlock()
		for i, piece := range s.pieces {
			s.fallSilent(s.silences[i])
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}
}

func (s *pausingServer) fallSilent(d time.Duration) {
	s.mu.Lock()
	if s.whole && d > 0 {
		s.until = time.Now().Add(d)
	}
	s.mu.Unlock()
	time.Sleep(d)
}

// awaitEnd waits for the end of the server's present silence.
func (s *pausingServer) awaitEnd() {
	s.mu.Lock()
	left := time.Until(s.until)
	s.mu.Unlock()
	time.Sleep(left)
}

// pausingAnswers are the pieces of the answers, and their bodies.
var pausingAnswers = map[string]struct {
	pieces []string
	body   string
}{
	"stream": {[]string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n\r\n", "9\r\ndata: 1\n\n\r\n", "9\r\ndat",
		"a: 2\n\n\r\n", "e\r\ndata: [DONE]\n\n\r\n", "0\r\n\r\n",
	}, "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"},
	"body": {[]string{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "Content-Length: 8\r\n\r\n", "who", "le o", "k"}, "whole ok"},
}

// exchangesAtATime bounds the exchanges, with a host each, that run at the same time. Polls
// of their servers have a time-out, which more of them would exceed by their own load.
const exchangesAtATime = 112

// silencesInTurn are how often a server is silent in turn.
const silencesInTurn = 4

// A sound server that falls silent for up to 2 s in any phase of its answer, or before
// some pieces in turn, lost its exchange: the caller got a cut answer, 502 or 504. The
// configuration changes all the while, and the host may begin to stop.
func TestSilentServerKeepsItsExchange(t *testing.T) {
	t.Parallel()
	var group sync.WaitGroup
	free := make(chan struct{}, exchangesAtATime)
	for kind, answer := range pausingAnswers {
		for silence := 500 * time.Millisecond; silence <= 2*time.Second; silence += 500 * time.Millisecond {
			for at := -1; at < len(answer.pieces); at++ {
				silences := make([]time.Duration, len(answer.pieces))
				for i := range silences {
					if i == at || at < 0 && i < silencesInTurn {
						silences[i] = silence
					}
				}
				for n := range 8 {
					idempotent, whole, stops := n&1 > 0, n&2 > 0, n&4 > 0
					server := newPausingServer(t, answer.pieces, silences, whole)
					free <- struct{}{}
					group.Go(func() {
						defer func() { <-free }()
						if err := silentExchange(t, server, kind == "stream", idempotent, stops, answer.body); err != nil {
							t.Errorf("%s, silent for %s before piece %d, idempotent %t, whole server %t, host stops %t: %v", kind, silence, at, idempotent, whole, stops, err)
						}
					})
				}
			}
		}
	}
	group.Wait()
}

// silentExchange sends a request and checks its answer.
func silentExchange(t *testing.T, s *pausingServer, stream, idempotent, stops bool, want string) error {
	server := config.Server{Name: "e", Pool: "p", Address: s.listener.Addr().String(), Concurrency: 8, Speed: 1}
	revision := func(n int64) *config.Snapshot {
		cfg := snapshot(nil, map[string]float64{"w": 1})
		cfg.Revision = n
		cfg.Servers["e"] = server
		if n%2 == 0 { // another service comes and goes
			cfg.Servers["f"] = config.Server{Name: "f", Pool: "q", Address: server.Address, Concurrency: 8, Speed: 1}
		}
		return cfg
	}
	n := newNetwork(t, revision(1), "h")
	d := n.start(t, "h", Options{})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	go func() {
		for i := int64(2); ctx.Err() == nil; i++ {
			time.Sleep(100 * time.Millisecond)
			n.hosts["h"].onConfig(revision(i))
		}
	}()
	time.Sleep(rand.N(500 * time.Millisecond)) // polls are spread
	drained := make(chan error, 1)
	if stops {
		time.AfterFunc(rand.N(time.Second), func() { drained <- d.Drain(ctx) })
	}
	got, err := call(ctx, d, &Request{ID: "1", Workspace: "w", Stream: stream, Idempotent: idempotent, Body: []byte("x"), Deadline: time.Now().Add(25 * time.Second)})
	if err != nil || got != want {
		s.mu.Lock()
		defer s.mu.Unlock()
		return errors.Newf("got %q, error %v, after %d runs", got, err, s.runs)
	}
	if stops {
		return errors.Wrap(<-drained, "drain")
	}
	return nil
}
