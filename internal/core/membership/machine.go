// Package membership implements the state machine of one host's membership in
// the fleet: heartbeats, the view of which hosts are alive, epochs, the freshness
// lease and the activation of generations. It performs no input or output: the
// caller passes in ticks and messages and executes the returned Output.
//
// Guarantees, provided that only one process at a time runs under a host name:
//   - The epoch and the revision never decrease.
//   - The lease is held for at most L after a time at which the platform or a
//     majority of the epoch's members had no larger epoch and no larger revision.
//   - A generation is settled only when no process can hold its lease at an
//     earlier generation.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Heartbeat is sent to all members. The reply is the receiver's own heartbeat, in
// which From may contain only the identity.
type Heartbeat struct {
	From Member `json:"from"`
	Generation
	Silent  []string `json:"silent,omitempty"` // members without contact to From for SilentAfter
	Leaving bool     `json:"leaving,omitempty"`
}

// peerState is the state of one other process as seen by this one.
type peerState struct {
	member       Member
	generation   Generation // largest reported epoch and revision
	firstContact time.Time  // first heartbeat or reply
	lastContact  time.Time  // last heartbeat or reply
	graceStart   time.Time  // when this process adopted it as a member; silence is counted from then at the earliest
	confirmedAt  time.Time  // send time of the last heartbeat whose reply had no larger epoch or revision
	silent       []string   // members that it reported as silent
	leaving      bool
}

// Machine is the membership state of one process. It is not safe for
// concurrent use. Times must come from one monotonic clock.
type Machine struct {
	opts     Options
	epoch    Epoch
	revision int64
	peers    map[Identity]*peerState
	leaving  bool
	// wasMember is set if this process was a member of an adopted epoch, and
	// replaced if another process of its host, hence a later one, is a member now.
	wasMember, replaced bool

	lastTick       time.Time
	lastHeartbeat  time.Time
	lastPoll       time.Time
	silenceStart   time.Time // silence of any peer is counted from then at the earliest
	alive          map[string]bool
	silent         []string        // members that were not alive at the last tick
	absent         map[string]bool // set by SetAbsentHosts
	epochAdoptedAt time.Time

	lease   leaseState
	settle  settleState
	propose proposeState
}

// New returns a machine without an epoch.
func New(opts Options, now time.Time) *Machine {
	return &Machine{
		opts:         opts.withDefaults(),
		peers:        map[Identity]*peerState{},
		lastTick:     now,
		silenceStart: now,
		alive:        map[string]bool{opts.Self.Host: true},
	}
}

// Epoch returns the adopted epoch. Its Number is 0 before the first one.
func (m *Machine) Epoch() Epoch { return m.epoch }

// Generation returns the adopted epoch and revision.
func (m *Machine) Generation() Generation {
	return Generation{Epoch: m.epoch.Number, Revision: m.revision}
}

// Alive returns a copy of the view of which members sent a heartbeat or reply
// within SilentAfter.
func (m *Machine) Alive() map[string]bool {
	out := make(map[string]bool, len(m.alive))
	for host, ok := range m.alive {
		out[host] = ok
	}
	return out
}

// IsMember reports whether this process belongs to the epoch.
func (m *Machine) IsMember() bool { return m.epoch.Has(m.opts.Self.ID()) }

// Leave marks the process as leaving: it requests its removal from the epoch and
// is not added again.
func (m *Machine) Leave() { m.leaving = true }

// Heartbeat returns the content of this host's next heartbeat.
func (m *Machine) Heartbeat() Heartbeat {
	return Heartbeat{From: m.opts.Self, Generation: m.Generation(), Silent: m.silent, Leaving: m.leaving}
}

// Tick advances time. Call it several times per heartbeat interval.
func (m *Machine) Tick(now time.Time) Output {
	out := m.expireLease(now)
	if now.Sub(m.lastTick) > 2*m.opts.Interval {
		// This process was paused and could not receive heartbeats.
		m.silenceStart = now
	}
	m.lastTick = now
	if now.Sub(m.lastHeartbeat) >= m.opts.Interval {
		m.lastHeartbeat = now
		out.Heartbeats = m.heartbeatTargets()
		m.prunePeers(now)
	}
	out.merge(m.refreshAlive(now))
	out.merge(m.renewLease(now))
	out.merge(m.updateSettled(now))
	if m.shouldPoll(now) {
		m.lastPoll = now
		out.Poll = true
	}
	if now.Sub(m.propose.lastCheck) >= m.opts.Interval/proposalChecksPerInterval {
		m.propose.lastCheck = now
		out.Propose = m.shouldPropose(now)
	}
	return out
}

// HeartbeatNow returns the targets of heartbeats to send now, before the next interval.
func (m *Machine) HeartbeatNow(now time.Time) Output {
	m.lastHeartbeat = now
	return Output{Heartbeats: m.heartbeatTargets()}
}

// OnHeartbeat processes a received heartbeat and returns the reply to it.
func (m *Machine) OnHeartbeat(now time.Time, hb Heartbeat) (Heartbeat, Output) {
	out := m.expireLease(now)
	received, changed := m.recordHeartbeat(now, hb)
	out.merge(received)
	if changed {
		out.merge(m.updateSettled(now))
	}
	return m.Heartbeat(), out
}

// OnHeartbeatReply processes the reply to a heartbeat that was sent at sentAt.
func (m *Machine) OnHeartbeatReply(now, sentAt time.Time, hb Heartbeat) Output {
	out := m.expireLease(now)
	received, changed := m.recordHeartbeat(now, hb)
	out.merge(received)
	p := m.peers[hb.From.ID()]
	if m.epoch.Has(hb.From.ID()) {
		m.propose.lastMemberReply = now
	}
	if p != nil && m.Generation().Covers(hb.Generation) && sentAt.After(p.confirmedAt) {
		p.confirmedAt = sentAt
	}
	// A held lease is extended by the next tick, which is cheaper with many hosts.
	if !m.lease.held {
		out.merge(m.renewLease(now))
	}
	if changed {
		out.merge(m.updateSettled(now))
	}
	return out
}

// AdoptEpoch switches to an epoch with a larger number. It returns false for any
// other epoch.
func (m *Machine) AdoptEpoch(now time.Time, e Epoch) (Output, bool) {
	if e.Number <= m.epoch.Number {
		return Output{}, false
	}
	out := m.expireLease(now)
	m.wasMember = m.wasMember || m.IsMember()
	successor, ok := e.Member(m.opts.Self.Host)
	m.replaced = m.wasMember && ok && successor.Incarnation != m.opts.Self.Incarnation
	m.epoch, m.epochAdoptedAt = e, now
	m.settle = settleState{}
	m.propose.reset()
	m.trackNewMembers(now)
	out.merge(m.generationChanged(now))
	out.merge(m.refreshAlive(now))
	return out, true
}

// AdoptRevision switches to a larger configuration revision. It returns false for
// any other revision.
func (m *Machine) AdoptRevision(now time.Time, revision int64) (Output, bool) {
	if revision <= m.revision {
		return Output{}, false
	}
	out := m.expireLease(now)
	m.revision = revision
	m.settle.revision = activation{}
	out.merge(m.generationChanged(now))
	return out, true
}

func (m *Machine) generationChanged(now time.Time) Output {
	out := Output{ViewChanged: true}
	out.merge(m.renewLease(now))
	out.merge(m.updateSettled(now))
	return out
}

// trackNewMembers adds peers for members without contact so far, so that they
// count as silent only after SilentAfter.
func (m *Machine) trackNewMembers(now time.Time) {
	for _, member := range m.epoch.Members {
		if m.peers[member.ID()] == nil && member.Host != m.opts.Self.Host {
			m.peers[member.ID()] = &peerState{member: member, firstContact: now, graceStart: now}
		}
	}
}

// recordHeartbeat updates the state of the sender. changed reports whether this
// can affect which processes have confirmed the generation. Callers then call
// updateSettled, which takes time proportional to the number of members; the
// passage of time alone is handled by the next tick.
func (m *Machine) recordHeartbeat(now time.Time, hb Heartbeat) (out Output, changed bool) {
	id := hb.From.ID()
	if hb.From.Host == m.opts.Self.Host {
		return Output{}, false
	}
	p := m.peers[id]
	if p == nil {
		p = &peerState{firstContact: now}
		m.peers[id] = p
	}
	if p.member.Host == "" || hb.From.PeerAddress != "" {
		p.member = hb.From
	}
	p.lastContact, p.silent, p.leaving = now, hb.Silent, p.leaving || hb.Leaving
	changed = m.absent[hb.From.Host] || !p.generation.Covers(hb.Generation)
	delete(m.absent, hb.From.Host)
	p.generation.Epoch = max(p.generation.Epoch, hb.Epoch)
	p.generation.Revision = max(p.generation.Revision, hb.Revision)
	if hb.Epoch > m.epoch.Number {
		out.FetchEpoch = hb.From.Host
	}
	if hb.Revision > m.revision {
		out.FetchConfig = hb.From.Host
	}
	// Every tick recomputes the view; only a host that becomes alive again updates it at once.
	if alive, member := m.alive[hb.From.Host]; member && !alive {
		out.merge(m.refreshAlive(now))
	}
	return out, changed
}

// heartbeatTargets returns all members of the epoch on other hosts.
func (m *Machine) heartbeatTargets() []Member {
	out := make([]Member, 0, len(m.epoch.Members))
	for _, member := range m.epoch.Members {
		if member.Host != m.opts.Self.Host {
			out = append(out, member)
		}
	}
	return out
}

// isSilent reports whether the process sent no heartbeat or reply for longer
// than SilentAfter.
func (m *Machine) isSilent(now time.Time, id Identity) bool {
	since := m.silenceStart
	if p := m.peers[id]; p != nil {
		since = later(since, later(p.lastContact, p.graceStart))
	}
	return now.Sub(since) > m.opts.SilentAfter
}

// refreshAlive recomputes the view of alive members and reports the changes.
func (m *Machine) refreshAlive(now time.Time) Output {
	var out Output
	next := make(map[string]bool, len(m.epoch.Members)+1)
	next[m.opts.Self.Host] = true
	m.silent = nil
	for _, member := range m.epoch.Members {
		host := member.Host
		if host == m.opts.Self.Host {
			continue
		}
		next[host] = !m.isSilent(now, member.ID())
		if !next[host] {
			m.silent = append(m.silent, host)
		}
		was, known := m.alive[host]
		switch {
		case known && was && !next[host]:
			out.BecameSilent = append(out.BecameSilent, host)
		case known && !was && next[host]:
			out.BecameAlive = append(out.BecameAlive, host)
		}
		out.ViewChanged = out.ViewChanged || was != next[host] || !known
	}
	out.ViewChanged = out.ViewChanged || len(next) != len(m.alive)
	m.alive = next
	return out
}

// prunePeers drops processes that have long been silent and are members neither
// of the epoch nor of its Prior.
func (m *Machine) prunePeers(now time.Time) {
	keep := map[Identity]bool{}
	for _, member := range m.epoch.Members {
		keep[member.ID()] = true
	}
	for _, prior := range m.epoch.Prior {
		for _, id := range prior.Members {
			keep[id] = true
		}
	}
	for id, p := range m.peers {
		if !keep[id] && now.Sub(p.lastContact) > 10*m.opts.SilentAfter {
			delete(m.peers, id)
		}
	}
}

// watchersPerZone is the number of hosts per zone that poll the platform.
const watchersPerZone = 2

// IsWatcher reports whether this host is one of the lowest-ranked alive
// members of its zone, which watch and poll the platform.
func (m *Machine) IsWatcher() bool {
	if !m.IsMember() {
		return true
	}
	lowerRanked := 0
	for _, member := range m.epoch.Members {
		if member.Host == m.opts.Self.Host {
			return lowerRanked < watchersPerZone
		}
		if member.Zone == m.opts.Self.Zone && m.alive[member.Host] {
			lowerRanked++
		}
	}
	return true
}

// shouldPoll reports whether a platform read is due. Besides watchers, hosts
// whose last confirmation by a majority is older than half a lease poll too.
func (m *Machine) shouldPoll(now time.Time) bool {
	if now.Sub(m.lastPoll) < m.opts.Poll {
		return false
	}
	return m.IsWatcher() || now.Sub(m.majorityConfirmedAt(now)) > m.opts.Lease/2
}

// PeerStatus describes one peer process, for operators.
type PeerStatus struct {
	Member      Member
	Generation  Generation
	LastContact time.Time
	Leaving     bool
}

// Peers returns the status of all known peers, sorted by host and incarnation.
func (m *Machine) Peers() []PeerStatus {
	out := make([]PeerStatus, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, PeerStatus{Member: p.member, Generation: p.generation, LastContact: p.lastContact, Leaving: p.leaving})
	}
	slices.SortFunc(out, func(a, b PeerStatus) int {
		return cmp.Or(cmp.Compare(a.Member.Host, b.Member.Host), cmp.Compare(a.Member.Incarnation, b.Member.Incarnation))
	})
	return out
}

// KnownHosts returns the names of all hosts in the epoch and in its Prior.
func (m *Machine) KnownHosts() []string {
	var out []string
	for _, id := range m.epoch.identities() {
		out = append(out, id.Host)
	}
	for _, prior := range m.epoch.Prior {
		for _, id := range prior.Members {
			out = append(out, id.Host)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
