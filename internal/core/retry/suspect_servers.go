package retry

import (
	"slices"
	"time"
)

// suspectTurn is the length of a host's turn at a server that several hosts
// share for their suspects. It is several times longer than a report takes to
// reach the peers.
const suspectTurn = 300 * time.Millisecond

// SuspectServers returns the servers of a pool on which host self may start
// suspects now. With at least as many servers as hosts, each host has servers of
// its own. With fewer, hosts that share a server take turns; the second half of
// each turn stays unused, so that small differences of the hosts' clocks don't
// make turns overlap.
func SuspectServers(self string, hosts, servers []string, now time.Time) []string {
	hosts, servers = slices.Sorted(slices.Values(hosts)), slices.Sorted(slices.Values(servers))
	position, ok := slices.BinarySearch(hosts, self)
	if !ok || len(servers) == 0 {
		return servers
	}
	var own []string
	if len(servers) >= len(hosts) {
		for i, s := range servers {
			if i%len(hosts) == position {
				own = append(own, s)
			}
		}
		return own
	}
	turns := (len(hosts) + len(servers) - 1) / len(servers)
	half := now.UnixNano() / int64(suspectTurn/2)
	if half%2 == 0 && int(half/2)%turns == position/len(servers) {
		own = append(own, servers[position%len(servers)])
	}
	return own
}
