// Package lease implements a leader lease: the state machine of a role that one
// host of the fleet holds at a time, stored in one platform object. It performs
// no input or output: the caller reads and writes the object as Next requests.
//
// Guarantees, provided that all clocks run at nearly the same speed:
//   - A holder stops by its own clock before another process can take over: it
//     counts the duration from the start of its last successful write, while the
//     others count it from when they first read that write's version, and add
//     Slack.
//   - Each takeover has a larger epoch, which serves as the fencing number.
package lease

import (
	"cmp"
	"time"
)

// Default values of Options.
const (
	DefaultDuration     = 9 * time.Second
	DefaultRenew        = 3 * time.Second
	DefaultSlack        = time.Second
	DefaultOrderTimeout = 5 * time.Second
	DefaultRetry        = 500 * time.Millisecond
)

// Options configures a Role.
type Options struct {
	Self         string        // unique among all processes, for example host and incarnation
	Duration     time.Duration // of the lease, default 9s
	Renew        time.Duration // between renewals, default 3s
	Slack        time.Duration // added to Duration before a takeover, default 1s
	OrderTimeout time.Duration // how long an order of a former holder may still take effect, default 5s
	Retry        time.Duration // pause after a failed read or write, default 500ms
}

// Record is the content of the role's object.
type Record struct {
	Holder   string        `json:"holder"` // empty after the holder resigned
	Epoch    uint64        `json:"epoch"`
	Duration time.Duration `json:"duration_ns"`
}

// Action is what the caller must do next.
type Action int

const (
	Wait  Action = iota // do nothing until Step.At
	Read                // read the object and call OnRead
	Write               // write Step.Record if the object has Step.Version, and call OnWritten
)

// Step is the result of Next.
type Step struct {
	Action  Action
	At      time.Time // for Wait
	Record  Record    // for Write
	Version int64     // for Write; 0 creates the object
}

// Role is the state of one process that competes for a role. It is not safe for
// concurrent use.
type Role struct {
	opts Options

	observed      bool // the object or its absence was read
	record        Record
	version       int64
	versionSeenAt time.Time // when this version was first read
	nextRead      time.Time
	mustRead      bool // a call failed, so the object must be read before a write

	held           uint64    // epoch held, 0 when none
	leaseStart     time.Time // start of the last successful write
	takenOverAt    time.Time // when the write of the held epoch succeeded
	noFormerOrders bool      // there was no former holder whose orders may still take effect
	pending        Record
	writeStart     time.Time // start of the write in flight
	resigning      bool
}

// New returns a role that this process does not hold.
func New(opts Options) *Role {
	opts.Duration = cmp.Or(opts.Duration, DefaultDuration)
	opts.Renew = cmp.Or(opts.Renew, DefaultRenew)
	opts.Slack = cmp.Or(opts.Slack, DefaultSlack)
	opts.OrderTimeout = cmp.Or(opts.OrderTimeout, DefaultOrderTimeout)
	opts.Retry = cmp.Or(opts.Retry, DefaultRetry)
	return &Role{opts: opts}
}

// Held returns the epoch of the role if this process holds it at now.
func (r *Role) Held(now time.Time) (epoch uint64, ok bool) {
	if r.held == 0 || !now.Before(r.leaseStart.Add(r.opts.Duration)) {
		return 0, false
	}
	return r.held, true
}

// MaySendOrders reports whether orders may be sent at now. Servers that reject old
// fencing numbers may get orders as soon as the role is held. For other servers,
// OrderTimeout must also have passed since the takeover, so that no order of the
// former holder can still take effect.
func (r *Role) MaySendOrders(now time.Time, fencing bool) bool {
	if _, ok := r.Held(now); !ok {
		return false
	}
	return fencing || r.noFormerOrders || !now.Before(r.takenOverAt.Add(r.opts.OrderTimeout))
}

// Resign releases the role with the next write, so that another process can take
// over without waiting. The process must have stopped sending orders.
func (r *Role) Resign() { r.resigning = true }

// Next returns the action to take at now.
func (r *Role) Next(now time.Time) Step {
	if _, held := r.Held(now); r.held > 0 && !held {
		r.held = 0 // expired; it must be acquired again, with a larger epoch
	}
	switch {
	case now.Before(r.nextRead):
		return Step{Action: Wait, At: r.nextRead}
	case !r.observed || r.mustRead:
		return Step{Action: Read}
	case r.held > 0 && r.resigning:
		return r.write(now, Record{Epoch: r.held, Duration: r.opts.Duration})
	case r.held > 0 && now.Before(r.leaseStart.Add(r.opts.Renew)):
		return Step{Action: Wait, At: r.leaseStart.Add(r.opts.Renew)}
	case r.held > 0:
		return r.write(now, Record{Holder: r.opts.Self, Epoch: r.held, Duration: r.opts.Duration})
	case r.resigning:
		return Step{Action: Wait, At: now.Add(r.opts.Renew)}
	case r.mayTakeOver(now):
		return r.write(now, Record{Holder: r.opts.Self, Epoch: r.record.Epoch + 1, Duration: r.opts.Duration})
	}
	return Step{Action: Read}
}

func (r *Role) write(now time.Time, record Record) Step {
	r.pending, r.writeStart = record, now
	return Step{Action: Write, Record: record, Version: r.version}
}

// mayTakeOver reports whether the role has no holder, or this process has read the
// same version of the object for the lease's duration plus the slack.
func (r *Role) mayTakeOver(now time.Time) bool {
	if r.record.Holder == "" {
		return true
	}
	return !now.Before(r.versionSeenAt.Add(max(r.record.Duration, r.opts.Duration) + r.opts.Slack))
}

// OnRead processes a read that completed at now. version is 0 if the object
// does not exist.
func (r *Role) OnRead(now time.Time, record Record, version int64) {
	if !r.observed || version != r.version {
		r.versionSeenAt = now
	}
	if version != r.version && r.held > 0 && (record.Holder != r.opts.Self || record.Epoch != r.held) {
		r.held = 0 // another process took over
	}
	r.observed, r.mustRead = true, false
	r.record, r.version = record, version
	if r.held == 0 && !r.mayTakeOver(now) {
		r.nextRead = r.earlier(now.Add(r.opts.Renew), r.versionSeenAt.Add(max(r.record.Duration, r.opts.Duration)+r.opts.Slack))
	}
}

func (r *Role) earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// OnWritten records that the write requested by the last Next succeeded.
func (r *Role) OnWritten(now time.Time, version int64) {
	former := r.record
	r.record, r.version, r.versionSeenAt = r.pending, version, now
	if r.pending.Holder != r.opts.Self {
		r.held = 0
		return
	}
	r.leaseStart = r.writeStart
	if r.held != r.pending.Epoch {
		r.held, r.takenOverAt = r.pending.Epoch, now
		r.noFormerOrders = former.Epoch == 0 // the role had no holder before
	}
}

// OnFailure records that a read or write failed or that its outcome is unknown. The
// object is read again before the next write.
func (r *Role) OnFailure(now time.Time) {
	r.mustRead = true
	r.nextRead = now.Add(r.opts.Retry)
}
