package placement

import "time"

// Finish counts the end of a request. took is the time from its start to its end
// and units is its amount of work; both are used for Success only.
func (p *Placement) Finish(id string, class Class, outcome Outcome, took time.Duration, units float64, now time.Time) {
	s, ok := p.servers[id]
	if !ok {
		return
	}
	s.addInFlight(class, -1)
	if class == Batch && outcome == Success {
		p.batchEnded(s.cfg.Service)
	}
	switch outcome {
	case Success:
		s.succeeded(took, units, now)
	case Rejected:
		s.probeInFlight = false
		if class == Batch {
			s.batchRejectedUntil = now.Add(rejectionBackoff)
			p.RecordConflict(id, now)
		} else {
			s.rejectedUntil = now.Add(rejectionBackoff)
		}
	case Failed:
		s.failed(now.Add(-took), now)
	case Neutral:
		s.probeInFlight = false
	}
}

// Answers records that a server has begun a sound answer. A probe is answered by that,
// long before its stream ends. It reports whether the server takes requests again.
func (p *Placement) Answers(id string) bool {
	s, ok := p.servers[id]
	if !ok || !s.probeInFlight {
		return false
	}
	s.probeInFlight, s.consecutiveFailures = false, 0
	return true
}

func (s *server) succeeded(took time.Duration, units float64, now time.Time) {
	s.consecutiveFailures, s.ejections, s.probeInFlight = 0, 0, false
	s.failureRate *= failureRateDecay
	// The speed at the moment counts when a server is chosen, and must not count again here.
	unit := took.Seconds() / max(units, 1) / s.speed.during(took, now)
	if s.timePerUnit == 0 {
		s.timePerUnit = unit
	}
	s.timePerUnit = unitTimeDecay*s.timePerUnit + (1-unitTimeDecay)*unit
}

// failed counts the failure of a request that was sent at the given time. A request
// that was sent before the server was ejected tells nothing about the time after.
func (s *server) failed(sent, now time.Time) {
	s.consecutiveFailures++
	s.probeInFlight = false
	s.failureRate = failureRateDecay*s.failureRate + (1 - failureRateDecay)
	if s.consecutiveFailures >= failuresToEject && !sent.Before(s.ejectedAt) {
		s.ejectedAt = now
		s.ejectedUntil = now.Add(min(baseEjectionTime<<min(s.ejections, 8), maxEjectionTime))
		s.ejections++
	}
}
