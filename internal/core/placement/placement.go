// Package placement chooses a backend server for each request of an entry
// host. Servers admit work in the order in which it arrives and know no
// classes, so a host sends a server hardly more than it can run at once. The
// load of a server is what this host has in flight there, what its peers
// reported, and what the server told with its last answer. The package
// performs no I/O; time and randomness are arguments.
package placement

import (
	"cmp"
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

// Server is a backend server as it announces itself.
type Server struct {
	ID       string // unique per start of the server
	Instance string // name by which the server knows itself
	Service  string
	Address  string // IP and port
	Zone     string
	Slots    int  // requests that it runs at once, at least 1
	Ready    bool // takes new requests
}

// InFlight counts requests at one server by class.
type InFlight struct {
	Online int
	Batch  int
}

func (n InFlight) total() int { return n.Online + n.Batch }

// Outcome tells what the end of a request says about its server.
type Outcome int

// Outcomes of a request.
const (
	Good     Outcome = iota // the server answered as it should
	Neutral                 // ended by the caller or by this host
	Rejected                // the server was full or is another instance
	Failed                  // broken, silent, garbled or failed answer
)

const (
	// reportFor is how long a server's own report of its load counts. Streams
	// take 0.4 to 0.7 s, so half of what it showed has ended by then.
	reportFor = 300 * time.Millisecond
	// peerFor is how long a peer's counts are used without a newer report.
	peerFor = 2 * time.Second
	// overfill is the part of a server's slots that may wait at the server,
	// so that a slot is refilled without a round trip to the host.
	overfill = 0.25
	// batchReserve is the part of a server's slots that batch work leaves free
	// for online requests that arrive before batch work can step aside.
	batchReserve = 0.125
	// otherZone multiplies the expected time of servers in other zones. Bytes
	// between zones are accounted, and the way there takes longer.
	otherZone = 1.15
	// failureWeight multiplies the expected time by 1 + failureWeight x the
	// share of failures, so that a server that fails a tenth of its requests
	// takes half of its part.
	failureWeight = 10.0
	// failureKeep is the weight of the past in the share of failures.
	failureKeep = 0.8
	// ejectAfter is the number of failures in a row that take a server out of
	// the choice; a single one is common when connections break.
	ejectAfter = 2
	ejectBase  = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// rejectedFor is how long a server that rejected a request gets no other.
	rejectedFor = 100 * time.Millisecond
	// timeKeep is the weight of the past in the mean service time.
	timeKeep = 0.9
	// fullWeight is the weight in the draw of a server without a free slot, in
	// free slots.
	fullWeight = 0.1
	// noise spreads the choices of hosts that see the same loads.
	noise = 0.1
)

// server is what is known of one server.
type server struct {
	cfg         Server
	own         InFlight
	report      int // running and waiting by the server's own account
	reportAt    time.Time
	unitTime    float64 // mean seconds per unit of work, 0 when unknown
	failures    float64 // mean share of failed requests
	inRow       int
	ejections   int
	outUntil    time.Time
	probing     bool // the single request after an ejection is in flight
	rejectUntil time.Time
}

// peerLoad is one peer's counts by server.
type peerLoad struct {
	at     time.Time
	counts map[string]InFlight
}

// Placement holds what a host knows of its servers. It is not safe for
// concurrent use.
type Placement struct {
	zone    string
	servers map[string]*server
	byName  map[string][]*server // by service
	peers   map[string]peerLoad
	rng     *rand.Rand
	own     map[string]int // this host's part of the servers' slots
	// candidates is scratch space of Pick.
	candidates []candidate
}

// New returns a placement without servers for a host in the zone.
func New(zone string, rng *rand.Rand) *Placement {
	return &Placement{zone: zone, servers: map[string]*server{}, byName: map[string][]*server{}, peers: map[string]peerLoad{}, rng: rng}
}

// SetServers replaces the set of servers and keeps what was learned of those
// that remain.
func (p *Placement) SetServers(list []Server) {
	old := p.servers
	p.servers = make(map[string]*server, len(list))
	p.byName = map[string][]*server{}
	for _, cfg := range list {
		cfg.Slots = max(cfg.Slots, 1)
		s, ok := old[cfg.ID]
		if !ok {
			s = &server{}
		}
		s.cfg = cfg
		p.servers[cfg.ID] = s
		p.byName[cfg.Service] = append(p.byName[cfg.Service], s)
	}
	for id, s := range old {
		// Requests in flight at a server that was taken off the list still end.
		if _, ok := p.servers[id]; !ok && s.own.total() > 0 {
			s.cfg.Ready = false
			p.servers[id] = s
		}
	}
}

// SetOwnSlots sets this host's part of the servers' slots; see OwnSlots.
func (p *Placement) SetOwnSlots(own map[string]int) { p.own = own }

// PeerLoad takes over a peer's counts.
func (p *Placement) PeerLoad(peer string, counts map[string]InFlight, now time.Time) {
	p.peers[peer] = peerLoad{now, counts}
}

// ForgetPeer drops the counts of a peer that has gone.
func (p *Placement) ForgetPeer(peer string) { delete(p.peers, peer) }

// Own returns this host's requests in flight by server.
func (p *Placement) Own() map[string]InFlight {
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
	n := s.own
	for _, peer := range p.peers {
		if now.Sub(peer.at) < peerFor {
			c := peer.counts[s.cfg.ID]
			n.Online += c.Online
			n.Batch += c.Batch
		}
	}
	if age := now.Sub(s.reportAt); age < reportFor {
		fresh := 1 - float64(age)/float64(reportFor)
		if told := int(float64(s.report)*fresh + 0.5); told > n.total() {
			n.Online += told - n.total()
		}
	}
	return n
}

// usable reports whether a server may get a new request.
func (s *server) usable(now time.Time) bool {
	return s.cfg.Ready && !now.Before(s.outUntil) && !s.probing && !now.Before(s.rejectUntil)
}

// Query describes the request for which a server is chosen.
type Query struct {
	Service string
	Class   Class
	Tried   []string // servers that must not be chosen
}

// Verdict is the result of a choice.
type Verdict int

// Verdicts of Pick.
const (
	Chosen Verdict = iota
	Full           // there are servers, and none has room now
	NoServer
)

// Pick chooses a server. It does not count the request; call Start.
//
// A request goes to a server where this host has a slot of its own free, if
// there is one. Beyond that, online requests take the better of two servers
// that are drawn by their free slots and speed: hosts that all take the best
// one by loads that are a quarter of a second old fill it beyond its slots
// before they hear of each other.
func (p *Placement) Pick(q Query, now time.Time) (Server, Verdict) {
	verdict := NoServer
	p.candidates = p.candidates[:0]
	mean := p.meanTime(q.Service)
	total := 0.0
	for _, s := range p.byName[q.Service] {
		if !s.cfg.Ready || slices.Contains(q.Tried, s.cfg.ID) {
			continue
		}
		verdict = Full
		load := p.load(s, now).total()
		if !s.usable(now) || load >= room(s.cfg.Slots, q.Class) {
			continue
		}
		c := candidate{server: s, score: p.score(s, load, q.Class, mean)}
		c.own = s.own.total() < p.own[s.cfg.ID] && load < s.cfg.Slots
		c.weight = (float64(max(s.cfg.Slots-load, 0)) + fullWeight) / c.score
		total += c.weight
		p.candidates = append(p.candidates, c)
	}
	if len(p.candidates) == 0 {
		return Server{}, verdict
	}
	if best := p.bestOwn(); best != nil {
		return best.cfg, Chosen
	}
	if q.Class == Batch {
		return slices.MinFunc(p.candidates, byScore).server.cfg, Chosen
	}
	first, second := p.draw(total), p.draw(total)
	if byScore(second, first) < 0 {
		first = second
	}
	return first.server.cfg, Chosen
}

// candidate is a server with room for a request.
type candidate struct {
	server *server
	score  float64 // the lower, the better
	weight float64 // in the draw
	own    bool    // this host has a free slot of its own there
}

// bestOwn returns the best candidate with a slot of this host's own, or nil.
func (p *Placement) bestOwn() *server {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.own && (best == nil || c.score < best.score) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

func byScore(a, b candidate) int { return cmp.Compare(a.score, b.score) }

// draw returns a candidate with a probability by its weight.
func (p *Placement) draw(total float64) candidate {
	left := p.rng.Float64() * total
	for _, c := range p.candidates {
		if left -= c.weight; left < 0 {
			return c
		}
	}
	return p.candidates[len(p.candidates)-1]
}

// room returns the load from which a server takes no more of a class.
func room(slots int, class Class) int {
	if class == Batch {
		return slots - int(float64(slots)*batchReserve+0.999)
	}
	return slots + int(float64(slots)*overfill)
}

// score estimates how bad a server is for one more request.
func (p *Placement) score(s *server, load int, class Class, mean float64) float64 {
	unit := s.unitTime
	if unit == 0 {
		unit = mean
	}
	slots := float64(s.cfg.Slots)
	fill := float64(load+1) / slots
	if class == Batch {
		// Batch work spreads evenly, so that every server keeps room for
		// online requests.
		if s.cfg.Zone != p.zone {
			fill *= otherZone
		}
		return fill * (1 + noise*p.rng.Float64())
	}
	out := unit * (1 + fill/2)
	if fill > 1 {
		out += unit * (fill - 1) * 4
	}
	if s.cfg.Zone != p.zone {
		out *= otherZone
	}
	return out * (1 + failureWeight*s.failures) * (1 + noise*p.rng.Float64())
}

// meanTime is the mean service time of a service's servers, 1 when unknown.
func (p *Placement) meanTime(service string) float64 {
	sum, n := 0.0, 0
	for _, s := range p.byName[service] {
		if s.unitTime > 0 {
			sum += s.unitTime
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
	s.count(class, 1)
	if s.inRow >= ejectAfter && !now.Before(s.outUntil) {
		s.probing = true
	}
}

func (s *server) count(class Class, n int) {
	if class == Batch {
		s.own.Batch = max(s.own.Batch+n, 0)
	} else {
		s.own.Online = max(s.own.Online+n, 0)
	}
}

// Finish counts the end of a request. took is the time from the send to the
// end and units its work; both matter for Good only.
func (p *Placement) Finish(id string, class Class, outcome Outcome, took time.Duration, units float64, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.count(class, -1)
	switch outcome {
	case Good:
		s.succeeded(took, units)
	case Rejected:
		s.probing = false
		s.rejectUntil = now.Add(rejectedFor)
	case Failed:
		s.failed(now)
	case Neutral:
		s.probing = false
	}
}

func (s *server) succeeded(took time.Duration, units float64) {
	s.inRow, s.ejections, s.probing = 0, 0, false
	s.failures *= failureKeep
	unit := took.Seconds() / max(units, 1)
	if s.unitTime == 0 {
		s.unitTime = unit
	}
	s.unitTime = timeKeep*s.unitTime + (1-timeKeep)*unit
}

func (s *server) failed(now time.Time) {
	s.inRow++
	s.probing = false
	s.failures = failureKeep*s.failures + (1 - failureKeep)
	if s.inRow >= ejectAfter {
		s.outUntil = now.Add(min(ejectBase<<min(s.ejections, 8), ejectMost))
		s.ejections++
	}
}

// Told takes over the load that a server told with an answer.
func (p *Placement) Told(id string, running, waiting, slots int, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.report, s.reportAt = running+waiting, now
	if slots > 0 {
		s.cfg.Slots = slots
	}
}

// Surplus returns how many of this host's batch requests should leave each
// server for online work: its part of what exceeds the server's slots.
func (p *Placement) Surplus(now time.Time) map[string]int {
	out := map[string]int{}
	for id, s := range p.servers {
		if s.own.Batch == 0 {
			continue
		}
		load := p.load(s, now)
		over := load.total() - s.cfg.Slots
		if over <= 0 || load.Batch == 0 {
			continue
		}
		part := float64(min(over, load.Batch)) * float64(s.own.Batch) / float64(load.Batch)
		if n := int(part + p.rng.Float64()); n > 0 {
			out[id] = min(n, s.own.Batch)
		}
	}
	return out
}

// Fill returns the requests at the usable servers of a service and their slots.
func (p *Placement) Fill(service string, now time.Time) (load, slots int) {
	for _, s := range p.byName[service] {
		if s.usable(now) {
			load += p.load(s, now).total()
			slots += s.cfg.Slots
		}
	}
	return load, slots
}
