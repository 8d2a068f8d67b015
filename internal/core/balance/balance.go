// Package balance chooses a backend server for each request and learns how
// much concurrent work each server takes. It performs no I/O: the caller
// reports what was sent, what ended and what servers report, and passes the
// time and the randomness.
package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy selects how a server is chosen.
type Policy string

// Policies. All but TwoChoices are baselines for comparison.
const (
	TwoChoices       Policy = "two_choices"
	RoundRobin       Policy = "round_robin"
	LeastOutstanding Policy = "least_outstanding"
	Random           Policy = "random"
)

// Server is the configuration of one backend server.
type Server struct {
	Name        string
	Pool        string
	Concurrency int     // first value of the learned limit, at least 1
	Speed       float64 // relative speed hint, 0 means 1
	Leaving     bool
}

// Report is a server's load report. It lags behind the server's state.
type Report struct {
	Running int
	Waiting int
	Slots   int       // most requests the server runs at once, 0 when unknown
	At      time.Time // server's clock
}

// affinityBound is the load relative to the pool's mean up to which the
// server with a prompt's prefix in its cache is preferred.
const affinityBound = 1.25

// affinityTries is how many servers in the prefix's rendezvous order are
// considered before the choice falls back to two random choices.
const affinityTries = 2

// Balancer holds what a host knows of its servers. It is not safe for
// concurrent use.
type Balancer struct {
	policy  Policy
	servers map[string]*server
	pools   map[string]*pool
	scratch []*server
	weights []float64 // cumulative, scratch of twoChoices
}

// pool is the servers of one pool, sorted by name.
type pool struct {
	servers []*server
	next    int     // round robin position
	base    float64 // mean service time at speed 1, s per token
}

// New returns a balancer without servers. An unknown policy means TwoChoices.
func New(policy Policy) *Balancer {
	return &Balancer{policy: policy, servers: map[string]*server{}, pools: map[string]*pool{}}
}

// SetServers replaces the set of servers and keeps what was learned of those
// that remain.
func (b *Balancer) SetServers(list []Server) {
	old := b.servers
	oldPools := b.pools
	b.servers = make(map[string]*server, len(list))
	b.pools = map[string]*pool{}
	for _, cfg := range list {
		s, ok := old[cfg.Name]
		if !ok {
			s = newServer(cfg)
		}
		s.configure(cfg)
		b.servers[cfg.Name] = s
		b.addToPool(s, oldPools[cfg.Pool])
	}
	for _, p := range b.pools {
		slices.SortFunc(p.servers, func(x, y *server) int { return compare(x.cfg.Name, y.cfg.Name) })
	}
}

func (b *Balancer) addToPool(s *server, old *pool) {
	p, ok := b.pools[s.cfg.Pool]
	if !ok {
		p = &pool{}
		if old != nil {
			p.next, p.base = old.next, old.base
		}
		b.pools[s.cfg.Pool] = p
	}
	p.servers = append(p.servers, s)
	s.pool = p
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Query describes the request for which a server is chosen.
type Query struct {
	Pool       string
	PrefixHash uint64                 // 0 without a prefix
	Usable     func(name string) bool // further condition, may be nil
	// Slowest prefers slow servers. Batch work uses it, so that the slots it
	// leaves are on fast servers.
	Slowest bool
}

// Pick chooses an available server. It reports false when there is none.
func (b *Balancer) Pick(now time.Time, rng *rand.Rand, q Query) (string, bool) {
	p, ok := b.pools[q.Pool]
	if !ok {
		return "", false
	}
	candidates := b.candidates(now, p, q)
	if len(candidates) == 0 {
		return "", false
	}
	return b.choose(now, rng, p, q, candidates).cfg.Name, true
}

func (b *Balancer) candidates(now time.Time, p *pool, q Query) []*server {
	out := b.scratch[:0]
	for _, s := range p.servers {
		if s.available(now) && (q.Usable == nil || q.Usable(s.cfg.Name)) {
			out = append(out, s)
		}
	}
	b.scratch = out
	return out
}

func (b *Balancer) choose(now time.Time, rng *rand.Rand, p *pool, q Query, candidates []*server) *server {
	switch b.policy {
	case RoundRobin:
		return p.nextInTurn(candidates)
	case Random:
		return candidates[rng.IntN(len(candidates))]
	case LeastOutstanding:
		return leastOutstanding(rng, candidates)
	}
	if q.PrefixHash != 0 {
		if s := b.affine(now, q.PrefixHash, candidates); s != nil {
			return s
		}
	}
	if q.Slowest {
		return slowest(now, rng, candidates)
	}
	return b.twoChoices(now, rng, candidates)
}

// nextInTurn returns the candidate at or after the round robin position.
func (p *pool) nextInTurn(candidates []*server) *server {
	for range p.servers {
		s := p.servers[p.next%len(p.servers)]
		p.next = (p.next + 1) % len(p.servers)
		if slices.Contains(candidates, s) {
			return s
		}
	}
	return candidates[0]
}

func leastOutstanding(rng *rand.Rand, candidates []*server) *server {
	start := rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}

// twoChoices compares two random servers by expected completion time. A server
// is drawn with a probability inverse to the square of that time: with equal
// probabilities, one request in (k/n)^2 would see only two of the k slow ones
// among n servers, which alone decides the 99th percentile.
func (b *Balancer) twoChoices(now time.Time, rng *rand.Rand, candidates []*server) *server {
	if len(candidates) == 1 {
		return candidates[0]
	}
	b.weights = b.weights[:0]
	var total float64
	for _, s := range candidates {
		e := s.expected(now)
		total += 1 / (e * e)
		b.weights = append(b.weights, total)
	}
	draw := func() *server {
		i, _ := slices.BinarySearch(b.weights, rng.Float64()*total)
		return candidates[min(i, len(candidates)-1)]
	}
	x, y := draw(), draw()
	if y.expected(now) < x.expected(now) {
		return y
	}
	return x
}

// slowest returns a random one of the servers with the longest service time.
func slowest(now time.Time, rng *rand.Rand, candidates []*server) *server {
	start := rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		s := candidates[(start+i)%len(candidates)]
		if s.serviceTime(now) > best.serviceTime(now) {
			best = s
		}
	}
	return best
}

// affine returns the server that the prefix hashes to among the candidates,
// or the next in rendezvous order, unless their expected completion times
// exceed the bound. It returns nil when none is within the bound.
func (b *Balancer) affine(now time.Time, prefix uint64, candidates []*server) *server {
	var sum float64
	for _, s := range candidates {
		sum += s.expected(now)
	}
	bound := affinityBound * sum / float64(len(candidates))
	var tried [affinityTries]*server
	for i := range tried {
		best := highestRank(prefix, candidates, tried[:i])
		if best == nil {
			return nil
		}
		if best.expected(now) <= bound {
			return best
		}
		tried[i] = best
	}
	return nil
}

func highestRank(prefix uint64, candidates, except []*server) *server {
	var best *server
	var bestRank uint64
	for _, s := range candidates {
		if slices.Contains(except, s) {
			continue
		}
		if rank := mix(prefix ^ s.hash); best == nil || rank > bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// mix is the finalizer of splitmix64. It spreads the bits of a hash so that
// ranks of different servers are independent.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Subset sizes: a host uses at least subsetMin servers of a pool, and enough
// that every server is used by about subsetHosts hosts.
const (
	subsetMin   = 32
	subsetHosts = 16
)

// Subset returns the servers of one pool that a host uses out of hosts hosts,
// in rendezvous order. It is the same on every call with the same arguments.
func Subset(host string, servers []Server, hosts int) []Server {
	size := max(subsetMin, len(servers)*subsetHosts/max(hosts, 1))
	if size >= len(servers) {
		return servers
	}
	// Ranks are computed once for each server, not in each comparison.
	type ranked struct {
		rank  uint64
		index int
	}
	order := make([]ranked, len(servers))
	base := xxhash.Sum64String(host)
	for i, s := range servers {
		order[i] = ranked{mix(base ^ xxhash.Sum64String(s.Name)), i}
	}
	slices.SortFunc(order, func(x, y ranked) int {
		return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(servers[x.index].Name, servers[y.index].Name))
	})
	out := make([]Server, size)
	for i := range out {
		out[i] = servers[order[i].index]
	}
	return out
}
