package membership

import (
	"slices"
	"time"
)

// leaseState is the freshness lease.
type leaseState struct {
	held   bool
	from   time.Time // the latest moment at which nothing larger was known
	ended  bool      // the lease ended and was not regained since
	lapses uint64

	platform    time.Time // the same, by the platform alone
	pending     time.Time // a platform read that showed something larger
	pendingGen  Generation
	havePending bool
}

// LeaseUntil returns the end of the freshness lease, the zero time when it was
// never held. The lease holds strictly before this time.
func (m *Machine) LeaseUntil() time.Time {
	if m.lease.from.IsZero() {
		return time.Time{}
	}
	return m.lease.from.Add(m.opts.Lease)
}

// Lapses counts how often the lease was regained after it had ended. Whoever
// keeps state that is valid only while the lease holds without a gap compares
// it with a former value, and drops what arose before and during the gap.
func (m *Machine) Lapses() uint64 { return m.lease.lapses }

// OnPlatform takes in a read of head and epoch that began at askedAt. The
// lease is renewed from askedAt once this host has adopted what was read.
func (m *Machine) OnPlatform(now, askedAt time.Time, read Generation) Output {
	out := m.observeLease(now)
	if askedAt.After(m.lease.pending) {
		m.lease.pending, m.lease.pendingGen, m.lease.havePending = askedAt, read, true
	}
	out.merge(m.renew(now))
	return out
}

// observeLease notes the end of the lease. Every step calls it before it may
// renew, so that a gap is seen even after a pause.
func (m *Machine) observeLease(now time.Time) Output {
	if !m.lease.held || now.Before(m.LeaseUntil()) {
		return Output{}
	}
	m.lease.held, m.lease.ended = false, true
	return Output{LeaseLapsed: true, ViewChanged: true}
}

// renew extends the lease by what the platform and the majority confirmed.
func (m *Machine) renew(now time.Time) Output {
	if m.epoch.Number == 0 {
		return Output{}
	}
	if m.lease.havePending && m.Generation().Covers(m.lease.pendingGen) {
		m.lease.havePending = false
		m.lease.platform = later(m.lease.platform, m.lease.pending)
	}
	m.lease.from = later(m.lease.from, later(m.lease.platform, m.majorityConfirmed(now)))
	if m.lease.held || !now.Before(m.LeaseUntil()) {
		return Output{}
	}
	m.lease.held = true
	if m.lease.ended {
		m.lease.ended = false
		m.lease.lapses++
	}
	return Output{LeaseRegained: true, ViewChanged: true}
}

// majorityConfirmed returns the latest time since which a majority of the
// epoch's members is known to have had nothing larger, or the zero time.
func (m *Machine) majorityConfirmed(now time.Time) time.Time {
	if len(m.epoch.Members) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(m.epoch.Members))
	for _, member := range m.epoch.Members {
		switch p := m.peers[member.ID()]; {
		case member.ID() == m.opts.Self.ID():
			times = append(times, now)
		case p != nil:
			times = append(times, p.confirmed)
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
