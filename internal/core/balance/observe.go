package balance

import "time"

// Ticket is one request in flight at a server.
type Ticket struct {
	Server string
	sentAt time.Time
	load   float64 // estimated load including this request
	valid  bool
}

// Outcome is how a request at a server ended.
type Outcome int

// Outcomes.
const (
	Succeeded Outcome = iota
	Failed            // the server or its connection failed
	Neutral           // not due to the server: cancelled, preempted
)

// Transition reports a change of a server's ejection.
type Transition int

// Transitions.
const (
	NoChange Transition = iota
	Ejected
	Restored
)

// RecordSent records a request that is sent to the server.
func (b *Balancer) RecordSent(now time.Time, name string) Ticket {
	s, ok := b.servers[name]
	if !ok {
		return Ticket{Server: name}
	}
	s.inFlight++
	s.recordInFlight(now)
	s.ejection.sent()
	return Ticket{Server: name, sentAt: now, load: s.load(now), valid: true}
}

// RecordFinished records the end of a request with its actual cost in tokens. With
// cost 0 its latency is ignored, for example after a truncated response.
func (b *Balancer) RecordFinished(now time.Time, t Ticket, outcome Outcome, cost float64) Transition {
	s, ok := b.servers[t.Server]
	if !ok || !t.valid {
		return NoChange
	}
	s.inFlight = max(0, s.inFlight-1)
	s.recordInFlight(now)
	switch outcome {
	case Failed:
		if s.ejection.failed(now) {
			return Ejected
		}
	case Neutral:
		s.ejection.neutral()
	case Succeeded:
		if cost > 0 {
			s.learnServiceTime(now, now.Sub(t.sentAt).Seconds()/(fixedCostTokens+cost), t.load)
		}
		if s.ejection.succeeded() {
			return Restored
		}
	}
	return NoChange
}

// ApplyReport applies a load report, which also counts as a successful poll.
func (b *Balancer) ApplyReport(now time.Time, name string, r Report) {
	if s, ok := b.servers[name]; ok {
		s.ejection.polled(now, true)
		s.applyReport(now, r)
	}
}

// RecordPoll records whether a server without load reports responded to a poll.
func (b *Balancer) RecordPoll(now time.Time, name string, ok bool) Transition {
	s, found := b.servers[name]
	if found && s.ejection.polled(now, ok) {
		return Ejected
	}
	return NoChange
}

// Load returns the estimated number of requests at the server, of this and
// other hosts.
func (b *Balancer) Load(now time.Time, name string) float64 {
	if s, ok := b.servers[name]; ok {
		return s.load(now)
	}
	return 0
}

// InFlight returns the number of this host's requests at the server.
func (b *Balancer) InFlight(name string) int {
	if s, ok := b.servers[name]; ok {
		return s.inFlight
	}
	return 0
}

// Limit returns the learned limit of concurrent requests at the server, at
// least 1.
func (b *Balancer) Limit(name string) int {
	if s, ok := b.servers[name]; ok {
		return s.limit()
	}
	return 1
}

// PoolState summarizes a pool.
type PoolState struct {
	Servers   int // configured and not leaving
	Available int // neither leaving nor ejected
	Slots     int // sum of the limits of available servers
}

func (b *Balancer) Pool(now time.Time, name string) PoolState {
	var st PoolState
	p, ok := b.pools[name]
	if !ok {
		return st
	}
	for _, s := range p.servers {
		if s.cfg.Leaving {
			continue
		}
		st.Servers++
		if s.available(now) {
			st.Available++
			st.Slots += s.limit()
		}
	}
	return st
}

// ServerNames returns the servers of a pool that are not leaving, sorted.
func (b *Balancer) ServerNames(name string) []string {
	var out []string
	if p, ok := b.pools[name]; ok {
		for _, s := range p.servers {
			if !s.cfg.Leaving {
				out = append(out, s.cfg.Name)
			}
		}
	}
	return out
}

// Available reports whether the server takes new work.
func (b *Balancer) Available(now time.Time, name string) bool {
	s, ok := b.servers[name]
	return ok && s.available(now)
}

// Capacity is the capacity of an available server.
type Capacity struct {
	Server  string
	Limit   int     // learned
	Service float64 // learned service time, s per token
}

// Capacities returns the available servers of a pool, sorted by name.
func (b *Balancer) Capacities(now time.Time, name string) []Capacity {
	var out []Capacity
	if p, ok := b.pools[name]; ok {
		for _, s := range p.servers {
			if s.available(now) {
				out = append(out, Capacity{s.cfg.Name, s.limit(), s.serviceTime(now)})
			}
		}
	}
	return out
}

// ExpectedTime returns the expected completion time of one more request at the
// server, up to a factor that is common to all servers.
func (b *Balancer) ExpectedTime(now time.Time, name string) float64 {
	if s, ok := b.servers[name]; ok {
		return s.expectedTime(now)
	}
	return 0
}

// Pools returns the names of all pools that have servers, in no order.
func (b *Balancer) Pools() []string {
	out := make([]string, 0, len(b.pools))
	for name := range b.pools {
		out = append(out, name)
	}
	return out
}
