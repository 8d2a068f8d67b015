package dispatch

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"time"

	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/peer"
)

// Heartbeat sections of the dispatcher.
const (
	demandSection     = "demand"
	quarantineSection = "quarantine"
	leavingSection    = "leaving"
)

// publishInterval is how often demand is published; heartbeats carry it every
// 500 ms, and at once after a nudge.
const publishInterval = 200 * time.Millisecond

// batchRamp is how long new batch work is divided as if all hosts had some:
// a publication and a heartbeat.
const batchRamp = publishInterval + 600*time.Millisecond

// demandMessage is the section demand: the work of one host by pool.
type demandMessage map[string]poolDemand

// poolDemand is one host's work in one pool.
type poolDemand struct {
	Pressed       bool              `json:"pressed,omitempty"` // an online request found no free slot
	BatchRunning  int               `json:"batch_running,omitempty"`
	OnlineWaiting int               `json:"online_waiting,omitempty"`
	Workspaces    []workspaceDemand `json:"workspaces,omitempty"`
	// Limits is the learned limits that differ from the configured ones, at
	// most maxLimits of them.
	Limits map[string]int `json:"limits,omitempty"`
}

// maxLimits bounds the learned limits in one section, which all hosts send to
// all others.
const maxLimits = 32

// workspaceDemand is one workspace's waiting and running work.
type workspaceDemand struct {
	Workspace    string  `json:"w"`
	OnlineTokens float64 `json:"ot,omitempty"`
	OnlineItems  int     `json:"oi,omitempty"`
	BatchTokens  float64 `json:"bt,omitempty"`
	BatchItems   int     `json:"bi,omitempty"`
}

// peerDemand is a peer's demand with the time of its arrival.
type peerDemand struct {
	poolDemand
	at time.Time
}

// divide computes the host's parts of the pool's slots and the local weights
// from the demand of all hosts. The caller holds mu.
func (d *Dispatcher) divide(p *poolState, now time.Time) {
	start := time.Now()
	defer func() {
		p.divideEvery = max(divideInterval, time.Duration(float64(time.Since(start))/divideShare))
	}()
	own := p.ownDemand().forHost(d.self)
	hosts := []schedule.HostDemand{own}
	for host, peer := range p.peers {
		if now.Sub(peer.at) < demandExpiry {
			hosts = append(hosts, peer.forHost(hostName(host)))
		}
	}
	hosts = append(hosts, d.assumedDemand(p, own, now)...)
	slots := d.bal.Pool(now, p.name).Slots
	p.division = schedule.Divide(d.self, slots, d.weights, hosts)
	p.contended = p.division.OnlineItems > slots
	p.meanOnline(now)
	p.divided, p.dirty = now, false
	for class, weights := range p.division.Weights {
		for workspace, weight := range weights {
			p.queue.SetWeight(schedule.Class(class), workspace, weight)
		}
	}
	p.parts = d.partsOf(p, now)
}

// divideIfDue divides a pool again when its last division is old enough. The
// caller holds mu.
func (d *Dispatcher) divideIfDue(p *poolState, now time.Time) {
	if now.Sub(p.divided) >= p.divideEvery {
		d.divide(p, now)
	}
}

// onlineMean is the time constant of the mean online work.
const onlineMean = 2 * time.Second

// partsOf computes the own part of each server's slots by class.
func (d *Dispatcher) partsOf(p *poolState, now time.Time) [2]map[string]int {
	rotation := schedule.Rotation(now)
	list := d.bal.Capacities(now, p.name)
	for i := range list {
		list[i].Limit = d.agreedLimit(p, list[i], now)
	}
	capacities := make([]schedule.ServerCapacity, len(list))
	for i, c := range list {
		capacities[i] = schedule.ServerCapacity{Server: c.Server, Limit: c.Limit, Service: c.Service, Online: p.onlineMeans[c.Server]}
	}
	reserve := schedule.Reserve(p.online, capacities)
	online := make([]schedule.ServerLimit, len(list))
	batch := make([]schedule.ServerLimit, len(list))
	for i, c := range list {
		online[i] = schedule.ServerLimit{Server: c.Server, Limit: c.Limit}
		batch[i] = schedule.ServerLimit{Server: c.Server, Limit: c.Limit - reserve[c.Server]}
	}
	return [2]map[string]int{
		schedule.Online: p.division.Parts(online, schedule.Online, rotation),
		schedule.Batch:  p.division.Parts(batch, schedule.Batch, rotation),
	}
}

// onlineAtMean is the time constant of the mean online work at each server. It
// is long because one host has only a few requests at each.
const onlineAtMean = 10 * time.Second

// meanOnlineAt updates the mean of this host's online work at each server.
func (p *poolState) meanOnlineAt(age time.Duration) {
	keep := math.Exp(-age.Seconds() / onlineAtMean.Seconds())
	for server, mean := range p.onlineMeans {
		p.onlineMeans[server] = keep * mean
		if mean < minOnlineMean && p.onlineAt[server] == 0 {
			delete(p.onlineMeans, server)
		}
	}
	for server, n := range p.onlineAt {
		p.onlineMeans[server] += (1 - keep) * float64(n)
	}
}

// minOnlineMean is the mean online work at a server that is forgotten.
const minOnlineMean = 0.01

// agreedLimit is the mean of the limits that this host and its peers learned
// for a server. Hosts that divide different limits disagree about their parts.
func (d *Dispatcher) agreedLimit(p *poolState, c balance.Capacity, now time.Time) int {
	sum, hosts := c.Limit, 1
	for _, peer := range p.peers {
		if now.Sub(peer.at) >= demandExpiry {
			continue
		}
		limit, ok := peer.Limits[c.Server]
		if !ok {
			limit = max(1, d.cfg.Servers[c.Server].Concurrency)
		}
		sum += limit
		hosts++
	}
	return max(1, int(math.Round(float64(sum)/float64(hosts))))
}

// learnedLimits returns the limits to publish.
func (d *Dispatcher) learnedLimits(p *poolState, now time.Time) map[string]int {
	out := map[string]int{}
	for _, c := range d.bal.Capacities(now, p.name) {
		if c.Limit != max(1, d.cfg.Servers[c.Server].Concurrency) && len(out) < maxLimits {
			out[c.Server] = c.Limit
		}
	}
	return out
}

// meanOnline updates the mean online work of all hosts.
func (p *poolState) meanOnline(now time.Time) {
	age := now.Sub(p.divided).Seconds() / onlineMean.Seconds()
	keep := math.Exp(-max(age, 0))
	p.online = keep*p.online + (1-keep)*float64(p.division.OnlineItems)
	p.meanOnlineAt(now.Sub(p.divided))
}

// assumedDemand is batch demand like the own one for hosts that have reported
// none, while the own one is new. A job is announced to all hosts at once, and
// without this each of them would fill the pool before it hears of the others.
func (d *Dispatcher) assumedDemand(p *poolState, own schedule.HostDemand, now time.Time) []schedule.HostDemand {
	var assumed []schedule.WorkspaceDemand
	for _, w := range own.Workspaces {
		if w.Batch.Items > 0 {
			assumed = append(assumed, schedule.WorkspaceDemand{Workspace: w.Workspace, Batch: w.Batch})
		}
	}
	if len(assumed) == 0 {
		p.batchSince = time.Time{}
		return nil
	}
	if p.batchSince.IsZero() {
		p.batchSince = now
	}
	if now.Sub(p.batchSince) > batchRamp {
		return nil
	}
	var out []schedule.HostDemand
	for _, m := range d.view.Members {
		if hostName(m.Host) == d.self || !d.view.Alive[m.Host] || p.peers[m.Host].hasBatch() {
			continue
		}
		out = append(out, schedule.HostDemand{Host: hostName(m.Host), Workspaces: assumed})
	}
	return out
}

func (m poolDemand) hasBatch() bool {
	return slices.ContainsFunc(m.Workspaces, func(w workspaceDemand) bool { return w.BatchItems > 0 })
}

func (m poolDemand) forHost(host string) schedule.HostDemand {
	out := schedule.HostDemand{Host: host}
	for _, w := range m.Workspaces {
		out.Workspaces = append(out.Workspaces, schedule.WorkspaceDemand{
			Workspace: w.Workspace,
			Online:    schedule.Amount{Tokens: w.OnlineTokens, Items: w.OnlineItems},
			Batch:     schedule.Amount{Tokens: w.BatchTokens, Items: w.BatchItems},
		})
	}
	return out
}

// ownDemand adds up the host's waiting and running work, sorted by workspace.
func (p *poolState) ownDemand() poolDemand {
	byName := map[string]workspaceDemand{}
	add := func(workspace string, class schedule.Class, tokens float64, items int) {
		w := byName[workspace]
		w.Workspace = workspace
		if class == schedule.Batch {
			w.BatchTokens += tokens
			w.BatchItems += items
		} else {
			w.OnlineTokens += tokens
			w.OnlineItems += items
		}
		byName[workspace] = w
	}
	p.queue.Backlogs(func(b schedule.Backlog) { add(b.Workspace, b.Class, b.Tokens, b.Items) })
	out := poolDemand{OnlineWaiting: p.queue.Len(schedule.Online)}
	for key, amount := range p.running {
		add(key.workspace, key.class, amount.Tokens, amount.Items)
		if key.class == schedule.Batch {
			out.BatchRunning += amount.Items
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		out.Workspaces = append(out.Workspaces, byName[name])
	}
	return out
}

// publish publishes demand, and suspects when they changed.
func (d *Dispatcher) publish(now time.Time) {
	d.mu.Lock()
	demand := d.demand(now)
	due := demand != nil
	var suspects *retry.Report
	if d.suspectsDirty || (due && d.suspects.Known()) {
		report := d.suspects.Report(now)
		suspects = &report
	}
	nudge := d.suspectsDirty
	d.suspectsDirty = false
	d.mu.Unlock()
	if due {
		d.opts.Fleet.Publish(demandSection, demand)
	}
	if suspects != nil {
		d.opts.Fleet.Publish(quarantineSection, suspects)
	}
	if nudge {
		d.opts.Fleet.Nudge()
	}
}

// demand returns the section to publish, or nil when it is not due yet. The
// caller holds mu.
func (d *Dispatcher) demand(now time.Time) demandMessage {
	if now.Sub(d.publishedAt) < publishInterval {
		return nil
	}
	d.publishedAt = now
	out := demandMessage{}
	for name, p := range d.pools {
		own := p.ownDemand()
		own.Pressed = now.Sub(p.pressedAt) <= pressFor
		own.Limits = d.learnedLimits(p, now)
		if own.Pressed || len(own.Workspaces) > 0 {
			out[name] = own
		}
	}
	return out
}

// publishNow publishes demand out of turn and sends it to the peers at once.
func (d *Dispatcher) publishNow() {
	d.mu.Lock()
	d.publishedAt = time.Time{}
	d.mu.Unlock()
	d.publish(time.Now())
	d.opts.Fleet.Nudge()
}

// demandReceived takes over a peer's demand and makes room for its online work.
func (d *Dispatcher) demandReceived(from peer.HostID, raw json.RawMessage) {
	var m demandMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		counters.Add("bad_sections", 1)
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		if _, ok := m[name]; !ok {
			delete(p.peers, from)
			p.dirty = true
		}
	}
	for name, demand := range m {
		d.peerDemand(d.pool(name), from, peerDemand{demand, now})
	}
}

// peerDemand takes over a peer's demand in one pool. The caller holds mu.
func (d *Dispatcher) peerDemand(p *poolState, from peer.HostID, demand peerDemand) {
	p.peers[from] = demand
	p.dirty = true
	if demand.Pressed {
		d.divideIfDue(p, demand.at)
		if d.surplus(p, demand.at) > 0 {
			p.holdUntil = demand.at.Add(holdBatch)
		}
		d.yield(p, demand.at)
	}
	d.schedule(p, demand.at)
}
