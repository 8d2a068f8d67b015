package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// demandInterval is the least time between two looks at the demand, which costs time for
	// each server and peer. Waves rise over some hundred ms.
	demandInterval = 25 * time.Millisecond
	// demandHalfLife is how fast the remembered maximum and minimum of the online requests in
	// flight approach the present number. Waves that come within it leave a trace of each other.
	demandHalfLife = 8 * time.Second
	// minWavePart is the least difference between maximum and minimum that counts as waves, as a
	// part of a service's slots. Below it the part that batch work always leaves free covers them.
	minWavePart = 2 * onlineReservePart
	// minWaveSpread is the same in standard deviations of a steady load, whose variance is its
	// mean. Requests that arrive at random stay within it.
	minWaveSpread = 8.0
	// waveStartPart is by how much the online requests must rise from their last minimum for a
	// wave to start, and waveEndPart by how much they must fall from the wave's maximum for it to
	// end, as parts of the difference between remembered maximum and minimum.
	waveStartPart = 0.35
	waveEndPart   = 0.4
	// tellPart is the change of the online requests, as a part of the same difference, that is
	// passed on at once. At the regular interval of digests, which pass several hosts, batch work
	// gives way when a third of a wave of 2.4 s is over.
	tellPart = 0.1
	// waveReservePart is the part of the rise to the remembered maximum that batch work leaves
	// free between waves, for the requests that arrive before all hosts know of the next one.
	waveReservePart = 0.3
	// UrgentSlack is the time to its latest start below which an item does not leave that room:
	// it may wait in vain for a time without waves.
	UrgentSlack = demandHalfLife
	// AlmostDone is how much an item may have left to run on in a wave: it ends about when
	// its slot would be used.
	AlmostDone = 300 * time.Millisecond
	// quietExcess is how many requests more than slots a server may have between waves before
	// batch work is preempted there. They are batch requests of hosts that chose it at the same
	// time; online requests find free slots at other servers.
	quietExcess = 3
)

// demand follows the online requests of a service that all hosts have in flight or waiting,
// and decides where batch requests may run beside waves of them.
type demand struct {
	at         time.Time
	level      float64 // online requests in flight and waiting
	high, low  float64 // decaying maximum and minimum of level
	slots      float64
	waves      bool            // high and low are far apart
	wave       bool            // a wave has started and not ended
	told       float64         // level when tell last reported a change
	turn       float64         // the maximum of level in this wave, or the minimum since the last one
	servers    map[string]bool // where batch requests may run, nil for all
	budget     int             // batch requests that this host may start until budgetEnds
	budgetEnds time.Time
}

// decay moves value towards target by the time that has passed.
func decay(value, target float64, passed, halfLife time.Duration) float64 {
	return target + (value-target)*math.Exp2(-passed.Seconds()/halfLife.Seconds())
}

// observe notes the present numbers.
func (d *demand) observe(level, slots float64, now time.Time) {
	if d.at.IsZero() {
		d.high, d.low = level, level
	}
	passed := now.Sub(d.at)
	d.at, d.level, d.slots = now, level, slots
	d.high = max(level, decay(d.high, level, passed, demandHalfLife))
	d.low = min(level, decay(d.low, level, passed, demandHalfLife))
	spread := d.high - d.low
	d.waves = spread >= max(minWavePart*slots, minWaveSpread*math.Sqrt((d.high+d.low)/2))
	switch {
	case !d.waves:
		d.wave, d.turn = false, level
	case d.wave:
		d.turn = max(d.turn, level)
		if level < d.turn-waveEndPart*(d.turn-d.low) {
			d.wave, d.turn = false, level
		}
	default:
		d.turn = min(d.turn, level)
		if level > d.turn+waveStartPart*spread {
			d.wave, d.turn = true, level
		}
	}
}

// room returns how many batch requests all hosts may run at the service.
func (d *demand) room() float64 {
	reserve := onlineReservePart * d.slots
	if d.waves && !d.wave {
		reserve = max(reserve, waveReservePart*(d.high-d.level))
	}
	room := max(d.slots-d.level-reserve, 0)
	if d.waves {
		room = max(room, d.slots-d.high)
	}
	return room
}

// ObserveDemand notes the requests in flight at the servers of all services. It reports
// whether they have changed by so much that peers should hear of it at once.
func (p *Placement) ObserveDemand(now time.Time) (tell bool) {
	if now.Sub(p.demandObservedAt) < demandInterval {
		return false
	}
	p.demandObservedAt = now
	for service, servers := range p.byService {
		d, ok := p.demands[service]
		if !ok {
			d = &demand{}
			p.demands[service] = d
		}
		ownWaiting, waiting := p.waiting(service, now)
		level, batch, slots := waiting.Online, 0, 0
		for _, s := range servers {
			n := p.counted(s, now)
			level += n.Online
			batch += n.Batch
			if s.cfg.Ready {
				slots += s.cfg.Slots
			}
		}
		d.observe(float64(level), float64(slots), now)
		d.servers = nil
		if d.waves {
			tell = d.tell() || tell
			d.servers = batchServers(servers, d.room())
			part := float64(ownWaiting.Batch) / float64(max(waiting.Batch, 1))
			d.renewBudget((d.room()-float64(batch))*part+p.rng.Float64(), now, p.peerLag)
		}
	}
	gone := func(service string) bool { return len(p.byService[service]) == 0 }
	maps.DeleteFunc(p.queued, func(service string, _ InFlight) bool { return gone(service) })
	maps.DeleteFunc(p.demands, func(service string, _ *demand) bool { return gone(service) })
	return tell
}

// tell reports whether the level has changed by tellPart since it last reported so.
func (d *demand) tell() bool {
	if math.Abs(d.level-d.told) < tellPart*(d.high-d.low) {
		return false
	}
	d.told = d.level
	return true
}

// renewBudget sets the budget to this host's part of the free room once the peers' counts
// include what it started with the last one. In a wave batch requests only replace others.
func (d *demand) renewBudget(free float64, now time.Time, peerLag time.Duration) {
	if now.Before(d.budgetEnds) {
		return
	}
	d.budget, d.budgetEnds = max(int(free), 0), now.Add(peerLag)
	if d.wave {
		d.budget = 0
	}
}

// batchServers returns the first servers, in an order that is the same on all hosts, that
// have room for so many batch requests. Online requests find free slots at the others.
func batchServers(servers []*server, room float64) map[string]bool {
	var ready []*server
	for _, s := range servers {
		if s.cfg.Ready {
			ready = append(ready, s)
		}
	}
	slices.SortFunc(ready, func(a, b *server) int { return cmp.Compare(a.rank, b.rank) })
	out := map[string]bool{}
	for _, s := range ready {
		limit := float64(loadLimit(s.cfg.Slots, Batch))
		if room < limit/2 {
			break
		}
		out[s.cfg.ID] = true
		room -= limit
	}
	return out
}

// rank orders the servers of a service in the same way on all hosts, and otherwise at random.
func rank(id string) uint64 { return xxhash.Sum64String(id) }

// QueueID identifies the waiting requests of a service in the counts of UpdatePeerLoad. It
// is no id of a server.
func QueueID(service string) string { return "queue " + service }

// SetWaiting sets the number of requests that wait for a service at this host.
func (p *Placement) SetWaiting(service string, n InFlight) { p.queued[service] = n }

// waiting returns the requests that wait for a service, at this host and at all hosts.
func (p *Placement) waiting(service string, now time.Time) (own, all InFlight) {
	own = p.queued[service]
	all = p.addPeers(own, QueueID(service), now)
	return own, all
}

// counted returns the requests at a server that this host and its peers count.
func (p *Placement) counted(s *server, now time.Time) InFlight {
	n := s.own
	n.Batch = s.ownBatch()
	return p.addPeers(n, s.cfg.ID, now)
}

// addPeers adds what the peers counted under id.
func (p *Placement) addPeers(n InFlight, id string, now time.Time) InFlight {
	for _, peer := range p.peers {
		if now.Sub(peer.at) < peerReportTTL {
			c := peer.counts[id]
			n.Online += c.Online
			n.Batch += c.Batch
		}
	}
	return n
}

// hasWaves reports whether the online requests of a service come in waves.
func (p *Placement) hasWaves(service string) bool {
	d, ok := p.demands[service]
	return ok && d.waves
}

// YieldsToWave reports whether a batch request at a server, which is expected to run for the
// time left, has to end because of a wave of online requests: they need the server, and it
// has no free slot.
func (p *Placement) YieldsToWave(id string, left time.Duration, now time.Time) bool {
	s, ok := p.servers[id]
	if !ok || left <= AlmostDone {
		return false
	}
	d, ok := p.demands[s.cfg.Service]
	return ok && d.wave && !d.servers[id] && p.load(s, now).total() >= s.cfg.Slots
}

// mayStartBatch reports whether this host may start one more batch request of a service.
func (p *Placement) mayStartBatch(q Query) bool {
	d, ok := p.demands[q.Service]
	return !ok || !d.waves || d.budget > 0 || q.Urgent && !d.wave
}

// keptForOnline reports whether the slots of a server are kept from a batch request for the
// present wave or the next one.
func (p *Placement) keptForOnline(s *server, q Query) bool {
	d, ok := p.demands[q.Service]
	return ok && d.waves && !d.servers[s.cfg.ID] && (d.wave || !q.Urgent)
}

// batchStarted and batchEnded count the batch requests of this host against its budget: one
// that is complete may be replaced at once.
func (p *Placement) batchStarted(service string) {
	if d, ok := p.demands[service]; ok {
		d.budget--
	}
}

func (p *Placement) batchEnded(service string) {
	if d, ok := p.demands[service]; ok {
		d.budget++
	}
}

// harmfulExcess returns how many batch requests have to leave a server with the load, which
// exceeds its slots. Beside waves, batch requests that wait there for each other are left
// alone: a run that is cut costs more than the wait.
func (p *Placement) harmfulExcess(s *server, load InFlight) int {
	excess := min(load.total()-s.cfg.Slots, load.Batch)
	d, ok := p.demands[s.cfg.Service]
	switch {
	case !ok || !d.waves:
		return excess
	case d.wave:
		return min(excess, load.Online)
	}
	return min(excess-quietExcess, load.Online)
}

// BatchRoom returns how many batch requests all hosts may run beside the present online
// requests, over all services.
func (p *Placement) BatchRoom() int {
	room := 0.0
	for _, d := range p.demands {
		room += d.room()
	}
	return int(room)
}

// Waves returns the number of services with a wave of online requests.
func (p *Placement) Waves() int {
	n := 0
	for _, d := range p.demands {
		if d.wave {
			n++
		}
	}
	return n
}
