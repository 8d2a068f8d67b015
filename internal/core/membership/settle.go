package membership

import "time"

// settleState tracks the activation of the current generation. Epoch and
// revision are tracked apart, so that frequent edits do not delay the
// activation of an epoch.
type settleState struct {
	epoch    activation
	revision activation
}

// activation is the state of one part of the generation.
type activation struct {
	done          bool
	majoritySince time.Time // since when the needed majorities have confirmed it
}

// advance activates when all members have confirmed, or wait after majorities have.
func (a *activation) advance(now time.Time, all, majorities bool, wait time.Duration) {
	switch {
	case !majorities:
		a.majoritySince = time.Time{}
		return
	case a.majoritySince.IsZero():
		a.majoritySince = now
	}
	a.done = all || now.Sub(a.majoritySince) >= wait
}

// Settled reports whether the current generation is activated: no process can
// hold its lease at an earlier one.
func (m *Machine) Settled() bool { return m.settle.epoch.done && m.settle.revision.done }

// EpochSettled reports whether no process can hold its lease at an earlier
// epoch, so that the epoch's Prior no longer matters.
func (m *Machine) EpochSettled() bool { return m.settle.epoch.done }

// evaluateSettled activates the generation when every old and new member has
// confirmed it, or when L plus the margin has passed since majorities did.
//
// A process at an earlier epoch holds its lease either by a platform read from
// before the change, or by a majority of an epoch in Prior, which intersects
// the confirming one. A process at this epoch and an earlier revision holds it
// likewise by a majority of this epoch. So both lapse within L.
func (m *Machine) evaluateSettled(now time.Time) Output {
	if m.epoch.Number == 0 || m.Settled() || m.knowsLarger() {
		return Output{}
	}
	wait := m.opts.Lease + m.opts.Margin
	before := m.settle.epoch.done
	if !before {
		all, majorities := m.epochConfirmed()
		m.settle.epoch.advance(now, all, majorities, wait)
	}
	if m.settle.epoch.done {
		all, majority := confirmedBy(m.epoch.identities(), m.hasRevision, m.superseded)
		m.settle.revision.advance(now, all, majority, wait)
	}
	return Output{
		NewlySettled: m.Settled(),
		ViewChanged:  m.Settled() || m.settle.epoch.done != before,
	}
}

// knowsLarger reports whether some process has a larger epoch or revision. It
// may be settled there already, without this process if that was no member.
func (m *Machine) knowsLarger() bool {
	for _, p := range m.peers {
		if !m.Generation().Covers(p.gen) {
			return true
		}
	}
	return false
}

// epochConfirmed reports whether all old and new members have confirmed the
// epoch, and whether a majority of each earlier epoch has.
func (m *Machine) epochConfirmed() (all, majorities bool) {
	all, _ = confirmedBy(m.epoch.identities(), m.hasEpoch, m.superseded)
	majorities = true
	for _, prior := range m.epoch.Prior {
		everyone, majority := confirmedBy(prior.Members, m.hasEpoch, m.superseded)
		all, majorities = all && everyone, majorities && majority
	}
	return all, majorities
}

// confirmedBy counts the processes for which confirmed holds. A superseded
// process ended, but may have held its lease a moment before, so it counts
// towards the majority, which is followed by a wait, and not towards all.
func confirmedBy(ids []Identity, confirmed, superseded func(Identity) bool) (all, majority bool) {
	exact, counted := 0, 0
	for _, id := range ids {
		switch {
		case confirmed(id):
			exact++
			counted++
		case superseded(id):
			counted++
		}
	}
	return exact == len(ids), counted > len(ids)/2
}

func (m *Machine) hasEpoch(id Identity) bool {
	p := m.peers[id]
	return id == m.opts.Self.ID() || p != nil && p.gen.Epoch >= m.epoch.Number
}

func (m *Machine) hasRevision(id Identity) bool {
	p := m.peers[id]
	return id == m.opts.Self.ID() || p != nil && p.gen.Revision >= m.revision
}

// superseded reports whether the process has ended: the current epoch holds
// another process of its host, or the host is gone.
func (m *Machine) superseded(id Identity) bool {
	if m.gone[id.Host] {
		return true
	}
	member, ok := m.epoch.Member(id.Host)
	return ok && member.Incarnation != id.Incarnation
}
