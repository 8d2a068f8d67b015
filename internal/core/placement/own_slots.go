package placement

import (
	"slices"
	"strings"
)

// OwnSlots divides the slots of a zone's ready servers among the zone's hosts
// and returns the slots of host self by server. Every host computes the same
// division from the same lists, so that hosts which stay within their slots
// never exceed a server's slots, however old their view of each other's requests
// is. Servers of other zones are ignored.
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
		assignRoundRobin(own, self, hosts, list)
	}
	return own
}

// assignRoundRobin assigns the first slot of each server to the hosts in turn,
// then the second ones, so that a host's slots are spread over many servers. It
// adds the slots of host self to own.
func assignRoundRobin(own map[string]int, self string, hosts []string, servers []Server) {
	maxSlots := 0
	for _, s := range servers {
		maxSlots = max(maxSlots, s.Slots)
	}
	n := 0
	for slot := range maxSlots {
		for _, s := range servers {
			if slot >= s.Slots {
				continue
			}
			if hosts[n%len(hosts)] == self {
				own[s.ID]++
			}
			n++
		}
	}
}
