package membership

import (
	"cmp"
	"time"
)

// Options configures a Machine.
type Options struct {
	Self        Member
	Interval    time.Duration // between heartbeats, default 500ms
	Lease       time.Duration // duration L of the freshness lease, default 3s
	Margin      time.Duration // added to L before an increased share is used, default 200ms
	SilentAfter time.Duration // a member without contact for longer may be removed, default 3s
	Poll        time.Duration // between platform reads of a watcher, default 1s
}

// Default values of Options.
const (
	DefaultInterval    = 500 * time.Millisecond
	DefaultLease       = 3 * time.Second
	DefaultMargin      = 200 * time.Millisecond
	DefaultSilentAfter = 3 * time.Second
	DefaultPoll        = time.Second
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.SilentAfter = cmp.Or(o.SilentAfter, DefaultSilentAfter)
	o.Poll = cmp.Or(o.Poll, DefaultPoll)
	return o
}
