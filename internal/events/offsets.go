package events

import (
	"math"
	"sort"
	"time"
)

// offsets estimates how far the clock of each host is ahead of a common clock.
//
// An event of host B with a cause on host A happened after it, so the clock of
// B is ahead of A's by at most the difference of the two times. These bounds
// are combined over paths of hosts. A host keeps its own clock when the bounds
// allow it, and is corrected to the middle of the allowed range otherwise, or
// to the bound when there is only one.
func offsets(events []Event) map[string]time.Duration {
	hosts, bound := clockBounds(events)
	closeBounds(bound)
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

// clockBounds returns the hosts in order and, in seconds, the largest amount by
// which the clock of the second host can be ahead of the first one's.
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

// closeBounds tightens the bounds over all paths (Floyd-Warshall).
func closeBounds(bound [][]float64) {
	for k := range bound {
		for i := range bound {
			for j := range bound {
				bound[i][j] = math.Min(bound[i][j], bound[i][k]+bound[k][j])
			}
		}
	}
}

// chooseReference returns the host whose clock needs the least correction of
// all others, so that one wrong clock does not move the rest.
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

// correction returns the offset for a clock that is ahead by low to high
// seconds. low exceeds high when a clock was stepped during the events.
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
