package dispatch

import (
	"context"
	"net/http"
	"time"

	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/peer"
)

const (
	// divideInterval bounds how often a pool is divided when demand changes,
	// and divideShare the part of a core that this takes at full size, where a
	// division reads the demand of hundreds of hosts.
	divideInterval = 20 * time.Millisecond
	divideShare    = 0.005
	// holdBatch is how long batch work stops starting after a peer reported
	// waiting online requests.
	holdBatch = 20 * time.Millisecond
	// demandExpiry is the age at which a peer's demand is ignored.
	demandExpiry = 3 * time.Second
)

// poolState is the queue and the work in flight of one pool.
type poolState struct {
	name        string
	queue       *schedule.Queue
	waiting     map[uint64]*job
	runs        map[*run]struct{}
	onlineAt    map[string]int // online work in flight by server
	onlineMeans map[string]float64
	batchAt     map[string]int // batch work in flight by server
	running     map[flowKey]schedule.Amount
	inFlight    [2]int // by class
	division    schedule.Division
	parts       [2]map[string]int // own part of each server's slots, by class
	online      float64           // mean online work of all hosts
	// contended is whether the online work of all hosts exceeds the slots.
	contended bool
	divided   time.Time
	// divideEvery is the least time between two divisions.
	divideEvery time.Duration
	dirty       bool
	// scheduling guards against a nested call of schedule, which a preemption
	// in the middle of one would cause.
	scheduling bool
	peers      map[peer.HostID]peerDemand
	// holdUntil is until when no batch work starts.
	holdUntil time.Time
	// batchSince is since when there is batch work at this host, zero when
	// there is none.
	batchSince time.Time
	pressedAt  time.Time // when an online request last found no free slot
	// unusableSince is since when no server is usable, zero when one is.
	unusableSince time.Time
}

// flowKey is a workspace in a class.
type flowKey struct {
	workspace string
	class     schedule.Class
}

func newPoolState(name string) *poolState {
	return &poolState{
		name:        name,
		queue:       schedule.NewQueue(),
		waiting:     map[uint64]*job{},
		runs:        map[*run]struct{}{},
		batchAt:     map[string]int{},
		onlineAt:    map[string]int{},
		onlineMeans: map[string]float64{},
		running:     map[flowKey]schedule.Amount{},
		peers:       map[peer.HostID]peerDemand{},
		dirty:       true,
	}
}

func (p *poolState) forgetAbsent(v fleet.View) {
	for host := range p.peers {
		if !v.Alive[host] {
			delete(p.peers, host)
			p.dirty = true
		}
	}
}

// job is one call of Do.
type job struct {
	id         uint64
	req        *Request
	class      schedule.Class
	cost       float64
	fp         retry.Fingerprint
	ready      chan grant // capacity 1
	tried      []string   // servers that failed
	attempts   int
	sends      int // attempts that sent at least one byte
	unanswered int // sends that ended without an answer
}

// grant is the end of a job's wait: a slot or a refusal.
type grant struct {
	run *run
	err error
}

// run is one attempt of a job in a slot of a server.
type run struct {
	job     *job
	pool    *poolState
	server  string
	ticket  balance.Ticket
	started time.Time
	suspect bool
	ctx     context.Context
	cancel  context.CancelCauseFunc
	ended   bool
}

// schedule gives free slots to waiting requests: to online ones first, and to
// batch items only when no online request waits. The caller holds mu.
func (d *Dispatcher) schedule(p *poolState, now time.Time) {
	if p.scheduling || p.queue.Len(schedule.Online)+p.queue.Len(schedule.Batch) == 0 {
		return
	}
	p.scheduling = true
	defer func() { p.scheduling = false }()
	if p.dirty && now.Sub(p.divided) >= p.divideEvery {
		d.divide(p, now)
	}
	for d.startNext(p, schedule.Online, now) {
	}
	if p.queue.Len(schedule.Online) > 0 {
		d.press(p, now)
		return
	}
	if now.Before(p.holdUntil) || !d.batchAllowed || now.Sub(d.ticked) > maxTickAge {
		return
	}
	for d.startNext(p, schedule.Batch, now) {
	}
}

// startNext starts the next waiting request of a class. It reports false when
// none can start.
func (d *Dispatcher) startNext(p *poolState, class schedule.Class, now time.Time) bool {
	if p.queue.Len(class) == 0 {
		return false
	}
	var server string
	item, ok := p.queue.Pop(class, func(it schedule.Item) bool {
		var found bool
		server, found = d.pick(p, p.waiting[it.ID], now)
		return found
	})
	if !ok {
		return false
	}
	j := p.waiting[item.ID]
	delete(p.waiting, item.ID)
	if class == schedule.Batch {
		invariant.Check(p.queue.Len(schedule.Online) == 0, "I3", "start batch item", server, "pool", p.name)
	}
	j.ready <- grant{run: d.begin(p, j, server, now)}
	return true
}

// pick chooses a server for a job among those with a slot for it.
func (d *Dispatcher) pick(p *poolState, j *job, now time.Time) (string, bool) {
	verdict := retry.Innocent
	if d.suspects.Known() {
		verdict, _ = d.suspects.Check(j.fp, now)
	}
	if verdict == retry.Quarantined {
		return "", false // the next tick refuses it
	}
	usable := func(name string) bool { return d.hasSlot(p, name, j.class, now) }
	if verdict == retry.Suspect {
		usable = d.suspectUsable(p, j, now)
	}
	if len(j.tried) == 0 {
		return d.pickFrom(p, j, usable, now)
	}
	untried := func(name string) bool { return !j.hasTried(name) && usable(name) }
	if server, ok := d.pickFrom(p, j, untried, now); ok {
		return server, true
	}
	if !d.triedAll(p, j, now) {
		return "", false
	}
	return d.pickFrom(p, j, usable, now)
}

// preemptGain is how much longer a request may take at a server with a free
// slot than at one where it has to preempt a batch item.
const preemptGain = 1.5

// pickFrom chooses among the usable servers. An online request goes to a
// server with a free slot, unless preempting a batch item at a faster one
// makes it much faster.
func (d *Dispatcher) pickFrom(p *poolState, j *job, usable func(string) bool, now time.Time) (string, bool) {
	query := balance.Query{Pool: p.name, PrefixHash: j.req.PrefixHash, Usable: usable, Slowest: j.class == schedule.Batch}
	best, ok := d.bal.Pick(now, d.rng, query)
	if !ok || j.class == schedule.Batch || d.baseline() || d.hasFree(best, now) {
		return best, ok
	}
	query.Usable = func(name string) bool { return d.hasFree(name, now) && usable(name) }
	free, ok := d.bal.Pick(now, d.rng, query)
	if ok && d.bal.Expected(now, free) <= preemptGain*d.bal.Expected(now, best) {
		return free, true
	}
	return best, true
}

// hasFree reports whether the estimated load leaves a slot at a server.
func (d *Dispatcher) hasFree(server string, now time.Time) bool {
	return d.bal.Load(now, server) < float64(d.bal.Limit(server))
}

func (j *job) hasTried(server string) bool {
	for _, t := range j.tried {
		if t == server {
			return true
		}
	}
	return false
}

// triedAll reports whether every available server of the pool failed for the
// job, so that a failed one may be tried again.
func (d *Dispatcher) triedAll(p *poolState, j *job, now time.Time) bool {
	return len(j.tried) >= d.bal.Pool(now, p.name).Available
}

// hasSlot reports whether a server has a slot for one more request. Online
// work may use the host's part of the slots in any case, and beyond it what
// the load report shows as free while the pool is not contended; batch work of
// this host gives way to it. In a contended pool a slot that looks free in a
// lagging report belongs to another host, which is about to use it. Batch work
// needs a free slot within the host's part of what online work leaves. A host
// whose part of the pool rounds to nothing still runs one request at a time.
func (d *Dispatcher) hasSlot(p *poolState, server string, class schedule.Class, now time.Time) bool {
	limit := d.bal.Limit(server)
	load := d.bal.Load(now, server)
	batch := p.batchAt[server]
	if class == schedule.Batch {
		return load < float64(limit) && (p.inFlight[class] == 0 || batch < p.parts[class][server])
	}
	if d.baseline() {
		return true
	}
	own := d.bal.InFlight(server)
	if !d.opts.NoPreempt {
		own -= batch
		load -= float64(batch)
	}
	if own >= limit {
		return false
	}
	return (load < float64(limit) && !p.contended) || p.inFlight[class] == 0 || own < p.parts[class][server]
}

func (d *Dispatcher) baseline() bool {
	switch balance.Policy(d.opts.Policy) {
	case balance.RoundRobin, balance.LeastOutstanding, balance.Random:
		return true
	}
	return false
}

// begin occupies a slot. The caller holds mu.
func (d *Dispatcher) begin(p *poolState, j *job, server string, now time.Time) *run {
	r := &run{job: j, pool: p, server: server, started: now}
	if j.class == schedule.Online && !d.baseline() {
		d.makeRoom(p, server, now)
	}
	if d.suspects.Known() {
		verdict, _ := d.suspects.Check(j.fp, now)
		invariant.Check(verdict != retry.Quarantined, "quarantine", "send", server)
		if verdict == retry.Suspect {
			r.suspect = d.suspects.Start(j.fp, server)
			d.suspectsDirty = true
		}
	}
	r.ticket = d.bal.Sent(now, server)
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	p.runs[r] = struct{}{}
	p.inFlight[j.class]++
	key := flowKey{j.req.Workspace, j.class}
	sum := p.running[key]
	p.running[key] = schedule.Amount{Tokens: sum.Tokens + j.cost, Items: sum.Items + 1}
	if j.class == schedule.Batch {
		p.batchAt[server]++
	} else {
		p.onlineAt[server]++
	}
	return r
}

// end frees a run's slot. Calls after the first have no effect. The caller
// holds mu.
func (d *Dispatcher) end(r *run, outcome balance.Outcome, actual float64, now time.Time) {
	if r.ended {
		return
	}
	r.ended = true
	p, j := r.pool, r.job
	delete(p.runs, r)
	d.release(p, r)
	if r.suspect {
		d.suspects.End(j.fp)
		d.suspectsDirty = true
	}
	switch d.bal.Finished(now, r.ticket, outcome, actual) {
	case balance.Ejected:
		d.ejected(r.server, "failed requests")
	case balance.Restored:
		d.restored(r.server)
	}
	// Failed and preempted attempts are refunded: they gave the workspace no
	// service.
	p.queue.Correct(j.class, j.req.Workspace, actual-j.cost)
	d.schedule(p, now)
}

func (d *Dispatcher) release(p *poolState, r *run) {
	j := r.job
	key := flowKey{j.req.Workspace, j.class}
	sum := p.running[key]
	sum = schedule.Amount{Tokens: sum.Tokens - j.cost, Items: sum.Items - 1}
	p.inFlight[j.class]--
	invariant.Check(sum.Items >= 0 && p.inFlight[j.class] >= 0, "slots", "free slot", r.server, "workspace", j.req.Workspace)
	if sum.Items <= 0 {
		delete(p.running, key)
	} else {
		p.running[key] = sum
	}
	if j.class != schedule.Batch {
		if p.onlineAt[r.server]--; p.onlineAt[r.server] <= 0 {
			delete(p.onlineAt, r.server)
		}
		return
	}
	p.batchAt[r.server]--
	invariant.Check(p.batchAt[r.server] >= 0, "slots", "free batch slot", r.server)
	if p.batchAt[r.server] <= 0 {
		delete(p.batchAt, r.server)
	}
}

// refuseHopeless ends the wait of requests that cannot start: quarantined
// ones, and online ones whose pool has had no usable server for a while. The
// caller holds mu.
func (d *Dispatcher) refuseHopeless(p *poolState, now time.Time) {
	usable := d.bal.Pool(now, p.name).Available > 0
	switch {
	case usable:
		p.unusableSince = time.Time{}
	case p.unusableSince.IsZero():
		p.unusableSince = now
	}
	hopeless := !usable && now.Sub(p.unusableSince) >= noServerWait
	known := d.suspects.Known()
	if !hopeless && !known {
		return
	}
	for id, j := range p.waiting {
		err := d.quarantineError(j, now)
		if err == nil && hopeless && j.class == schedule.Online {
			err = j.refuse(http.StatusServiceUnavailable, "no_server", "no server of the pool is usable", time.Second)
		}
		if err != nil && p.queue.Remove(id) {
			delete(p.waiting, id)
			j.ready <- grant{err: err}
		}
	}
}

// refuse returns a refusal that states truthfully whether the job ran.
func (j *job) refuse(status int, code, message string, retryAfter time.Duration) *RefusedError {
	executed := ExecutedNo
	if j.sends > 0 {
		executed = ExecutedUnknown
	}
	return &RefusedError{
		Status: status, Code: code, Message: message, Executed: executed,
		RetryAfter: retryAfter, Unanswered: j.unanswered, Step: "dispatch to pool " + j.req.Pool,
	}
}
