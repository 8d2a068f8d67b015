package orders

import "time"

// RoleTimes are the durations of a role's lease. The zero value is not usable;
// start from DefaultRoleTimes.
type RoleTimes struct {
	Duration     time.Duration // the holder stops this long after the start of its last successful write
	Renew        time.Duration // interval of renewals, and of reads by candidates
	Margin       time.Duration // added to Duration before a takeover, for clocks of different speed
	OrderTimeout time.Duration // longest time that an order of an earlier holder can be on its way
}

// DefaultRoleTimes returns the times of the design page.
func DefaultRoleTimes() RoleTimes {
	return RoleTimes{Duration: 9 * time.Second, Renew: 3 * time.Second, Margin: time.Second, OrderTimeout: 5 * time.Second}
}

// failedRenewals shortens the interval after a failed write, so that one slow
// answer leaves time for several more attempts within the lease.
const failedRenewals = 3

// RoleRecord is the stored lease. Epoch is raised by each takeover and Renewal
// by each attempt to renew, so that no two writes store the same record: a
// candidate that sees an unchanged record may conclude that nobody renewed it.
type RoleRecord struct {
	Holder  string `json:"holder"` // host and incarnation, empty after a release
	Epoch   uint64 `json:"epoch"`
	Renewal uint64 `json:"renewal"`
}

// Role decides when a process may act as the holder of a role. Times must come
// from one monotonic clock. It is not safe for concurrent use.
//
// Guarantee: of two processes with clocks whose speeds differ by less than
// Margin/Duration, at most one is the holder at any time. The holder counts
// Duration from before its write was sent; another process counts
// Duration+Margin from when it first saw the record that the write stored.
type Role struct {
	self  string
	times RoleTimes

	seen      RoleRecord
	seenSince time.Time
	known     bool // a record, or its absence, was read

	renewal  uint64 // of the latest attempt
	epoch    uint64
	until    time.Time // end of the lease
	tookOver time.Time // end of the write that began this epoch
	nextRead time.Time
	nextTry  time.Time
}

// NewRole returns the role of a process. self must be unique over all
// incarnations of all hosts.
func NewRole(self string, times RoleTimes) *Role {
	return &Role{self: self, times: times}
}

// RoleAction is what the driver of a role does next.
type RoleAction int

// Actions of a role.
const (
	RoleWait  RoleAction = iota // nothing yet
	RoleRead                    // read the record and call Seen
	RoleWrite                   // replace the record Expected by Next, and call Written or Failed
)

// RoleStep is the result of Step.
type RoleStep struct {
	Action   RoleAction
	Expected RoleRecord // the record that the write replaces, see Allows
	Next     RoleRecord
}

// Allows reports whether the write may replace the stored record. A takeover
// replaces exactly the record that was seen. A renewal or release replaces any
// record of its own holder and epoch, because an earlier renewal whose answer
// was lost may have been stored.
func (s RoleStep) Allows(stored RoleRecord) bool {
	if s.Next.Epoch != s.Expected.Epoch {
		return stored == s.Expected
	}
	return stored.Holder == s.Expected.Holder && stored.Epoch == s.Expected.Epoch
}

// Held reports whether the process is the holder at now.
func (r *Role) Held(now time.Time) bool { return r.epoch > 0 && now.Before(r.until) }

// Epoch returns the fencing number of the lease that is or was held last.
func (r *Role) Epoch() uint64 { return r.epoch }

// MayOrder reports whether an order may be sent now. A server that ignores
// fencing numbers gets none before the orders of earlier holders have ended.
func (r *Role) MayOrder(now time.Time, fencing bool) bool {
	if !r.Held(now) {
		return false
	}
	return fencing || now.Sub(r.tookOver) >= r.times.OrderTimeout
}

// Step returns what to do at now. candidate says whether the process may take
// the role over; a holder renews regardless.
func (r *Role) Step(now time.Time, candidate bool) RoleStep {
	if r.Held(now) {
		if now.Before(r.nextTry) {
			return RoleStep{}
		}
		return r.write(now, RoleRecord{Holder: r.self, Epoch: r.epoch})
	}
	if !candidate {
		r.known = false // a record that was seen long ago proves nothing later
		return RoleStep{}
	}
	if r.known && r.free(now) && !now.Before(r.nextTry) {
		return r.write(now, RoleRecord{Holder: r.self, Epoch: r.seen.Epoch + 1})
	}
	if now.Before(r.nextRead) {
		return RoleStep{}
	}
	r.nextRead = now.Add(r.times.Renew)
	return RoleStep{Action: RoleRead}
}

// free reports whether the role may be taken over.
func (r *Role) free(now time.Time) bool {
	if r.seen.Holder == "" || r.seen.Holder == r.self {
		return true
	}
	return now.Sub(r.seenSince) >= r.times.Duration+r.times.Margin
}

func (r *Role) write(now time.Time, next RoleRecord) RoleStep {
	r.nextTry = now.Add(r.times.Renew)
	r.renewal++
	next.Renewal = r.renewal
	return RoleStep{Action: RoleWrite, Expected: r.seen, Next: next}
}

// Seen notes the record that a read returned; the zero record when there is none.
func (r *Role) Seen(now time.Time, record RoleRecord) {
	if !r.known || record != r.seen {
		r.seen, r.seenSince = record, now
	}
	r.known = true
}

// Written notes a successful write that was started at started and ended at now.
func (r *Role) Written(started, now time.Time, next RoleRecord) {
	r.seen, r.seenSince, r.known = next, now, true
	if next.Holder != r.self {
		r.until = time.Time{}
		return
	}
	if next.Epoch != r.epoch || !r.Held(now) {
		r.tookOver = now
	}
	r.epoch = next.Epoch
	r.until = started.Add(r.times.Duration)
}

// Failed notes a write whose outcome is unknown or that found another record.
// A lease that is held runs on to its end; the record is read again.
func (r *Role) Failed(now time.Time, conflict bool) {
	r.nextRead = now
	r.nextTry = now.Add(r.times.Renew / failedRenewals)
	if conflict {
		r.Lose()
	}
}

// Lose ends the lease at once: another holder exists.
func (r *Role) Lose() {
	r.until = time.Time{}
	r.known = false
}

// Release returns the write that gives the role up, so that another process
// takes over without waiting. ok is false when the role is not held.
func (r *Role) Release(now time.Time) (step RoleStep, ok bool) {
	if !r.Held(now) {
		return RoleStep{}, false
	}
	r.until = time.Time{}
	return r.write(now, RoleRecord{Epoch: r.epoch}), true
}
