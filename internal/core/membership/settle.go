package membership

import "time"

// settleState tracks the activation of the current generation. Epoch and
// revision are tracked separately, so that frequent configuration changes do not
// delay the activation of an epoch.
type settleState struct {
	epoch    activation
	revision activation
}

// activation is the state of the epoch or the revision of the generation.
type activation struct {
	done          bool
	majoritySince time.Time // when the required majorities had confirmed it
}

// update sets done once all members have confirmed, or once the required
// majorities have confirmed for the duration wait.
func (a *activation) update(now time.Time, all, majorities bool, wait time.Duration) {
	switch {
	case !majorities:
		a.majoritySince = time.Time{}
		return
	case a.majoritySince.IsZero():
		a.majoritySince = now
	}
	a.done = all || now.Sub(a.majoritySince) >= wait
}

// Settled reports whether the current generation is activated, that is, no
// process can hold its lease at an earlier one.
func (m *Machine) Settled() bool { return m.settle.epoch.done && m.settle.revision.done }

// EpochSettled reports whether no process can hold its lease at an earlier
// epoch, so that the epoch's Prior can be ignored.
func (m *Machine) EpochSettled() bool { return m.settle.epoch.done }

// updateSettled activates the generation when every old and new member has
// confirmed it, or when L plus the margin has passed since majorities did.
//
// A process at an earlier epoch holds its lease through a platform read from
// before the change, or through a majority of an epoch in Prior, which overlaps
// the majority that confirmed the new one. Likewise, a process at this epoch and
// an earlier revision holds it through such a read or a majority of this epoch.
// Either lease expires within L.
func (m *Machine) updateSettled(now time.Time) Output {
	if m.epoch.Number == 0 || m.Settled() || m.peerAhead() {
		return Output{}
	}
	wait := m.opts.Lease + m.opts.Margin
	before := m.settle.epoch.done
	if !before {
		all, majorities := m.epochConfirmed()
		m.settle.epoch.update(now, all, majorities, wait)
	}
	if m.settle.epoch.done {
		all, majority := confirmedBy(m.epoch.identities(), m.hasRevision, m.hasEnded)
		m.settle.revision.update(now, all, majority, wait)
	}
	return Output{
		NewlySettled: m.Settled(),
		ViewChanged:  m.Settled() || m.settle.epoch.done != before,
	}
}

// peerAhead reports whether a peer has a larger epoch or revision. That one may
// already be settled, without this process if it was not a member.
func (m *Machine) peerAhead() bool {
	for _, p := range m.peers {
		if !m.Generation().Covers(p.generation) {
			return true
		}
	}
	return false
}

// epochConfirmed reports whether all old and new members have confirmed the
// epoch, and whether a majority of each earlier epoch has.
func (m *Machine) epochConfirmed() (all, majorities bool) {
	all, _ = confirmedBy(m.epoch.identities(), m.hasEpoch, m.hasEnded)
	majorities = true
	for _, prior := range m.epoch.Prior {
		everyone, majority := confirmedBy(prior.Members, m.hasEpoch, m.hasEnded)
		all, majorities = all && everyone, majorities && majority
	}
	return all, majorities
}

// confirmedBy reports whether all processes or a majority of them have
// confirmed. A process that has ended may have held its lease until just before,
// so it counts towards the majority, which is followed by a wait, but not
// towards all.
func confirmedBy(ids []Identity, confirmed, hasEnded func(Identity) bool) (all, majority bool) {
	confirmedCount, counted := 0, 0
	for _, id := range ids {
		switch {
		case confirmed(id):
			confirmedCount++
			counted++
		case hasEnded(id):
			counted++
		}
	}
	return confirmedCount == len(ids), counted > len(ids)/2
}

func (m *Machine) hasEpoch(id Identity) bool {
	p := m.peers[id]
	return id == m.opts.Self.ID() || p != nil && p.generation.Epoch >= m.epoch.Number
}

func (m *Machine) hasRevision(id Identity) bool {
	p := m.peers[id]
	return id == m.opts.Self.ID() || p != nil && p.generation.Revision >= m.revision
}

// hasEnded reports whether the process counts as ended: another process of its
// host is a member of the current epoch, or the host is in the set of
// SetAbsentHosts.
func (m *Machine) hasEnded(id Identity) bool {
	if m.absent[id.Host] {
		return true
	}
	member, ok := m.epoch.Member(id.Host)
	return ok && member.Incarnation != id.Incarnation
}
