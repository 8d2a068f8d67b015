// Package balance chooses a backend server for each request and learns each
// server's limit of concurrent requests. It performs no I/O: the caller passes
// in sent and finished requests, servers' load reports, the time and the random
// source.
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
	Concurrency int     // initial value of the learned limit, at least 1
	Speed       float64 // relative speed hint, 0 means 1
	Leaving     bool
}

// Report is a server's load report. It arrives with a delay.
type Report struct {
	Running int
	Waiting int
	Slots   int       // maximum of concurrent requests, 0 when unknown
	At      time.Time // server's clock
}

// affinityMaxRelativeLoad is the expected completion time, relative to the
// candidates' mean, up to which the server with a prompt's prefix in its cache
// is preferred.
const affinityMaxRelativeLoad = 1.25

// affinityMaxServers is how many servers in the prefix's rendezvous order are
// considered before the choice falls back to two random choices.
const affinityMaxServers = 2

// Balancer tracks the servers that one host uses and chooses among them. It is
// not safe for concurrent use.
type Balancer struct {
	policy            Policy
	servers           map[string]*server
	pools             map[string]*pool
	candidateBuf      []*server
	cumulativeWeights []float64 // reused by twoChoices
}

// pool holds the servers of one pool, sorted by name.
type pool struct {
	servers         []*server
	nextIndex       int     // round robin position
	meanServiceTime float64 // mean service time at speed 1, s per token
}

// New returns a balancer without servers. An unknown policy means TwoChoices.
func New(policy Policy) *Balancer {
	return &Balancer{policy: policy, servers: map[string]*server{}, pools: map[string]*pool{}}
}

// SetServers replaces the set of servers and keeps the state of those that
// remain.
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
			p.nextIndex, p.meanServiceTime = old.nextIndex, old.meanServiceTime
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
	// Slowest prefers slow servers. Batch work sets it, so that fast servers keep
	// free slots for online requests.
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
	out := b.candidateBuf[:0]
	for _, s := range p.servers {
		if s.available(now) && (q.Usable == nil || q.Usable(s.cfg.Name)) {
			out = append(out, s)
		}
	}
	b.candidateBuf = out
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
		if s := b.pickByAffinity(now, q.PrefixHash, candidates); s != nil {
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
		s := p.servers[p.nextIndex%len(p.servers)]
		p.nextIndex = (p.nextIndex + 1) % len(p.servers)
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

// twoChoices takes the better of two random servers by expected completion time.
// A server is drawn with a probability inverse to the square of that time: with
// equal probabilities, a share (k/n)^2 of requests would draw two of the k slow
// ones among n servers, which alone determines the 99th percentile.
func (b *Balancer) twoChoices(now time.Time, rng *rand.Rand, candidates []*server) *server {
	if len(candidates) == 1 {
		return candidates[0]
	}
	b.cumulativeWeights = b.cumulativeWeights[:0]
	var total float64
	for _, s := range candidates {
		e := s.expectedTime(now)
		total += 1 / (e * e)
		b.cumulativeWeights = append(b.cumulativeWeights, total)
	}
	draw := func() *server {
		i, _ := slices.BinarySearch(b.cumulativeWeights, rng.Float64()*total)
		return candidates[min(i, len(candidates)-1)]
	}
	x, y := draw(), draw()
	if y.expectedTime(now) < x.expectedTime(now) {
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

// pickByAffinity returns the first of the affinityMaxServers candidates in the
// prefix's rendezvous order whose expected completion time is within
// affinityMaxRelativeLoad, or nil.
func (b *Balancer) pickByAffinity(now time.Time, prefix uint64, candidates []*server) *server {
	var sum float64
	for _, s := range candidates {
		sum += s.expectedTime(now)
	}
	bound := affinityMaxRelativeLoad * sum / float64(len(candidates))
	var tried [affinityMaxServers]*server
	for i := range tried {
		best := highestRanked(prefix, candidates, tried[:i])
		if best == nil {
			return nil
		}
		if best.expectedTime(now) <= bound {
			return best
		}
		tried[i] = best
	}
	return nil
}

func highestRanked(prefix uint64, candidates, except []*server) *server {
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

// A host uses at least minSubsetSize servers of a pool, and enough that every
// server is used by about hostsPerServer hosts.
const (
	minSubsetSize  = 32
	hostsPerServer = 16
)

// Subset returns the servers of one pool that the host uses, in rendezvous
// order. hosts is the number of hosts in the fleet. The result depends on the
// arguments only.
func Subset(host string, servers []Server, hosts int) []Server {
	size := max(minSubsetSize, len(servers)*hostsPerServer/max(hosts, 1))
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
