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

// Names of the heartbeat sections that the dispatcher publishes.
const (
	demandSection     = "demand"
	quarantineSection = "quarantine"
	leavingSection    = "leaving"
)

// publishInterval is how often demand is published. Heartbeats send it every
// 500 ms, or at once when requested.
const publishInterval = 200 * time.Millisecond

// assumedDemandWindow is how long slots are divided as if every host had the
// same new batch work: one publication interval plus one heartbeat.
const assumedDemandWindow = publishInterval + 600*time.Millisecond

// demandMessage is the content of the demand section: the demand of one host by
// pool.
type demandMessage map[string]poolDemand

// poolDemand is the demand of one host in one pool.
type poolDemand struct {
	SlotShortage  bool              `json:"pressed,omitempty"` // an online request found no free slot
	BatchRunning  int               `json:"batch_running,omitempty"`
	OnlineWaiting int               `json:"online_waiting,omitempty"`
	Workspaces    []workspaceDemand `json:"workspaces,omitempty"`
	// Limits holds the learned limits that differ from the configured ones, at
	// most maxPublishedLimits of them.
	Limits map[string]int `json:"limits,omitempty"`
}

// maxPublishedLimits bounds the learned limits in one section, because every
// host sends its section to all others.
const maxPublishedLimits = 32

// workspaceDemand is the waiting and running work of one workspace.
type workspaceDemand struct {
	Workspace    string  `json:"w"`
	OnlineTokens float64 `json:"ot,omitempty"`
	OnlineItems  int     `json:"oi,omitempty"`
	BatchTokens  float64 `json:"bt,omitempty"`
	BatchItems   int     `json:"bi,omitempty"`
}

// peerDemand is the demand of a peer and the time it was received.
type peerDemand struct {
	poolDemand
	receivedAt time.Time
}

// divideSlots computes this host's shares of the pool's slots and the local
// weights from the demand of all hosts. The caller holds mu.
func (d *Dispatcher) divideSlots(p *poolState, now time.Time) {
	start := time.Now()
	defer func() {
		p.divideInterval = max(minDivideInterval, time.Duration(float64(time.Since(start))/maxDivideCPUShare))
	}()
	own := p.ownDemand().forHost(d.self)
	hosts := []schedule.HostDemand{own}
	for host, peer := range p.peers {
		if now.Sub(peer.receivedAt) < demandExpiry {
			hosts = append(hosts, peer.forHost(hostName(host)))
		}
	}
	hosts = append(hosts, d.assumedDemand(p, own, now)...)
	slots := d.bal.Pool(now, p.name).Slots
	p.division = schedule.Divide(d.self, slots, d.weights, hosts)
	p.contended = p.division.OnlineItems > slots
	p.updateOnlineMeans(now)
	p.dividedAt, p.divisionStale = now, false
	for class, weights := range p.division.Weights {
		for workspace, weight := range weights {
			p.queue.SetWeight(schedule.Class(class), workspace, weight)
		}
	}
	p.slotShares = d.computeSlotShares(p, now)
}

// divideSlotsIfDue calls divideSlots unless the pool was divided within its
// divideInterval. The caller holds mu.
func (d *Dispatcher) divideSlotsIfDue(p *poolState, now time.Time) {
	if now.Sub(p.dividedAt) >= p.divideInterval {
		d.divideSlots(p, now)
	}
}

// onlineMeanTimeConstant is the time constant of the moving average of the
// online work of all hosts.
const onlineMeanTimeConstant = 2 * time.Second

// computeSlotShares returns this host's share of each server's slots by class.
func (d *Dispatcher) computeSlotShares(p *poolState, now time.Time) [2]map[string]int {
	rotation := schedule.Rotation(now)
	list := d.bal.Capacities(now, p.name)
	for i := range list {
		list[i].Limit = d.averageLimit(p, list[i], now)
	}
	capacities := make([]schedule.ServerCapacity, len(list))
	for i, c := range list {
		capacities[i] = schedule.ServerCapacity{Server: c.Server, Limit: c.Limit, Service: c.Service, Online: p.serverOnlineMeans[c.Server]}
	}
	reserve := schedule.Reserve(p.online, capacities)
	online := make([]schedule.ServerLimit, len(list))
	batch := make([]schedule.ServerLimit, len(list))
	for i, c := range list {
		online[i] = schedule.ServerLimit{Server: c.Server, Limit: c.Limit}
		batch[i] = schedule.ServerLimit{Server: c.Server, Limit: c.Limit - reserve[c.Server]}
	}
	return [2]map[string]int{
		schedule.Online: p.division.ServerSlots(online, schedule.Online, rotation),
		schedule.Batch:  p.division.ServerSlots(batch, schedule.Batch, rotation),
	}
}

// serverMeanTimeConstant is the time constant of the moving average of this
// host's online work at each server. It is long because one host runs only a
// few requests at each server.
const serverMeanTimeConstant = 10 * time.Second

// updateServerOnlineMeans updates the moving average of this host's online work
// at each server.
func (p *poolState) updateServerOnlineMeans(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / serverMeanTimeConstant.Seconds())
	for server, mean := range p.serverOnlineMeans {
		p.serverOnlineMeans[server] = decay * mean
		if mean < minOnlineMean && p.onlineInFlight[server] == 0 {
			delete(p.serverOnlineMeans, server)
		}
	}
	for server, n := range p.onlineInFlight {
		p.serverOnlineMeans[server] += (1 - decay) * float64(n)
	}
}

// minOnlineMean is the average online work below which an idle server's entry
// is deleted.
const minOnlineMean = 0.01

// averageLimit returns the mean of the limits that this host and its peers have
// learned for a server. If hosts divided different limits, their shares would
// not add up to the slots of the server.
func (d *Dispatcher) averageLimit(p *poolState, c balance.Capacity, now time.Time) int {
	sum, hosts := c.Limit, 1
	for _, peer := range p.peers {
		if now.Sub(peer.receivedAt) >= demandExpiry {
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

// learnedLimits returns the learned limits to publish.
func (d *Dispatcher) learnedLimits(p *poolState, now time.Time) map[string]int {
	out := map[string]int{}
	for _, c := range d.bal.Capacities(now, p.name) {
		if c.Limit != max(1, d.cfg.Servers[c.Server].Concurrency) && len(out) < maxPublishedLimits {
			out[c.Server] = c.Limit
		}
	}
	return out
}

// updateOnlineMeans updates the moving averages of the online work.
func (p *poolState) updateOnlineMeans(now time.Time) {
	elapsed := now.Sub(p.dividedAt).Seconds() / onlineMeanTimeConstant.Seconds()
	decay := math.Exp(-max(elapsed, 0))
	p.online = decay*p.online + (1-decay)*float64(p.division.OnlineItems)
	p.updateServerOnlineMeans(now.Sub(p.dividedAt))
}

// assumedDemand returns demand equal to this host's batch demand for each live
// host that has reported none, while this host's batch work is new. A job is
// announced to all hosts at once, and without this each of them would fill the
// pool before it receives the demand of the others.
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
	if now.Sub(p.batchSince) > assumedDemandWindow {
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

// ownDemand sums this host's waiting and running work by workspace, sorted by
// name.
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

// publish publishes the demand if it is due, and the suspects if they changed.
func (d *Dispatcher) publish(now time.Time) {
	d.mu.Lock()
	dueDemand := d.dueDemand(now)
	due := dueDemand != nil
	var suspects *retry.Report
	if d.suspectsChanged || (due && d.suspects.HasRecords()) {
		report := d.suspects.Report(now)
		suspects = &report
	}
	sendNow := d.suspectsChanged
	d.suspectsChanged = false
	d.mu.Unlock()
	if due {
		d.opts.Fleet.Publish(demandSection, dueDemand)
	}
	if suspects != nil {
		d.opts.Fleet.Publish(quarantineSection, suspects)
	}
	if sendNow {
		d.opts.Fleet.HeartbeatNow()
	}
}

// dueDemand returns the section to publish, or nil if it was published within
// publishInterval. The caller holds mu.
func (d *Dispatcher) dueDemand(now time.Time) demandMessage {
	if now.Sub(d.publishedAt) < publishInterval {
		return nil
	}
	d.publishedAt = now
	out := demandMessage{}
	for name, p := range d.pools {
		own := p.ownDemand()
		own.SlotShortage = now.Sub(p.slotShortageAt) <= slotShortageDuration
		own.Limits = d.learnedLimits(p, now)
		if own.SlotShortage || len(own.Workspaces) > 0 {
			out[name] = own
		}
	}
	return out
}

// publishNow publishes the demand without waiting for publishInterval and sends
// it to the peers at once.
func (d *Dispatcher) publishNow() {
	d.mu.Lock()
	d.publishedAt = time.Time{}
	d.mu.Unlock()
	d.publish(time.Now())
	d.opts.Fleet.HeartbeatNow()
}

// demandReceived stores a peer's demand and preempts batch work for its online
// requests.
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
			p.divisionStale = true
		}
	}
	for name, demand := range m {
		d.peerDemand(d.pool(name), from, peerDemand{demand, now})
	}
}

// peerDemand stores a peer's demand in one pool and preempts batch work if
// the peer lacks slots for online requests. The caller holds mu.
func (d *Dispatcher) peerDemand(p *poolState, from peer.HostID, demand peerDemand) {
	p.peers[from] = demand
	p.divisionStale = true
	if demand.SlotShortage {
		d.divideSlotsIfDue(p, demand.receivedAt)
		if d.surplusBatch(p, demand.receivedAt) > 0 {
			p.batchHoldUntil = demand.receivedAt.Add(batchHoldDuration)
		}
		d.preemptSurplus(p, demand.receivedAt)
	}
	d.schedule(p, demand.receivedAt)
}
