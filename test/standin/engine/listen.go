package engine

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/standin/control"
)

const (
	// crashExitStatus is the exit status of a crash with Options.ExitOnCrash.
	crashExitStatus = 139
	// relistenInterval is the time between attempts to listen again after a crash.
	relistenInterval = 20 * time.Millisecond
)

// restartableServer serves an engine on an address. When the engine crashes, it
// closes all connections and the listener for a while, or exits.
type restartableServer struct {
	addr        string
	exitOnCrash bool

	mu      sync.Mutex
	handler http.Handler
	srv     *http.Server
	conns   map[net.Conn]struct{}
	errs    chan error
}

// Run serves an engine at addr, and its control interface at controlAddr,
// until ctx ends.
func Run(ctx context.Context, addr, controlAddr string, opts Options) error {
	p := &restartableServer{addr: addr, exitOnCrash: opts.ExitOnCrash, conns: map[net.Conn]struct{}{}, errs: make(chan error, 2)}
	engine := New(opts, p.crash)
	p.handler = engine
	if err := p.listen(); err != nil {
		return err
	}
	go engine.Run(ctx)
	go func() { p.errs <- control.ListenAndServe(ctx, controlAddr, engine.Control()) }()
	select {
	case err := <-p.errs:
		return err
	case <-ctx.Done():
		p.close()
		return nil
	}
}

func (p *restartableServer) listen() error {
	l, err := control.Listen(p.addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p.handler, ConnState: p.trackConn, ReadHeaderTimeout: time.Minute}
	p.mu.Lock()
	p.srv = srv
	p.mu.Unlock()
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.errs <- err
		}
	}()
	return nil
}

func (p *restartableServer) trackConn(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// close stops listening and resets all connections.
func (p *restartableServer) close() {
	p.mu.Lock()
	srv := p.srv
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.mu.Unlock()
	_ = srv.Close()
}

// crash exits the process with exitOnCrash. Otherwise it closes the listener and
// all connections, and listens again after downtime.
func (p *restartableServer) crash(downtime time.Duration) {
	if p.exitOnCrash {
		os.Exit(crashExitStatus)
	}
	p.close()
	time.AfterFunc(downtime, p.relisten)
}

func (p *restartableServer) relisten() {
	for p.listen() != nil {
		time.Sleep(relistenInterval)
	}
}
