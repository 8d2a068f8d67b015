// Package slots assigns requests to slots of backend servers. core/placement
// chooses the server and core/schedule orders the waiting requests: online
// requests before batch items, workspaces by their share, and within a
// workspace by deadline. Online requests preempt batch items.
package slots

import (
	"context"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/metrics"
)

const (
	// retryInterval is how often waiting requests are retried while no event
	// frees a slot: load reports expire without one.
	retryInterval = 25 * time.Millisecond
	// batchPause is how long no batch item starts after a preemption, so that
	// the freed slot goes to the online requests that follow.
	batchPause = 20 * time.Millisecond
	// maxDispatchedItems is how many waiting batch items the arrival of one may offer free
	// slots. That costs time for each of them, and items that wait for long leave the queue
	// and come back each second. Behind more, it waits up to retryInterval.
	maxDispatchedItems = 64
	// meanTimeDecay is the weight of the old value in the moving average of the
	// time that a request takes.
	meanTimeDecay = 0.9
)

var counters = expvar.NewMap("slots")

// Request describes a request that needs a slot.
type Request struct {
	Service   string
	Class     placement.Class
	Workspace string
	Cost      float64 // estimated tokens, at least 1
	Deadline  time.Time
	Tried     []string // ids of servers that must not be chosen
	Only      []string // ids of the servers that may be chosen, nil for all
	// Begun is set if a server may have begun the request. It is not refused for the
	// length of the queue: that is an estimate, and refusing it would lose what was done.
	Begun bool
	// LatestStart is when a batch item must start to end before its deadline; zero
	// means that it is never too late.
	LatestStart time.Time
	// Left is how long a batch item is expected to run, zero if that is not known.
	Left time.Duration
	// Prefer is the id of the server that a batch item goes to if it has room, empty for none.
	Prefer string
	// Rank is the urgency of the request among those of its class, 0 the most urgent.
	Rank int
	// OnTimeBy is until when the first event or the answer of an online request is on
	// time; zero means that it always is.
	OnTimeBy time.Time
	// MayReturn is set if the caller of an online request has not been refused before, as
	// far as is known. It may then be told to come back when it can be served on time.
	MayReturn bool
}

// needs identifies the servers that may be chosen.
func (r Request) needs() string {
	only := "any"
	if r.Only != nil {
		only = strings.Join(slices.Sorted(slices.Values(r.Only)), ",")
	}
	return only + " but " + strings.Join(slices.Sorted(slices.Values(r.Tried)), ",")
}

// RefusedError reports that no slot becomes free in time.
type RefusedError struct {
	Reason string
	After  time.Duration // until a slot is likely to be free
	// SentAround is set if the request could have waited, but would have been late.
	SentAround bool
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Slot is an acquired slot of a server. Done must be called exactly once.
type Slot struct {
	Server placement.Server
	Waited time.Duration // from the call of Acquire until the slot was granted
	// Preempted is closed when the batch item is preempted by online requests. It
	// is nil for online requests.
	Preempted       chan struct{}
	s               *Scheduler
	request         Request
	startedAt       time.Time
	preemptSignaled bool // Preempted is closed
	preemptReason   PreemptReason
	answered        bool // the server has begun a sound answer
}

// PreemptReason is why a batch item was preempted.
type PreemptReason string

// Reasons of preemptions.
const (
	OnlineWaits      PreemptReason = "online_waits"      // no server had a slot for an online request
	OnlineSent       PreemptReason = "online_sent"       // this host sent an online request to the full server
	WaveStarted      PreemptReason = "wave_started"      // a wave of online requests needs the slots
	ServerOverloaded PreemptReason = "server_overloaded" // all hosts have more in flight there than it has slots
)

// PreemptReason returns why the slot was preempted. It is set once Preempted is closed.
func (slot *Slot) PreemptReason() PreemptReason { return slot.preemptReason }

// Done releases the slot. units is the work done, in tokens.
func (slot *Slot) Done(outcome placement.Outcome, units float64) {
	s := slot.s
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.batchSlots, slot)
	took := now.Sub(slot.startedAt)
	if slot.preemptSignaled {
		s.placer.PreemptionEnded(slot.Server.ID)
	}
	s.placer.Finish(slot.Server.ID, slot.request.Class, outcome, took, units, now)
	if outcome == placement.Success && slot.request.Class == placement.Online {
		q := s.queue(slot.request.Service)
		q.meanSeconds = meanTimeDecay*q.meanSeconds + (1-meanTimeDecay)*took.Seconds()
		if !slot.answered {
			q.recordAnswer(took)
		}
	}
	s.dispatch(slot.request.Service, now)
}

// UpdateServerLoad records the load that the server reported with its response, and
// how long work takes there relative to the usual time, 0 if it did not say so.
func (slot *Slot) UpdateServerLoad(running, waiting, slots int, slowdown float64) {
	slot.s.mu.Lock()
	defer slot.s.mu.Unlock()
	slot.s.placer.UpdateServerLoad(slot.Server.ID, running, waiting, slots, slowdown, time.Now())
}

// Answers records that the server has begun a sound answer, so that one that was
// taken out of use for its failures gets requests again.
func (slot *Slot) Answers() {
	s, now := slot.s, time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slot.answered && slot.request.Class == placement.Online {
		s.queue(slot.request.Service).recordAnswer(now.Sub(slot.startedAt))
	}
	slot.answered = true
	if s.placer.Answers(slot.Server.ID) {
		s.dispatch(slot.request.Service, now)
	}
}

// waiter is a request that waits for a slot.
type waiter struct {
	request    Request
	enqueuedAt time.Time
	granted    chan *Slot    // capacity 1; receives nil if the request is refused
	refusal    *RefusedError // why, nil if no server can take the request
}

func (w *waiter) query(now time.Time) placement.Query {
	return placement.Query{
		Service: w.request.Service, Class: w.request.Class, Tried: w.request.Tried, Only: w.request.Only,
		Prefer: w.request.Prefer, Urgent: w.request.isUrgent(now),
	}
}

// queue holds the waiting requests of one service.
type queue struct {
	order            *schedule.Queue
	waiting          map[uint64]*waiter
	grantRate        float64 // slots granted to waiting online requests per second
	lastGrant        time.Time
	meanSeconds      float64 // mean duration of an online request at a server
	answerSeconds    float64 // mean time from a slot to the first event or the answer
	waves            schedule.Waves
	batchPausedUntil time.Time
}

// waitingByClass returns the numbers of waiting requests.
func (q *queue) waitingByClass() placement.InFlight {
	return placement.InFlight{Online: q.order.Len(schedule.Online), Batch: q.order.Len(schedule.Batch) + q.order.Len(schedule.Overdue)}
}

// Options configures a Scheduler. Zone and Cluster are required.
type Options struct {
	Zone    string
	Cluster *cluster.Cluster
	// ListAge returns the time since the list of servers was last known to be the
	// newest, and false if it never was. Nil means that it always is the newest.
	ListAge func() (time.Duration, bool)
	Logger  *slog.Logger
}

// Scheduler grants slots. It is safe for concurrent use.
type Scheduler struct {
	opts         Options
	mu           sync.Mutex
	placer       *placement.Placement
	queues       map[string]*queue
	batchSlots   map[*Slot]struct{} // held by batch items
	idsByShortID map[uint32]string  // server ids
	servers      []placement.Server
	serversSetAt time.Time
	evacuated    map[string]bool // zones
	warmUps      warmUps
	nextID       uint64
	waiterAdded  chan struct{}
}

// New returns a scheduler without servers and registers it with the cluster.
func New(opts Options) *Scheduler {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	s := &Scheduler{
		opts: opts, placer: placement.New(opts.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		queues: map[string]*queue{}, batchSlots: map[*Slot]struct{}{}, waiterAdded: make(chan struct{}, 1),
		warmUps: warmUps{bootNow: bootclock.Now},
	}
	opts.Cluster.Provide(loadSection, s.digest)
	opts.Cluster.Merge(loadSection, mergeLoads)
	opts.Cluster.Receive(loadSection, s.receiveLoad)
	opts.Cluster.Provide(speedSection, s.provideSpeeds)
	opts.Cluster.Receive(speedSection, s.receiveSpeeds)
	opts.Cluster.OnChange(s.peersChanged)
	return s
}

// RegisterGauges registers the gauges, which are read when metrics are served.
func (s *Scheduler) RegisterGauges(registry *metrics.Registry) {
	locked := func(value func(now time.Time) int) func() float64 {
		return func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(value(time.Now()))
		}
	}
	registry.Gauge("servers_cold", locked(s.placer.ColdServers))
	registry.Gauge("cold_servers_passed_over", locked(func(time.Time) int { return s.placer.ColdDenied() }))
	registry.Gauge("servers_slow", locked(s.placer.SlowServers))
	registry.Gauge("online_waves", locked(func(time.Time) int { return s.placer.Waves() }))
	registry.Gauge("batch_room", locked(func(time.Time) int { return s.placer.BatchRoom() }))
	s.registerWaitingGauges(registry)
	registry.Gauge("zones_evacuated", locked(func(time.Time) int { return len(s.evacuated) }))
}

// Run retries waiting requests periodically until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.waiterAdded:
		}
		for s.retryWaiting() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(retryInterval):
			}
		}
	}
}

// retryWaiting retries the waiting requests. It reports whether any are left.
func (s *Scheduler) retryWaiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := false
	now := time.Now()
	for name, q := range s.queues {
		if len(q.waiting) > 0 {
			s.dispatch(name, now)
		}
		q.order.Prune()
		left = left || len(q.waiting) > 0
	}
	return left
}

// SetServers replaces the set of servers.
func (s *Scheduler) SetServers(servers []placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setServers(servers, time.Now())
}

// setServers implements SetServers. The caller holds mu.
func (s *Scheduler) setServers(servers []placement.Server, now time.Time) {
	s.placer.SetServers(servers, now)
	s.servers, s.serversSetAt = servers, now
	s.updateOwnSlots()
	s.idsByShortID = make(map[uint32]string, len(servers))
	for _, server := range servers {
		s.idsByShortID[shortID(server.ID)] = server.ID
		queue := placement.QueueID(server.Service)
		s.idsByShortID[shortID(queue)] = queue
	}
	for name, q := range s.queues {
		s.refuseUnservable(q)
		s.dispatch(name, now)
	}
}

// updateOwnSlots computes this host's share of the servers' slots. Servers that
// are known to be leaving by their answers only remain in the division, which must
// be the same on all hosts; their slots are not used here. The caller holds mu.
func (s *Scheduler) updateOwnSlots() {
	self := s.opts.Cluster.Self().Name
	hosts := map[string][]string{s.opts.Zone: {self}}
	for _, p := range s.opts.Cluster.Alive() {
		hosts[p.Zone] = append(hosts[p.Zone], p.Name)
	}
	s.placer.SetPeerLag(s.opts.Cluster.MaxLag())
	usable := placement.UsableServers(s.servers, s.evacuated)
	zone, sharing := placement.Division(self, s.opts.Zone, hosts, usable, s.evacuated)
	s.placer.SetOwnSlots(placement.OwnSlots(self, sharing, usable, zone))
}

// ServiceLoad returns the estimated number of requests in flight at a service's servers
// and the number of their slots.
func (s *Scheduler) ServiceLoad(service string) (load, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.placer.ServiceLoad(service, time.Now())
}

func (s *Scheduler) queue(service string) *queue {
	q, ok := s.queues[service]
	if !ok {
		q = &queue{order: schedule.NewQueue(), waiting: map[uint64]*waiter{}}
		s.queues[service] = q
	}
	return q
}

// Acquire waits for a slot. It fails with *RefusedError if the request cannot
// get one in time, and with the context's cause if ctx ends.
func (s *Scheduler) Acquire(ctx context.Context, request Request) (*Slot, error) {
	w, id, err := s.enqueue(request)
	if err != nil {
		return nil, err
	}
	select {
	case slot := <-w.granted:
		if slot == nil && w.refusal != nil {
			return nil, w.refusal
		}
		if slot == nil {
			return nil, &RefusedError{Reason: fmt.Sprintf("no server of %s takes requests", request.Service), After: s.RetryAfter(request.Service)}
		}
		return slot, nil
	case <-ctx.Done():
		if slot := s.abandon(request.Service, id, w); slot != nil {
			slot.Done(placement.Neutral, 0)
		}
		return nil, context.Cause(ctx)
	}
}

// enqueue adds the request to its queue and grants free slots.
func (s *Scheduler) enqueue(request Request) (*waiter, uint64, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(request.Service)
	s.nextID++
	item := q.item(s.nextID, request)
	if err := s.refuseIfLate(q, request, item, now); err != nil {
		return nil, 0, err
	}
	w := &waiter{request: request, enqueuedAt: now, granted: make(chan *Slot, 1)}
	if !s.placer.HasServer(w.query(now)) {
		w.granted <- nil
		return w, s.nextID, nil
	}
	q.waiting[s.nextID] = w
	q.order.Push(item, 0)
	id := s.nextID
	if request.Class == placement.Online || q.order.Len(schedule.Batch)+q.order.Len(schedule.Overdue) <= maxDispatchedItems {
		s.dispatch(request.Service, now)
	}
	if len(q.waiting) > 0 {
		select {
		case s.waiterAdded <- struct{}{}:
		default:
		}
	}
	return w, id, nil
}

// abandon removes a request from the queue, or returns the slot that it was
// granted in the meantime.
func (s *Scheduler) abandon(service string, id uint64, w *waiter) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(service)
	if q.order.Remove(id) {
		delete(q.waiting, id)
		return nil
	}
	return <-w.granted
}

// dispatch grants the free slots of a service to waiting requests. The caller
// holds mu.
func (s *Scheduler) dispatch(service string, now time.Time) {
	s.refreshListAge(now)
	q := s.queue(service)
	s.demoteLate(q, now)
	for s.startNext(q, schedule.Online, now) {
	}
	if waiting := q.order.Len(schedule.Online); waiting > 0 {
		s.preemptForOnline(service, q, waiting, now)
		return
	}
	if now.Before(q.batchPausedUntil) {
		return
	}
	q.order.DemoteOverdue(now)
	for s.startNext(q, schedule.Batch, now) {
	}
	for s.startNext(q, schedule.Overdue, now) {
	}
}

// startNext starts the next request of a class. It reports false if none can
// start.
func (s *Scheduler) startNext(q *queue, class schedule.Class, now time.Time) bool {
	var server placement.Server
	verdict := placement.Full
	item, ok := q.order.Pop(class, func(it schedule.Item) bool {
		server, verdict = s.placer.Pick(q.waiting[it.ID].query(now), now)
		return verdict != placement.Full
	})
	if !ok {
		return false
	}
	w := q.waiting[item.ID]
	delete(q.waiting, item.ID)
	if verdict == placement.NoServer {
		w.granted <- nil
		return true
	}
	w.granted <- s.occupy(w, server, now)
	if class == schedule.Online && now.Sub(w.enqueuedAt) > 0 {
		q.recordGrant(now)
	}
	return true
}

// occupy takes a slot of the server for a request. The caller holds mu.
func (s *Scheduler) occupy(w *waiter, server placement.Server, now time.Time) *Slot {
	s.placer.Start(server.ID, w.request.Class, now)
	slot := &Slot{Server: server, Waited: now.Sub(w.enqueuedAt), s: s, request: w.request, startedAt: now}
	if w.request.Class == placement.Batch {
		slot.Preempted = make(chan struct{})
		s.batchSlots[slot] = struct{}{}
		s.opts.Cluster.SendSoon() // so that peers do not grant the same slot
		return slot
	}
	s.preemptAt(server.ID, now)
	s.preemptOverload(now)
	if s.placer.HasBatchSurplus(server.ID, now) {
		s.opts.Cluster.SendNow() // so that peers preempt their batch items there
	}
	return slot
}

// peersChanged drops the counts of dead peers, whose connections are closed, and
// recomputes this host's share of the slots.
func (s *Scheduler) peersChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.opts.Cluster.Peers() {
		if !p.Live {
			s.placer.RemovePeer(p.Name)
		}
	}
	s.updateOwnSlots()
	s.updateWarmUpHosts()
}

func classOf(c placement.Class) schedule.Class {
	if c == placement.Batch {
		return schedule.Batch
	}
	return schedule.Online
}

// isUrgent reports whether a batch item has to start soon to end in time. Those that are
// overdue are not urgent.
func (r Request) isUrgent(now time.Time) bool {
	slack := r.LatestStart.Sub(now)
	return !r.LatestStart.IsZero() && slack > 0 && slack < placement.UrgentSlack
}
