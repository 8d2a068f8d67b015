package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

// network delivers heartbeat sections between fake fleets.
type network struct {
	mu    sync.Mutex
	hosts map[peer.HostID]*fakeFleet
	cfg   *config.Snapshot
}

// fakeFleet is the fleet service of one host.
type fakeFleet struct {
	net          *network
	self         peer.HostID
	leaseExpired atomic.Bool
	sections     map[string]json.RawMessage
	subs         map[string]func(peer.HostID, json.RawMessage)
	onConfig     func(*config.Snapshot)
}

func newNetwork(t *testing.T, cfg *config.Snapshot, hosts ...peer.HostID) *network {
	n := &network{hosts: map[peer.HostID]*fakeFleet{}, cfg: cfg}
	for _, id := range hosts {
		n.hosts[id] = &fakeFleet{net: n, self: id, sections: map[string]json.RawMessage{}, subs: map[string]func(peer.HostID, json.RawMessage){}}
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(200 * time.Millisecond)
			for _, f := range n.hosts {
				f.HeartbeatNow()
			}
		}
	}()
	return n
}

func (f *fakeFleet) View() fleet.View {
	v := fleet.View{Self: f.self, Epoch: 1, Alive: map[peer.HostID]bool{}, Settled: true}
	for id := range f.net.hosts {
		v.Members = append(v.Members, fleet.Member{Host: id, Zone: "z"})
		v.Alive[id] = true
	}
	return v
}

func (f *fakeFleet) Config() *config.Snapshot {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.net.cfg
}

func (f *fakeFleet) MayAdmit(time.Time) error {
	if f.leaseExpired.Load() {
		return context.DeadlineExceeded
	}
	return nil
}

func (f *fakeFleet) OnConfig(fn func(*config.Snapshot)) { f.onConfig = fn }
func (f *fakeFleet) OnView(func(fleet.View))            {}

func (f *fakeFleet) Publish(section string, value any) {
	raw, _ := json.Marshal(value)
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.sections[section] = raw
}

func (f *fakeFleet) Subscribe(section string, fn func(peer.HostID, json.RawMessage)) {
	f.subs[section] = fn
}

// HeartbeatNow delivers this host's sections to all others.
func (f *fakeFleet) HeartbeatNow() {
	f.net.mu.Lock()
	sections := map[string]json.RawMessage{}
	for name, raw := range f.sections {
		sections[name] = raw
	}
	f.net.mu.Unlock()
	for _, other := range f.net.hosts {
		for name, raw := range sections {
			if fn := other.subs[name]; other != f && fn != nil {
				fn(f.self, raw)
			}
		}
	}
}

var _ fleet.Service = (*fakeFleet)(nil)

// fakeServer is a backend server that can crash and restart at the same address.
type fakeServer struct {
	name, address string
	slots         int
	restartDelay  time.Duration // between a crash and the restart
	handle        func(e *fakeServer, w http.ResponseWriter, r *http.Request, body []byte)

	mu          sync.Mutex
	server      *http.Server
	crashes     atomic.Int64
	running     atomic.Int64
	peakRunning atomic.Int64
	runCounts   sync.Map // number of runs by request ID
}

func newFakeServer(t *testing.T, name string, slots int, handle func(*fakeServer, http.ResponseWriter, *http.Request, []byte)) *fakeServer {
	t.Helper()
	e := &fakeServer{name: name, slots: slots, restartDelay: 300 * time.Millisecond, handle: handle}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.address = listener.Addr().String()
	e.serve(listener)
	t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.server.Close()
	})
	return e
}

func (e *fakeServer) serve(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: e}
	go e.server.Serve(listener)
}

// crash closes all connections and restarts the server after restartDelay.
func (e *fakeServer) crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server.Close()
	time.AfterFunc(e.restartDelay, func() {
		if listener, err := net.Listen("tcp", e.address); err == nil {
			e.serve(listener)
		}
	})
}

func (e *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		fmt.Fprintf(w, `{"running":%d,"slots":%d,"at_ms":%d}`, e.running.Load(), e.slots, time.Now().UnixMilli())
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := e.running.Add(1)
	defer e.running.Add(-1)
	for p := e.peakRunning.Load(); n > p && !e.peakRunning.CompareAndSwap(p, n); p = e.peakRunning.Load() {
	}
	count, _ := e.runCounts.LoadOrStore(r.Header.Get("X-Call"), new(atomic.Int64))
	count.(*atomic.Int64).Add(1)
	e.handle(e, w, r, body)
}

// respondAfter returns a handler that responds after d unless the request is
// cancelled.
func respondAfter(d time.Duration) func(*fakeServer, http.ResponseWriter, *http.Request, []byte) {
	return func(_ *fakeServer, w http.ResponseWriter, r *http.Request, body []byte) {
		select {
		case <-time.After(d):
			_, _ = w.Write(append([]byte("did "), body...))
		case <-r.Context().Done():
		}
	}
}

// snapshot returns a configuration with the servers in pool p and workspaces
// with the given weights.
func snapshot(servers []*fakeServer, weights map[string]float64) *config.Snapshot {
	cfg := config.EmptySnapshot()
	cfg.Revision = 1
	for _, e := range servers {
		cfg.Servers[e.name] = config.Server{Name: e.name, Pool: "p", Address: e.address, Concurrency: e.slots, Speed: 1}
	}
	for name, weight := range weights {
		cfg.Workspaces[name] = config.Workspace{Name: name, Weight: weight, MaxQueue: 200}
	}
	return cfg
}

func (n *network) start(t *testing.T, host peer.HostID, opts Options) *Dispatcher {
	t.Helper()
	opts.Fleet = n.hosts[host]
	d := New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d.Start(ctx)
	return d
}

// call runs a request and returns the body of its response.
func call(ctx context.Context, d *Dispatcher, req *Request) (string, error) {
	if req.Method == "" {
		req.Method, req.Path, req.Pool = "POST", "/run", "p"
	}
	if req.Header == nil {
		req.Header = http.Header{"X-Call": {req.ID}}
	}
	resp, err := d.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var out bytes.Buffer
	_, err = out.ReadFrom(resp.Body)
	return out.String(), err
}
