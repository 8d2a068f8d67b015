package slots

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
)

// speedSection is the digest section with the speeds of servers. It has no merge function:
// the ages would not grow while a section waits at a delegate. Delegates instead provide
// what they hear, with the age that it has by then.
const speedSection = "speed"

// speeds is the digest section: slowdown in percent and age in units of speedAgeUnit, by
// shortID. Ages are rounded up, so that a report that comes back through a delegate is not
// newer than itself.
type speeds map[uint32][2]uint16

const speedAgeUnit = 10 * time.Millisecond

// provideSpeeds returns the reports on servers' speeds that peers should hear of, nil if
// there are none.
func (s *Scheduler) provideSpeeds() any {
	passesOn := s.opts.Cluster.IsDelegate()
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.placer.SpeedReports(passesOn, time.Now())
	if len(reports) == 0 {
		return nil
	}
	out := make(speeds, len(reports))
	for _, r := range reports {
		out[shortID(r.Server)] = [2]uint16{uint16(r.Slowdown*100 + 0.5), uint16(r.Age/speedAgeUnit) + 1}
	}
	return out
}

// receiveSpeeds records the reports of a peer.
func (s *Scheduler) receiveSpeeds(u cluster.SectionUpdate) {
	reports := speeds{}
	if err := cbor.Unmarshal(u.Raw, &reports); err != nil {
		s.opts.Logger.Warn("cannot decode speeds of peer", "step", "decode digest", "peer", u.From.Name, "error", err)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for short, r := range reports {
		if id, ok := s.idsByShortID[short]; ok {
			s.placer.RecordPeerSpeed(placement.SpeedReport{Server: id, Slowdown: float64(r[0]) / 100, Age: time.Duration(r[1]) * speedAgeUnit}, now)
		}
	}
}
