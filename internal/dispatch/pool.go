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
	// minDivideInterval is the least time between two divisions of a pool when
	// demand changes. maxDivideCPUShare bounds the fraction of a core used for
	// divisions in large fleets, where one division reads the demand of
	// hundreds of hosts.
	minDivideInterval = 20 * time.Millisecond
	maxDivideCPUShare = 0.005
	// batchHoldDuration is how long no batch work starts after a peer reported
	// that online requests are waiting.
	batchHoldDuration = 20 * time.Millisecond
	// demandExpiry is the age beyond which a peer's demand is ignored.
	demandExpiry = 3 * time.Second
)

// poolState holds the queue and the running requests of one pool.
type poolState struct {
	name              string
	queue             *schedule.Queue
	waiting           map[uint64]*job
	runs              map[*run]struct{}
	onlineInFlight    map[string]int // running online requests by server
	serverOnlineMeans map[string]float64
	batchInFlight     map[string]int // running batch items by server
	running           map[flowKey]schedule.Amount
	inFlight          [2]int // by class
	division          schedule.Division
	slotShares        [2]map[string]int // this host's share of each server's slots, by class
	online            float64           // moving average of the online work of all hosts
	// contended reports whether the online work of all hosts exceeds the slots.
	contended bool
	dividedAt time.Time
	// divideInterval is the least time between two divisions.
	divideInterval time.Duration
	divisionStale  bool
	// scheduling prevents nested calls of schedule, which a preemption during a
	// call would cause.
	scheduling bool
	peers      map[peer.HostID]peerDemand
	// batchHoldUntil is the time before which no batch work starts.
	batchHoldUntil time.Time
	// batchSince is when batch work first arrived at this host, zero while it
	// has none.
	batchSince     time.Time
	slotShortageAt time.Time // when an online request last found no free slot
	// unusableSince is when the last usable server was lost, zero while one is
	// usable.
	unusableSince time.Time
}

// flowKey identifies the work of a workspace in a class.
type flowKey struct {
	workspace string
	class     schedule.Class
}

func newPoolState(name string) *poolState {
	return &poolState{
		name:              name,
		queue:             schedule.NewQueue(),
		waiting:           map[uint64]*job{},
		runs:              map[*run]struct{}{},
		batchInFlight:     map[string]int{},
		onlineInFlight:    map[string]int{},
		serverOnlineMeans: map[string]float64{},
		running:           map[flowKey]schedule.Amount{},
		peers:             map[peer.HostID]peerDemand{},
		divisionStale:     true,
	}
}

func (p *poolState) removeDeadHosts(v fleet.View) {
	for host := range p.peers {
		if !v.Alive[host] {
			delete(p.peers, host)
			p.divisionStale = true
		}
	}
}

// job is one call of Do.
type job struct {
	id            uint64
	req           *Request
	class         schedule.Class
	cost          float64
	fingerprint   retry.Fingerprint
	result        chan queueResult // capacity 1
	failedServers []string
	attempts      int
	sends         int  // attempts that sent at least one byte
	unanswered    int  // see RefusedError.Unanswered
	run           *run // of the latest attempt, nil before the first
}

// queueResult ends a job's wait in the queue with a slot or a refusal.
type queueResult struct {
	run *run
	err error
}

// run is one attempt of a job, which occupies a slot of a server.
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

// schedule gives free slots to waiting requests: first to online requests, and
// to batch items only when no online request waits. The caller holds mu.
func (d *Dispatcher) schedule(p *poolState, now time.Time) {
	if p.scheduling || p.queue.Len(schedule.Online)+p.queue.Len(schedule.Batch) == 0 {
		return
	}
	p.scheduling = true
	defer func() { p.scheduling = false }()
	if p.divisionStale && now.Sub(p.dividedAt) >= p.divideInterval {
		d.divideSlots(p, now)
	}
	for d.startNext(p, schedule.Online, now) {
	}
	if p.queue.Len(schedule.Online) > 0 {
		d.reportSlotShortage(p, now)
		return
	}
	if now.Before(p.batchHoldUntil) || !d.batchAllowed || now.Sub(d.lastTick) > maxTickAge {
		return
	}
	for d.startNext(p, schedule.Batch, now) {
	}
}

// startNext starts the next waiting request of a class. It returns false if
// none can start.
func (d *Dispatcher) startNext(p *poolState, class schedule.Class, now time.Time) bool {
	if p.queue.Len(class) == 0 {
		return false
	}
	var server string
	item, ok := p.queue.Pop(class, func(it schedule.Item) bool {
		var found bool
		server, found = d.pickServer(p, p.waiting[it.ID], now)
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
	j.result <- queueResult{run: d.startRun(p, j, server, now)}
	return true
}

// pickServer chooses a server with a slot for a job, preferring servers that
// have not failed for it.
func (d *Dispatcher) pickServer(p *poolState, j *job, now time.Time) (string, bool) {
	verdict, _ := d.verdict(j, now)
	if verdict == retry.Quarantined {
		return "", false // the next tick refuses it
	}
	usable := func(name string) bool { return d.canStartAt(p, name, j.class, now) }
	if verdict == retry.Suspect {
		usable = d.suspectServerFilter(p, j, now)
	}
	if len(j.failedServers) == 0 {
		return d.pickUsableServer(p, j, usable, now)
	}
	untried := func(name string) bool { return !j.failedAt(name) && usable(name) }
	if server, ok := d.pickUsableServer(p, j, untried, now); ok {
		return server, true
	}
	if !d.allServersFailed(p, j, now) {
		return "", false
	}
	return d.pickUsableServer(p, j, usable, now)
}

// minPreemptSpeedup is the ratio of expected times above which a request
// preempts a batch item at a faster server instead of using a free slot.
const minPreemptSpeedup = 1.5

// pickUsableServer chooses among the usable servers. An online request goes to
// a server with a free slot, unless a server where it must preempt a batch item
// is faster by more than minPreemptSpeedup.
func (d *Dispatcher) pickUsableServer(p *poolState, j *job, usable func(string) bool, now time.Time) (string, bool) {
	query := balance.Query{Pool: p.name, PrefixHash: j.req.PrefixHash, Usable: usable, Slowest: j.class == schedule.Batch}
	best, ok := d.bal.Pick(now, d.rng, query)
	if !ok || j.class == schedule.Batch || d.isBaselinePolicy() || d.hasFreeSlot(best, now) {
		return best, ok
	}
	query.Usable = func(name string) bool { return d.hasFreeSlot(name, now) && usable(name) }
	free, ok := d.bal.Pick(now, d.rng, query)
	if ok && d.bal.ExpectedTime(now, free) <= minPreemptSpeedup*d.bal.ExpectedTime(now, best) {
		return free, true
	}
	return best, true
}

// hasFreeSlot reports whether a server's estimated load is below its limit.
func (d *Dispatcher) hasFreeSlot(server string, now time.Time) bool {
	return d.bal.Load(now, server) < float64(d.bal.Limit(server))
}

func (j *job) failedAt(server string) bool {
	for _, t := range j.failedServers {
		if t == server {
			return true
		}
	}
	return false
}

// allServersFailed reports whether every available server of the pool has
// failed for the job. Only then are failed servers tried again.
func (d *Dispatcher) allServersFailed(p *poolState, j *job, now time.Time) bool {
	return len(j.failedServers) >= d.bal.Pool(now, p.name).Available
}

// canStartAt reports whether a server has a slot for one more request.
//
// Online requests may use this host's share of the slots, and more while the
// pool is not contended and the load report shows free slots. Batch items of
// this host do not count, because they can be preempted. In a contended pool, a
// slot that appears free in a delayed load report belongs to another host that
// is about to use it.
//
// Batch items need a free slot within this host's share of what online work
// leaves. A host whose share of the pool rounds to zero still runs one request
// at a time.
func (d *Dispatcher) canStartAt(p *poolState, server string, class schedule.Class, now time.Time) bool {
	limit := d.bal.Limit(server)
	load := d.bal.Load(now, server)
	batch := p.batchInFlight[server]
	if class == schedule.Batch {
		return load < float64(limit) && (p.inFlight[class] == 0 || batch < p.slotShares[class][server])
	}
	if d.isBaselinePolicy() {
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
	return (load < float64(limit) && !p.contended) || p.inFlight[class] == 0 || own < p.slotShares[class][server]
}

func (d *Dispatcher) isBaselinePolicy() bool {
	switch balance.Policy(d.opts.Policy) {
	case balance.RoundRobin, balance.LeastOutstanding, balance.Random:
		return true
	}
	return false
}

// startRun occupies a slot and creates the run. The caller holds mu.
func (d *Dispatcher) startRun(p *poolState, j *job, server string, now time.Time) *run {
	r := &run{job: j, pool: p, server: server, started: now}
	if j.class == schedule.Online && !d.isBaselinePolicy() {
		d.preemptAtServer(p, server, now)
	}
	verdict, _ := d.verdict(j, now)
	invariant.Check(verdict != retry.Quarantined, "quarantine", "send", server)
	if verdict == retry.Suspect {
		r.suspect = d.suspects.Start(j.fingerprint, server)
		d.suspectsChanged = true
	}
	r.ticket = d.bal.RecordSent(now, server)
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	p.runs[r] = struct{}{}
	p.inFlight[j.class]++
	key := flowKey{j.req.Workspace, j.class}
	sum := p.running[key]
	p.running[key] = schedule.Amount{Tokens: sum.Tokens + j.cost, Items: sum.Items + 1}
	if j.class == schedule.Batch {
		p.batchInFlight[server]++
	} else {
		p.onlineInFlight[server]++
	}
	return r
}

// endRun frees a run's slot. Later calls for the same run have no effect. The
// caller holds mu.
func (d *Dispatcher) endRun(r *run, outcome balance.Outcome, actual float64, now time.Time) {
	if r.ended {
		return
	}
	r.ended = true
	p, j := r.pool, r.job
	delete(p.runs, r)
	d.releaseSlot(p, r)
	if r.suspect {
		d.suspects.End(j.fingerprint)
		d.suspectsChanged = true
	}
	switch d.bal.RecordFinished(now, r.ticket, outcome, actual) {
	case balance.Ejected:
		d.recordEjection(r.server, "failed requests")
	case balance.Restored:
		d.recordRestoration(r.server)
	}
	// The cost of failed and preempted attempts is refunded, because the
	// workspace received no service.
	p.queue.CorrectCost(j.class, j.req.Workspace, actual-j.cost)
	d.schedule(p, now)
}

func (d *Dispatcher) releaseSlot(p *poolState, r *run) {
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
		if p.onlineInFlight[r.server]--; p.onlineInFlight[r.server] <= 0 {
			delete(p.onlineInFlight, r.server)
		}
		return
	}
	p.batchInFlight[r.server]--
	invariant.Check(p.batchInFlight[r.server] >= 0, "slots", "free batch slot", r.server)
	if p.batchInFlight[r.server] <= 0 {
		delete(p.batchInFlight, r.server)
	}
}

// refuseUnschedulable refuses waiting requests that cannot start: quarantined
// requests, and online requests whose pool has had no usable server for
// noServerWait. The caller holds mu.
func (d *Dispatcher) refuseUnschedulable(p *poolState, now time.Time) {
	usable := d.bal.Pool(now, p.name).Available > 0
	switch {
	case usable:
		p.unusableSince = time.Time{}
	case p.unusableSince.IsZero():
		p.unusableSince = now
	}
	noServer := !usable && now.Sub(p.unusableSince) >= noServerWait
	known := d.suspects.HasRecords()
	if !noServer && !known {
		return
	}
	for id, j := range p.waiting {
		err := d.quarantineError(j, now)
		if err == nil && noServer && j.class == schedule.Online {
			err = j.refuse(http.StatusServiceUnavailable, "no_server", "no server of the pool is usable", time.Second)
		}
		if err != nil && p.queue.Remove(id) {
			delete(p.waiting, id)
			j.result <- queueResult{err: err}
		}
	}
}

// refuse returns a refusal that states whether the job may have run.
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
