package balance

import "time"

const (
	ejectAfter     = 3 // consecutive failed requests
	ejectPolls     = 2 // consecutive failed polls
	ejectBase      = time.Second
	ejectMax       = 30 * time.Second
	ejectMaxDouble = 5
)

// ejection is whether a server is out of use after failures, and whether it
// is being probed.
type ejection struct {
	failures    int // consecutive failed requests
	pollFailed  int // consecutive failed polls
	ejected     bool
	until       time.Time // earliest probe
	times       int       // ejections without a success in between
	probeFlying bool
}

// allows reports whether a request may be sent. An ejected server gets one
// request at a time as a probe, once its time is over and a poll succeeded.
func (e *ejection) allows(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !now.Before(e.until) && e.pollFailed == 0 && !e.probeFlying
}

// sent notes a request; on an ejected server it is the probe.
func (e *ejection) sent() {
	if e.ejected {
		e.probeFlying = true
	}
}

// failed counts a failed request. It returns true when the server is ejected.
func (e *ejection) failed(now time.Time) bool {
	e.failures++
	probe := e.probeFlying
	e.probeFlying = false
	if e.ejected && !probe {
		return false
	}
	if probe || e.failures >= ejectAfter {
		e.eject(now)
		return true
	}
	return false
}

func (e *ejection) eject(now time.Time) {
	e.ejected = true
	e.until = now.Add(min(ejectBase<<min(e.times, ejectMaxDouble), ejectMax))
	e.times++
}

// succeeded returns the server to use. It reports true when it was ejected.
func (e *ejection) succeeded() bool {
	was := e.ejected
	e.failures, e.times = 0, 0
	e.ejected, e.probeFlying = false, false
	return was
}

// neutral ends a request that says nothing about the server, such as one
// whose caller went away.
func (e *ejection) neutral() { e.probeFlying = false }

// polled notes the result of a poll. It returns true when the server is ejected.
func (e *ejection) polled(now time.Time, ok bool) bool {
	if ok {
		e.pollFailed = 0
		return false
	}
	e.pollFailed++
	if e.ejected || e.pollFailed < ejectPolls {
		return false
	}
	e.eject(now)
	return true
}
