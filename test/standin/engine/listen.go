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
	// crashExitStatus is the exit status of a crash with Options.CrashExit.
	crashExitStatus = 139
	// relistenPause is the pause between attempts to take the address again.
	relistenPause = 20 * time.Millisecond
)

// process serves an engine on an address and takes it down when it crashes.
type process struct {
	addr string
	exit bool

	mu      sync.Mutex
	handler http.Handler
	srv     *http.Server
	conns   map[net.Conn]struct{}
	failed  chan error
}

// Run serves an engine at addr, and its control interface at controlAddr,
// until ctx ends.
func Run(ctx context.Context, addr, controlAddr string, opts Options) error {
	p := &process{addr: addr, exit: opts.CrashExit, conns: map[net.Conn]struct{}{}, failed: make(chan error, 2)}
	engine := New(opts, p.crash)
	p.handler = engine
	if err := p.open(); err != nil {
		return err
	}
	go engine.Run(ctx)
	go func() { p.failed <- control.ListenAndServe(ctx, controlAddr, engine.Control()) }()
	select {
	case err := <-p.failed:
		return err
	case <-ctx.Done():
		p.close()
		return nil
	}
}

func (p *process) open() error {
	l, err := control.Listen(p.addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p.handler, ConnState: p.track, ReadHeaderTimeout: time.Minute}
	p.mu.Lock()
	p.srv = srv
	p.mu.Unlock()
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- err
		}
	}()
	return nil
}

func (p *process) track(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// close resets all connections and stops listening.
func (p *process) close() {
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

// crash ends the process, or closes everything and listens again after down.
func (p *process) crash(down time.Duration) {
	if p.exit {
		os.Exit(crashExitStatus)
	}
	p.close()
	time.AfterFunc(down, p.reopen)
}

func (p *process) reopen() {
	for p.open() != nil {
		time.Sleep(relistenPause)
	}
}
