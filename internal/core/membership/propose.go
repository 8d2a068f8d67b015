package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// proposeDelay collects several joins into one epoch.
	proposeDelay = 100 * time.Millisecond
	// joinPatience is how many heartbeat intervals a process waits to be taken
	// in by a member before it proposes itself.
	joinPatience = 4
	// firstAloneBackoff and maxAloneBackoff bound the interval at which a process
	// that no member answers proposes itself. If the members live but cannot
	// hear it, they remove it each time, and every change costs shares.
	firstAloneBackoff = 4 * time.Second
	maxAloneBackoff   = 5 * time.Minute
	// proposeEvaluations is how often per interval the next epoch is computed.
	proposeEvaluations = 5
	// maxProposeBackoff bounds the interval between proposals that fail.
	maxProposeBackoff = 10 * time.Second
)

// proposeState paces proposals.
type proposeState struct {
	evaluated   time.Time
	neededSince time.Time
	last        time.Time
	backoff     time.Duration

	answered     time.Time // when a member last answered a heartbeat
	alone        time.Time // when this process last proposed itself without such an answer
	aloneBackoff time.Duration
}

func (p *proposeState) reset() { p.neededSince, p.backoff = time.Time{}, 0 }

// unsettledPatience is how many leases an epoch may stay unsettled before the
// platform's list is asked whether the hosts it waits for are gone.
const unsettledPatience = 3

// SetGone replaces the set of hosts that the platform's list has not shown as
// live for a long time. Those that are also silent here count as ended: they
// may be removed without a majority and are not waited for.
func (m *Machine) SetGone(now time.Time, hosts map[string]bool) {
	m.gone = map[string]bool{}
	for host, gone := range hosts {
		m.gone[host] = gone && !m.heardRecently(now, host)
	}
}

// NeedsHostList reports whether silent members cannot be removed, or the epoch
// cannot be settled, for lack of a majority, so that the platform's list of
// hosts should be read.
func (m *Machine) NeedsHostList(now time.Time) bool {
	if m.epoch.Number == 0 {
		return false
	}
	stuck := !m.settle.epoch.done && now.Sub(m.epochAt) > unsettledPatience*m.opts.Lease
	return stuck || len(m.silent) > 0 && !m.hearsMajority(now)
}

func (m *Machine) heardRecently(now time.Time, host string) bool {
	for id, p := range m.peers {
		if id.Host == host && now.Sub(p.heard) <= m.opts.SilentAfter {
			return true
		}
	}
	return host == m.opts.Self.Host
}

// shouldPropose reports whether this host's turn has come to propose an epoch.
// The turns follow the rank among the alive members, one heartbeat interval apart.
func (m *Machine) shouldPropose(now time.Time) bool {
	if m.epoch.Number == 0 {
		return false
	}
	if _, needed := m.Propose(now, m.epoch, true); !needed {
		m.propose.reset()
		return false
	}
	if m.propose.neededSince.IsZero() {
		m.propose.neededSince = now
	}
	if !m.IsMember() && !m.mayJoin(now) {
		return false
	}
	turn := m.propose.neededSince.Add(proposeDelay + time.Duration(m.proposeRank())*m.opts.Interval)
	if now.Before(turn) || now.Sub(m.propose.last) < m.propose.backoff {
		return false
	}
	m.propose.last = now
	m.noteAlone(now)
	m.propose.backoff = min(max(2*m.propose.backoff, m.opts.Interval), maxProposeBackoff)
	return true
}

// answeredByMember reports whether a member answered a heartbeat a moment ago.
func (m *Machine) answeredByMember(now time.Time) bool {
	return !m.propose.answered.IsZero() && now.Sub(m.propose.answered) <= 2*m.opts.Interval
}

// mayJoin reports whether a process that is no member may propose itself: when
// members answer it, or, rarely, when none does, since they may all have ended.
func (m *Machine) mayJoin(now time.Time) bool {
	if m.answeredByMember(now) {
		m.propose.aloneBackoff = 0
		return true
	}
	return m.propose.alone.IsZero() || now.Sub(m.propose.alone) >= m.propose.aloneBackoff
}

func (m *Machine) noteAlone(now time.Time) {
	if m.IsMember() || m.answeredByMember(now) {
		return
	}
	m.propose.alone = now
	m.propose.aloneBackoff = min(max(2*m.propose.aloneBackoff, firstAloneBackoff), maxAloneBackoff)
}

func (m *Machine) proposeRank() int {
	if !m.IsMember() {
		return joinPatience
	}
	rank := 0
	for _, member := range m.epoch.Members {
		if member.Host == m.opts.Self.Host {
			break
		}
		if m.alive[member.Host] {
			rank++
		}
	}
	return rank
}

// Propose computes the epoch to follow current, which is the platform's. It
// returns false when nothing is to be changed or when current is not the epoch
// this host knows. exists is false when the platform has no epoch yet.
func (m *Machine) Propose(now time.Time, current Epoch, exists bool) (Epoch, bool) {
	if !exists && m.epoch.Number == 0 {
		first := m.nextMembers(now, Epoch{})
		return Epoch{Number: 1, Members: first}, len(first) > 0
	}
	if !exists {
		current = m.epoch // the object was deleted; continue from what is known
	}
	if current.Number != m.epoch.Number {
		return Epoch{}, false
	}
	next := m.nextMembers(now, current)
	if len(next) == 0 || slices.Equal(next, current.Members) {
		return Epoch{}, false
	}
	return Epoch{Number: current.Number + 1, Members: next, Prior: m.nextPrior(current)}, true
}

// nextPrior lists the epochs whose members may have shares in force when the
// epoch after current is adopted.
func (m *Machine) nextPrior(current Epoch) []Prior {
	prior := []Prior{{Number: current.Number, Members: current.identities()}}
	if m.settle.epoch.done {
		return prior
	}
	for _, p := range current.Prior {
		known := slices.ContainsFunc(prior, func(q Prior) bool { return slices.Equal(q.Members, p.Members) })
		if !known {
			prior = append(prior, p)
		}
	}
	return prior
}

// nextMembers applies joins, restarts and removals to the members of current.
func (m *Machine) nextMembers(now time.Time, current Epoch) []Member {
	members := map[string]Member{}
	for _, member := range current.Members {
		if !m.removable(now, member) {
			members[member.Host] = member
		}
	}
	for _, p := range m.peers {
		if m.joins(now, p, current) {
			members[p.member.Host] = p.member
		}
	}
	self := m.opts.Self
	if m.leaving {
		delete(members, self.Host)
	} else {
		members[self.Host] = self
	}
	out := make([]Member, 0, len(members))
	for _, member := range members {
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// joins reports whether the process is to be taken in, as a new host, as a
// later process of a member host, or with a new address.
func (m *Machine) joins(now time.Time, p *peerState, current Epoch) bool {
	if p.leaving || now.Sub(p.heard) > 2*m.opts.Interval+m.opts.Margin {
		return false
	}
	member, known := current.Member(p.member.Host)
	if !known || member.Incarnation == p.member.Incarnation {
		return true
	}
	// The member's process counts as ended unless it was heard after this one began.
	old := m.peers[member.ID()]
	return old == nil || old.heard.Before(p.first)
}

// removable reports whether a member is to be removed: it leaves, or it is
// silent to this host and to every member this host hears, who must be a
// majority unless the platform's list confirms that the host is gone. The
// majority keeps two hosts that only cannot hear each other from removing one
// another in turn.
func (m *Machine) removable(now time.Time, member Member) bool {
	if member.Host == m.opts.Self.Host {
		return false
	}
	if p := m.peers[member.ID()]; p != nil && p.leaving {
		return true
	}
	if !m.IsMember() || !m.silentFor(now, member.ID()) || !m.silentToAll(now, member.Host) {
		return false
	}
	return m.hearsMajority(now) || m.gone[member.Host]
}

func (m *Machine) silentToAll(now time.Time, host string) bool {
	for _, other := range m.epoch.Members {
		id := other.ID()
		if other.Host == host || id == m.opts.Self.ID() || m.silentFor(now, id) {
			continue
		}
		if p := m.peers[id]; p == nil || !slices.Contains(p.silent, host) {
			return false
		}
	}
	return true
}

func (m *Machine) hearsMajority(now time.Time) bool {
	heard := 0
	for _, member := range m.epoch.Members {
		if member.ID() == m.opts.Self.ID() || !m.silentFor(now, member.ID()) {
			heard++
		}
	}
	return heard > len(m.epoch.Members)/2
}
