package orders

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/lease"
	"ragwortstep/internal/core/orders"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// testTimes keep the ratios of the real times at a tenth of their length.
var testTimes = lease.Options{
	Duration: 900 * time.Millisecond, Renew: 300 * time.Millisecond, Slack: 100 * time.Millisecond,
	OrderTimeout: 500 * time.Millisecond, Retry: 50 * time.Millisecond,
}

// engine is a server that takes orders and may check fencing numbers.
type engine struct {
	*httptest.Server
	fencing bool

	mu      sync.Mutex
	highest uint64
	model   string
	got     []orderBody
	fail    int // refuses this many orders with status 500
}

func newEngine(t *testing.T, fencing bool) *engine {
	e := &engine{fencing: fencing}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.Close)
	return e
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if r.Method != http.MethodPost || r.URL.Path != "/orders" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.fail > 0:
		e.fail--
		w.WriteHeader(http.StatusInternalServerError)
	case e.fencing && body.Fencing < e.highest:
		w.WriteHeader(http.StatusConflict)
	default:
		e.highest = max(e.highest, body.Fencing)
		e.model = body.Model
		e.got = append(e.got, body)
	}
}

func (e *engine) state() (model string, got []orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, append([]orderBody(nil), e.got...)
}

// pausable is a store whose calls stop while its process is paused.
type pausable struct {
	store.Store
	gate *gate
}

func (p *pausable) Get(ctx context.Context, key string) (store.Object, error) {
	p.gate.pass()
	return p.Store.Get(ctx, key)
}

func (p *pausable) Put(ctx context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	p.gate.pass()
	return p.Store.Put(ctx, key, value, ifVersion)
}

// gate stops whoever passes it while it is closed.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // nil when open
}

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
	g.open = nil
}

// fixture is a platform with one fencing and one other engine.
type fixture struct {
	t       *testing.T
	store   *storetest.Fake
	engines map[string]*engine
	snap    *config.Snapshot
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: storetest.New(), snap: config.Empty()}
	f.engines = map[string]*engine{"checks": newEngine(t, true), "ignores": newEngine(t, false)}
	for name, e := range f.engines {
		f.snap.Servers[name] = config.Server{Name: name, Address: strings.TrimPrefix(e.URL, "http://"), Fencing: e.fencing}
	}
	return f
}

type host struct {
	*Controller
	gate   gate
	active atomic.Bool // candidate
	stop   func()
}

// start runs a controller. afterCheck runs between the lease check and the
// write of an order.
func (f *fixture) start(name string, afterCheck func(*host)) *host {
	h := &host{}
	h.active.Store(true)
	o := Options{
		Store: &pausable{f.store, &h.gate}, Writer: store.NewWriter(name), Config: func() *config.Snapshot { return f.snap },
		Candidate: h.active.Load, Lease: testTimes, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if afterCheck != nil {
		o.afterLeaseCheck = func() { afterCheck(h) }
	}
	h.Controller = New(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	h.stop = sync.OnceFunc(func() { cancel(); <-done })
	f.t.Cleanup(h.stop)
	return h
}

func (f *fixture) await(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within 15 s", what)
		}
	}
}

func (f *fixture) order(server, model string) {
	f.t.Helper()
	d := NewDesired(f.store, store.NewWriter("operator"))
	if _, err := d.Set(context.Background(), Order{Server: server, Kind: orders.LoadVersion, Model: "m", Version: model}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) settled() bool {
	entries, err := NewDesired(f.store, store.NewWriter("reader")).List(context.Background())
	if err != nil {
		return false
	}
	for _, e := range entries {
		if e.Pending() {
			return false
		}
	}
	return true
}

func lastVersion(e *engine) string {
	_, got := e.state()
	if len(got) == 0 {
		return ""
	}
	return got[len(got)-1].Version
}

func holds(h *host) func() bool {
	return func() bool { _, held := h.Holder(); return held }
}

func count(name string) int64 {
	v, _ := counters.Get(name).(*expvar.Int)
	if v == nil {
		return 0
	}
	return v.Value()
}

// lateOrder reports whether the engine ran an order of the first holder after
// one of the second.
func lateOrder(e *engine) bool {
	_, got := e.state()
	second := false
	for _, o := range got {
		if second && o.Fencing == 1 {
			return true
		}
		second = second || o.Fencing == 2
	}
	return false
}

func TestControllerDelivers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engines["checks"].fail = 1 // an engine's failure is retried
	f.order("checks", "v1")
	h := f.start("a/1", nil)
	f.order("ignores", "v1")
	f.order("unknown", "v1") // not in the table: never sent
	f.await("orders", func() bool {
		return lastVersion(f.engines["checks"]) == "v1" && lastVersion(f.engines["ignores"]) == "v1"
	})
	f.order("checks", "v2")
	f.await("new order", func() bool { return lastVersion(f.engines["checks"]) == "v2" })
	f.await("record", func() bool {
		entries, err := h.Desired().List(context.Background())
		is.NoErr(err)
		return !entries[0].Pending() && entries[0].Failures == 0 && entries[0].Epoch == 1 && entries[2].Pending()
	})
	_, got := f.engines["ignores"].state()
	is.Equal(len(got), 1) // a confirmed order is not sent again
	is.Equal(got[0], orderBody{Kind: orders.LoadVersion, Model: "m", Version: "v1", Fencing: 1})
	h.stop()
	next := f.start("b/1", nil)
	f.await("takeover after release", holds(next))
	epoch, _ := next.Holder()
	is.Equal(epoch, uint64(2))
}

// A holder that is paused before its last lease check must send nothing when
// it continues, to either kind of server.
func TestPausedHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.start("a/1", nil)
	f.await("first holder", holds(a))
	a.gate.close() // its renewals stop, as in a paused process
	b := f.start("b/1", nil)
	f.await("second holder", holds(b))
	is.True(!holds(a)())
	sent := a.sender.send(context.Background(), f.snap.Servers["ignores"].Address, Order{Server: "ignores", Kind: orders.LoadVersion, Version: "old"}, 1,
		func() bool { return a.role.mayOrder(1, false) })
	is.Equal(sent, errLapsed)
	a.gate.reopen()
	f.order("checks", "v2")
	f.order("ignores", "v2")
	f.await("orders of the second holder", f.settled)
	for _, e := range f.engines {
		_, got := e.state()
		is.Equal(len(got), 1)
		is.Equal(got[0].Fencing, uint64(2))
	}
}

// A holder that is paused between its last lease check and the write sends a
// late order. A server that checks fencing refuses it; at one that does not,
// the new holder sends the desired state again.
func TestPausedHolderDoesNoHarm(t *testing.T) {
	for _, server := range []string{"checks", "ignores"} {
		t.Run(server, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t)
			paused := make(chan struct{})
			var once sync.Once
			a := f.start("a/1", func(h *host) {
				once.Do(func() { h.gate.close(); close(paused) })
				h.gate.pass()
			})
			a.sender.timeout = time.Minute // the pause outlasts the order's timeout, as in a stopped process
			f.await("first holder", holds(a))
			f.order(server, "v1")
			<-paused
			b := f.start("b/1", nil)
			f.await("second holder", holds(b))
			f.order(server, "v2")
			f.await("new order", func() bool { return lastVersion(f.engines[server]) == "v2" })
			f.await("record", f.settled)
			a.active.Store(false)
			refused := count("refused_old_fencing")
			a.gate.reopen()
			if server == "ignores" {
				f.await("late order", func() bool { return lateOrder(f.engines[server]) })
			}
			time.Sleep(2 * testTimes.Renew)
			f.await("repair", func() bool { return lastVersion(f.engines[server]) == "v2" && f.settled() })
			is.True(!holds(a)())
			is.True(holds(b)())
			if server == "checks" {
				is.Equal(count("refused_old_fencing"), refused+1) // the late order arrived
				is.True(!lateOrder(f.engines[server]))            // the late order was refused
			}
		})
	}
}

// The first order to a server that ignores fencing numbers must wait until the
// orders of an earlier holder have timed out.
func TestTakeoverWaitsForServersWithoutFencing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := f.start("a/1", nil)
	f.await("first holder", holds(first))
	first.stop()
	f.order("ignores", "v1")
	f.order("checks", "v1")
	h := f.start("b/1", nil)
	f.await("role", holds(h))
	began := time.Now()
	f.await("order with fencing", func() bool { return lastVersion(f.engines["checks"]) == "v1" })
	is.Equal(lastVersion(f.engines["ignores"]), "")
	f.await("order without fencing", func() bool { return lastVersion(f.engines["ignores"]) == "v1" })
	is.True(time.Since(began) >= testTimes.OrderTimeout-50*time.Millisecond)
}

// An outage of the platform ends the role and must not repeat orders without pause.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	h := f.start("a/1", nil)
	f.await("role", holds(h))
	f.order("checks", "v1")
	f.await("order", f.settled)
	f.store.SetDown(true)
	f.await("role ends", func() bool { return !holds(h)() })
	f.store.SetDown(false)
	f.order("checks", "v2")
	f.await("role again", holds(h))
	f.await("order after the outage", func() bool { return lastVersion(f.engines["checks"]) == "v2" && f.settled() })
	f.store.LoseAnswers(1)
	f.order("checks", "v3")
	f.await("order after a lost answer", f.settled)
	_, got := f.engines["checks"].state()
	is.True(len(got) <= 5)
}

func TestDesired(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := storetest.New()
	d := NewDesired(objects, store.NewWriter("a"))
	_, err := d.Set(ctx, Order{Server: "s", Kind: "x"})
	is.True(err != nil)
	order := Order{Server: "s", Kind: orders.SetRole, Role: "decode"}
	first, err := d.Set(ctx, order)
	is.NoErr(err)
	again, err := d.Set(ctx, order)
	is.NoErr(err)
	is.Equal(first, again) // the same order is no new one
	order.Role = "prefill"
	changed, err := d.Set(ctx, order)
	is.NoErr(err)
	is.Equal(changed.Generation, uint64(2))
	is.NoErr(d.Remove(ctx, "s", "set_role"))
	is.Equal(d.Remove(ctx, "s", "set_role"), ErrNoOrder)
	for i := range 2*listLimit + 1 {
		_, err := d.Set(ctx, Order{Server: "s" + string(rune('a'+i%26)) + strings.Repeat("x", i/26), Kind: orders.SetRole, Role: "r"})
		is.NoErr(err)
	}
	entries, err := d.List(ctx)
	is.NoErr(err)
	is.Equal(len(entries), 2*listLimit+1)
}

func TestFirstAlive(t *testing.T) {
	is := is.New(t)
	v := fleet.View{Alive: map[peer.HostID]bool{"a": true, "c": true, "d": true}}
	for _, name := range []peer.HostID{"a", "b", "c", "d"} {
		v.Members = append(v.Members, fleet.Member{Host: name})
	}
	for name, want := range map[peer.HostID]bool{"a": true, "c": true, "d": false, "x": false} {
		v.Self = name
		is.Equal(FirstAlive(v, 2), want)
	}
}
