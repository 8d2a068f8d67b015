package backend

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay forwards TCP connections to a server and can make the open ones silent.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     []*link
	hung     bool // new connections are silent too
}

// link is one forwarded connection.
type link struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		l := &link{client: client, server: server}
		r.mu.Lock()
		l.silent.Store(r.hung)
		r.open = append(r.open, l)
		r.mu.Unlock()
		go l.copy(server, client)
		go l.copy(client, server)
	}
}

// copy forwards bytes, and drops them while the link is silent.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.silent.Load() {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			if !l.silent.Load() || err != io.EOF {
				to.Close()
			}
			return
		}
	}
}

// silence makes all present connections silent; new ones work unless hung.
func (r *relay) silence(hung bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hung = hung
	for _, l := range r.open {
		l.silent.Store(true)
	}
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.open {
		l.client.Close()
		l.server.Close()
	}
}
