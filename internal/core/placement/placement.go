// Package placement chooses a backend server for each request of an entry
// host. Servers run requests in order of arrival without regard to class, so a
// host sends a server hardly more than it can run at once. The load of a server
// is estimated from this host's requests in flight there, the counts that peers
// reported, and the load report in the server's last response. The package
// performs no I/O; time and randomness are arguments.
package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Class separates online requests from batch items.
type Class int

// Classes in order of precedence.
const (
	Online Class = iota
	Batch
)

// MaxSlots is the largest number of slots of a server, because the work of dividing
// them grows with it.
const MaxSlots = 1 << 16

// Server is a backend server as described in its announcement.
type Server struct {
	ID        string    // unique per start of the server
	Instance  string    // the server's own name for itself
	StartedAt time.Time // by the server's clock, zero if unknown
	Service   string
	Address   string // IP and port
	Zone      string
	Slots     int           // maximum of concurrent requests, from 1 to MaxSlots
	Ready     bool          // takes new requests
	ColdFor   time.Duration // how long it was still cold when its announcement was written
	Revision  int64         // of the announcement, increases with each change
}

// InFlight counts requests at one server by class.
type InFlight struct {
	Online int
	Batch  int
}

func (n InFlight) total() int { return n.Online + n.Batch }

// Outcome is how a request ended, as far as it concerns the server.
type Outcome int

// Outcomes.
const (
	Success  Outcome = iota // the server responded correctly
	Neutral                 // ended by the caller or by this host
	Rejected                // the server was full or is another instance
	Failed                  // error, timeout, or a truncated or malformed response
)

const (
	// serverReportTTL is how long a server's load report is used. Streams take 0.4
	// to 0.7 s, so by then half of the reported requests have ended.
	serverReportTTL = 300 * time.Millisecond
	// peerReportTTL is how long a peer's counts are used without a newer report.
	peerReportTTL = 2 * time.Second
	// maxQueuedPart bounds the requests that may wait at a server, as a part of its
	// slots. They refill a free slot without a round trip to the host.
	maxQueuedPart = 0.25
	// onlineReservePart is the part of a server's slots that batch work leaves free
	// for online requests that arrive before batch work can be preempted.
	onlineReservePart = 0.125
	// crossZonePenalty multiplies the score of servers in other zones: traffic
	// between zones is accounted and has a higher latency.
	crossZonePenalty = 1.15
	// failurePenalty multiplies the score by 1 + failurePenalty x the failure rate,
	// so that a server that fails a tenth of its requests gets half as many.
	failurePenalty = 10.0
	// failureRateDecay is the weight of the previous value in the failure rate.
	failureRateDecay = 0.8
	// failuresToEject is the number of consecutive failures that eject a server; a
	// single one is common when connections break.
	failuresToEject  = 2
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// rejectionBackoff is how long a server that rejected a request gets no more.
	rejectionBackoff = 100 * time.Millisecond
	// minBorrowMargin is the number of slots that batch work always leaves when it
	// takes slots of other hosts.
	minBorrowMargin = 1.0
	// marginPerConflict is added to a service's borrow margin, in slots, after a
	// server turned out to be fuller than known, and the margin halves every
	// marginHalfLife.
	marginPerConflict = 2.0
	marginHalfLife    = 2 * time.Second
	// maxBorrowMargin bounds the margin, so that borrowing is tried again within
	// some half-lives after an overload.
	maxBorrowMargin = 16.0
	// unitTimeDecay is the weight of the previous value in the mean time per unit.
	unitTimeDecay = 0.9
	// fullServerWeight is added to a server's free slots in the weighted draw, so
	// that a server without a free slot can be drawn.
	fullServerWeight = 0.1
	// scoreJitter is the maximum random increase of a score. It spreads the choices of hosts
	// that see the same loads.
	scoreJitter = 0.1
)

// server is the state of one server.
type server struct {
	cfg                 Server
	own                 InFlight // this host's requests
	preempting          int      // those batch requests of this host that were told to end
	reportedLoad        int      // running and waiting, from the server's report
	reportedAt          time.Time
	timePerUnit         float64 // mean seconds per unit of work, 0 when unknown
	failureRate         float64 // moving average
	consecutiveFailures int
	ejections           int
	ejectedAt           time.Time // start of the last ejection
	ejectedUntil        time.Time
	probeInFlight       bool // no other request is sent until the probe is answered or ends
	rejectedUntil       time.Time
	batchRejectedUntil  time.Time
	preemptedUntil      time.Time // until then peers may not know of the last preemption
	warmth              warmth
	speed               speed
	rank                uint64 // see batchServers
}

// peerLoad is one peer's requests in flight by server.
type peerLoad struct {
	at     time.Time
	counts map[string]InFlight
}

// Placement tracks the servers that one host uses and chooses among them. It is
// not safe for concurrent use.
type Placement struct {
	zone             string
	servers          map[string]*server
	byService        map[string][]*server
	leaving          leavingServers
	peers            map[string]peerLoad
	rng              *rand.Rand
	own              map[string]int // this host's slots by server, from OwnSlots
	margins          map[string]borrowMargin
	peerLag          time.Duration       // until counts of peers include a change
	queued           map[string]InFlight // requests that wait at this host, by service
	candidates       []candidate         // reused by Pick
	evacuated        map[string]bool     // zones whose servers get no new requests
	warm             warmUps
	demands          map[string]*demand // by service
	demandObservedAt time.Time
}

// borrowMargin is the number of slots, beyond those in use, that a server must
// have free before batch work takes slots of other hosts there. Hosts with much
// batch work would otherwise all take the same free slots before they hear of
// each other.
type borrowMargin struct {
	slots float64
	at    time.Time
}

func (m borrowMargin) now(now time.Time) float64 {
	return m.slots * math.Exp2(-now.Sub(m.at).Seconds()/marginHalfLife.Seconds())
}

// RecordConflict records that a server with batch work of this host beyond its
// own slots turned out to be fuller than known.
func (p *Placement) RecordConflict(id string, now time.Time) {
	s, ok := p.servers[id]
	if !ok || s.own.total() <= p.own[id] {
		return
	}
	m := p.margins[s.cfg.Service]
	p.margins[s.cfg.Service] = borrowMargin{min(m.now(now)+marginPerConflict, maxBorrowMargin), now}
}

// New returns a placement without servers for a host in the zone.
func New(zone string, rng *rand.Rand) *Placement {
	return &Placement{zone: zone, servers: map[string]*server{}, byService: map[string][]*server{}, leaving: leavingServers{}, peers: map[string]peerLoad{}, margins: map[string]borrowMargin{}, demands: map[string]*demand{}, queued: map[string]InFlight{}, rng: rng}
}

// SetServers replaces the set of servers and keeps the state of those that
// remain. Servers that were marked by MarkLeaving are not ready, whatever the list
// says.
func (p *Placement) SetServers(list []Server, now time.Time) {
	old := p.servers
	p.servers = make(map[string]*server, len(list))
	p.byService = map[string][]*server{}
	for _, cfg := range list {
		cfg.Slots = max(cfg.Slots, 1)
		s, ok := old[cfg.ID]
		if !ok {
			s = &server{}
		}
		s.warmth.update(cfg, now)
		cfg.Ready = cfg.Ready && !p.evacuated[cfg.Zone]
		s.cfg, s.rank = cfg, rank(cfg.ID)
		p.servers[cfg.ID] = s
		p.byService[cfg.Service] = append(p.byService[cfg.Service], s)
	}
	p.keepOutLeaving()
	p.leaving.update(p.servers, now)
	for id, s := range old {
		// A removed server is kept while it has requests in flight, so that their
		// ends are counted, and while requests count against the bound of a cold one:
		// its entry may come back.
		if _, ok := p.servers[id]; !ok && (s.own.total() > 0 || s.warmth.sentWithin(now) > 0) {
			s.cfg.Ready = false
			p.servers[id] = s
		}
	}
}

// SetOwnSlots sets this host's slots by server; see OwnSlots.
func (p *Placement) SetOwnSlots(own map[string]int) { p.own = own }

// SetPeerLag sets the time until the peers' counts include a change at one of
// them.
func (p *Placement) SetPeerLag(lag time.Duration) { p.peerLag = lag }

// UpdatePeerLoad replaces a peer's counts of requests in flight by server.
func (p *Placement) UpdatePeerLoad(peer string, counts map[string]InFlight, now time.Time) {
	p.peers[peer] = peerLoad{now, counts}
}

// RemovePeer removes the counts of a peer that has left.
func (p *Placement) RemovePeer(peer string) { delete(p.peers, peer) }

// OwnInFlight returns this host's requests in flight by server.
func (p *Placement) OwnInFlight() map[string]InFlight {
	out := map[string]InFlight{}
	for id, s := range p.servers {
		if s.own.total() > 0 {
			out[id] = s.own
		}
	}
	return out
}

// load returns the estimated requests at a server by class.
func (p *Placement) load(s *server, now time.Time) InFlight {
	n := p.counted(s, now)
	if age := now.Sub(s.reportedAt); age < serverReportTTL {
		freshness := 1 - float64(age)/float64(serverReportTTL)
		if reported := int(float64(s.reportedLoad)*freshness + 0.5); reported > n.total() {
			n.Online += reported - n.total()
		}
	}
	return n
}

// ownBatch returns this host's batch requests that were not told to end.
func (s *server) ownBatch() int { return max(s.own.Batch-s.preempting, 0) }

// SetPreempting counts a batch request of this host that was told to end, and
// PreemptionEnded that it has ended.
func (p *Placement) SetPreempting(id string) { p.addPreempting(id, 1) }

// PreemptionEnded is the counterpart of SetPreempting.
func (p *Placement) PreemptionEnded(id string) { p.addPreempting(id, -1) }

func (p *Placement) addPreempting(id string, n int) {
	if s, ok := p.servers[id]; ok {
		s.preempting = max(s.preempting+n, 0)
	}
}

// Ready reports whether a server takes new requests: it is in the list as ready
// and has not said that it is leaving.
func (p *Placement) Ready(id string) bool {
	s, ok := p.servers[id]
	return ok && s.cfg.Ready
}

// Overloaded reports whether a server has more requests in flight than slots.
func (p *Placement) Overloaded(id string, now time.Time) bool {
	s, ok := p.servers[id]
	return ok && p.load(s, now).total() > s.cfg.Slots
}

// usable reports whether a server may get a new request.
func (s *server) usable(now time.Time) bool {
	return s.cfg.Ready && !now.Before(s.ejectedUntil) && !s.probeInFlight && !now.Before(s.rejectedUntil)
}

// Verdict is the result of a choice.
type Verdict int

// Verdicts of Pick.
const (
	Chosen Verdict = iota
	Full           // there are servers, but none can take the request now
	NoServer
)

// Pick chooses a server. It does not count the request; call Start.
//
// A request goes to a server where this host has a free slot of its own, if
// there is one. Otherwise, an online request goes to the better of two servers
// that are drawn with weights by free slots and speed: if all hosts took the
// best server by loads that are a quarter of a second old, they would exceed its
// slots before they learn of each other's requests.
func (p *Placement) Pick(q Query, now time.Time) (Server, Verdict) {
	verdict := NoServer
	p.candidates = p.candidates[:0]
	mean := p.meanTimePerUnit(q.Service)
	total := 0.0
	margin := 0.0
	roomForBatch := q.Class != Batch || p.mayStartBatch(q)
	if q.Class == Batch {
		margin = p.margins[q.Service].now(now)
		if p.own != nil {
			margin += minBorrowMargin
		}
	}
	for _, s := range p.byService[q.Service] {
		if !s.cfg.Ready || q.excludes(s.cfg.ID) {
			continue
		}
		verdict = Full
		load := p.load(s, now).total()
		if !roomForBatch || !s.usable(now) || load >= loadLimit(s.cfg.Slots, q.Class) || !p.mayWarm(s, q.Class, now) {
			continue
		}
		own := s.own.Online+s.ownBatch() < p.own[s.cfg.ID] && load < s.cfg.Slots
		if q.Class == Batch && (p.keptForOnline(s, q) || now.Before(s.batchRejectedUntil) || !own && float64(load)+margin >= float64(loadLimit(s.cfg.Slots, Batch))) {
			continue
		}
		c := candidate{server: s, score: p.score(s, load, q.Class, mean, now), own: own, full: load >= s.cfg.Slots}
		c.weight = (float64(max(s.cfg.Slots-load, 0)) + fullServerWeight) / c.score
		total += c.weight
		p.candidates = append(p.candidates, c)
	}
	if len(p.candidates) == 0 {
		return Server{}, verdict
	}
	if q.Class == Batch && q.Prefer != "" {
		if best := p.bestWhere(func(c *candidate) bool { return c.server.cfg.ID == q.Prefer }); best != nil {
			return best.cfg, Chosen
		}
	}
	if best := p.bestWithOwnSlot(); best != nil {
		return best.cfg, Chosen
	}
	if q.Class == Batch && p.hasWaves(q.Service) {
		return p.drawByWeight(total).server.cfg, Chosen
	}
	if q.Class == Batch {
		return slices.MinFunc(p.candidates, byScore).server.cfg, Chosen
	}
	first, second := p.drawByWeight(total), p.drawByWeight(total)
	if byScore(second, first) < 0 {
		first = second
	}
	if best := p.bestWithOwnBatch(); first.full && best != nil {
		return best.cfg, Chosen
	}
	return first.server.cfg, Chosen
}

// candidate is a server that can take the request.
type candidate struct {
	server *server
	score  float64 // the lower, the better
	weight float64 // in the random draw
	own    bool    // this host has a free slot of its own there
	full   bool    // no slot is free
}

// bestWithOwnSlot returns the best candidate where this host has a free slot of
// its own, or nil.
func (p *Placement) bestWithOwnSlot() *server {
	return p.bestWhere(func(c *candidate) bool { return c.own })
}

// bestWithOwnBatch returns the best candidate where a batch request of this host
// can be preempted, or nil.
func (p *Placement) bestWithOwnBatch() *server {
	return p.bestWhere(func(c *candidate) bool { return c.server.ownBatch() > 0 })
}

func (p *Placement) bestWhere(ok func(*candidate) bool) *server {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if ok(c) && (best == nil || c.score < best.score) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

func byScore(a, b candidate) int { return cmp.Compare(a.score, b.score) }

// drawByWeight returns a random candidate with a probability proportional to its
// weight. total is the sum of the weights.
func (p *Placement) drawByWeight(total float64) candidate {
	left := p.rng.Float64() * total
	for _, c := range p.candidates {
		if left -= c.weight; left < 0 {
			return c
		}
	}
	return p.candidates[len(p.candidates)-1]
}

// loadLimit returns the load at which a server gets no more requests of a class.
func loadLimit(slots int, class Class) int {
	if class == Batch {
		return slots - int(float64(slots)*onlineReservePart+0.999)
	}
	return slots + int(float64(slots)*maxQueuedPart)
}

// score estimates the cost of one more request at a server: for online requests
// the expected time, for batch work the fill.
func (p *Placement) score(s *server, load int, class Class, mean float64, now time.Time) float64 {
	unit := s.timePerUnit
	if unit == 0 {
		unit = mean
	}
	slots := float64(s.cfg.Slots)
	fill := float64(load+1) / slots
	if class == Batch {
		// Batch work spreads evenly, so that every server keeps room for
		// online requests.
		if s.cfg.Zone != p.zone {
			fill *= crossZonePenalty
		}
		return fill * (1 + scoreJitter*p.rng.Float64())
	}
	if p.isCold(s, now) {
		unit *= coldPenalty
	}
	unit *= p.slowdown(s, now)
	out := unit * (1 + fill/2)
	if fill > 1 {
		out += unit * (fill - 1) * 4
	}
	if s.cfg.Zone != p.zone {
		out *= crossZonePenalty
	}
	return out * (1 + failurePenalty*s.failureRate) * (1 + scoreJitter*p.rng.Float64())
}

// meanTimePerUnit returns the mean time per unit of work over a service's
// servers, 1 when unknown.
func (p *Placement) meanTimePerUnit(service string) float64 {
	sum, n := 0.0, 0
	for _, s := range p.byService[service] {
		if s.timePerUnit > 0 {
			sum += s.timePerUnit
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Start counts a request that is sent to the server.
func (p *Placement) Start(id string, class Class, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.addInFlight(class, 1)
	if class == Batch {
		p.batchStarted(s.cfg.Service)
	}
	p.recordSend(s, now)
	if s.consecutiveFailures >= failuresToEject && !now.Before(s.ejectedUntil) {
		s.probeInFlight = true
	}
}

func (s *server) addInFlight(class Class, n int) {
	if class == Batch {
		s.own.Batch = max(s.own.Batch+n, 0)
	} else {
		s.own.Online = max(s.own.Online+n, 0)
	}
}

// UpdateServerLoad records the load that a server reported with a response, and its
// slowdown, 0 if it did not report one.
func (p *Placement) UpdateServerLoad(id string, running, waiting, slots int, slowdown float64, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.reportedLoad, s.reportedAt = running+waiting, now
	s.speed.record(slowdown, true, now)
	if slots > 0 {
		s.cfg.Slots = slots
	}
}

// BatchToPreempt returns how many of this host's batch requests at each server should
// be preempted for online requests: its share of the load that exceeds the
// server's slots. It takes a server into account again when the peers' counts
// include what was preempted there, or all hosts would preempt for the same load
// several times.
func (p *Placement) BatchToPreempt(now time.Time) map[string]int {
	out := map[string]int{}
	for id, s := range p.servers {
		if s.ownBatch() == 0 || now.Before(s.preemptedUntil) {
			continue
		}
		load := p.load(s, now)
		excess := p.harmfulExcess(s, load)
		if excess <= 0 {
			continue
		}
		share := float64(excess) * float64(s.ownBatch()) / float64(load.Batch)
		if n := int(share + p.rng.Float64()); n > 0 {
			out[id] = min(n, s.ownBatch())
			s.preemptedUntil = now.Add(p.peerLag)
		}
	}
	return out
}

// HasBatchSurplus reports whether a server has more requests in flight than slots
// because of other hosts' batch work.
func (p *Placement) HasBatchSurplus(id string, now time.Time) bool {
	s, ok := p.servers[id]
	if !ok {
		return false
	}
	load := p.load(s, now)
	return load.total() > s.cfg.Slots && load.Batch > s.ownBatch()
}

// ServiceLoad returns the load and the slots of the usable servers of a service.
func (p *Placement) ServiceLoad(service string, now time.Time) (load, slots int) {
	for _, s := range p.byService[service] {
		if s.usable(now) {
			load += p.load(s, now).total()
			slots += s.cfg.Slots
		}
	}
	return load, slots
}
