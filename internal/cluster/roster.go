package cluster

import (
	"cmp"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// startupGrace is how long after this host's start registered hosts may become
// delegates before their first digest, so that all hosts choose the same
// delegates from the beginning.
const startupGrace = 3 * time.Second

// peer is the state of another host.
type peer struct {
	Member
	hash       uint32
	udp        net.Addr  // of Address; nil if it is unknown
	seen       time.Time // last digest from it, directly or merged into its zone's; zero if none
	lastDirect time.Time // last digest received directly from it
	lastSent   Instant   // time on its clock at which it sent that digest
	sections   sections  // of that digest, for delegates to merge
}

func (p *peer) alive(now time.Time) bool { return now.Sub(p.seen) < AliveTimeout }

// setMember sets the peer's entry and resolves its address.
func (p *peer) setMember(m Member) {
	if m.Address != p.Address || p.udp == nil {
		p.udp = nil
		if address, err := netip.ParseAddrPort(m.Address); err == nil {
			p.udp = net.UDPAddrFromAddrPort(address)
		}
	}
	p.Member, p.hash = m, nameHash(m.Name)
}

// nameHash identifies a host in merged digests. Among 420 hosts, any two collide
// with a probability of 1 in 50,000, and then one of them is considered alive
// while the other is.
func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Peer is another host as of a call of Peers or Alive.
type Peer struct {
	Member
	Live bool // its last digest is recent
}

// roster is a snapshot of the fleet.
type roster struct {
	validUntil time.Time // no live peer can time out earlier
	peers      []Peer    // sorted by name
	alive      []Peer    // live and not shutting down, sorted by name
	live       map[string]bool
	zones      []string            // sorted
	candidates map[string][]Member // by zone, see delegateCandidates
	ownRank    int                 // this host's index among its zone's candidates, -1 if it is none
}

// rosterAt returns the present roster. It signals a change if peers timed out
// since the last one. The caller holds mu and must not modify the result.
func (c *Cluster) rosterAt(now time.Time) *roster {
	if c.snapshot != nil && now.Before(c.snapshot.validUntil) {
		return c.snapshot
	}
	former := c.snapshot
	c.snapshot = c.buildRoster(now)
	if former != nil && !maps.Equal(former.live, c.snapshot.live) {
		signal(c.changed)
	}
	return c.snapshot
}

func (c *Cluster) buildRoster(now time.Time) *roster {
	r := &roster{live: make(map[string]bool, len(c.peers)), candidates: map[string][]Member{}, ownRank: -1, validUntil: now.Add(AliveTimeout)}
	starting := now.Sub(c.started) < startupGrace
	if starting {
		r.validUntil = earlier(r.validUntil, c.started.Add(startupGrace))
	}
	zones := map[string]bool{c.self.Zone: true}
	if !c.self.Leaving {
		r.candidates[c.self.Zone] = []Member{c.self}
	}
	for _, name := range slices.Sorted(maps.Keys(c.peers)) {
		p := c.peers[name]
		live := p.alive(now)
		r.peers = append(r.peers, Peer{p.Member, live})
		if p.Zone != "" {
			zones[p.Zone] = true
		}
		if live {
			r.live[name] = true
			r.validUntil = earlier(r.validUntil, p.seen.Add(AliveTimeout))
		}
		if live && !p.Leaving {
			r.alive = append(r.alive, Peer{p.Member, live})
		}
		if !p.Leaving && (live || starting && p.seen.IsZero()) {
			r.candidates[p.Zone] = append(r.candidates[p.Zone], p.Member)
		}
	}
	r.zones = slices.Sorted(maps.Keys(zones))
	for _, list := range r.candidates {
		slices.SortFunc(list, func(a, b Member) int { return cmp.Or(cmp.Compare(b.Size, a.Size), cmp.Compare(a.Name, b.Name)) })
	}
	r.ownRank = slices.IndexFunc(r.candidates[c.self.Zone], func(m Member) bool { return m.Name == c.self.Name })
	return r
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// membershipChanged discards the roster and signals the change listeners. The
// caller holds mu.
func (c *Cluster) membershipChanged() {
	c.snapshot = nil
	signal(c.changed)
}

// addPeer adds a peer without an entry. The caller holds mu.
func (c *Cluster) addPeer(name string) *peer {
	p := &peer{}
	c.peers[name], c.byHash = p, nil
	return p
}

// peerByHash returns the peer whose name has the hash, or nil. The caller holds
// mu.
func (c *Cluster) peerByHash(hash uint32) *peer {
	if c.byHash == nil {
		c.byHash = make(map[uint32]*peer, len(c.peers))
		for _, p := range c.peers {
			c.byHash[p.hash] = p
		}
	}
	return c.byHash[hash]
}

// SetMembers sets the registered hosts. Peers without a registration stay until
// they time out.
func (c *Cluster) SetMembers(list []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	registered := map[string]bool{}
	for _, m := range list {
		registered[m.Name] = true
		if m.Name != c.self.Name {
			c.setRegistered(m)
		}
	}
	if !c.membersKnown {
		c.membersKnown = true
		c.membershipChanged()
	}
	now := time.Now()
	for name, p := range c.peers {
		if !registered[name] && !p.alive(now) {
			delete(c.peers, name)
			c.byHash = nil
			c.membershipChanged()
		}
	}
}

// MembersKnown reports whether SetMembers was called. Before, the peers are only
// those that have sent a digest.
func (c *Cluster) MembersKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membersKnown
}

// setRegistered applies one registration. The caller holds mu.
func (c *Cluster) setRegistered(m Member) {
	p, ok := c.peers[m.Name]
	switch {
	case !ok || p.Incarnation < m.Incarnation:
		c.addPeer(m.Name).setMember(m)
		c.membershipChanged()
	case p.Address == "":
		known := p.Member
		known.Address, known.Zone, known.Size = m.Address, m.Zone, m.Size
		p.setMember(known)
		c.membershipChanged()
	}
}

// Peers returns all known other hosts, sorted by name. The caller must not modify
// the result.
func (c *Cluster) Peers() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rosterAt(time.Now()).peers
}

// Alive returns the live peers that are not shutting down, sorted by name. The
// caller must not modify the result.
func (c *Cluster) Alive() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rosterAt(time.Now()).alive
}

// IsAlive reports whether the host is a live peer that is not shutting down.
func (c *Cluster) IsAlive(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[host]
	return ok && !p.Leaving && p.alive(time.Now())
}

// AnySilent reports whether a known peer is not alive.
func (c *Cluster) AnySilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rosterAt(time.Now())
	return len(r.live) < len(r.peers)
}

// EachLive calls fn with the name of each live peer and the time of its last
// digest.
func (c *Cluster) EachLive(fn func(name string, seen time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, p := range c.peers {
		if p.alive(now) {
			fn(name, p.seen)
		}
	}
}
