package schedule

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// Claimant is one party to a water-filling division.
type Claimant struct {
	Weight float64
	Demand float64
}

// WaterFill divides a capacity by weight (max-min fairness): no claimant gets
// more than its demand, and what some leave is divided among the others by
// weight.
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

// Amount is a quantity of work.
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

// Division is one host's share of a pool's slots.
type Division struct {
	online, batch interval
	// OnlineItems is the number of online items in the whole pool.
	OnlineItems int
	// Weights is each workspace's local weight per class: its configured
	// weight times the share of its demand that is at this host.
	Weights [classCount]map[string]float64
}

// minBatchShare is the minimum share of the capacity that is divided among
// batch work, so that its proportions are defined when online work takes all
// slots.
const minBatchShare = 0.05

// interval is a host's share as an interval: the intervals of all hosts partition
// the range from 0 to 1.
type interval struct{ low, high float64 }

// fullInterval is the interval of all slots.
var fullInterval = interval{0, 1}

// Divide computes the share of host self in a pool with the given total slots.
// weights holds the configured weight of each workspace. The shares of hosts
// that compute from the same demand add up to 1.
func Divide(self string, slots int, weights map[string]float64, hosts []HostDemand) Division {
	hosts = slices.Clone(hosts)
	slices.SortFunc(hosts, func(a, b HostDemand) int { return compare(a.Host, b.Host) })
	total := totalDemand(hosts)
	capacity := float64(slots) * total.meanCost()
	d := Division{OnlineItems: total.online.Items}
	online := entitlements(capacity, weights, total.byWorkspace, Online)
	remaining := max(capacity-total.online.Tokens, minBatchShare*capacity)
	batch := entitlements(remaining, weights, total.byWorkspace, Batch)
	d.online, d.Weights[Online] = hostInterval(self, hosts, weights, total.byWorkspace, online, Online)
	d.batch, d.Weights[Batch] = hostInterval(self, hosts, weights, total.byWorkspace, batch, Batch)
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

// meanCost returns the mean tokens per item, which converts slots to tokens.
func (t totals) meanCost() float64 {
	all := t.online.add(t.batch)
	if all.Items == 0 {
		return 1
	}
	return max(1, all.Tokens/float64(all.Items))
}

func (w WorkspaceDemand) forClass(class Class) Amount {
	if class == Batch {
		return w.Batch
	}
	return w.Online
}

// entitlements returns each workspace's share of the capacity in tokens.
func entitlements(capacity float64, weights map[string]float64, demand map[string]WorkspaceDemand, class Class) map[string]float64 {
	var names []string
	for name, w := range demand {
		if w.forClass(class).Items > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	claimants := make([]Claimant, len(names))
	for i, name := range names {
		claimants[i] = Claimant{Weight: configuredWeight(weights, name), Demand: demand[name].forClass(class).Tokens}
	}
	out := make(map[string]float64, len(names))
	for i, tokens := range WaterFill(capacity, claimants) {
		out[names[i]] = tokens
	}
	return out
}

// hostInterval computes the interval of host self and its local weights. Without
// any demand in the class it is fullInterval, so that the first request of an
// idle fleet is not delayed. All hosts add the same numbers in the same order,
// so that their intervals meet exactly in spite of rounding.
func hostInterval(self string, hosts []HostDemand, weights map[string]float64, total map[string]WorkspaceDemand, entitled map[string]float64, class Class) (interval, map[string]float64) {
	local := map[string]float64{}
	var end, low, high float64
	for _, h := range hosts {
		start := end
		for _, w := range h.Workspaces {
			all := total[w.Workspace].forClass(class).Tokens
			own := w.forClass(class).Tokens
			if own <= 0 || all <= 0 {
				continue
			}
			end += entitled[w.Workspace] * own / all
			if h.Host == self {
				local[w.Workspace] = configuredWeight(weights, w.Workspace) * own / all
			}
		}
		if h.Host == self {
			low, high = start, end
		}
	}
	if end <= 0 {
		return fullInterval, local
	}
	return interval{low / end, high / end}, local
}

func configuredWeight(weights map[string]float64, workspace string) float64 {
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

// ServerSlots returns the number of the host's slots at each server in a class. The
// slots of all hosts add up to each server's limit exactly: a host gets the
// whole slots in its interval after a shift that depends on the server only. The
// shifts are evenly spaced over servers with the same limit, so that rounding
// costs a host less than a slot over the whole pool. rotation, from 0 to 1 and
// the same at all hosts, varies the shifts so that the remainders rotate among
// the hosts.
func (d Division) ServerSlots(servers []ServerLimit, class Class, rotation float64) map[string]int {
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

// rotationPeriod is the time after which the remainders of a division move to
// other hosts. With few slots a remainder is a large part of a host's slots, so
// they must rotate several times within a few seconds.
const rotationPeriod = 400 * time.Millisecond

// Rotation returns the rotation argument of ServerSlots for a time. Hosts whose clocks
// differ disagree for the time of that difference in each period, by at most one
// slot per server.
func Rotation(now time.Time) float64 {
	const goldenRatio = 0.618033988749895 // fractional parts of its multiples are evenly spread
	x := float64(now.UnixNano()/int64(rotationPeriod)) * goldenRatio
	return x - math.Floor(x)
}

// minReserveShare is the share of the slots that batch work leaves free when
// there is no online work, for the first requests of a burst. The rest of a
// burst gets slots by preemption of batch work.
const minReserveShare = 1.0 / 32

// ServerCapacity is one server with the data that Reserve needs.
type ServerCapacity struct {
	Server  string
	Limit   int
	Service float64 // service time, in any unit
	Online  float64 // mean number of this host's online requests there
}

// reserveSpeedShare is the share of the reserve that is distributed by the
// servers' speed alone, so that a server without online work so far gets some.
const reserveSpeedShare = 0.1

// Reserve returns the slots of each server that batch work leaves free for
// online requests, given the mean number of online requests in the pool. The
// reserve of the pool is the mean plus its square root, the standard deviation
// of independent arrivals, so that online requests seldom have to preempt a
// batch item and waste its work. It is distributed like this host's online
// requests, which depend on prefix affinity as well as on speed; without any it
// is on fast servers.
func Reserve(mean float64, servers []ServerCapacity) map[string]int {
	var slots float64
	for _, s := range servers {
		slots += float64(s.Limit)
	}
	total := min(slots, max(mean+math.Sqrt(mean), minReserveShare*slots))
	list := reserveWeights(servers)
	weights := 0.0
	for _, s := range list {
		weights += s.weight
	}
	out := make(map[string]int, len(servers))
	var assigned float64
	for _, s := range list {
		share := 0.0
		if weights > 0 {
			share = min(float64(s.Limit), total*s.weight/weights)
		}
		// What exceeds a server's limit goes to the servers with less weight per slot.
		total -= share
		weights -= s.weight
		before := math.Round(assigned)
		assigned += share
		out[s.Server] = min(s.Limit, int(math.Round(assigned)-before))
	}
	return out
}

// weightedServer is a server with its weight in the reserve.
type weightedServer struct {
	ServerCapacity
	weight float64
}

// reserveWeights returns the servers in descending order of weight per slot.
func reserveWeights(servers []ServerCapacity) []weightedServer {
	var online, speed float64
	for _, s := range servers {
		online += s.Online
		speed += s.speedWeight()
	}
	out := make([]weightedServer, len(servers))
	for i, s := range servers {
		prior := s.speedWeight() / speed
		out[i] = weightedServer{s, prior}
		if online > 0 {
			out[i].weight = (1-reserveSpeedShare)*s.Online/online + reserveSpeedShare*prior
		}
	}
	slices.SortFunc(out, func(a, b weightedServer) int {
		return cmp.Or(cmp.Compare(b.weight*float64(a.Limit), a.weight*float64(b.Limit)), compare(a.Server, b.Server))
	})
	return out
}

func (s ServerCapacity) speedWeight() float64 {
	return float64(s.Limit) / max(s.Service*s.Service, 1e-12)
}
