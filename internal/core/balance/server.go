package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	serviceAlpha   = 0.1              // weight of a new service time sample
	serviceRecover = 30 * time.Second // time constant of the return to the pool's mean without samples
	costFloor      = 64               // tokens; fixed cost of a request in the normalized latency
	historySize    = 128              // remembered changes of own in-flight work per server
	// maxTrustedLag is the largest difference between a report's clock and
	// this host's clock that is taken for lag. A larger one is a wrong clock.
	maxTrustedLag = 5 * time.Second
	reportExpiry  = 10 * time.Second
)

// server is what is known of one backend server.
type server struct {
	cfg  Server
	hash uint64
	pool *pool

	inFlight int
	history  [historySize]change
	changes  int // number of changes recorded so far

	others   float64 // load by other hosts, from the last report
	reported time.Time
	slots    int

	base      float64 // learned service time at one slot, s per token; 0 unknown
	sampled   time.Time
	knee      knee
	ejection  ejection
	waitingAt int // waiting requests in the last report
}

// change is the own in-flight work from a point in time on.
type change struct {
	at       time.Time
	inFlight int
}

func newServer(cfg Server) *server {
	s := &server{hash: xxhash.Sum64String(cfg.Name)}
	s.knee.reset(max(cfg.Concurrency, 1))
	return s
}

func (s *server) configure(cfg Server) {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	cfg.Concurrency = max(cfg.Concurrency, 1)
	if s.cfg.Concurrency != 0 && s.cfg.Concurrency != cfg.Concurrency {
		s.knee.reset(cfg.Concurrency)
	}
	s.cfg = cfg
}

// available reports whether the server takes new work.
func (s *server) available(now time.Time) bool {
	return !s.cfg.Leaving && s.ejection.allows(now)
}

// record notes a change of the own in-flight work.
func (s *server) record(now time.Time) {
	s.history[s.changes%historySize] = change{now, s.inFlight}
	s.changes++
}

// inFlightAt returns the own in-flight work at an earlier time, or the oldest
// known value.
func (s *server) inFlightAt(at time.Time) int {
	if s.changes == 0 {
		return 0
	}
	oldest := max(0, s.changes-historySize)
	for i := s.changes - 1; i >= oldest; i-- {
		if c := s.history[i%historySize]; !c.at.After(at) {
			return c.inFlight
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historySize].inFlight
}

// load is the estimated work at the server: that of other hosts from the last
// report, and the own work now.
func (s *server) load(now time.Time) float64 {
	return s.othersAt(now) + float64(s.inFlight)
}

func (s *server) othersAt(now time.Time) float64 {
	if s.reported.IsZero() || now.Sub(s.reported) > reportExpiry {
		return 0
	}
	return s.others
}

// limit is the learned number of requests that the server runs well at once.
func (s *server) limit() int {
	limit := int(s.knee.limit)
	if s.slots > 0 {
		limit = min(limit, s.slots)
	}
	return max(limit, 1)
}

// expected is the expected completion time of one more request, up to a
// factor that is common to all servers.
func (s *server) expected(now time.Time) float64 {
	return s.serviceTime(now) * crowding(s.load(now)+1, s.limit())
}

// crowding is the slowdown of requests at a load relative to a full server:
// one half on an idle server, proportional to the load beyond the limit.
func crowding(load float64, limit int) float64 {
	u := load / float64(limit)
	return max(u, (1+u)/2)
}

// serviceTime returns the learned service time. Without samples it drifts
// back to the pool's mean, so that a server once measured as slow is tried
// again.
func (s *server) serviceTime(now time.Time) float64 {
	mean := 1 / s.cfg.Speed
	if s.pool.base > 0 {
		mean = s.pool.base / s.cfg.Speed
	}
	if s.base == 0 {
		return mean
	}
	age := now.Sub(s.sampled).Seconds() / serviceRecover.Seconds()
	return mean + (s.base-mean)*math.Exp(-max(age, 0))
}

// learn takes the latency of a completed request into account.
func (s *server) learn(now time.Time, perToken, loadAtSend float64) {
	sample := perToken / crowding(loadAtSend, s.limit())
	if s.base == 0 {
		s.base = sample
	}
	s.base += serviceAlpha * (sample - s.base)
	s.sampled = now
	normal := sample * s.cfg.Speed
	if s.pool.base == 0 {
		s.pool.base = normal
	}
	s.pool.base += serviceAlpha * (normal - s.pool.base)
	s.knee.sample(now, perToken, loadAtSend)
}

// takeReport corrects a lagging report by the own work at the time of the
// report, which leaves the work of the other hosts.
func (s *server) takeReport(now time.Time, r Report) {
	at := now
	if lag := now.Sub(r.At); lag > 0 && lag < maxTrustedLag {
		at = r.At
	}
	own := s.inFlightAt(at)
	s.others = max(0, float64(r.Running+r.Waiting-own))
	s.reported = now
	s.slots = r.Slots
	s.waitingAt = r.Waiting
	if s.full(r) {
		s.knee.cap(r.Running)
	}
}

// full reports whether a report shows that the server runs no more requests
// than it does now. A queue alone does not show it: an engine admits requests
// only between two steps, so that a short queue is normal at any load.
func (s *server) full(r Report) bool {
	return r.Waiting > 0 && r.Slots > 0 && r.Running >= r.Slots
}
