package placement

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated sets the zones whose servers get no new requests. The servers of a zone
// that is no longer among them count as cold. Call SetServers afterwards.
func (p *Placement) SetEvacuated(zones map[string]bool, now time.Time) {
	for _, s := range p.servers {
		if p.evacuated[s.cfg.Zone] && !zones[s.cfg.Zone] {
			s.warmth.returnedAt = now
		}
	}
	p.evacuated = maps.Clone(zones)
}

// UsableServers returns the servers without those in evacuated zones.
func UsableServers(servers []Server, evacuated map[string]bool) []Server {
	if len(evacuated) == 0 {
		return servers
	}
	out := make([]Server, 0, len(servers))
	for _, s := range servers {
		if !evacuated[s.Zone] {
			out = append(out, s)
		}
	}
	return out
}

// Division returns the zone whose slots a host shares, and the hosts that share them:
// those of the zone, and in turn by name those of evacuated zones. hosts holds the live
// hosts by zone, including self, and servers those that take requests. All hosts with the
// same lists compute the same division.
func Division(self, zone string, hosts map[string][]string, servers []Server, evacuated map[string]bool) (string, []string) {
	if len(evacuated) == 0 {
		return zone, hosts[zone]
	}
	var left []string
	for _, s := range servers {
		left = append(left, s.Zone)
	}
	slices.Sort(left)
	if left = slices.Compact(left); len(left) == 0 {
		return zone, hosts[zone]
	}
	var moved []string
	for name, list := range hosts {
		if evacuated[name] {
			moved = append(moved, list...)
		}
	}
	slices.Sort(moved)
	if i := slices.Index(moved, self); i >= 0 {
		zone = left[i%len(left)]
	}
	sharing := slices.Clone(hosts[zone])
	for i, host := range moved {
		if left[i%len(left)] == zone {
			sharing = append(sharing, host)
		}
	}
	return zone, sharing
}
