package cluster

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ragwortstep/internal/core/freshness"
)

// assumeFor is how long after this host's start registered hosts count as
// alive without having been heard of, so that all hosts choose the same
// delegates from the beginning.
const assumeFor = 3 * time.Second

// large reports whether the fleet has delegates. The caller holds mu.
func (c *Cluster) large() bool { return len(c.peers)+1 > smallFleet }

// MaxHops returns how many digests lie between any two hosts at most.
func (c *Cluster) MaxHops() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.large() {
		return 3
	}
	return 1
}

// Coordinators returns the live hosts, this one included, that exchange
// digests with each other directly: all hosts of a small fleet, the delegates
// of the zones of a large one.
func (c *Cluster) Coordinators() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []Member
	if c.large() {
		for _, zone := range c.zones() {
			if ranked := c.ranked(zone, now); len(ranked) > 0 {
				out = append(out, ranked[0])
			}
		}
		return out
	}
	if !c.self.Leaving {
		out = append(out, c.self)
	}
	for _, p := range c.peers {
		if p.Alive(now) && !p.Leaving {
			out = append(out, p.Member)
		}
	}
	return out
}

// zones returns the names of all zones, sorted. The caller holds mu.
func (c *Cluster) zones() []string {
	set := map[string]bool{c.self.Zone: true}
	for _, p := range c.peers {
		if p.Zone != "" {
			set[p.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// ranked returns a zone's hosts that may be its delegates, the first one
// first: larger hosts before smaller ones. The caller holds mu.
func (c *Cluster) ranked(zone string, now time.Time) []Member {
	var out []Member
	if c.self.Zone == zone && !c.self.Leaving {
		out = append(out, c.self)
	}
	young := now.Sub(c.started) < assumeFor
	for _, p := range c.peers {
		assumed := young && p.Heard.IsZero()
		if p.Zone == zone && !p.Leaving && (p.Alive(now) || assumed) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name)) })
	return out
}

// leads returns this host's place among its zone's hosts, 0 for the delegate.
// The caller holds mu.
func (c *Cluster) leads(now time.Time) int {
	return slices.IndexFunc(c.ranked(c.self.Zone, now), func(m Member) bool { return m.Name == c.self.Name })
}

// mergedElsewhere reports whether a peer's mergeable sections reach this host
// with its zone's merged ones. The caller holds mu.
func (c *Cluster) mergedElsewhere(from Member, now time.Time) bool {
	if !c.large() {
		return false
	}
	place := c.leads(now)
	return from.Zone != c.self.Zone || place < 0 || place >= delegates
}

// addressed is a digest on its way to a peer.
type addressed struct {
	digest
	address string
}

// outgoing returns the digests to send now. The caller holds mu.
func (c *Cluster) outgoing(own sections, now time.Time) []addressed {
	if !c.large() {
		out := make([]addressed, 0, len(c.peers))
		for _, p := range c.peers {
			out = c.add(out, p.Name, own, nil)
		}
		return out
	}
	var out []addressed
	ranked := c.ranked(c.self.Zone, now)
	if len(ranked) == 0 || ranked[0].Name != c.self.Name {
		for _, m := range ranked[:min(delegates, len(ranked))] {
			out = c.add(out, m.Name, own, nil)
		}
		return out
	}
	return c.outgoingOfDelegate(own, now)
}

// outgoingOfDelegate returns a delegate's digests: its zone's merged sections
// for the other zones' delegates, all zones' for its own zone's hosts.
func (c *Cluster) outgoingOfDelegate(own sections, now time.Time) []addressed {
	var out []addressed
	all := c.mergeZone("", own, now)
	for _, zone := range c.zones() {
		if zone == c.self.Zone {
			continue
		}
		ranked := c.ranked(zone, now)
		if len(ranked) == 0 {
			ranked = c.probed(zone)
		}
		for _, m := range ranked[:min(delegates, len(ranked))] {
			out = c.add(out, m.Name, own, []zoneDigest{all})
		}
	}
	var others []zoneDigest
	for _, z := range c.remote {
		if now.Sub(z.at) < AliveTimeout {
			others = append(others, z.zoneDigest)
		}
	}
	for name, p := range c.peers {
		if p.Zone == c.self.Zone {
			out = c.add(out, name, own, append([]zoneDigest{c.mergeZone(name, own, now)}, others...))
		}
	}
	return out
}

// probed returns some hosts of a zone of which nothing is heard, other ones
// each time: its delegates may be gone. The caller holds mu.
func (c *Cluster) probed(zone string) []Member {
	var all []Member
	for _, name := range c.sortedNames() {
		if p := c.peers[name]; p.Zone == zone {
			all = append(all, p.Member)
		}
	}
	var out []Member
	for i := range min(delegates, len(all)) {
		out = append(out, all[(c.sent*delegates+i)%len(all)])
	}
	return out
}

// add appends a digest to a peer whose address is known.
func (c *Cluster) add(out []addressed, name string, own sections, zones []zoneDigest) []addressed {
	p, ok := c.peers[name]
	if !ok || p.Address == "" {
		return out
	}
	echo, echoOf := p.lastSent, p.Incarnation
	if echo == 0 {
		echo, echoOf = freshness.Instant(0), 0
	}
	return append(out, addressed{digest{Echo: echo, EchoOf: echoOf, Sections: own, Zones: zones}, p.Address})
}

// mergeZone merges the sections of this host and its zone's hosts that were
// heard directly, one of them left out. The caller holds mu.
func (c *Cluster) mergeZone(except string, own sections, now time.Time) zoneDigest {
	z := zoneDigest{Zone: c.self.Zone, Sections: sections{}}
	values := map[string][]json.RawMessage{}
	var members []Member
	collect := func(m Member, s sections) {
		members = append(members, m)
		z.Hosts = append(z.Hosts, m.Name)
		if m.Leaving {
			z.Leaving = append(z.Leaving, m.Name)
		}
		for name := range c.merge {
			if raw, ok := s[name]; ok {
				values[name] = append(values[name], raw)
			}
		}
	}
	collect(c.self, own)
	for _, name := range c.sortedNames() {
		p := c.peers[name]
		if name != except && p.Zone == c.self.Zone && now.Sub(p.direct) < AliveTimeout {
			collect(p.Member, p.sections)
		}
	}
	z.Set = setOf(members)
	for name, list := range values {
		merged, err := c.merge[name](list)
		if err != nil {
			c.opts.Logger.Warn("sections not merged", "step", "merge digests", "section", name, "error", err)
			continue
		}
		raw, err := json.Marshal(merged)
		if err != nil {
			c.opts.Logger.Error("merged section not encoded", "step", "merge digests", "section", name, "error", err)
			continue
		}
		z.Sections[name] = raw
	}
	return z
}

// acceptZones takes over merged digests and returns those to deliver: a
// delegate knows its own zone better. The caller holds mu.
func (c *Cluster) acceptZones(zones []zoneDigest, now time.Time) []zoneDigest {
	if len(zones) == 0 || !c.large() {
		return nil
	}
	place := c.leads(now)
	knowsOwn := place >= 0 && place < delegates
	var out []zoneDigest
	for _, z := range zones {
		for _, name := range z.Hosts {
			if p, ok := c.peers[name]; ok {
				p.Heard = now
				p.Leaving = slices.Contains(z.Leaving, name)
			}
		}
		if z.Zone != c.self.Zone {
			c.remote[z.Zone] = remoteZone{z, now}
		} else if knowsOwn {
			continue
		}
		out = append(out, z)
	}
	return out
}
