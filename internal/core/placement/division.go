package placement

import (
	"slices"
	"strings"
)

// OwnSlots divides the slots of a zone's servers among its hosts: every host
// computes the same division from the same lists, so that hosts which stay
// within their slots never fill a server beyond its own, however old their
// knowledge of each other's requests is. It returns this host's slots by
// server. Hosts and servers of other zones have no part in it.
func OwnSlots(self string, hosts []string, servers []Server, zone string) map[string]int {
	hosts = slices.Compact(slices.Sorted(slices.Values(append(hosts, self))))
	byService := map[string][]Server{}
	for _, s := range servers {
		if s.Zone == zone && s.Ready {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	own := map[string]int{}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
		deal(own, self, hosts, list)
	}
	return own
}

// deal gives the first slots of all servers in turn to the hosts, then the
// second ones, so that a host's slots are spread over many servers.
func deal(own map[string]int, self string, hosts []string, servers []Server) {
	most := 0
	for _, s := range servers {
		most = max(most, s.Slots)
	}
	n := 0
	for k := range most {
		for _, s := range servers {
			if k >= s.Slots {
				continue
			}
			if hosts[n%len(hosts)] == self {
				own[s.ID]++
			}
			n++
		}
	}
}
