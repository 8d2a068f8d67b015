package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// proposeDelay combines several joins into one epoch.
	proposeDelay = 100 * time.Millisecond
	// joinWaitIntervals is how many heartbeat intervals a process waits to be
	// added by a member before it proposes itself.
	joinWaitIntervals = 4
	// minIsolatedBackoff and maxIsolatedBackoff bound the interval at which a
	// process that gets no replies from members proposes itself. If the members
	// are running but unreachable, they remove it each time, and every new epoch
	// reduces shares until it is settled.
	minIsolatedBackoff = 4 * time.Second
	maxIsolatedBackoff = 5 * time.Minute
	// proposalChecksPerInterval is how often per heartbeat interval the next
	// epoch is computed.
	proposalChecksPerInterval = 5
	// maxProposeBackoff bounds the interval between proposals while none succeeds.
	maxProposeBackoff = 10 * time.Second
)

// proposeState limits how often this process proposes an epoch.
type proposeState struct {
	lastCheck    time.Time
	neededSince  time.Time
	lastProposal time.Time
	backoff      time.Duration

	lastMemberReply      time.Time // last reply of a member to a heartbeat
	lastIsolatedProposal time.Time // when this process last proposed itself without a recent reply
	isolatedBackoff      time.Duration
}

func (p *proposeState) reset() { p.neededSince, p.backoff = time.Time{}, 0 }

// maxUnsettledLeases is how many lease durations an epoch may stay unsettled
// before the platform's host list is read to find out whether the hosts that it
// waits for still exist.
const maxUnsettledLeases = 3

// SetAbsentHosts replaces the set of hosts that have long been missing from the live
// hosts of the platform's list. Those without recent contact to this host count
// as ended: they may be removed without a majority, and activation does not wait
// for them.
func (m *Machine) SetAbsentHosts(now time.Time, hosts map[string]bool) {
	m.absent = map[string]bool{}
	for host, absent := range hosts {
		m.absent[host] = absent && !m.inContactWithHost(now, host)
	}
}

// NeedsHostList reports whether the platform's list of hosts should be read,
// because silent members cannot be removed without a majority or the epoch has
// not settled for a long time.
func (m *Machine) NeedsHostList(now time.Time) bool {
	if m.epoch.Number == 0 {
		return false
	}
	stuck := !m.settle.epoch.done && now.Sub(m.epochAdoptedAt) > maxUnsettledLeases*m.opts.Lease
	return stuck || len(m.silent) > 0 && !m.inContactWithMajority(now)
}

func (m *Machine) inContactWithHost(now time.Time, host string) bool {
	for id, p := range m.peers {
		if id.Host == host && now.Sub(p.lastContact) <= m.opts.SilentAfter {
			return true
		}
	}
	return host == m.opts.Self.Host
}

// shouldPropose reports whether this host should propose an epoch now. Alive
// members take turns by rank, one heartbeat interval apart.
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
	if !m.IsMember() && !m.mayProposeSelf(now) {
		return false
	}
	turn := m.propose.neededSince.Add(proposeDelay + time.Duration(m.proposeRank())*m.opts.Interval)
	if now.Before(turn) || now.Sub(m.propose.lastProposal) < m.propose.backoff {
		return false
	}
	m.propose.lastProposal = now
	m.recordIsolatedProposal(now)
	m.propose.backoff = min(max(2*m.propose.backoff, m.opts.Interval), maxProposeBackoff)
	return true
}

// memberReplied reports whether a member replied to a heartbeat within the last
// two intervals.
func (m *Machine) memberReplied(now time.Time) bool {
	return !m.propose.lastMemberReply.IsZero() && now.Sub(m.propose.lastMemberReply) <= 2*m.opts.Interval
}

// mayProposeSelf reports whether a process that is not a member may propose
// itself: while members reply to it, or otherwise at the isolated backoff, since
// all members may have ended.
func (m *Machine) mayProposeSelf(now time.Time) bool {
	if m.memberReplied(now) {
		m.propose.isolatedBackoff = 0
		return true
	}
	return m.propose.lastIsolatedProposal.IsZero() || now.Sub(m.propose.lastIsolatedProposal) >= m.propose.isolatedBackoff
}

// recordIsolatedProposal increases the backoff after a proposal without replies
// from members.
func (m *Machine) recordIsolatedProposal(now time.Time) {
	if m.IsMember() || m.memberReplied(now) {
		return
	}
	m.propose.lastIsolatedProposal = now
	m.propose.isolatedBackoff = min(max(2*m.propose.isolatedBackoff, minIsolatedBackoff), maxIsolatedBackoff)
}

func (m *Machine) proposeRank() int {
	if !m.IsMember() {
		return joinWaitIntervals
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

// Propose computes the epoch after current, which is the platform's epoch. It
// returns false if nothing has to change or if current is not the epoch that
// this host has adopted. exists is false if the platform has no epoch.
func (m *Machine) Propose(now time.Time, current Epoch, exists bool) (Epoch, bool) {
	if !exists && m.epoch.Number == 0 {
		first := m.nextMembers(now, Epoch{})
		return Epoch{Number: 1, Members: first}, len(first) > 0
	}
	if !exists {
		current = m.epoch // the object was deleted; continue from the adopted epoch
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

// nextPrior returns the epochs whose members may still use shares when the epoch
// after current is adopted.
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
		if !m.shouldRemove(now, member) {
			members[member.Host] = member
		}
	}
	for _, p := range m.peers {
		if m.shouldJoin(now, p, current) {
			members[p.member.Host] = p.member
		}
	}
	self := m.opts.Self
	switch {
	case m.replaced: // keeps the successor, so that two processes do not replace each other repeatedly
	case m.leaving:
		delete(members, self.Host)
	default:
		members[self.Host] = self
	}
	out := make([]Member, 0, len(members))
	for _, member := range members {
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// shouldJoin reports whether the process should be added as a new host or
// replace the member of its host, as a later process or with a new address.
func (m *Machine) shouldJoin(now time.Time, p *peerState, current Epoch) bool {
	if p.leaving || now.Sub(p.lastContact) > 2*m.opts.Interval+m.opts.Margin {
		return false
	}
	member, known := current.Member(p.member.Host)
	if !known || member.Incarnation == p.member.Incarnation {
		return true
	}
	// The member's process counts as ended unless it made contact after the first
	// contact of this one.
	old := m.peers[member.ID()]
	return old == nil || old.lastContact.Before(p.firstContact)
}

// shouldRemove reports whether a member should be removed: it is leaving, or it
// is silent to this host and to every member that this host is in contact with.
// These must be a majority unless the platform's list confirms that the host no
// longer exists. Without the majority rule, two hosts that merely cannot reach
// each other would repeatedly remove one another.
func (m *Machine) shouldRemove(now time.Time, member Member) bool {
	if member.Host == m.opts.Self.Host {
		return false
	}
	if p := m.peers[member.ID()]; p != nil && p.leaving {
		return true
	}
	if !m.IsMember() || !m.isSilent(now, member.ID()) || !m.silentToReachableMembers(now, member.Host) {
		return false
	}
	return m.inContactWithMajority(now) || m.absent[member.Host]
}

// silentToReachableMembers reports whether all other members in contact with
// this host report the host as silent.
func (m *Machine) silentToReachableMembers(now time.Time, host string) bool {
	for _, other := range m.epoch.Members {
		id := other.ID()
		if other.Host == host || id == m.opts.Self.ID() || m.isSilent(now, id) {
			continue
		}
		if p := m.peers[id]; p == nil || !slices.Contains(p.silent, host) {
			return false
		}
	}
	return true
}

// inContactWithMajority reports whether this process and the members that are
// not silent to it are a majority of the epoch.
func (m *Machine) inContactWithMajority(now time.Time) bool {
	reachable := 0
	for _, member := range m.epoch.Members {
		if member.ID() == m.opts.Self.ID() || !m.isSilent(now, member.ID()) {
			reachable++
		}
	}
	return reachable > len(m.epoch.Members)/2
}
