// Package dispatch sends requests to backend servers. It queues them by class,
// workspace and deadline, assigns each a slot of a server, retries failed
// attempts within a budget, and preempts batch work for online work.
package dispatch

import (
	"context"
	"expvar"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortstep/internal/backend"
	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxTickAge is the age of the last tick beyond which no batch items start.
	// A process that was paused past the end of its lease would otherwise start
	// items before the next tick checks the lease.
	maxTickAge = time.Second
	// noServerWait is how long an online request waits while no server of its
	// pool is usable, so that a restart of the servers of a small pool causes
	// no refusals.
	noServerWait      = 2 * time.Second
	defaultMaxQueue   = 256
	defaultBatchQueue = 4096
)

var counters = expvar.NewMap("dispatch")

// Options configures a Dispatcher. Zero fields select the stated defaults.
type Options struct {
	Fleet    fleet.Service    // required: configuration, view of the fleet and heartbeat sections
	Store    store.Store      // lists leaving servers; may be nil
	Recorder *events.Recorder // may be nil
	Logger   *slog.Logger     // default slog.Default()
	// Policy is two_choices (default), round_robin, least_outstanding or
	// random. The latter three are baselines that ignore the learned limits for
	// online requests.
	Policy     string
	NoPreempt  bool // disables the preemption of batch work by online work
	BatchQueue int  // maximum waiting batch items per workspace, default 4096
	Backend    backend.Options
}

// Dispatcher runs requests at backend servers. It is safe for concurrent use.
type Dispatcher struct {
	opts   Options
	log    *slog.Logger
	client *backend.Client
	self   string

	mu       sync.Mutex
	cfg      *config.Snapshot
	view     fleet.View
	weights  map[string]float64
	bal      *balance.Balancer
	pools    map[string]*poolState
	budget   retry.Budget
	suspects *retry.Suspects
	rng      *rand.Rand
	nextID   uint64
	active   int // calls of Do whose response body is not closed yet
	draining bool
	// batchAllowed reports whether the freshness lease was held at the last
	// tick.
	batchAllowed bool
	lastTick     time.Time
	idle         chan struct{} // closed when draining and active is 0
	leaving      leavingServers
	// publishedAt and suspectsChanged control when sections are sent to peers.
	publishedAt     time.Time
	suspectsChanged bool
}

// New returns a dispatcher and subscribes it to the fleet. Call Start before Do.
func New(opts Options) *Dispatcher {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.BatchQueue <= 0 {
		opts.BatchQueue = defaultBatchQueue
	}
	d := &Dispatcher{
		opts:     opts,
		log:      opts.Logger,
		client:   backend.New(opts.Backend),
		bal:      balance.New(balance.Policy(opts.Policy)),
		pools:    map[string]*poolState{},
		suspects: retry.NewSuspects(),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		idle:     make(chan struct{}),
		leaving:  newLeavingServers(),
	}
	opts.Fleet.OnConfig(d.configChanged)
	opts.Fleet.OnView(d.viewChanged)
	opts.Fleet.Subscribe(demandSection, d.demandReceived)
	opts.Fleet.Subscribe(quarantineSection, d.quarantineReceived)
	opts.Fleet.Subscribe(leavingSection, d.leavingReceived)
	return d
}

// Start polls the servers and exchanges demand with peers until ctx ends. The
// fleet must have its first configuration.
func (d *Dispatcher) Start(ctx context.Context) {
	d.viewChanged(d.opts.Fleet.View())
	d.configChanged(d.opts.Fleet.Config())
	d.tick(time.Now())
	go d.client.Run(ctx, pollObserver{d})
	go d.tickLoop(ctx)
	if d.opts.Store != nil {
		go d.watchLeaving(ctx)
	}
}

func (d *Dispatcher) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.tick(now)
		}
	}
}

// tick divides the slots again, refuses requests that cannot start, and
// publishes sections.
func (d *Dispatcher) tick(now time.Time) {
	leaseHeld := d.opts.Fleet.MayAdmit(now) == nil
	d.mu.Lock()
	d.batchAllowed, d.lastTick = leaseHeld, now
	for _, p := range d.pools {
		d.divideSlotsIfDue(p, now)
		d.refuseUnschedulable(p, now)
		d.schedule(p, now)
		p.queue.Prune()
	}
	d.mu.Unlock()
	d.publish(now)
}

// configChanged applies a configuration unless it is older than the present
// one.
func (d *Dispatcher) configChanged(cfg *config.Snapshot) {
	if cfg == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg != nil && cfg.Revision < d.cfg.Revision {
		return
	}
	d.cfg = cfg
	d.weights = make(map[string]float64, len(cfg.Workspaces))
	for name, w := range cfg.Workspaces {
		d.weights[name] = w.Weight
	}
	d.applyServers()
}

// viewChanged applies a view of the fleet.
func (d *Dispatcher) viewChanged(v fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := len(d.view.Members)
	d.view = v
	d.self = string(v.Self)
	for _, p := range d.pools {
		p.removeDeadHosts(v)
	}
	removed := d.leaving.removeDeadHosts(v)
	if d.cfg != nil && (removed || len(v.Members) != hosts) {
		d.applyServers()
	}
}

// applyServers selects the subset of servers that this host uses. The caller
// holds mu.
func (d *Dispatcher) applyServers() {
	byPool := map[string][]balance.Server{}
	for _, s := range d.cfg.Servers {
		byPool[s.Pool] = append(byPool[s.Pool], balance.Server{
			Name: s.Name, Pool: s.Pool, Concurrency: s.Concurrency, Speed: s.Speed,
			Leaving: s.Leaving || d.leaving.contains(s),
		})
	}
	var used []balance.Server
	var targets []config.Server
	for _, list := range byPool {
		for _, s := range balance.Subset(d.self, list, len(d.view.Members)) {
			used = append(used, s)
			targets = append(targets, d.cfg.Servers[s.Name])
		}
	}
	d.bal.SetServers(used)
	d.client.SetServers(targets)
	for _, p := range d.pools {
		p.divisionStale = true
	}
	for name := range byPool {
		d.pool(name)
	}
}

// pool returns the state of a pool, creating it if needed. The caller holds mu.
func (d *Dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = newPoolState(name)
		d.pools[name] = p
	}
	return p
}

// Drain refuses new batch work and waits until no request is queued or running,
// or until ctx ends. Online requests are still accepted, because requests
// admitted before the drain may reach the dispatcher late.
func (d *Dispatcher) Drain(ctx context.Context) error {
	d.mu.Lock()
	d.draining = true
	d.signalIdle()
	d.mu.Unlock()
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle unblocks Drain when no call is active. The caller holds mu.
func (d *Dispatcher) signalIdle() {
	if !d.draining || d.active > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// record adds an event to the event log, if there is one.
func (d *Dispatcher) record(e events.Event) {
	if d.opts.Recorder != nil {
		d.opts.Recorder.Record(e)
	}
}

// pollObserver receives the results of load polls.
type pollObserver struct{ d *Dispatcher }

// LoadReported implements backend.Observer. A report that its handling does not survive
// is lost.
func (o pollObserver) LoadReported(server string, load backend.Load, known bool, opened, asked time.Time) {
	panics.Log(o.d.log, "load_report_lost", "handle load report", func() { o.loadReported(server, load, known, opened, asked) }, "peer", server)
}

func (o pollObserver) loadReported(server string, load backend.Load, known bool, opened, asked time.Time) {
	d := o.d
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known {
		d.bal.ApplyReport(now, server, balance.Report{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, At: time.UnixMilli(load.AtMS),
		})
	} else {
		d.bal.RecordPoll(now, server, true)
	}
	if !opened.IsZero() && d.suspects.ServerSurvived(server, opened, asked.Add(-pollMargin)) {
		d.suspectsChanged = true
	}
	if s, ok := d.cfg.Servers[server]; ok {
		d.schedule(d.pool(s.Pool), now)
	}
}

// PollFailed implements backend.Observer.
func (o pollObserver) PollFailed(server string, err error) {
	panics.Log(o.d.log, "load_report_lost", "handle failed poll", func() { o.pollFailed(server, err) }, "peer", server)
}

func (o pollObserver) pollFailed(server string, err error) {
	d := o.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bal.RecordPoll(time.Now(), server, false) == balance.Ejected {
		d.recordEjection(server, err.Error())
	}
}

// recordEjection records that a server is no longer used. The caller holds mu.
func (d *Dispatcher) recordEjection(server, detail string) {
	counters.Add("ejections", 1)
	d.log.Warn("server ejected", "step", "dispatch", "peer", server, "cause", detail)
	d.record(events.Event{Kind: "server.ejected", Server: server, Detail: detail})
}

// recordRestoration records that a server is used again. The caller holds mu.
func (d *Dispatcher) recordRestoration(server string) {
	d.log.Info("server restored", "step", "dispatch", "peer", server)
	d.record(events.Event{Kind: "server.restored", Server: server})
}

// hostName converts a host ID to the string used by the core packages.
func hostName(id peer.HostID) string { return string(id) }

// classOf converts a request's class to the scheduler's type.
func classOf(c Class) schedule.Class {
	if c == Batch {
		return schedule.Batch
	}
	return schedule.Online
}
