package cluster

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/panics"
)

const (
	// maxFullMeshHosts is the largest fleet without delegates, in which every
	// host sends to every other one.
	maxFullMeshHosts = 12
	// delegatesPerZone counts the delegate and the deputy, which receive the
	// digests of all hosts of their zone.
	delegatesPerZone = 2
)

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

// MaxLag returns the longest time until a change at one host is in a digest at
// every other one, if no digest is lost.
func (c *Cluster) MaxLag() time.Duration { return time.Duration(c.MaxHops()) * digestInterval }

// MeanLag returns the mean time until a change at one host is in a digest at the
// most distant one.
func (c *Cluster) MeanLag() time.Duration { return c.MaxLag() / 2 }

// IsDelegate reports whether this host is the delegate of its zone in a large
// fleet.
func (c *Cluster) IsDelegate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usesDelegates() && c.rosterAt(time.Now()).ownRank == 0
}

// Coordinators returns the live hosts, possibly including this one, that
// exchange digests with each other directly: all hosts of a small fleet, or the
// delegate of each zone of a large one.
func (c *Cluster) Coordinators() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rosterAt(time.Now())
	var out []Member
	if c.usesDelegates() {
		for _, zone := range r.zones {
			if candidates := r.candidates[zone]; len(candidates) > 0 {
				out = append(out, candidates[0])
			}
		}
		return out
	}
	if !c.self.Leaving {
		out = append(out, c.self)
	}
	for _, p := range r.alive {
		out = append(out, p.Member)
	}
	return out
}

// isDelegateOrDeputy reports whether a rank among a zone's candidates is that of
// its delegate or deputy.
func isDelegateOrDeputy(rank int) bool { return rank >= 0 && rank < delegatesPerZone }

// receivesMerged reports whether this host receives a peer's mergeable sections
// merged with those of its zone. The caller holds mu.
func (c *Cluster) receivesMerged(from Member, r *roster) bool {
	if !c.usesDelegates() {
		return false
	}
	return from.Zone != c.self.Zone || !isDelegateOrDeputy(r.ownRank)
}

// outgoing returns the digests to send now. The caller holds mu.
func (c *Cluster) outgoing(own sections, now time.Time) []group {
	r := c.rosterAt(now)
	if !c.usesDelegates() {
		g := group{body: body{Sections: own}}
		for _, p := range c.peers {
			g.add(p)
		}
		return []group{g}
	}
	if r.ownRank == 0 {
		return c.outgoingAsDelegate(own, now, r)
	}
	g := group{body: body{Sections: own}}
	c.addDelegates(&g, r.candidates[c.self.Zone])
	return []group{g}
}

// addDelegates adds the delegate and the deputy to a group. The caller holds mu.
func (c *Cluster) addDelegates(g *group, candidates []Member) {
	for _, m := range candidates[:min(delegatesPerZone, len(candidates))] {
		if p, ok := c.peers[m.Name]; ok {
			g.add(p)
		}
	}
}

// add adds a peer to a group if its address is known.
func (g *group) add(p *peer) {
	if p.udp == nil {
		return
	}
	echoOf := p.Incarnation
	if p.lastSent == 0 {
		echoOf = 0
	}
	g.recipients = append(g.recipients, recipient{p.udp, p.lastSent, echoOf})
}

// outgoingAsDelegate returns the digests that a delegate sends: its zone's merged
// sections to the other zones' delegates, and those of all zones to the hosts of
// its own zone. The deputy gets this host's own sections instead of its zone's,
// because it merges them itself. The caller holds mu.
func (c *Cluster) outgoingAsDelegate(own sections, now time.Time, r *roster) []group {
	unmerged := c.unmergedSections(own)
	zone := c.mergeZone(own, now, r)
	var others []zoneDigest
	for _, name := range r.zones {
		if z, ok := c.remote[name]; ok && now.Sub(z.receivedAt) < AliveTimeout {
			others = append(others, z.zoneDigest)
		}
	}
	remote := group{body: body{Sections: unmerged, Zones: []zoneDigest{zone}}}
	for _, name := range r.zones {
		if name == c.self.Zone {
			continue
		}
		candidates := r.candidates[name]
		if len(candidates) == 0 {
			candidates = c.probeTargets(name, r)
		}
		c.addDelegates(&remote, candidates)
	}
	deputy := group{body: body{Sections: own, Zones: others}}
	hosts := group{body: body{Sections: unmerged, Zones: append([]zoneDigest{zone}, others...)}}
	deputyName := ""
	if candidates := r.candidates[c.self.Zone]; len(candidates) > 1 {
		deputyName = candidates[1].Name
	}
	for _, p := range c.peers {
		switch {
		case p.Zone != c.self.Zone:
		case p.Name == deputyName:
			deputy.add(p)
		default:
			hosts.add(p)
		}
	}
	return []group{remote, deputy, hosts}
}

// unmergedSections returns the sections that delegates do not merge.
func (c *Cluster) unmergedSections(own sections) sections {
	out := sections{}
	for name, raw := range own {
		if _, merged := c.mergers[name]; !merged {
			out[name] = raw
		}
	}
	return out
}

// probeTargets returns some hosts of a zone without live hosts, different ones in
// each round, because its delegates may have failed. The caller holds mu.
func (c *Cluster) probeTargets(zone string, r *roster) []Member {
	var all []Member
	for _, p := range r.peers {
		if p.Zone == zone {
			all = append(all, p.Member)
		}
	}
	var out []Member
	for i := range min(delegatesPerZone, len(all)) {
		out = append(out, all[(c.rounds*delegatesPerZone+i)%len(all)])
	}
	return out
}

// mergeZone merges the sections of this host and of the hosts of its zone that
// sent it a digest recently. The caller holds mu.
func (c *Cluster) mergeZone(own sections, now time.Time, r *roster) zoneDigest {
	z := zoneDigest{Zone: c.self.Zone, Sections: sections{}}
	values := map[string][]Raw{}
	var members []Member
	collect := func(m Member, s sections) {
		members = append(members, m)
		z.Hosts = append(z.Hosts, nameHash(m.Name))
		if m.Leaving {
			z.Leaving = append(z.Leaving, nameHash(m.Name))
		}
		for name := range c.mergers {
			if raw, ok := s[name]; ok {
				values[name] = append(values[name], raw)
			}
		}
	}
	collect(c.self, own)
	for _, entry := range r.peers {
		if p := c.peers[entry.Name]; p.Zone == c.self.Zone && now.Sub(p.lastDirect) < AliveTimeout {
			collect(p.Member, p.sections)
		}
	}
	z.MembersHash = membersHash(members)
	for name, list := range values {
		raw, err := mergeSection(c.mergers[name], list)
		if err != nil {
			c.opts.Logger.Warn("cannot merge sections", "step", "merge digests", "section", name, "error", err)
			continue
		}
		z.Sections[name] = raw
	}
	return z
}

func mergeSection(merge MergeFunc, values []Raw) (Raw, error) {
	merged, err := panics.Catch(func() (any, error) { return merge(values) })
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(merged)
}

// receivedZone is a merged digest with this host's part of it.
type receivedZone struct {
	zoneDigest
	own sections
}

// acceptZones processes merged digests and returns those to deliver. The delegate
// and the deputy skip that of their own zone, whose hosts send them digests
// directly. So does a host that cannot tell its own part. The caller holds mu.
func (c *Cluster) acceptZones(d digest, now time.Time, r *roster) []receivedZone {
	if len(d.Zones) == 0 || !c.usesDelegates() {
		return nil
	}
	var out []receivedZone
	for _, z := range d.Zones {
		c.recordZone(z, now)
		if z.Zone != c.self.Zone {
			c.remote[z.Zone] = remoteZone{z, now}
			out = append(out, receivedZone{zoneDigest: z})
			continue
		}
		if isDelegateOrDeputy(r.ownRank) {
			continue
		}
		own, ok := sections(nil), true
		if slices.Contains(z.Hosts, nameHash(c.self.Name)) {
			own, ok = c.ownPart(d.Echo)
			ok = ok && d.EchoOf == c.self.Incarnation
		}
		if !ok {
			counters.Add("own_part_unknown", 1)
			continue
		}
		out = append(out, receivedZone{z, maps.Clone(own)})
	}
	return out
}

// recordZone records that the hosts of a zone are alive and which of them are
// shutting down. The caller holds mu.
func (c *Cluster) recordZone(z zoneDigest, now time.Time) {
	for _, hash := range z.Hosts {
		p := c.peerByHash(hash)
		if p == nil {
			continue
		}
		leaving := slices.Contains(z.Leaving, hash)
		if !p.alive(now) || p.Leaving != leaving {
			c.membershipChanged()
		}
		p.seen, p.Leaving = now, leaving
	}
}
