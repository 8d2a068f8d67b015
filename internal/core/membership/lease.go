package membership

import (
	"slices"
	"time"
)

// leaseState is the state of the freshness lease.
type leaseState struct {
	held        bool
	confirmedAt time.Time // latest time at which no larger epoch or revision was known
	lapsed      bool      // the lease expired and has not been regained
	lapses      uint64

	platformConfirmedAt time.Time // the same, according to the platform alone
	pendingReadAt       time.Time // start of a platform read whose result is not adopted yet
	pendingRead         Generation
	hasPending          bool
}

// LeaseUntil returns the end of the freshness lease, or the zero time if it was
// never held. The lease is held strictly before this time.
func (m *Machine) LeaseUntil() time.Time {
	if m.lease.confirmedAt.IsZero() {
		return time.Time{}
	}
	return m.lease.confirmedAt.Add(m.opts.Lease)
}

// Lapses counts how often the lease was regained after it had expired. Code that
// keeps state which is valid only while the lease is held without a gap compares
// it with an earlier value, and discards state from before and during a gap.
func (m *Machine) Lapses() uint64 { return m.lease.lapses }

// OnPlatformRead processes a platform read of head and epoch that started at
// startedAt. The lease is extended from startedAt once this host has adopted the
// epoch and revision that were read.
func (m *Machine) OnPlatformRead(now, startedAt time.Time, read Generation) Output {
	out := m.expireLease(now)
	if startedAt.After(m.lease.pendingReadAt) {
		m.lease.pendingReadAt, m.lease.pendingRead, m.lease.hasPending = startedAt, read, true
	}
	out.merge(m.renewLease(now))
	return out
}

// expireLease records the expiry of the lease. Every step calls it before it may
// renew the lease, so that a gap is detected even after a pause of the process.
func (m *Machine) expireLease(now time.Time) Output {
	if !m.lease.held || now.Before(m.LeaseUntil()) {
		return Output{}
	}
	m.lease.held, m.lease.lapsed = false, true
	return Output{LeaseLapsed: true, ViewChanged: true}
}

// renewLease extends the lease from the latest confirmation by the platform or a
// majority.
func (m *Machine) renewLease(now time.Time) Output {
	if m.epoch.Number == 0 {
		return Output{}
	}
	if m.lease.hasPending && m.Generation().Covers(m.lease.pendingRead) {
		m.lease.hasPending = false
		m.lease.platformConfirmedAt = later(m.lease.platformConfirmedAt, m.lease.pendingReadAt)
	}
	m.lease.confirmedAt = later(m.lease.confirmedAt, later(m.lease.platformConfirmedAt, m.majorityConfirmedAt(now)))
	if m.lease.held || !now.Before(m.LeaseUntil()) {
		return Output{}
	}
	m.lease.held = true
	if m.lease.lapsed {
		m.lease.lapsed = false
		m.lease.lapses++
	}
	return Output{LeaseRegained: true, ViewChanged: true}
}

// majorityConfirmedAt returns the latest time at which a majority of the epoch's
// members had no larger epoch or revision, or the zero time.
func (m *Machine) majorityConfirmedAt(now time.Time) time.Time {
	if len(m.epoch.Members) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(m.epoch.Members))
	for _, member := range m.epoch.Members {
		switch p := m.peers[member.ID()]; {
		case member.ID() == m.opts.Self.ID():
			times = append(times, now)
		case p != nil:
			times = append(times, p.confirmedAt)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[len(times)/2]
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
