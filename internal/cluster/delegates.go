package cluster

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ragwortstep/internal/core/freshness"
)

// startupGrace is how long after this host's start registered hosts may become
// delegates before their first digest, so that all hosts choose the same
// delegates from the beginning.
const startupGrace = 3 * time.Second

// usesDelegates reports whether the fleet is large enough for delegates. The
// caller holds mu.
func (c *Cluster) usesDelegates() bool { return len(c.peers)+1 > maxFullMeshHosts }

// MaxHops returns the largest number of digests over which a section reaches
// another host.
func (c *Cluster) MaxHops() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usesDelegates() {
		return 3
	}
	return 1
}

// Coordinators returns the live hosts, possibly including this one, that
// exchange digests with each other directly: all hosts of a small fleet, or the
// delegate of each zone of a large one.
func (c *Cluster) Coordinators() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []Member
	if c.usesDelegates() {
		for _, zone := range c.zones() {
			if delegateCandidates := c.delegateCandidates(zone, now); len(delegateCandidates) > 0 {
				out = append(out, delegateCandidates[0])
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

// delegateCandidates returns a zone's hosts that may be its delegates, ordered
// by descending size and then by name. The first is the delegate. The caller
// holds mu.
func (c *Cluster) delegateCandidates(zone string, now time.Time) []Member {
	var out []Member
	if c.self.Zone == zone && !c.self.Leaving {
		out = append(out, c.self)
	}
	starting := now.Sub(c.started) < startupGrace
	for _, p := range c.peers {
		assumed := starting && p.Seen.IsZero()
		if p.Zone == zone && !p.Leaving && (p.Alive(now) || assumed) {
			out = append(out, p.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name)) })
	return out
}

// ownRank returns this host's index among its zone's candidates, 0 for the
// delegate and -1 if it is none. The caller holds mu.
func (c *Cluster) ownRank(now time.Time) int {
	return slices.IndexFunc(c.delegateCandidates(c.self.Zone, now), func(m Member) bool { return m.Name == c.self.Name })
}

// receivesMerged reports whether this host receives a peer's mergeable sections
// merged with those of its zone. The caller holds mu.
func (c *Cluster) receivesMerged(from Member, now time.Time) bool {
	if !c.usesDelegates() {
		return false
	}
	rank := c.ownRank(now)
	return from.Zone != c.self.Zone || rank < 0 || rank >= delegatesPerZone
}

// outgoingDigest is a digest with the address of its recipient.
type outgoingDigest struct {
	digest
	address string
}

// outgoing returns the digests to send now. The caller holds mu.
func (c *Cluster) outgoing(own sections, now time.Time) []outgoingDigest {
	if !c.usesDelegates() {
		out := make([]outgoingDigest, 0, len(c.peers))
		for _, p := range c.peers {
			out = c.appendDigest(out, p.Name, own, nil)
		}
		return out
	}
	var out []outgoingDigest
	delegateCandidates := c.delegateCandidates(c.self.Zone, now)
	if len(delegateCandidates) == 0 || delegateCandidates[0].Name != c.self.Name {
		for _, m := range delegateCandidates[:min(delegatesPerZone, len(delegateCandidates))] {
			out = c.appendDigest(out, m.Name, own, nil)
		}
		return out
	}
	return c.outgoingAsDelegate(own, now)
}

// outgoingAsDelegate returns the digests that a delegate sends: its zone's merged
// sections to the other zones' delegates, and those of all zones to the hosts of
// its own zone. The caller holds mu.
func (c *Cluster) outgoingAsDelegate(own sections, now time.Time) []outgoingDigest {
	var out []outgoingDigest
	all := c.mergeZone("", own, now)
	for _, zone := range c.zones() {
		if zone == c.self.Zone {
			continue
		}
		delegateCandidates := c.delegateCandidates(zone, now)
		if len(delegateCandidates) == 0 {
			delegateCandidates = c.probeTargets(zone)
		}
		for _, m := range delegateCandidates[:min(delegatesPerZone, len(delegateCandidates))] {
			out = c.appendDigest(out, m.Name, own, []zoneDigest{all})
		}
	}
	var others []zoneDigest
	for _, z := range c.remote {
		if now.Sub(z.receivedAt) < AliveTimeout {
			others = append(others, z.zoneDigest)
		}
	}
	for name, p := range c.peers {
		if p.Zone == c.self.Zone {
			out = c.appendDigest(out, name, own, append([]zoneDigest{c.mergeZone(name, own, now)}, others...))
		}
	}
	return out
}

// probeTargets returns some hosts of a zone without live hosts, different ones in
// each round, because its delegates may have failed. The caller holds mu.
func (c *Cluster) probeTargets(zone string) []Member {
	var all []Member
	for _, name := range c.sortedNames() {
		if p := c.peers[name]; p.Zone == zone {
			all = append(all, p.Member)
		}
	}
	var out []Member
	for i := range min(delegatesPerZone, len(all)) {
		out = append(out, all[(c.rounds*delegatesPerZone+i)%len(all)])
	}
	return out
}

// appendDigest appends a digest for a peer if its address is known. The caller
// holds mu.
func (c *Cluster) appendDigest(out []outgoingDigest, name string, own sections, zones []zoneDigest) []outgoingDigest {
	p, ok := c.peers[name]
	if !ok || p.Address == "" {
		return out
	}
	echo, echoOf := p.lastSent, p.Incarnation
	if echo == 0 {
		echo, echoOf = freshness.Instant(0), 0
	}
	return append(out, outgoingDigest{digest{Echo: echo, EchoOf: echoOf, Sections: own, Zones: zones}, p.Address})
}

// mergeZone merges the sections of this host and of the hosts of its zone that
// sent it a digest recently, except one. The caller holds mu.
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
		for name := range c.mergers {
			if raw, ok := s[name]; ok {
				values[name] = append(values[name], raw)
			}
		}
	}
	collect(c.self, own)
	for _, name := range c.sortedNames() {
		p := c.peers[name]
		if name != except && p.Zone == c.self.Zone && now.Sub(p.lastDirect) < AliveTimeout {
			collect(p.Member, p.sections)
		}
	}
	z.MembersHash = membersHash(members)
	for name, list := range values {
		merged, err := c.mergers[name](list)
		if err != nil {
			c.opts.Logger.Warn("cannot merge sections", "step", "merge digests", "section", name, "error", err)
			continue
		}
		raw, err := json.Marshal(merged)
		if err != nil {
			c.opts.Logger.Error("cannot encode merged section", "step", "merge digests", "section", name, "error", err)
			continue
		}
		z.Sections[name] = raw
	}
	return z
}

// acceptZones processes merged digests and returns those to deliver. The delegate
// and the deputy skip that of their own zone, whose hosts send them digests
// directly. The caller holds mu.
func (c *Cluster) acceptZones(zones []zoneDigest, now time.Time) []zoneDigest {
	if len(zones) == 0 || !c.usesDelegates() {
		return nil
	}
	rank := c.ownRank(now)
	isDelegate := rank >= 0 && rank < delegatesPerZone
	var out []zoneDigest
	for _, z := range zones {
		for _, name := range z.Hosts {
			if p, ok := c.peers[name]; ok {
				p.Seen = now
				p.Leaving = slices.Contains(z.Leaving, name)
			}
		}
		if z.Zone != c.self.Zone {
			c.remote[z.Zone] = remoteZone{z, now}
		} else if isDelegate {
			continue
		}
		out = append(out, z)
	}
	return out
}
