// Package slots gives requests a place at a backend server. It drives
// core/placement for the choice of the server and core/schedule for the order
// of those that wait: online requests before batch items, workspaces by their
// share, and within a workspace by deadline. Batch items step aside for online
// requests.
package slots

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/schedule"
)

const (
	// section is the part of the digests with the requests in flight.
	section = "load"
	// retryTick is how often waiting requests are looked at again while no
	// event frees a place: reports of load expire without one.
	retryTick = 25 * time.Millisecond
	// batchPause is how long no batch item starts after one had to step aside,
	// so that it does not take the place of the online requests that follow.
	batchPause = 150 * time.Millisecond
	// rateMean is the time constant of the mean rate at which places free up.
	rateMean = time.Second
	// maxWaiting bounds the online requests that wait for one service.
	maxWaiting = 2000
	// leastWait and mostWait bound the estimated wait that a refusal advises.
	leastWait = 50 * time.Millisecond
	mostWait  = 2 * time.Second
	// serviceKeep is the weight of the past in the mean time of a request.
	serviceKeep = 0.9
)

var counters = expvar.NewMap("slots")

// Work describes a request that needs a place.
type Work struct {
	Service   string
	Class     placement.Class
	Workspace string
	Cost      float64 // estimated tokens, at least 1
	Deadline  time.Time
	Tried     []string // ids of servers that must not be chosen
}

// RefusedError reports that no place can be had in time.
type RefusedError struct {
	Reason string
	After  time.Duration // after which a place is likely
}

// Error implements error.
func (e *RefusedError) Error() string { return e.Reason }

// Slot is one place at a server. Done must be called once.
type Slot struct {
	Server placement.Server
	Waited time.Duration // from the request for the place until it was given
	// Aside is closed when the batch item should make room for online work.
	Aside   chan struct{}
	s       *Scheduler
	work    Work
	started time.Time
	asked   bool // Aside is closed
}

// Done gives the place back. units is the work done, in tokens.
func (p *Slot) Done(outcome placement.Outcome, units float64) {
	s := p.s
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.batch, p)
	took := now.Sub(p.started)
	s.place.Finish(p.Server.ID, p.work.Class, outcome, took, units, now)
	if outcome == placement.Good && p.work.Class == placement.Online {
		q := s.queue(p.work.Service)
		q.meanTime = serviceKeep*q.meanTime + (1-serviceKeep)*took.Seconds()
	}
	s.dispatch(p.work.Service, now)
}

// Told passes on the load that the server told with its answer.
func (p *Slot) Told(running, waiting, slots int) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	p.s.place.Told(p.Server.ID, running, waiting, slots, time.Now())
}

// waiter is a request that waits for a place.
type waiter struct {
	work  Work
	since time.Time
	ready chan *Slot // capacity 1
}

// queue is the waiting requests of one service.
type queue struct {
	order    *schedule.Queue
	waiting  map[uint64]*waiter
	rate     float64 // places given to waiting online requests per second
	rateAt   time.Time
	meanTime float64 // of an online request at a server, seconds
	pausedTo time.Time
}

// Options configures a Scheduler. Zone and Cluster are required.
type Options struct {
	Zone    string
	Cluster *cluster.Cluster
	Logger  *slog.Logger
}

// Scheduler gives out places. It is safe for concurrent use.
type Scheduler struct {
	opts   Options
	mu     sync.Mutex
	place  *placement.Placement
	queues map[string]*queue
	batch  map[*Slot]struct{} // places held by batch items
	ids    map[string]string   // of servers, by their short form
	list   []placement.Server
	nextID uint64
	wake   chan struct{}
}

// New returns a scheduler without servers and registers it with the cluster.
func New(opts Options) *Scheduler {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	s := &Scheduler{
		opts: opts, place: placement.New(opts.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		queues: map[string]*queue{}, batch: map[*Slot]struct{}{}, wake: make(chan struct{}, 1),
	}
	opts.Cluster.Provide(section, s.digest)
	opts.Cluster.Merge(section, mergeLoads)
	opts.Cluster.Receive(section, s.received)
	opts.Cluster.OnChange(s.peersChanged)
	return s
}

// Run looks after requests that wait without an event until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for s.tick() && ctx.Err() == nil {
			time.Sleep(retryTick)
		}
	}
}

// tick retries the waiting requests. It reports whether any are left.
func (s *Scheduler) tick() bool {
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
func (s *Scheduler) SetServers(list []placement.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place.SetServers(list)
	s.list = list
	s.divide()
	s.ids = make(map[string]string, len(list))
	for _, server := range list {
		s.ids[shortID(server.ID)] = server.ID
	}
	now := time.Now()
	for name := range s.queues {
		s.dispatch(name, now)
	}
}

// divide computes this host's part of the servers' slots. The caller holds mu.
func (s *Scheduler) divide() {
	var hosts []string
	for _, p := range s.opts.Cluster.Alive() {
		if p.Zone == s.opts.Zone {
			hosts = append(hosts, p.Name)
		}
	}
	s.place.SetOwnSlots(placement.OwnSlots(s.opts.Cluster.Self().Name, hosts, s.list, s.opts.Zone))
}

// Fill returns the estimated requests at a service's servers and their slots.
func (s *Scheduler) Fill(service string) (load, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.place.Fill(service, time.Now())
}

func (s *Scheduler) queue(service string) *queue {
	q, ok := s.queues[service]
	if !ok {
		q = &queue{order: schedule.NewQueue(), waiting: map[uint64]*waiter{}}
		s.queues[service] = q
	}
	return q
}

// Acquire waits for a place. It fails with *RefusedError when the request can
// not get one in time, and with the context's cause.
func (s *Scheduler) Acquire(ctx context.Context, work Work) (*Slot, error) {
	w, id, err := s.enqueue(work)
	if err != nil {
		return nil, err
	}
	select {
	case p := <-w.ready:
		if p == nil {
			return nil, &RefusedError{Reason: fmt.Sprintf("no server of %s takes requests", work.Service), After: s.Advise(work.Service)}
		}
		return p, nil
	case <-ctx.Done():
		if p := s.abandon(work.Service, id, w); p != nil {
			p.Done(placement.Neutral, 0)
		}
		return nil, context.Cause(ctx)
	}
}

// enqueue adds the request and gives out what is free.
func (s *Scheduler) enqueue(work Work) (*waiter, uint64, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(work.Service)
	if err := s.hopeless(q, work, now); err != nil {
		return nil, 0, err
	}
	s.nextID++
	w := &waiter{work: work, since: now, ready: make(chan *Slot, 1)}
	q.waiting[s.nextID] = w
	q.order.Push(schedule.Item{
		ID: s.nextID, Workspace: work.Workspace, Class: classOf(work.Class), Cost: max(work.Cost, 1), Deadline: work.Deadline,
	}, 0)
	id := s.nextID
	s.dispatch(work.Service, now)
	if len(q.waiting) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return w, id, nil
}

// hopeless refuses an online request that the queue before it keeps from
// being served inside its deadline.
func (s *Scheduler) hopeless(q *queue, work Work, now time.Time) error {
	if work.Class == placement.Batch {
		return nil
	}
	waiting := q.order.Len(schedule.Online)
	if waiting >= maxWaiting {
		return &RefusedError{Reason: "too many requests wait for " + work.Service, After: mostWait}
	}
	if waiting == 0 || work.Deadline.IsZero() {
		return nil
	}
	wait := s.wait(work.Service, q, now)
	if now.Add(wait + time.Duration(q.meanTime*float64(time.Second))).After(work.Deadline) {
		return &RefusedError{Reason: "the queue of " + work.Service + " is longer than the deadline allows", After: clampWait(wait)}
	}
	return nil
}

// wait estimates how long a new online request waits: the requests before it
// at the measured rate, or at this host's part of the service's throughput
// while there is no measure. The caller holds mu.
func (s *Scheduler) wait(service string, q *queue, now time.Time) time.Duration {
	waiting := q.order.Len(schedule.Online)
	if waiting == 0 {
		return 0
	}
	_, slots := s.place.Fill(service, now)
	hosts := float64(len(s.opts.Cluster.Alive()) + 1)
	rate := float64(slots) / max(q.meanTime, minMeanTime) / hosts
	if now.Sub(q.rateAt) < rateMean {
		rate = max(q.rate, rate/2)
	}
	return time.Duration(float64(waiting) / max(rate, 1) * float64(time.Second))
}

// minMeanTime keeps the rate finite before the first request ended, in seconds.
const minMeanTime = 0.01

func clampWait(d time.Duration) time.Duration { return min(max(d, leastWait), mostWait) }

// Advise returns after which time a new request is likely to get a place, for
// refusals to name.
func (s *Scheduler) Advise(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clampWait(s.wait(service, s.queue(service), time.Now()))
}

// abandon takes a request out of the queue, or returns the place that it was
// given meanwhile.
func (s *Scheduler) abandon(service string, id uint64, w *waiter) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(service)
	if q.order.Remove(id) {
		delete(q.waiting, id)
		return nil
	}
	return <-w.ready
}

// dispatch gives free places of a service to waiting requests. The caller
// holds mu.
func (s *Scheduler) dispatch(service string, now time.Time) {
	q := s.queue(service)
	for s.next(q, schedule.Online, now) {
	}
	if waiting := q.order.Len(schedule.Online); waiting > 0 {
		s.makeRoom(service, q, waiting, now)
		return
	}
	if now.Before(q.pausedTo) {
		return
	}
	for s.next(q, schedule.Batch, now) {
	}
}

// next starts the next request of a class. It reports false when none can.
func (s *Scheduler) next(q *queue, class schedule.Class, now time.Time) bool {
	var server placement.Server
	verdict := placement.Full
	item, ok := q.order.Pop(class, func(it schedule.Item) bool {
		work := q.waiting[it.ID].work
		server, verdict = s.place.Pick(placement.Query{Service: work.Service, Class: work.Class, Tried: work.Tried}, now)
		return verdict != placement.Full
	})
	if !ok {
		return false
	}
	w := q.waiting[item.ID]
	delete(q.waiting, item.ID)
	if verdict == placement.NoServer {
		w.ready <- nil
		return true
	}
	w.ready <- s.begin(w, server, now)
	if class == schedule.Online && now.Sub(w.since) > 0 {
		q.gave(now)
	}
	return true
}

// gave notes that a waiting request got a place.
func (q *queue) gave(now time.Time) {
	if !q.rateAt.IsZero() {
		dt := max(now.Sub(q.rateAt).Seconds(), 1e-3)
		keep := max(1-dt/rateMean.Seconds(), 0)
		q.rate = keep*q.rate + (1-keep)/dt
	}
	q.rateAt = now
}

// begin occupies a place. The caller holds mu.
func (s *Scheduler) begin(w *waiter, server placement.Server, now time.Time) *Slot {
	s.place.Start(server.ID, w.work.Class, now)
	p := &Slot{Server: server, Waited: now.Sub(w.since), s: s, work: w.work, started: now}
	if w.work.Class == placement.Batch {
		p.Aside = make(chan struct{})
		s.batch[p] = struct{}{}
		s.opts.Cluster.Soon() // peers must not give the same place away
		return p
	}
	s.surplus(now)
	return p
}

// makeRoom asks as many batch items to step aside as online requests wait.
// The caller holds mu.
func (s *Scheduler) makeRoom(service string, q *queue, waiting int, now time.Time) {
	leaving := 0
	for p := range s.batch {
		if p.asked && p.work.Service == service {
			leaving++
		}
	}
	for p := range s.batch {
		if leaving >= waiting {
			break
		}
		if p.work.Service == service && p.stepAside() {
			leaving++
		}
	}
	q.pausedTo = now.Add(batchPause)
}

// surplus asks batch items to leave servers that have more work than slots.
// The caller holds mu.
func (s *Scheduler) surplus(now time.Time) {
	if len(s.batch) == 0 {
		return
	}
	over := s.place.Surplus(now)
	if len(over) == 0 {
		return
	}
	for p := range s.batch {
		if p.asked {
			over[p.Server.ID]--
		}
	}
	for p := range s.batch {
		if over[p.Server.ID] > 0 && p.stepAside() {
			over[p.Server.ID]--
			s.queue(p.work.Service).pausedTo = now.Add(batchPause)
		}
	}
}

// stepAside asks a batch item to leave. It reports false when it was asked before.
func (p *Slot) stepAside() bool {
	if p.asked {
		return false
	}
	p.asked = true
	counters.Add("stepped_aside", 1)
	close(p.Aside)
	return true
}

// digest is this host's requests in flight by server.
func (s *Scheduler) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][2]int{}
	for id, n := range s.place.Own() {
		out[shortID(id)] = [2]int{n.Online, n.Batch}
	}
	return out
}

// shortID shortens a server's id in digests. Two of a few thousand servers
// share one with a probability below 1 in 1,000, and then look busier.
func shortID(id string) string { return strconv.FormatUint(uint64(uint32(xxhash.Sum64String(id))), 36) }

// received takes over a peer's requests in flight.
func (s *Scheduler) received(n cluster.News) {
	var counts map[string][2]int
	if err := json.Unmarshal(n.Raw, &counts); err != nil {
		s.opts.Logger.Warn("peer's load not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.place.PeerLoad(n.From.Name, s.longIDs(counts), now)
	s.surplus(now)
	for name, q := range s.queues {
		if len(q.waiting) > 0 {
			s.dispatch(name, now)
		}
	}
}

// mergeLoads adds up the requests in flight of several hosts.
func mergeLoads(values []json.RawMessage) (any, error) {
	sum := map[string][2]int{}
	for _, raw := range values {
		var counts map[string][2]int
		if err := json.Unmarshal(raw, &counts); err != nil {
			return nil, err
		}
		for id, n := range counts {
			sum[id] = [2]int{sum[id][0] + n[0], sum[id][1] + n[1]}
		}
	}
	return sum, nil
}

// longIDs restores the ids of the servers that this host knows. The caller
// holds mu.
func (s *Scheduler) longIDs(counts map[string][2]int) map[string]placement.InFlight {
	out := make(map[string]placement.InFlight, len(counts))
	for short, n := range counts {
		if id, ok := s.ids[short]; ok {
			out[id] = placement.InFlight{Online: n[0], Batch: n[1]}
		}
	}
	return out
}

// peersChanged drops the counts of peers that are gone: their connections end
// with them.
func (s *Scheduler) peersChanged() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.opts.Cluster.Peers() {
		if !p.Alive(now) {
			s.place.ForgetPeer(p.Name)
		}
	}
	s.divide()
}

func classOf(c placement.Class) schedule.Class {
	if c == placement.Batch {
		return schedule.Batch
	}
	return schedule.Online
}
