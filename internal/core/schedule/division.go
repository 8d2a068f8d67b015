package schedule

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// Claimant is one party in a water-filling.
type Claimant struct {
	Weight float64
	Demand float64
}

// WaterFill divides a capacity by weight so that none gets more than its
// demand, and what some leave is divided among the others by weight.
func WaterFill(capacity float64, claimants []Claimant) []float64 {
	out := make([]float64, len(claimants))
	order := make([]int, len(claimants))
	var weights float64
	for i, c := range claimants {
		order[i] = i
		weights += max(c.Weight, minWeight)
	}
	level := func(i int) float64 { return claimants[i].Demand / max(claimants[i].Weight, minWeight) }
	sort.SliceStable(order, func(a, b int) bool { return level(order[a]) < level(order[b]) })
	for _, i := range order {
		weight := max(claimants[i].Weight, minWeight)
		out[i] = min(claimants[i].Demand, max(0, capacity)*weight/weights)
		capacity -= out[i]
		weights -= weight
	}
	return out
}

// Amount is an amount of work.
type Amount struct {
	Tokens float64 // estimated
	Items  int
}

func (a Amount) add(b Amount) Amount {
	return Amount{a.Tokens + b.Tokens, a.Items + b.Items}
}

// WorkspaceDemand is one workspace's waiting and running work at one host.
type WorkspaceDemand struct {
	Workspace string
	Online    Amount
	Batch     Amount
}

// HostDemand is the demand of one host in one pool.
type HostDemand struct {
	Host       string
	Workspaces []WorkspaceDemand
}

// Division is the parts of one host in a pool's slots.
type Division struct {
	online, batch span
	// OnlineItems is the online work in the whole pool.
	OnlineItems int
	// Weights is each workspace's local weight per class: its configured
	// weight times the part of its demand that is at this host.
	Weights [classes]map[string]float64
}

// minBatchPart is the least part of the capacity that is divided among batch
// work, so that its proportions are known when online work takes all slots.
const minBatchPart = 0.05

// span is a host's interval on a line on which all hosts' parts follow one
// another from 0 to 1.
type span struct{ low, high float64 }

// whole is the span of a host that shares with none.
var whole = span{0, 1}

// Divide computes the parts of host self in a pool with the given total
// slots. weights holds the configured weight of each workspace. All hosts that
// know the same demand compute parts that add up to the whole.
func Divide(self string, slots int, weights map[string]float64, hosts []HostDemand) Division {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b HostDemand) int { return compare(a.Host, b.Host) })
	total := totalDemand(hosts)
	capacity := float64(slots) * total.meanCost()
	d := Division{OnlineItems: total.online.Items}
	online := entitlements(capacity, weights, total.byWorkspace, Online)
	left := max(capacity-total.online.Tokens, minBatchPart*capacity)
	batch := entitlements(left, weights, total.byWorkspace, Batch)
	d.online, d.Weights[Online] = part(self, hosts, weights, total.byWorkspace, online, Online)
	d.batch, d.Weights[Batch] = part(self, hosts, weights, total.byWorkspace, batch, Batch)
	return d
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

// totals is the demand over all hosts.
type totals struct {
	byWorkspace   map[string]WorkspaceDemand
	online, batch Amount
}

func totalDemand(hosts []HostDemand) totals {
	t := totals{byWorkspace: map[string]WorkspaceDemand{}}
	for _, h := range hosts {
		for _, w := range h.Workspaces {
			sum := t.byWorkspace[w.Workspace]
			sum.Online = sum.Online.add(w.Online)
			sum.Batch = sum.Batch.add(w.Batch)
			t.byWorkspace[w.Workspace] = sum
			t.online = t.online.add(w.Online)
			t.batch = t.batch.add(w.Batch)
		}
	}
	return t
}

// meanCost converts slots to tokens.
func (t totals) meanCost() float64 {
	all := t.online.add(t.batch)
	if all.Items == 0 {
		return 1
	}
	return max(1, all.Tokens/float64(all.Items))
}

func (w WorkspaceDemand) of(class Class) Amount {
	if class == Batch {
		return w.Batch
	}
	return w.Online
}

// entitlements returns each workspace's part of the capacity in tokens.
func entitlements(capacity float64, weights map[string]float64, demand map[string]WorkspaceDemand, class Class) map[string]float64 {
	var names []string
	for name, w := range demand {
		if w.of(class).Items > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	claimants := make([]Claimant, len(names))
	for i, name := range names {
		claimants[i] = Claimant{Weight: weightOf(weights, name), Demand: demand[name].of(class).Tokens}
	}
	out := make(map[string]float64, len(names))
	for i, tokens := range WaterFill(capacity, claimants) {
		out[names[i]] = tokens
	}
	return out
}

// part computes the span of host self and its local weights. Without any
// demand in the class the span is the whole, so that the first request of an
// idle fleet is not held back. All hosts add the same numbers in the same
// order, so that their spans meet exactly.
func part(self string, hosts []HostDemand, weights map[string]float64, total map[string]WorkspaceDemand, entitled map[string]float64, class Class) (span, map[string]float64) {
	local := map[string]float64{}
	var end, low, high float64
	for _, h := range hosts {
		start := end
		for _, w := range h.Workspaces {
			all := total[w.Workspace].of(class).Tokens
			mine := w.of(class).Tokens
			if mine <= 0 || all <= 0 {
				continue
			}
			end += entitled[w.Workspace] * mine / all
			if h.Host == self {
				local[w.Workspace] = weightOf(weights, w.Workspace) * mine / all
			}
		}
		if h.Host == self {
			low, high = start, end
		}
	}
	if end <= 0 {
		return whole, local
	}
	return span{low / end, high / end}, local
}

func weightOf(weights map[string]float64, workspace string) float64 {
	if w, ok := weights[workspace]; ok {
		return w
	}
	return defaultWeight
}

// ServerLimit is one server with the slots to divide.
type ServerLimit struct {
	Server string
	Limit  int
}

// Parts returns the host's part of each server's limit in a class. The parts
// of all hosts add up to each limit exactly: a part is the number of whole
// slots in the host's span after a shift that depends on the server only. The
// shifts are evenly spaced over servers with the same limit, so that the parts
// in the whole pool are off by less than a slot; rotation, from 0 to 1 and the
// same at all hosts, moves them so that this remainder goes round.
func (d Division) Parts(servers []ServerLimit, class Class, rotation float64) map[string]int {
	s := d.online
	if class == Batch {
		s = d.batch
	}
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b ServerLimit) int {
		if a.Limit != b.Limit {
			return a.Limit - b.Limit
		}
		return compare(a.Server, b.Server)
	})
	out := make(map[string]int, len(servers))
	for i, server := range servers {
		first, last := sameLimit(servers, i)
		shift := (float64(i-first)+0.5)/float64(last-first) + rotation
		shift -= math.Floor(shift)
		n := float64(server.Limit)
		out[server.Server] = int(math.Floor(s.high*n+shift) - math.Floor(s.low*n+shift))
	}
	return out
}

// sameLimit returns the range of servers with the limit of server i.
func sameLimit(servers []ServerLimit, i int) (first, last int) {
	limit := servers[i].Limit
	first = sort.Search(len(servers), func(k int) bool { return servers[k].Limit >= limit })
	last = sort.Search(len(servers), func(k int) bool { return servers[k].Limit > limit })
	return first, last
}

// rotationPeriod is how long the remainders of a division stay where they are.
// With few slots a remainder is a large part of a host's slots, so they have
// to go round several times within a few seconds.
const rotationPeriod = 400 * time.Millisecond

// Rotation returns the rotation of Parts at a time. Hosts whose clocks differ
// disagree for that part of each period, by at most one slot per server.
func Rotation(now time.Time) float64 {
	const golden = 0.618033988749895 // successive multiples are spread evenly
	x := float64(now.UnixNano()/int64(rotationPeriod)) * golden
	return x - math.Floor(x)
}

// reserveLeast is the part of the slots that batch work leaves free when there
// is no online work, for the first requests of a burst. The rest of a burst
// takes slots from batch work by preemption.
const reserveLeast = 1.0 / 32

// ServerCapacity is one server with the slots and the speed that a reserve
// can use.
type ServerCapacity struct {
	Server  string
	Limit   int
	Service float64 // service time, in any unit
	Online  float64 // mean online work that this host has there
}

// reservePrior is the part of the reserve that goes to fast servers whatever
// the online work was so far, so that a server without any gets some.
const reservePrior = 0.1

// Reserve returns the slots of each server that batch work leaves to online
// work, whose mean number in the pool is given. The pool keeps the mean and
// its square root, the usual deviation of independent arrivals, free, so that
// online requests seldom have to preempt a batch item and waste its work. The
// reserve is where this host's online requests go, which prefix affinity
// decides as well as speed; without any it is on fast servers.
func Reserve(mean float64, servers []ServerCapacity) map[string]int {
	var slots float64
	for _, s := range servers {
		slots += float64(s.Limit)
	}
	total := min(slots, max(mean+math.Sqrt(mean), reserveLeast*slots))
	list := reserveWeights(servers)
	weights := 0.0
	for _, s := range list {
		weights += s.weight
	}
	out := make(map[string]int, len(servers))
	var given float64
	for _, s := range list {
		part := 0.0
		if weights > 0 {
			part = min(float64(s.Limit), total*s.weight/weights)
		}
		// What a full server cannot take falls to the ones with less weight per slot.
		total -= part
		weights -= s.weight
		before := math.Round(given)
		given += part
		out[s.Server] = min(s.Limit, int(math.Round(given)-before))
	}
	return out
}

// weighted is a server with its weight in the reserve.
type weighted struct {
	ServerCapacity
	weight float64
}

// reserveWeights returns the servers in falling order of weight per slot.
func reserveWeights(servers []ServerCapacity) []weighted {
	var online, speed float64
	for _, s := range servers {
		online += s.Online
		speed += s.speedWeight()
	}
	out := make([]weighted, len(servers))
	for i, s := range servers {
		prior := s.speedWeight() / speed
		out[i] = weighted{s, prior}
		if online > 0 {
			out[i].weight = (1-reservePrior)*s.Online/online + reservePrior*prior
		}
	}
	slices.SortFunc(out, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight*float64(a.Limit), a.weight*float64(b.Limit)), compare(a.Server, b.Server))
	})
	return out
}

func (s ServerCapacity) speedWeight() float64 {
	return float64(s.Limit) / max(s.Service*s.Service, 1e-12)
}
