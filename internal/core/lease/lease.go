// Package lease is the state machine of a role that one host of the fleet
// holds at a time, kept in one platform object. It performs no input or
// output: the driver reads and writes the object as told by Next.
//
// Guarantees, given clocks that run at nearly the same speed:
//   - A holder stops by its own clock before another can take over: it counts
//     the duration from the start of its last successful write, the others
//     from when they first saw that write's version, and add a slack.
//   - Each takeover has a larger epoch, which serves as fencing number.
package lease

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultDuration     = 9 * time.Second
	DefaultRenew        = 3 * time.Second
	DefaultSlack        = time.Second
	DefaultOrderTimeout = 5 * time.Second
	DefaultRetry        = 500 * time.Millisecond
)

// Options configures a Role.
type Options struct {
	Self         string        // unique over all processes, for example host and incarnation
	Duration     time.Duration // of the lease, default 9s
	Renew        time.Duration // between renewals, default 3s
	Slack        time.Duration // added to Duration before a takeover, default 1s
	OrderTimeout time.Duration // longest a former holder's order may still take effect, default 5s
	Retry        time.Duration // pause after a failed read or write, default 500ms
}

// Record is the data of the role's object.
type Record struct {
	Holder   string        `json:"holder"` // empty when the role was given up
	Epoch    uint64        `json:"epoch"`
	Duration time.Duration `json:"duration_ns"`
}

// Action is what the driver must do next.
type Action int

// Actions.
const (
	Wait  Action = iota // nothing until the returned time
	Read                // read the object and call Observed
	Write               // write the record if the object has the version, and call Written
)

// Step is the result of Next.
type Step struct {
	Action  Action
	At      time.Time // for Wait
	Record  Record    // for Write
	Version int64     // for Write; 0 creates the object
}

// Role is one process's part in a role. It is not safe for concurrent use.
type Role struct {
	opts Options

	seen      bool // an object or its absence was observed
	record    Record
	version   int64
	firstSeen time.Time // when this version was first observed
	nextRead  time.Time
	unsure    bool // a write's answer was lost, so the object must be read first

	held     uint64    // epoch held, 0 when none
	from     time.Time // start of the last successful write
	takeover time.Time // when the held epoch began here, by the write's answer
	waited   bool      // the former holder's orders need not be waited for
	pending  Record
	started  time.Time // of the write under way
	resign   bool
}

// New returns a role that is not held.
func New(opts Options) *Role {
	opts.Duration = cmp.Or(opts.Duration, DefaultDuration)
	opts.Renew = cmp.Or(opts.Renew, DefaultRenew)
	opts.Slack = cmp.Or(opts.Slack, DefaultSlack)
	opts.OrderTimeout = cmp.Or(opts.OrderTimeout, DefaultOrderTimeout)
	opts.Retry = cmp.Or(opts.Retry, DefaultRetry)
	return &Role{opts: opts}
}

// Held returns the epoch of the role when this process holds it at now.
func (r *Role) Held(now time.Time) (epoch uint64, ok bool) {
	if r.held == 0 || !now.Before(r.from.Add(r.opts.Duration)) {
		return 0, false
	}
	return r.held, true
}

// MayOrder reports whether orders may be sent at now. Servers that refuse old
// fencing numbers may be ordered as soon as the role is held; for the others
// the order timeout of the former holder must have passed as well.
func (r *Role) MayOrder(now time.Time, fencing bool) bool {
	if _, ok := r.Held(now); !ok {
		return false
	}
	return fencing || r.waited || !now.Before(r.takeover.Add(r.opts.OrderTimeout))
}

// Resign gives the role up with the next write, so that another process takes
// over without waiting. The process must have stopped its orders.
func (r *Role) Resign() { r.resign = true }

// Next returns what to do at now.
func (r *Role) Next(now time.Time) Step {
	if _, held := r.Held(now); r.held > 0 && !held {
		r.held = 0 // lapsed: it must be taken over again, with a larger epoch
	}
	switch {
	case now.Before(r.nextRead):
		return Step{Action: Wait, At: r.nextRead}
	case !r.seen || r.unsure:
		return Step{Action: Read}
	case r.held > 0 && r.resign:
		return r.write(now, Record{Epoch: r.held, Duration: r.opts.Duration})
	case r.held > 0 && now.Before(r.from.Add(r.opts.Renew)):
		return Step{Action: Wait, At: r.from.Add(r.opts.Renew)}
	case r.held > 0:
		return r.write(now, Record{Holder: r.opts.Self, Epoch: r.held, Duration: r.opts.Duration})
	case r.resign:
		return Step{Action: Wait, At: now.Add(r.opts.Renew)}
	case r.mayTakeOver(now):
		return r.write(now, Record{Holder: r.opts.Self, Epoch: r.record.Epoch + 1, Duration: r.opts.Duration})
	}
	return Step{Action: Read}
}

func (r *Role) write(now time.Time, record Record) Step {
	r.pending, r.started = record, now
	return Step{Action: Write, Record: record, Version: r.version}
}

// mayTakeOver reports whether the role is free, or its holder had this process
// see the same version for the lease's duration and the slack.
func (r *Role) mayTakeOver(now time.Time) bool {
	if r.record.Holder == "" {
		return true
	}
	return !now.Before(r.firstSeen.Add(max(r.record.Duration, r.opts.Duration) + r.opts.Slack))
}

// Observed takes in a read that was answered at now. version is 0 when the
// object does not exist.
func (r *Role) Observed(now time.Time, record Record, version int64) {
	if !r.seen || version != r.version {
		r.firstSeen = now
	}
	if version != r.version && r.held > 0 && (record.Holder != r.opts.Self || record.Epoch != r.held) {
		r.held = 0 // another process took over
	}
	r.seen, r.unsure = true, false
	r.record, r.version = record, version
	if r.held == 0 && !r.mayTakeOver(now) {
		r.nextRead = r.earlier(now.Add(r.opts.Renew), r.firstSeen.Add(max(r.record.Duration, r.opts.Duration)+r.opts.Slack))
	}
}

func (r *Role) earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Written takes in that the write of the last Next succeeded.
func (r *Role) Written(now time.Time, version int64) {
	former := r.record
	r.record, r.version, r.firstSeen = r.pending, version, now
	if r.pending.Holder != r.opts.Self {
		r.held = 0
		return
	}
	r.from = r.started
	if r.held != r.pending.Epoch {
		r.held, r.takeover = r.pending.Epoch, now
		r.waited = former.Epoch == 0 // nobody held it before
	}
}

// Failed takes in that a read or write failed, or that its outcome is not
// known. The object is read again before it is written.
func (r *Role) Failed(now time.Time) {
	r.unsure = true
	r.nextRead = now.Add(r.opts.Retry)
}
