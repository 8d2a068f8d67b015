package events

import (
	"math"
	"sort"
	"time"
)

// clockOffsets estimates how far the clock of each host is ahead of a common clock.
//
// An event of host B with a cause on host A happened after that cause, so the
// clock of B is ahead of the clock of A by at most the difference of the two
// times. These bounds are combined over paths of hosts. The offset of a host is
// zero when its bounds allow that, otherwise the middle of the allowed range,
// or the bound itself when there is only one.
func clockOffsets(events []Event) map[string]time.Duration {
	hosts, bound := clockBounds(events)
	tightenBounds(bound)
	reference := chooseReference(bound)
	out := make(map[string]time.Duration, len(hosts))
	for i, host := range hosts {
		ahead := correction(-bound[i][reference], bound[reference][i])
		out[host] = time.Duration(ahead * float64(time.Second))
	}
	return out
}

type eventID struct {
	host string
	seq  uint64
}

// clockBounds returns the hosts in order, and bounds in seconds: bound[i][j] is
// the largest amount by which the clock of host j can be ahead of that of host i.
func clockBounds(events []Event) ([]string, [][]float64) {
	times := map[eventID]time.Time{}
	index := map[string]int{}
	var hosts []string
	for _, e := range events {
		times[eventID{e.Host, e.Seq}] = e.Time
		if _, ok := index[e.Host]; !ok {
			index[e.Host] = 0
			hosts = append(hosts, e.Host)
		}
	}
	sort.Strings(hosts)
	bound := make([][]float64, len(hosts))
	for i, host := range hosts {
		index[host] = i
		bound[i] = make([]float64, len(hosts))
		for j := range bound[i] {
			bound[i][j] = math.Inf(1)
		}
		bound[i][i] = 0
	}
	for _, e := range events {
		cause, ok := times[eventID{e.CauseHost, e.CauseSeq}]
		if !ok || e.CauseHost == e.Host {
			continue
		}
		from, to := index[e.CauseHost], index[e.Host]
		bound[from][to] = math.Min(bound[from][to], e.Time.Sub(cause).Seconds())
	}
	return hosts, bound
}

// tightenBounds replaces each bound by the smallest sum of bounds over any path
// of hosts (Floyd-Warshall).
func tightenBounds(bound [][]float64) {
	for k := range bound {
		for i := range bound {
			for j := range bound {
				bound[i][j] = math.Min(bound[i][j], bound[i][k]+bound[k][j])
			}
		}
	}
}

// chooseReference returns the host whose choice as the common clock requires
// the smallest total correction, so that one wrong clock does not shift the
// events of all other hosts.
func chooseReference(bound [][]float64) int {
	best, least := 0, math.Inf(1)
	for r := range bound {
		total := 0.0
		for i := range bound {
			total += math.Abs(correction(-bound[i][r], bound[r][i]))
		}
		if total < least {
			best, least = r, total
		}
	}
	return best
}

// correction returns the offset of a clock that is ahead by between low and
// high seconds. low exceeds high when a clock was stepped during the events.
func correction(low, high float64) float64 {
	switch {
	case low <= 0 && high >= 0:
		return 0
	case math.IsInf(low, 0):
		return high
	case math.IsInf(high, 0):
		return low
	default:
		return (low + high) / 2
	}
}
