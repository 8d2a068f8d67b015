// Package memory decides who may hold memory of a bounded amount, and who yields when
// it is short.
package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// slowAfter is the age from which a holder whose bytes still arrive may count as slow,
	// and the silence that makes it so.
	slowAfter = time.Second
	// minRate is the rate of arrival, in bytes per second, below which a holder is slow.
	// A body of 4 MiB at this rate takes two minutes, longer than any deadline.
	minRate = 32 << 10
	// ownerFactor and sizeFactor are how much more a holder that is not slow must hold
	// than the one that takes its place: its owner with all its holders, or it alone.
	// Holders of equal size keep what they have, so that some of them arrive whole.
	ownerFactor = 2
	sizeFactor  = 4
)

// Account is an amount of memory and what is taken of it. It is not safe for concurrent
// use.
type Account struct {
	limit    int64
	taken    int64
	arriving map[*Holder]struct{} // holders that may yield
}

// New returns an account with a limit in bytes.
func New(limit int64) *Account {
	return &Account{limit: limit, arriving: map[*Holder]struct{}{}}
}

// Taken returns the bytes that are taken.
func (a *Account) Taken() int64 { return a.taken }

// Holder is what one request or answer holds. The zero value holds nothing and never
// yields.
type Holder struct {
	owner    string
	bytes    int64
	arriving bool      // it may yield
	began    time.Time // to arrive
	heard    time.Time // when bytes arrived last
	arrived  int64
}

// Begin notes that a request of an owner begins to arrive. The holder may yield until
// Finish or Release.
func (a *Account) Begin(h *Holder, owner string, now time.Time) {
	h.owner, h.arriving, h.began, h.heard, h.arrived = owner, true, now, now, 0
	if h.bytes > 0 {
		a.arriving[h] = struct{}{}
	}
}

// Arrive notes that bytes of a request arrived.
func (h *Holder) Arrive(bytes int, now time.Time) {
	h.arrived += int64(bytes)
	h.heard = now
}

// Finish notes that a request has arrived whole: it does not yield any more.
func (a *Account) Finish(h *Holder) {
	h.arriving = false
	delete(a.arriving, h)
}

// Release gives back all that a holder takes.
func (a *Account) Release(h *Holder) {
	a.Finish(h)
	a.taken -= h.bytes
	h.bytes = 0
}

// Resize changes what a holder takes. If there is no room, others may yield: they take
// nothing any more and are returned, and the caller of Resize must end them. It reports
// false, and changes nothing, if the room does not suffice all the same.
func (a *Account) Resize(h *Holder, bytes int64, now time.Time) (yielded []*Holder, ok bool) {
	missing := a.taken + bytes - h.bytes - a.limit
	if bytes > h.bytes && missing > 0 {
		if yielded = a.yielding(h, bytes, missing, now); yielded == nil {
			return nil, false
		}
		for _, v := range yielded {
			a.Release(v)
		}
	}
	a.taken += bytes - h.bytes
	h.bytes = bytes
	if h.arriving && bytes > 0 {
		a.arriving[h] = struct{}{}
	}
	return yielded, true
}

// yielding returns the holders that yield the missing bytes to one that wants to take a
// number of bytes, nil if they don't suffice.
func (a *Account) yielding(h *Holder, bytes, missing int64, now time.Time) []*Holder {
	if bytes > a.limit || h.isSlow(now) {
		return nil
	}
	owners := map[string]int64{}
	for v := range a.arriving {
		owners[v.owner] += v.bytes
	}
	var candidates []*Holder
	for v := range a.arriving {
		richer := owners[v.owner] > ownerFactor*(owners[h.owner]+bytes-h.bytes)
		larger := v.bytes >= sizeFactor*bytes
		if v != h && (v.isSlow(now) || richer || larger) {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(x, y *Holder) int {
		return cmp.Or(
			-compareBools(x.isSlow(now), y.isSlow(now)), -cmp.Compare(owners[x.owner], owners[y.owner]),
			-cmp.Compare(x.bytes, y.bytes), x.began.Compare(y.began),
		)
	})
	for i, v := range candidates {
		if missing -= v.bytes; missing <= 0 {
			return candidates[:i+1]
		}
	}
	return nil
}

func (h *Holder) isSlow(now time.Time) bool {
	age := now.Sub(h.began)
	return h.arriving && age >= slowAfter &&
		(now.Sub(h.heard) >= slowAfter || float64(h.arrived) < minRate*age.Seconds())
}

func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case x:
		return 1
	}
	return -1
}
