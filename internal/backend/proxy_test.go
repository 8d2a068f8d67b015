package backend

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// tcpProxy forwards TCP connections to a server. It can make connections silent:
// they stay open but forward nothing.
type tcpProxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    []*proxiedConn
	hung     bool // new connections become silent too
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	client, server net.Conn
	silent         atomic.Bool
}

func newTCPProxy(t *testing.T, target string) *tcpProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &tcpProxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(p.close)
	return p
}

func (p *tcpProxy) address() string { return p.listener.Addr().String() }

func (p *tcpProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		l := &proxiedConn{client: client, server: server}
		p.mu.Lock()
		l.silent.Store(p.hung)
		p.conns = append(p.conns, l)
		p.mu.Unlock()
		go l.copy(server, client)
		go l.copy(client, server)
	}
}

// copy forwards bytes in one direction and drops them while the connection is
// silent.
func (l *proxiedConn) copy(to, from net.Conn) {
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

// silence makes all open connections silent, and with hung also all new ones.
func (p *tcpProxy) silence(hung bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hung = hung
	for _, l := range p.conns {
		l.silent.Store(true)
	}
}

func (p *tcpProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.client.Close()
		l.server.Close()
	}
}
