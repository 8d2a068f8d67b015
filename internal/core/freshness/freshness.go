// Package freshness tracks until when a host's copy of a collection is known
// to have been the newest. All instants are readings of one host's boot clock,
// which also counts the time in which the machine was suspended; ages travel
// between hosts, instants do not. The package performs no I/O.
package freshness

import "time"

// Instant is a reading of a host's boot clock.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Mark is the last instant at which a copy was certainly the newest. The zero
// Mark was never confirmed.
type Mark struct {
	at    Instant
	known bool
}

// Confirm notes that a question asked at the given instant was answered with
// nothing newer. Only the start of the question counts: a change may have come
// while the answer was on its way. A peer's statement that its equal copy had
// some age counts as of so long before the last question of this host that the
// peer had received when it made the statement.
func (m *Mark) Confirm(asked Instant) {
	if !m.known || asked > m.at {
		m.at, m.known = asked, true
	}
}

// Age returns the time since the copy was last known to be the newest, and
// false when it never was.
func (m *Mark) Age(now Instant) (time.Duration, bool) {
	if !m.known {
		return 0, false
	}
	return max(now.Sub(m.at), 0), true
}

// Within reports whether the copy's age is at most limit.
func (m *Mark) Within(now Instant, limit time.Duration) bool {
	age, ok := m.Age(now)
	return ok && age <= limit
}
