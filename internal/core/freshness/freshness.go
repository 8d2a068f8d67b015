// Package freshness tracks when a host's copy of a collection was last known to
// be current. All instants are readings of one host's boot clock, which also
// advances while the machine is suspended; hosts exchange ages, but not instants.
// The package performs no input or output.
package freshness

import "time"

// Instant is a reading of a host's boot clock.
type Instant time.Duration

// Sub returns the time from o to i.
func (i Instant) Sub(o Instant) time.Duration { return time.Duration(i - o) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Tracker holds the last instant at which a copy was known to be current. The zero
// Tracker was never confirmed.
type Tracker struct {
	confirmedAt Instant
	confirmed   bool
}

// Confirm records that a request sent at the given instant found nothing newer
// than the copy. The copy is dated from the start of the request, because a
// change may have been committed while the response was in transit. If a peer
// reports an age for an equal copy, pass the send time of this host's last
// message that the peer had received before the report, minus that age.
func (t *Tracker) Confirm(sent Instant) {
	if !t.confirmed || sent > t.confirmedAt {
		t.confirmedAt, t.confirmed = sent, true
	}
}

// Age returns the time since the copy was last known to be current. It returns
// false if the copy was never confirmed.
func (t *Tracker) Age(now Instant) (time.Duration, bool) {
	if !t.confirmed {
		return 0, false
	}
	return max(now.Sub(t.confirmedAt), 0), true
}

// Within reports whether the copy was confirmed and its age is at most limit.
func (t *Tracker) Within(now Instant, limit time.Duration) bool {
	age, ok := t.Age(now)
	return ok && age <= limit
}
