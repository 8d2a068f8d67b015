package retry

import (
	"slices"
	"time"
)

// suspectSlice is how long one of several hosts that share a server for their
// suspects may start one there. It is several times longer than a report takes
// to reach the peers.
const suspectSlice = 300 * time.Millisecond

// SuspectServers returns the servers of a pool on which a host runs its
// suspects now. With at least as many servers as hosts each host has servers
// of its own. With fewer, hosts that share a server take turns; the second
// half of each turn stays unused, so that small differences of the hosts'
// clocks do no harm.
func SuspectServers(self string, hosts, servers []string, now time.Time) []string {
	hosts, servers = slices.Sorted(slices.Values(hosts)), slices.Sorted(slices.Values(servers))
	place, ok := slices.BinarySearch(hosts, self)
	if !ok || len(servers) == 0 {
		return servers
	}
	var own []string
	if len(servers) >= len(hosts) {
		for i, s := range servers {
			if i%len(hosts) == place {
				own = append(own, s)
			}
		}
		return own
	}
	turns := (len(hosts) + len(servers) - 1) / len(servers)
	half := now.UnixNano() / int64(suspectSlice/2)
	if half%2 == 0 && int(half/2)%turns == place/len(servers) {
		own = append(own, servers[place%len(servers)])
	}
	return own
}
