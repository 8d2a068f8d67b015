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

// testTimes are the default durations divided by ten.
var testTimes = lease.Options{
	Duration: 900 * time.Millisecond, Renew: 300 * time.Millisecond, Slack: 100 * time.Millisecond,
	OrderTimeout: 500 * time.Millisecond, Retry: 50 * time.Millisecond,
}

// fakeEngine is a server that receives orders and may check fencing numbers.
type fakeEngine struct {
	*httptest.Server
	fencing bool

	mu           sync.Mutex
	highest      uint64
	model        string
	received     []orderBody
	failuresLeft int // orders left to refuse with status 500
}

func newFakeEngine(t *testing.T, fencing bool) *fakeEngine {
	e := &fakeEngine{fencing: fencing}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEngine) serve(w http.ResponseWriter, r *http.Request) {
	var body orderBody
	if r.Method != http.MethodPost || r.URL.Path != "/orders" || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.failuresLeft > 0:
		e.failuresLeft--
		w.WriteHeader(http.StatusInternalServerError)
	case e.fencing && body.Fencing < e.highest:
		w.WriteHeader(http.StatusConflict)
	default:
		e.highest = max(e.highest, body.Fencing)
		e.model = body.Model
		e.received = append(e.received, body)
	}
}

func (e *fakeEngine) state() (model string, received []orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, append([]orderBody(nil), e.received...)
}

// pausableStore is a store whose calls block while its process is paused.
type pausableStore struct {
	store.Store
	gate *gate
}

func (p *pausableStore) Get(ctx context.Context, key string) (store.Object, error) {
	p.gate.pass()
	return p.Store.Get(ctx, key)
}

func (p *pausableStore) Put(ctx context.Context, key string, value []byte, ifVersion int64) (store.Object, error) {
	p.gate.pass()
	return p.Store.Put(ctx, key, value, ifVersion)
}

// gate blocks callers of pass while it is closed.
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
	if g.open != nil {
		close(g.open)
		g.open = nil
	}
}

// fixture is a platform with one engine that checks fencing numbers and one
// that ignores them.
type fixture struct {
	t       *testing.T
	store   *storetest.Fake
	engines map[string]*fakeEngine
	snap    *config.Snapshot
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, store: storetest.New(), snap: config.EmptySnapshot()}
	f.engines = map[string]*fakeEngine{"checks": newFakeEngine(t, true), "ignores": newFakeEngine(t, false)}
	for name, e := range f.engines {
		f.snap.Servers[name] = config.Server{Name: name, Address: strings.TrimPrefix(e.URL, "http://"), Fencing: e.fencing}
	}
	return f
}

type host struct {
	*Controller
	gate   gate
	active atomic.Bool // whether the host is a candidate
	stop   func()
}

// start runs a controller. afterCheck runs between the lease check and the
// write of an order.
func (f *fixture) start(name string, afterCheck func(*host)) *host {
	h := &host{}
	h.active.Store(true)
	o := Options{
		Store: &pausableStore{f.store, &h.gate}, Writer: store.NewWriter(name), Config: func() *config.Snapshot { return f.snap },
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
	f.t.Cleanup(func() {
		h.gate.reopen() // a failed test may leave it closed
		h.stop()
	})
	return h
}

func (f *fixture) awaitTrue(what string, ok func() bool) {
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

func (f *fixture) allConfirmed() bool {
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

func lastVersion(e *fakeEngine) string {
	_, got := e.state()
	if len(got) == 0 {
		return ""
	}
	return got[len(got)-1].Version
}

func holdsRole(h *host) func() bool {
	return func() bool { _, held := h.Holder(); return held }
}

func counterValue(name string) int64 {
	v, _ := counters.Get(name).(*expvar.Int)
	if v == nil {
		return 0
	}
	return v.Value()
}

// ranLateOrder reports whether the engine ran an order of the first holder
// after one of the second holder.
func ranLateOrder(e *fakeEngine) bool {
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

// Guards against orders that are not sent, not retried after a refusal, or sent
// again after they were confirmed, and against a takeover that waits for the
// lease of a holder that released the role.
func TestOrdersAreSentOnceAndRetried(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.engines["checks"].failuresLeft = 1 // the refused order is retried
	f.order("checks", "v1")
	h := f.start("a/1", nil)
	f.order("ignores", "v1")
	f.order("unknown", "v1") // not in the configuration: never sent
	f.awaitTrue("orders", func() bool {
		return lastVersion(f.engines["checks"]) == "v1" && lastVersion(f.engines["ignores"]) == "v1"
	})
	f.order("checks", "v2")
	f.awaitTrue("new order", func() bool { return lastVersion(f.engines["checks"]) == "v2" })
	f.awaitTrue("record", func() bool {
		entries, err := h.Desired().List(context.Background())
		is.NoErr(err)
		return !entries[0].Pending() && entries[0].Failures == 0 && entries[0].Epoch == 1 && entries[2].Pending()
	})
	_, got := f.engines["ignores"].state()
	is.Equal(len(got), 1) // a confirmed order is not sent again
	is.Equal(got[0], orderBody{Kind: orders.LoadVersion, Model: "m", Version: "v1", Fencing: 1})
	h.stop()
	next := f.start("b/1", nil)
	f.awaitTrue("takeover after release", holdsRole(next))
	epoch, _ := next.Holder()
	is.Equal(epoch, uint64(2))
}

// Guards against an order that was not sent, because the lease had ended, and is
// reported as one that may have arrived: the transport may notice first that the
// connection was closed.
func TestOrderAfterLeaseEndedIsReportedAsNotSent(t *testing.T) {
	is := is.New(t)
	engine := newFakeEngine(t, false)
	s := newSender(time.Second, nil)
	err := s.send(context.Background(), strings.TrimPrefix(engine.URL, "http://"), Order{Server: "e"}, 1, func() bool {
		engine.CloseClientConnections()
		time.Sleep(50 * time.Millisecond) // the transport reads the end of the connection
		return false
	})
	is.Equal(err, errLeaseEnded)
	_, got := engine.state()
	is.Equal(len(got), 0)
}

// Guards against a holder that sends orders when it resumes from a pause during
// which its lease ended, to servers with or without fencing.
func TestPausedHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	a := f.start("a/1", nil)
	f.awaitTrue("first holder", holdsRole(a))
	a.gate.close() // its renewals stop, as in a paused process
	b := f.start("b/1", nil)
	f.awaitTrue("second holder", holdsRole(b))
	is.True(!holdsRole(a)())
	err := a.sender.send(context.Background(), f.snap.Servers["ignores"].Address, Order{Server: "ignores", Kind: orders.LoadVersion, Version: "old"}, 1,
		func() bool { return a.role.mayOrder(1, false) })
	is.Equal(err, errLeaseEnded)
	a.gate.reopen()
	f.order("checks", "v2")
	f.order("ignores", "v2")
	f.awaitTrue("orders of the second holder", f.allConfirmed)
	for _, e := range f.engines {
		_, got := e.state()
		is.Equal(len(got), 1)
		is.Equal(got[0].Fencing, uint64(2))
	}
}

// Guards against a lasting effect of an order that a holder sends late because
// it was paused between the last lease check and the write. A server that
// checks fencing refuses the order. To one that does not, the new holder sends
// the desired state again.
func TestLateOrderOfPausedHolderIsCorrected(t *testing.T) {
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
			a.sender.timeout = time.Minute // the pause exceeds the order's timeout, as in a stopped process
			f.awaitTrue("first holder", holdsRole(a))
			f.order(server, "v1")
			<-paused
			b := f.start("b/1", nil)
			f.awaitTrue("second holder", holdsRole(b))
			f.order(server, "v2")
			f.awaitTrue("new order", func() bool { return lastVersion(f.engines[server]) == "v2" })
			f.awaitTrue("record", f.allConfirmed)
			a.active.Store(false)
			refused := counterValue("refused_old_fencing")
			a.gate.reopen()
			if server == "ignores" {
				f.awaitTrue("late order", func() bool { return ranLateOrder(f.engines[server]) })
			}
			time.Sleep(2 * testTimes.Renew)
			f.awaitTrue("repair", func() bool { return lastVersion(f.engines[server]) == "v2" && f.allConfirmed() })
			is.True(!holdsRole(a)())
			is.True(holdsRole(b)())
			if server == "checks" {
				is.Equal(counterValue("refused_old_fencing"), refused+1) // the late order arrived
				is.True(!ranLateOrder(f.engines[server]))                // the late order was refused
			}
		})
	}
}

// Guards against sending to a server that ignores fencing numbers before the
// orders of the previous holder have timed out.
func TestTakeoverWaitsForServersWithoutFencing(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	first := f.start("a/1", nil)
	f.awaitTrue("first holder", holdsRole(first))
	first.stop()
	f.order("ignores", "v1")
	f.order("checks", "v1")
	h := f.start("b/1", nil)
	f.awaitTrue("role", holdsRole(h))
	began := time.Now()
	f.awaitTrue("order with fencing", func() bool { return lastVersion(f.engines["checks"]) == "v1" })
	is.Equal(lastVersion(f.engines["ignores"]), "")
	f.awaitTrue("order without fencing", func() bool { return lastVersion(f.engines["ignores"]) == "v1" })
	is.True(time.Since(began) >= testTimes.OrderTimeout-50*time.Millisecond)
}

// Guards against keeping the role during a platform outage, and against
// resending orders in a tight loop.
func TestOrdersResumeAfterPlatformOutage(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	h := f.start("a/1", nil)
	f.awaitTrue("role", holdsRole(h))
	f.order("checks", "v1")
	f.awaitTrue("order", f.allConfirmed)
	f.store.SetDown(true)
	f.awaitTrue("role ends", func() bool { return !holdsRole(h)() })
	f.store.SetDown(false)
	f.order("checks", "v2")
	f.awaitTrue("role again", holdsRole(h))
	f.awaitTrue("order after the outage", func() bool { return lastVersion(f.engines["checks"]) == "v2" && f.allConfirmed() })
	f.store.LoseResponses(1)
	f.order("checks", "v3")
	f.awaitTrue("order after a lost answer", f.allConfirmed)
	_, got := f.engines["checks"].state()
	is.True(len(got) <= 5)
}

// Guards against storing invalid orders, against a new generation for an
// unchanged order, and against losing entries when the list has several pages.
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
	is.Equal(first, again) // setting the same order changes nothing
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

// Guards against a wrong set of candidates when members are dead or this host is
// not a member.
func TestFirstLiveHostsAreCandidates(t *testing.T) {
	is := is.New(t)
	v := fleet.View{Alive: map[peer.HostID]bool{"a": true, "c": true, "d": true}}
	for _, name := range []peer.HostID{"a", "b", "c", "d"} {
		v.Members = append(v.Members, fleet.Member{Host: name})
	}
	for name, want := range map[peer.HostID]bool{"a": true, "c": true, "d": false, "x": false} {
		v.Self = name
		is.Equal(IsCandidate(v, 2), want)
	}
}
