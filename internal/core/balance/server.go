package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	serviceAlpha        = 0.1              // weight of a new sample in the service time
	serviceTimeRecovery = 30 * time.Second // time constant of the decay to the pool's mean without samples
	fixedCostTokens     = 64               // tokens; fixed cost of a request in the normalized latency
	historySize         = 128              // recorded changes of this host's in-flight requests per server
	// maxReportLag is the largest difference between a report's time and this
	// host's clock that counts as lag. A larger one means that a clock is wrong.
	maxReportLag = 5 * time.Second
	reportExpiry = 10 * time.Second
)

// server is the state of one backend server.
type server struct {
	cfg  Server
	hash uint64
	pool *pool

	inFlight    int
	history     [historySize]change
	changeCount int // changes recorded so far

	otherLoad     float64 // other hosts' requests, from the last report
	reportedAt    time.Time
	reportedSlots int

	meanServiceTime float64 // learned service time at one slot, s per token; 0 when unknown
	sampledAt       time.Time
	gradientLimit   gradientLimit
	ejection        ejection
	reportedWaiting int // waiting requests in the last report
}

// change is the number of this host's in-flight requests from a point in time on.
type change struct {
	at       time.Time
	inFlight int
}

func newServer(cfg Server) *server {
	s := &server{hash: xxhash.Sum64String(cfg.Name)}
	s.gradientLimit.reset(max(cfg.Concurrency, 1))
	return s
}

func (s *server) configure(cfg Server) {
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	cfg.Concurrency = max(cfg.Concurrency, 1)
	if s.cfg.Concurrency != 0 && s.cfg.Concurrency != cfg.Concurrency {
		s.gradientLimit.reset(cfg.Concurrency)
	}
	s.cfg = cfg
}

// available reports whether the server takes new work.
func (s *server) available(now time.Time) bool {
	return !s.cfg.Leaving && s.ejection.allows(now)
}

// recordInFlight adds the current number of in-flight requests to the history.
func (s *server) recordInFlight(now time.Time) {
	s.history[s.changeCount%historySize] = change{now, s.inFlight}
	s.changeCount++
}

// inFlightAt returns this host's in-flight requests at an earlier time, or the
// oldest recorded value.
func (s *server) inFlightAt(at time.Time) int {
	if s.changeCount == 0 {
		return 0
	}
	oldest := max(0, s.changeCount-historySize)
	for i := s.changeCount - 1; i >= oldest; i-- {
		if c := s.history[i%historySize]; !c.at.After(at) {
			return c.inFlight
		}
	}
	if oldest == 0 {
		return 0
	}
	return s.history[oldest%historySize].inFlight
}

// load estimates the requests at the server: those of other hosts from the last
// report, and this host's current ones.
func (s *server) load(now time.Time) float64 {
	return s.otherLoadAt(now) + float64(s.inFlight)
}

func (s *server) otherLoadAt(now time.Time) float64 {
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > reportExpiry {
		return 0
	}
	return s.otherLoad
}

// limit returns the learned limit of concurrent requests, at most the reported
// slots.
func (s *server) limit() int {
	limit := int(s.gradientLimit.limit)
	if s.reportedSlots > 0 {
		limit = min(limit, s.reportedSlots)
	}
	return max(limit, 1)
}

// expectedTime is the expected completion time of one more request, up to a
// factor that is common to all servers.
func (s *server) expectedTime(now time.Time) float64 {
	return s.serviceTime(now) * slowdown(s.load(now)+1, s.limit())
}

// slowdown returns a request's duration at a load relative to that on a full
// server: one half on an idle server, proportional to the load beyond the limit.
func slowdown(load float64, limit int) float64 {
	u := load / float64(limit)
	return max(u, (1+u)/2)
}

// serviceTime returns the learned service time. Without samples it drifts
// back to the pool's mean, so that a server that was slow once is tried again.
func (s *server) serviceTime(now time.Time) float64 {
	mean := 1 / s.cfg.Speed
	if s.pool.meanServiceTime > 0 {
		mean = s.pool.meanServiceTime / s.cfg.Speed
	}
	if s.meanServiceTime == 0 {
		return mean
	}
	age := now.Sub(s.sampledAt).Seconds() / serviceTimeRecovery.Seconds()
	return mean + (s.meanServiceTime-mean)*math.Exp(-max(age, 0))
}

// learnServiceTime updates the service times and the limit with the latency of a
// completed request.
func (s *server) learnServiceTime(now time.Time, perToken, loadAtSend float64) {
	sample := perToken / slowdown(loadAtSend, s.limit())
	if s.meanServiceTime == 0 {
		s.meanServiceTime = sample
	}
	s.meanServiceTime += serviceAlpha * (sample - s.meanServiceTime)
	s.sampledAt = now
	normal := sample * s.cfg.Speed
	if s.pool.meanServiceTime == 0 {
		s.pool.meanServiceTime = normal
	}
	s.pool.meanServiceTime += serviceAlpha * (normal - s.pool.meanServiceTime)
	s.gradientLimit.sample(now, perToken, loadAtSend)
}

// applyReport subtracts this host's requests at the time of the report, which
// leaves those of the other hosts.
func (s *server) applyReport(now time.Time, r Report) {
	at := now
	if lag := now.Sub(r.At); lag > 0 && lag < maxReportLag {
		at = r.At
	}
	own := s.inFlightAt(at)
	s.otherLoad = max(0, float64(r.Running+r.Waiting-own))
	s.reportedAt = now
	s.reportedSlots = r.Slots
	s.reportedWaiting = r.Waiting
	if s.atCapacity(r) {
		s.gradientLimit.cap(r.Running)
	}
}

// atCapacity reports whether the server runs as many requests as it can. A queue
// alone does not show it: an engine admits requests only between two steps, so
// that a short queue is normal at any load.
func (s *server) atCapacity(r Report) bool {
	return r.Waiting > 0 && r.Slots > 0 && r.Running >= r.Slots
}
