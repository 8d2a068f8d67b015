package membership

import (
	"cmp"
	"slices"
	"time"
)

// peerState is what the machine knows of one other process.
type peerState struct {
	member    Member
	gen       Generation // largest reported
	first     time.Time  // first heard
	heard     time.Time  // last heard
	grace     time.Time  // when it became a member here; silence counts from then
	confirmed time.Time  // when the last heartbeat was sent whose answer knew nothing larger
	silent    []string
	leaving   bool
}

// Machine is the membership state of one process. It is not safe for
// concurrent use. Times must come from one monotonic clock.
type Machine struct {
	opts     Options
	epoch    Epoch
	revision int64
	peers    map[Identity]*peerState
	leaving  bool
	// wasMember tells that the process was a member of some adopted epoch, and
	// replaced that another process of its host, hence a later one, is now.
	wasMember, replaced bool

	lastTick    time.Time
	lastBeat    time.Time
	lastPoll    time.Time
	silentFloor time.Time // silence counts from here at the earliest
	alive       map[string]bool
	silent      []string        // members that are not alive, as of the last tick
	gone        map[string]bool // see SetGone
	epochAt     time.Time       // when the epoch was adopted

	lease   leaseState
	settle  settleState
	propose proposeState
}

// New returns a machine without an epoch.
func New(opts Options, now time.Time) *Machine {
	return &Machine{
		opts:        opts.withDefaults(),
		peers:       map[Identity]*peerState{},
		lastTick:    now,
		silentFloor: now,
		alive:       map[string]bool{opts.Self.Host: true},
	}
}

// Epoch returns the adopted epoch, with Number 0 before the first.
func (m *Machine) Epoch() Epoch { return m.epoch }

// Generation returns the adopted epoch and revision.
func (m *Machine) Generation() Generation {
	return Generation{Epoch: m.epoch.Number, Revision: m.revision}
}

// Alive returns a copy of the view of which members were heard within SilentAfter.
func (m *Machine) Alive() map[string]bool {
	out := make(map[string]bool, len(m.alive))
	for host, ok := range m.alive {
		out[host] = ok
	}
	return out
}

// IsMember reports whether this process belongs to the epoch.
func (m *Machine) IsMember() bool { return m.epoch.Has(m.opts.Self.ID()) }

// Leave marks the process as leaving: it asks to be removed from the epoch and
// is not taken in again.
func (m *Machine) Leave() { m.leaving = true }

// Heartbeat returns the content of this host's next heartbeat.
func (m *Machine) Heartbeat() Heartbeat {
	return Heartbeat{From: m.opts.Self, Generation: m.Generation(), Silent: m.silent, Leaving: m.leaving}
}

// Tick advances time. Call it several times per heartbeat interval.
func (m *Machine) Tick(now time.Time) Output {
	out := m.observeLease(now)
	if now.Sub(m.lastTick) > 2*m.opts.Interval {
		// This process was paused, so it could not have heard anybody.
		m.silentFloor = now
	}
	m.lastTick = now
	if now.Sub(m.lastBeat) >= m.opts.Interval {
		m.lastBeat = now
		out.Heartbeats = m.targets()
		m.prune(now)
	}
	out.merge(m.refreshAlive(now))
	out.merge(m.renew(now))
	out.merge(m.evaluateSettled(now))
	if m.shouldPoll(now) {
		m.lastPoll = now
		out.Poll = true
	}
	if now.Sub(m.propose.evaluated) >= m.opts.Interval/proposeEvaluations {
		m.propose.evaluated = now
		out.Propose = m.shouldPropose(now)
	}
	return out
}

// Nudge returns the targets of heartbeats that are sent early.
func (m *Machine) Nudge(now time.Time) Output {
	m.lastBeat = now
	return Output{Heartbeats: m.targets()}
}

// OnHeartbeat takes in a heartbeat and returns the answer to it.
func (m *Machine) OnHeartbeat(now time.Time, hb Heartbeat) (Heartbeat, Output) {
	out := m.observeLease(now)
	heard, news := m.hear(now, hb)
	out.merge(heard)
	if news {
		out.merge(m.evaluateSettled(now))
	}
	return m.Heartbeat(), out
}

// OnAnswer takes in the answer to a heartbeat that was sent at sentAt.
func (m *Machine) OnAnswer(now, sentAt time.Time, hb Heartbeat) Output {
	out := m.observeLease(now)
	heard, news := m.hear(now, hb)
	out.merge(heard)
	p := m.peers[hb.From.ID()]
	if m.epoch.Has(hb.From.ID()) {
		m.propose.answered = now
	}
	if p != nil && m.Generation().Covers(hb.Generation) && sentAt.After(p.confirmed) {
		p.confirmed = sentAt
	}
	// A held lease is extended with the next tick, which is cheaper at many hosts.
	if !m.lease.held {
		out.merge(m.renew(now))
	}
	if news {
		out.merge(m.evaluateSettled(now))
	}
	return out
}

// AdoptEpoch takes over a larger epoch. It returns false for any other.
func (m *Machine) AdoptEpoch(now time.Time, e Epoch) (Output, bool) {
	if e.Number <= m.epoch.Number {
		return Output{}, false
	}
	out := m.observeLease(now)
	m.wasMember = m.wasMember || m.IsMember()
	successor, ok := e.Member(m.opts.Self.Host)
	m.replaced = m.wasMember && ok && successor.Incarnation != m.opts.Self.Incarnation
	m.epoch, m.epochAt = e, now
	m.settle = settleState{}
	m.propose.reset()
	m.greetMembers(now)
	out.merge(m.generationChanged(now))
	out.merge(m.refreshAlive(now))
	return out, true
}

// AdoptRevision takes over a larger configuration revision. It returns false for any other.
func (m *Machine) AdoptRevision(now time.Time, revision int64) (Output, bool) {
	if revision <= m.revision {
		return Output{}, false
	}
	out := m.observeLease(now)
	m.revision = revision
	m.settle.revision = activation{}
	out.merge(m.generationChanged(now))
	return out, true
}

func (m *Machine) generationChanged(now time.Time) Output {
	out := Output{ViewChanged: true}
	out.merge(m.renew(now))
	out.merge(m.evaluateSettled(now))
	return out
}

// greetMembers gives members that were never heard time to make contact.
func (m *Machine) greetMembers(now time.Time) {
	for _, member := range m.epoch.Members {
		if m.peers[member.ID()] == nil && member.Host != m.opts.Self.Host {
			m.peers[member.ID()] = &peerState{member: member, first: now, grace: now}
		}
	}
}

// hear updates what is known of the sender. news reports whether that can
// change which processes have confirmed the generation; the evaluation takes
// time in proportion to the members, and passing time is seen with the next tick.
func (m *Machine) hear(now time.Time, hb Heartbeat) (out Output, news bool) {
	id := hb.From.ID()
	if hb.From.Host == m.opts.Self.Host {
		return Output{}, false
	}
	p := m.peers[id]
	if p == nil {
		p = &peerState{first: now}
		m.peers[id] = p
	}
	if p.member.Host == "" || hb.From.PeerAddress != "" {
		p.member = hb.From
	}
	p.heard, p.silent, p.leaving = now, hb.Silent, p.leaving || hb.Leaving
	news = m.gone[hb.From.Host] || !p.gen.Covers(hb.Generation)
	delete(m.gone, hb.From.Host)
	p.gen.Epoch = max(p.gen.Epoch, hb.Epoch)
	p.gen.Revision = max(p.gen.Revision, hb.Revision)
	if hb.Epoch > m.epoch.Number {
		out.FetchEpoch = hb.From.Host
	}
	if hb.Revision > m.revision {
		out.FetchConfig = hb.From.Host
	}
	// The view is recomputed with every tick; only a return is noted at once.
	if alive, member := m.alive[hb.From.Host]; member && !alive {
		out.merge(m.refreshAlive(now))
	}
	return out, news
}

// targets are all other members of the epoch.
func (m *Machine) targets() []Member {
	out := make([]Member, 0, len(m.epoch.Members))
	for _, member := range m.epoch.Members {
		if member.Host != m.opts.Self.Host {
			out = append(out, member)
		}
	}
	return out
}

// silentFor reports whether the process was not heard for SilentAfter.
func (m *Machine) silentFor(now time.Time, id Identity) bool {
	since := m.silentFloor
	if p := m.peers[id]; p != nil {
		since = later(since, later(p.heard, p.grace))
	}
	return now.Sub(since) > m.opts.SilentAfter
}

// refreshAlive recomputes the alive view.
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
		next[host] = !m.silentFor(now, member.ID())
		if !next[host] {
			m.silent = append(m.silent, host)
		}
		was, known := m.alive[host]
		switch {
		case known && was && !next[host]:
			out.Lost = append(out.Lost, host)
		case known && !was && next[host]:
			out.Back = append(out.Back, host)
		}
		out.ViewChanged = out.ViewChanged || was != next[host] || !known
	}
	out.ViewChanged = out.ViewChanged || len(next) != len(m.alive)
	m.alive = next
	return out
}

// prune forgets processes that are long silent and in no epoch that matters.
func (m *Machine) prune(now time.Time) {
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
		if !keep[id] && now.Sub(p.heard) > 10*m.opts.SilentAfter {
			delete(m.peers, id)
		}
	}
}

// watchersPerZone is how many hosts of a zone read the platform.
const watchersPerZone = 2

// IsWatcher reports whether this host is one of the lowest-ranked alive
// members of its zone, which watch and poll the platform.
func (m *Machine) IsWatcher() bool {
	if !m.IsMember() {
		return true
	}
	before := 0
	for _, member := range m.epoch.Members {
		if member.Host == m.opts.Self.Host {
			return before < watchersPerZone
		}
		if member.Zone == m.opts.Self.Zone && m.alive[member.Host] {
			before++
		}
	}
	return true
}

// shouldPoll reports whether a platform read is due: for watchers, and for
// hosts whose last confirmation by a majority is half a lease old.
func (m *Machine) shouldPoll(now time.Time) bool {
	if now.Sub(m.lastPoll) < m.opts.Poll {
		return false
	}
	return m.IsWatcher() || now.Sub(m.majorityConfirmed(now)) > m.opts.Lease/2
}

// PeerStatus describes one known process, for operators.
type PeerStatus struct {
	Member     Member
	Generation Generation
	Heard      time.Time
	Leaving    bool
}

// Peers returns what is known of other processes, sorted by host and incarnation.
func (m *Machine) Peers() []PeerStatus {
	out := make([]PeerStatus, 0, len(m.peers))
	for _, p := range m.peers {
		out = append(out, PeerStatus{Member: p.member, Generation: p.gen, Heard: p.heard, Leaving: p.leaving})
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
