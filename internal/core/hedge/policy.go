// Package hedge decides when a request whose server does not answer is sent to another
// one: as a second attempt, once its answer takes unusually long and within a limit, or as
// a replacement for a server that is silent. It counts the servers that a request was sent
// to. It performs no I/O and reads no clock.
package hedge

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxLimit is the largest limit. More second attempts would take the slots that other
	// requests need.
	MaxLimit = 0.2
	// A second attempt starts after the quantile 1 - limit of the times to the first byte,
	// within minQuantile and maxQuantile. Answers before are not unusual. With a higher
	// quantile, the moment would be among the slow answers where more are slow than the
	// limit, and too late for all of them.
	minQuantile = 0.9
	maxQuantile = 0.95
	// minMedians is the least time to a second attempt, in medians. A second server needs
	// about a median too, so that an earlier start seldom wins.
	minMedians = 2
	// mediansToAnswer is the time that a second server is given, in medians, for its answer
	// to be in time. A second attempt starts by then, also if that is before the quantile:
	// after a time of trouble the quantile lies beyond the objective.
	mediansToAnswer = 2
	// minDelay is the least time to a second attempt. Below, the ways between the machines
	// are a large part of what is measured.
	minDelay = 10 * time.Millisecond
	// minSamples is the least number of times, and minSamplesBeyond of those beyond the
	// quantile, from which the quantile is taken.
	minSamples       = 100
	minSamplesBeyond = 5
	// maxBusyPart is the part of a service's slots from which second attempts would take
	// the place of requests that have none yet.
	maxBusyPart = 0.9
	// lossesToFail is how many second attempts must answer, one after the other, before a
	// server that has begun no answer meanwhile counts as failed. It would otherwise get
	// requests for ever, since none waits until it counts as silent.
	lossesToFail = 3
	// maxLosers bounds the servers whose losses are counted.
	maxLosers = 4096
	// maxRoutes bounds the routes and services that are remembered.
	maxRoutes = 256
	// learnInterval is how long a computed quantile is used, so that its cost does not grow
	// with the number of requests.
	learnInterval = 500 * time.Millisecond
)

// Denial is the reason why a second attempt does not start. The empty one lets it start.
type Denial string

// Denials.
const (
	Allowed    Denial = ""
	NoBudget   Denial = "budget"      // the route's requests have not earned one
	NoAttempts Denial = "no_attempts" // the request may be sent to no further server
	Waiting    Denial = "waiting"     // requests wait for the service
	Scarce     Denial = "scarce"      // slots are scarce
	Outage     Denial = "outage"      // many requests are slow at once
	Suspected  Denial = "suspect"     // the request may crash servers
	TooLate    Denial = "too_late"    // the answer could not be in time
	Refused    Denial = "refused"     // the request may not be sent any more
)

// Key identifies the requests of a route to a service.
type Key struct{ Route, Service string }

func (k Key) hash() uint32 { return Hash(k.Route + "\x00" + k.Service) }

// Hash returns the hash by which reports name routes, services and servers. Two with the
// same hash among those of a service only make a second attempt more or less likely.
func Hash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// route is the state of one route's requests to one service.
type route struct {
	times     times
	credit    credit
	usedAt    time.Time
	quantile  time.Duration
	median    time.Duration
	learnedAt time.Time
}

// peer is a peer's latest report, or that of a zone.
type peer struct {
	at     time.Time
	report Report
	times  map[uint32]histogram
}

// Policy decides on the second attempts of one host. It is not safe for concurrent use.
type Policy struct {
	units    int64 // of credit that a request earns
	quantile float64
	started  time.Time
	routes   map[Key]*route
	services map[string]*slowness
	peers    map[string]peer
	losses   map[string]int // of servers that have begun no answer since, by id
}

// New returns a policy that limits second attempts to a part of the requests of each route,
// from 0 to MaxLimit.
func New(limit float64) *Policy {
	limit = min(max(limit, 0), MaxLimit)
	return &Policy{
		units: int64(limit * wholeAttempt), quantile: min(max(1-limit, minQuantile), maxQuantile),
		routes: map[Key]*route{}, services: map[string]*slowness{}, peers: map[string]peer{}, losses: map[string]int{},
	}
}

// at returns the time since the policy was used first.
func (p *Policy) at(now time.Time) time.Duration {
	if p.started.IsZero() {
		p.started = now
	}
	return max(now.Sub(p.started), 0)
}

func (p *Policy) route(k Key, now time.Time) *route {
	r, ok := p.routes[k]
	if !ok {
		p.evict()
		r = &route{times: times{since: now}}
		p.routes[k] = r
	}
	r.usedAt = now
	return r
}

// evict makes room for one more route.
func (p *Policy) evict() {
	if len(p.routes) < maxRoutes {
		return
	}
	var oldest Key
	var usedAt time.Time
	for k, r := range p.routes {
		if usedAt.IsZero() || r.usedAt.Before(usedAt) {
			oldest, usedAt = k, r.usedAt
		}
	}
	delete(p.routes, oldest)
}

func (p *Policy) service(name string) *slowness {
	s, ok := p.services[name]
	if !ok {
		if len(p.services) >= maxRoutes {
			clear(p.services) // they hold the last two seconds only
		}
		s = &slowness{}
		p.services[name] = s
	}
	return s
}

// Awaited is the answer of a request's first server, from Sent.
type Awaited struct {
	Key    Key
	Server string
	After  time.Duration // from the send, when a second attempt is due; 0 if too little is known
	// IsOverdue is set by Overdue.
	IsOverdue bool
}

// Sent records that a request is sent to its first server, which earns its route a part of
// a second attempt. left is the time until its objective.
func (p *Policy) Sent(k Key, server string, left time.Duration, now time.Time) Awaited {
	r := p.route(k, now)
	r.credit.earn(p.units, p.at(now))
	p.learn(k, r, now)
	out := Awaited{Key: k, Server: server}
	if r.median > 0 {
		latest := left - mediansToAnswer*r.median
		out.After = max(min(r.quantile, latest), minMedians*r.median, minDelay)
	}
	return out
}

// Overdue records that the answer has not begun when a second attempt was due.
func (p *Policy) Overdue(a *Awaited, now time.Time) {
	if !a.IsOverdue {
		a.IsOverdue = true
		p.service(a.Key.Service).overdue(Hash(a.Server), p.at(now))
	}
}

// Answered records how long the server took to begin its answer.
func (p *Policy) Answered(a *Awaited, took time.Duration, now time.Time) {
	delete(p.losses, a.Server)
	p.route(a.Key, now).times.add(took, now)
	switch {
	case a.IsOverdue:
	case a.After > 0 && took > a.After:
		p.Overdue(a, now)
	default:
		p.service(a.Key.Service).answered(p.at(now))
	}
}

// Unanswered records that an overdue answer is no longer awaited after a time, because
// another server has begun to answer or the caller has left.
func (p *Policy) Unanswered(a *Awaited, waited time.Duration, now time.Time) {
	p.route(a.Key, now).times.add(waited, now)
}

// Lost records that a second attempt answered first. It reports whether the server counts
// as failed.
func (p *Policy) Lost(a *Awaited) bool {
	if len(p.losses) >= maxLosers {
		clear(p.losses)
	}
	p.losses[a.Server]++
	return p.losses[a.Server] >= lossesToFail
}

// Conditions are those of a request whose second attempt is due.
type Conditions struct {
	MayAskNew  bool          // by Attempts
	Suspect    bool          // the request or its prompt is suspected of crashing servers
	Waiting    bool          // requests wait for the service
	Load       int           // requests at the service's servers
	Slots      int           // of the service's servers
	SinceStart time.Duration // since the request arrived
	Objective  time.Duration
}

// Decide tells whether a second attempt may start. It does not use up the budget; call
// Spend once a server has a slot.
func (p *Policy) Decide(a Awaited, c Conditions, now time.Time) Denial {
	r := p.route(a.Key, now)
	switch {
	case !c.MayAskNew:
		return NoAttempts
	case c.Suspect:
		return Suspected
	case c.SinceStart+r.median > c.Objective:
		return TooLate
	case p.sharedCause(a, now):
		return Outage
	case c.Waiting:
		return Waiting
	case float64(c.Load) >= maxBusyPart*float64(c.Slots):
		return Scarce
	case !r.credit.covers(p.at(now)):
		return NoBudget
	}
	return Allowed
}

// sharedCause reports whether requests at other servers are slow too, by this host's last
// requests or by the counts of all hosts.
func (p *Policy) sharedCause(a Awaited, now time.Time) bool {
	server, usual := Hash(a.Server), 1-p.quantile
	return p.service(a.Key.Service).lastReport(p.at(now)).sharedCause(server, usual) ||
		p.serviceReport(a.Key.Service, now).sharedCause(server, usual)
}

// Spend uses up the budget for one second attempt. It reports false if there is none left.
func (p *Policy) Spend(a Awaited, now time.Time) bool {
	return p.route(a.Key, now).credit.spend(p.at(now))
}

// learn updates the times of a route from all hosts. They are 0 if too little is known.
func (p *Policy) learn(k Key, r *route, now time.Time) {
	if !r.learnedAt.IsZero() && now.Sub(r.learnedAt) < learnInterval {
		return
	}
	r.learnedAt, r.quantile, r.median = now, 0, 0
	sum := r.times.sum(now)
	for _, peer := range p.peers {
		if now.Sub(peer.at) < peerExpiry {
			if h, ok := peer.times[k.hash()]; ok {
				sum.add(&h)
			}
		}
	}
	if n := float64(sum.total()); n >= minSamples && n*(1-p.quantile) >= minSamplesBeyond {
		r.quantile, r.median = sum.quantile(p.quantile), sum.quantile(0.5)
	}
}

// serviceReport returns the counts of a service over all hosts.
func (p *Policy) serviceReport(service string, now time.Time) ServiceReport {
	out := p.service(service).report(p.at(now))
	for _, peer := range p.peers {
		if now.Sub(peer.at) < slowTime {
			out.add(peer.report.Services[Hash(service)], 1)
		}
	}
	return out
}

// Report returns what this host knows by itself.
func (p *Policy) Report(now time.Time) Report {
	out := Report{Times: map[uint32]TimesReport{}, Services: map[uint32]ServiceReport{}}
	for k, r := range p.routes {
		if sum := r.times.sum(now); sum.total() > 0 {
			out.Times[k.hash()] = timesReport(&sum)
		}
	}
	for name, s := range p.services {
		if r := s.report(p.at(now)); r.Due > 0 {
			out.Services[Hash(name)] = r
		}
	}
	out.trim()
	return out
}

// Merge replaces the report of a peer or a zone.
func (p *Policy) Merge(from string, r Report, now time.Time) {
	for name, old := range p.peers {
		if now.Sub(old.at) >= peerExpiry {
			delete(p.peers, name)
		}
	}
	decoded := map[uint32]histogram{}
	for key, t := range r.Times {
		decoded[key] = t.histogram()
	}
	p.peers[from] = peer{now, r, decoded}
}
