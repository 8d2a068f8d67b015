package balance

import "time"

const (
	failuresToEject      = 3 // consecutive
	failedPollsToEject   = 2 // consecutive
	baseEjectionTime     = time.Second
	maxEjectionTime      = 30 * time.Second
	maxEjectionDoublings = 5
)

// ejection tracks a server's failures, whether they eject it, and whether it is
// being probed.
type ejection struct {
	consecutiveFailures    int // of requests
	consecutiveFailedPolls int
	ejected                bool
	probeFrom              time.Time // earliest time of a probe
	ejections              int       // since the last success
	probeInFlight          bool
}

// allows reports whether a request may be sent. An ejected server gets one
// request at a time as a probe, once the ejection time is over and a poll
// succeeded.
func (e *ejection) allows(now time.Time) bool {
	if !e.ejected {
		return true
	}
	return !now.Before(e.probeFrom) && e.consecutiveFailedPolls == 0 && !e.probeInFlight
}

// sent records a request; at an ejected server it is the probe.
func (e *ejection) sent() {
	if e.ejected {
		e.probeInFlight = true
	}
}

// failed counts a failed request. It returns true when the server is ejected.
func (e *ejection) failed(now time.Time) bool {
	e.consecutiveFailures++
	probe := e.probeInFlight
	e.probeInFlight = false
	if e.ejected && !probe {
		return false
	}
	if probe || e.consecutiveFailures >= failuresToEject {
		e.eject(now)
		return true
	}
	return false
}

func (e *ejection) eject(now time.Time) {
	e.ejected = true
	e.probeFrom = now.Add(min(baseEjectionTime<<min(e.ejections, maxEjectionDoublings), maxEjectionTime))
	e.ejections++
}

// succeeded restores an ejected server. It reports whether it was ejected.
func (e *ejection) succeeded() bool {
	was := e.ejected
	e.consecutiveFailures, e.ejections = 0, 0
	e.ejected, e.probeInFlight = false, false
	return was
}

// neutral records the end of a request whose outcome is not due to the server,
// such as one whose caller disconnected.
func (e *ejection) neutral() { e.probeInFlight = false }

// polled records the result of a poll. It returns true when the server is ejected.
func (e *ejection) polled(now time.Time, ok bool) bool {
	if ok {
		e.consecutiveFailedPolls = 0
		return false
	}
	e.consecutiveFailedPolls++
	if e.ejected || e.consecutiveFailedPolls < failedPollsToEject {
		return false
	}
	e.eject(now)
	return true
}
