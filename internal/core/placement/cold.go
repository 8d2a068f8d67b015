package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WarmUp bounds the requests to servers of a service that have just started.
type WarmUp struct {
	Limit float64       // requests to one cold server in any second, over all hosts; 0 if servers are never cold
	Time  time.Duration // for which a server is cold after its start
}

const (
	// warmUpWindow is the time in which a host sends at most its part of the bound to a
	// cold server. The bound holds for any second. A request is written shortly after
	// its server was chosen, and two of them not equally late.
	warmUpWindow = 1250 * time.Millisecond
	// warmUpDivided is the part of the bound that is divided among the hosts. The rest
	// is for hosts that do not know each other yet.
	warmUpDivided = 0.9
	// maxWarmListAge is the age of the list of servers from which a host does not know
	// which servers are cold. The list of a host that reaches the store or a peer is
	// younger than 2.6 s.
	maxWarmListAge = 4 * time.Second
	// coldPenalty multiplies the score of a cold server, which is slow.
	coldPenalty = 1.5
)

// warmUps is the state of a placement that concerns cold servers.
type warmUps struct {
	byService map[string]WarmUp
	self      string
	hosts     map[string][]string // registered hosts by zone, including self; nil until this host may use its parts
	parts     map[partKey]int     // this host's parts of servers' bounds; filled by coldPart
	listAt    time.Time           // when the list of servers was last known to be the newest
	denied    int                 // choices that passed over a cold server
}

// warmth is the state of one server.
type warmth struct {
	revision   int64       // of the entry that coldUntil is from
	coldUntil  time.Time   // by its entry or an answer
	answered   time.Time   // until when it is cold by its last answer that said so
	returnedAt time.Time   // end of the zone's last evacuation
	sentAt     []time.Time // own requests within warmUpWindow, oldest first
}

// SetWarmUps sets the bounds by service.
func (p *Placement) SetWarmUps(byService map[string]WarmUp) {
	p.warm.byService, p.warm.parts = byService, nil
}

// SetWarmUpHosts sets the registered hosts by zone, which divide the bounds of cold
// servers. A nil map means that this host must not use its parts.
func (p *Placement) SetWarmUpHosts(self string, byZone map[string][]string) {
	p.warm.self, p.warm.hosts, p.warm.parts = self, byZone, nil
}

// SetListConfirmedAt sets when the list of servers was last known to be the newest.
func (p *Placement) SetListConfirmedAt(at time.Time) { p.warm.listAt = at }

// RecordCold records what a server said in an answer: for how long it is cold.
func (p *Placement) RecordCold(id string, left time.Duration, now time.Time) {
	if s, ok := p.servers[id]; ok {
		s.warmth.coldUntil, s.warmth.answered = now.Add(left), now.Add(left)
	}
}

// update records what the server's entry says. An entry that was written before
// counts from when this host learned of it, so that the end is never too early. It may be
// older than the last answer, and does not shorten what that said.
func (w *warmth) update(entry Server, now time.Time) {
	if entry.Revision == w.revision && w.revision != 0 {
		return
	}
	w.revision = entry.Revision
	w.coldUntil = now.Add(entry.ColdFor)
	if w.answered.After(w.coldUntil) {
		w.coldUntil = w.answered
	}
}

// ColdServers returns the number of listed servers that are known to be cold.
func (p *Placement) ColdServers(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if p.isCold(s, now) {
			n++
		}
	}
	return n
}

// ColdDenied returns how often a choice passed over a server because this host's part
// of its bound was used up.
func (p *Placement) ColdDenied() int { return p.warm.denied }

func (p *Placement) isCold(s *server, now time.Time) bool {
	w := p.warm.byService[s.cfg.Service]
	return w.Limit > 0 && (now.Before(s.warmth.coldUntil) || !s.warmth.returnedAt.IsZero() && now.Before(s.warmth.returnedAt.Add(w.Time)))
}

// mayWarm reports whether the bound of a server that is cold, or may be, lets this host
// send it a request.
func (p *Placement) mayWarm(s *server, class Class, now time.Time) bool {
	if p.warm.byService[s.cfg.Service].Limit <= 0 {
		return true
	}
	known := p.isCold(s, now)
	switch {
	case known && class == Batch:
		return false
	case !known && now.Sub(p.warm.listAt) <= maxWarmListAge:
		return true
	}
	if s.warmth.sentWithin(now) < p.coldPart(s, now) {
		return true
	}
	p.warm.denied++
	return false
}

// sentWithin returns the number of own requests in the last warmUpWindow.
func (w *warmth) sentWithin(now time.Time) int {
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= warmUpWindow {
		expired++
	}
	w.sentAt = w.sentAt[expired:]
	return len(w.sentAt)
}

// recordSend counts a request that is sent to a server of a service with a bound.
func (p *Placement) recordSend(s *server, now time.Time) {
	if p.warm.byService[s.cfg.Service].Limit <= 0 {
		return
	}
	s.warmth.sentWithin(now)
	s.warmth.sentAt = append(s.warmth.sentAt, now)
}

// coldPart returns this host's part of the bound of a server. A host with an old list may
// not know of a host that was registered since, and leaves a part for it.
func (p *Placement) coldPart(s *server, now time.Time) int {
	key := partKey{server: s.cfg.ID, old: now.Sub(p.warm.listAt) > maxWarmListAge}
	if part, ok := p.warm.parts[key]; ok {
		return part
	}
	if p.warm.parts == nil {
		p.warm.parts = map[partKey]int{}
	}
	unknown := 0
	if key.old {
		unknown = 1
	}
	limit := int(math.Min(p.warm.byService[s.cfg.Service].Limit*warmUpDivided, math.MaxInt32))
	part := WarmUpPart(p.warm.self, p.warm.hosts, unknown, s.cfg, limit)
	p.warm.parts[key] = part
	return part
}

// partKey identifies a part of a bound.
type partKey struct {
	server string
	old    bool // the list of servers is old
}

// WarmUpPart returns the part of host self in a bound on the requests to a server. It is
// divided among the registered hosts of the server's zone, or among all hosts if that
// zone has none, and a number of unknown ones, in an order that differs by server. The
// parts of all hosts with the same list add up to the limit.
func WarmUpPart(self string, byZone map[string][]string, unknown int, s Server, limit int) int {
	hosts := byZone[s.Zone]
	if len(hosts) == 0 {
		for _, list := range byZone {
			hosts = append(hosts, list...)
		}
	}
	if !slices.Contains(hosts, self) {
		return 0
	}
	own, rank := rankHash(self, s.ID), unknown // the unknown ones may come first
	for _, host := range hosts {
		if h := rankHash(host, s.ID); h < own || h == own && host < self {
			rank++
		}
	}
	n := len(hosts) + unknown
	part := limit / n
	if rank < limit%n {
		part++
	}
	return part
}

func rankHash(host, server string) uint64 { return xxhash.Sum64String(host + "\x00" + server) }
