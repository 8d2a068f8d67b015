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
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	tickInterval = 100 * time.Millisecond
	// maxTickAge is the age of the last tick from which batch items wait for
	// the next one. A process that was paused past its lease would otherwise
	// start items before the tick looks at the lease again.
	maxTickAge = time.Second
	// noServerWait is how long an online request waits while no server of its
	// pool is usable, so that a restart of a small pool refuses nothing.
	noServerWait    = 2 * time.Second
	defaultMaxQueue = 256
	defaultBatch    = 4096
)

// counters holds the package's expvar counters.
var counters = expvar.NewMap("dispatch")

// Options configures a Dispatcher. Zero fields take the stated defaults.
type Options struct {
	Fleet    fleet.Service    // required: configuration, view and sections
	Store    store.Store      // list of leaving servers; may be nil
	Recorder *events.Recorder // may be nil
	Logger   *slog.Logger     // default slog.Default()
	// Policy is two_choices (default), round_robin, least_outstanding or
	// random. The latter three are baselines: they ignore the learned limits
	// for online requests.
	Policy     string
	NoPreempt  bool // do not cancel batch work for online work
	BatchQueue int  // waiting batch items per workspace, default 4096
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
	// batchAllowed is whether the freshness lease held at the last tick.
	batchAllowed bool
	ticked       time.Time     // last tick
	idle         chan struct{} // closed when draining and active is 0
	leaving      leavingServers
	// publishedAt and suspectsDirty pace the sections sent to peers.
	publishedAt   time.Time
	suspectsDirty bool
}

// New returns a dispatcher and subscribes it to the fleet. Call Start before Do.
func New(opts Options) *Dispatcher {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.BatchQueue <= 0 {
		opts.BatchQueue = defaultBatch
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

// Start begins polling the servers and exchanging demand with peers until ctx
// ends. The fleet must have its first configuration.
func (d *Dispatcher) Start(ctx context.Context) {
	d.viewChanged(d.opts.Fleet.View())
	d.configChanged(d.opts.Fleet.Config())
	d.tick(time.Now())
	go d.client.Run(ctx, observer{d})
	go d.run(ctx)
	if d.opts.Store != nil {
		go d.watchLeaving(ctx)
	}
}

// run does the periodic work.
func (d *Dispatcher) run(ctx context.Context) {
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

// tick refreshes divisions, refuses what waits in vain and publishes sections.
func (d *Dispatcher) tick(now time.Time) {
	fresh := d.opts.Fleet.MayAdmit(now) == nil
	d.mu.Lock()
	d.batchAllowed, d.ticked = fresh, now
	for _, p := range d.pools {
		d.divideIfDue(p, now)
		d.refuseHopeless(p, now)
		d.schedule(p, now)
		p.queue.Prune()
	}
	d.mu.Unlock()
	d.publish(now)
}

// configChanged takes over a configuration.
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

// viewChanged takes over a view of the fleet.
func (d *Dispatcher) viewChanged(v fleet.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := len(d.view.Members)
	d.view = v
	d.self = string(v.Self)
	for _, p := range d.pools {
		p.forgetAbsent(v)
	}
	forgot := d.leaving.forgetAbsent(v)
	if d.cfg != nil && (forgot || len(v.Members) != hosts) {
		d.applyServers()
	}
}

// applyServers computes the host's subset of servers. The caller holds mu.
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
		p.dirty = true
	}
	for name := range byPool {
		d.pool(name)
	}
}

// pool returns the state of a pool. The caller holds mu.
func (d *Dispatcher) pool(name string) *poolState {
	p, ok := d.pools[name]
	if !ok {
		p = newPoolState(name)
		d.pools[name] = p
	}
	return p
}

// Drain refuses new batch work and waits until no request is queued or
// running, or until ctx ends. Online requests are still accepted, because
// callers that were admitted before the drain may arrive late.
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

// signalIdle ends Drain when nothing is active. The caller holds mu.
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

// record records a state change on the time line.
func (d *Dispatcher) record(e events.Event) {
	if d.opts.Recorder != nil {
		d.opts.Recorder.Record(e)
	}
}

// observer receives poll results for the dispatcher.
type observer struct{ d *Dispatcher }

// LoadReported implements backend.Observer.
func (o observer) LoadReported(server string, load backend.Load, known bool, opened, asked time.Time) {
	d := o.d
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if known {
		d.bal.Reported(now, server, balance.Report{
			Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, At: time.UnixMilli(load.AtMS),
		})
	} else {
		d.bal.Polled(now, server, true)
	}
	if !opened.IsZero() && d.suspects.Survived(server, opened, asked.Add(-pollMargin)) {
		d.suspectsDirty = true
	}
	if s, ok := d.cfg.Servers[server]; ok {
		d.schedule(d.pool(s.Pool), now)
	}
}

// PollFailed implements backend.Observer.
func (o observer) PollFailed(server string, err error) {
	d := o.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.bal.Polled(time.Now(), server, false) == balance.Ejected {
		d.ejected(server, err.Error())
	}
}

// ejected records that a server is out of use. The caller holds mu.
func (d *Dispatcher) ejected(server, detail string) {
	counters.Add("ejections", 1)
	d.log.Warn("server ejected", "step", "dispatch", "peer", server, "cause", detail)
	d.record(events.Event{Kind: "server.ejected", Server: server, Detail: detail})
}

// restored records that a server is in use again. The caller holds mu.
func (d *Dispatcher) restored(server string) {
	d.log.Info("server restored", "step", "dispatch", "peer", server)
	d.record(events.Event{Kind: "server.restored", Server: server})
}

// hostName converts a host id for the cores.
func hostName(id peer.HostID) string { return string(id) }

// classOf converts a request's class for the scheduler.
func classOf(c Class) schedule.Class {
	if c == Batch {
		return schedule.Batch
	}
	return schedule.Online
}
