package hedge

import "time"

const (
	// slowTime is the time in which slow requests count as slow at once.
	slowTime   = time.Second
	slowSlice  = 250 * time.Millisecond
	slowSlices = int(slowTime / slowSlice)
	// lastOutcomes is how many of a host's last requests are judged by themselves. A host
	// with many requests sees a shared cause in these long before its part in slowTime is
	// large.
	lastOutcomes = 20
	// minSlowElsewhere is the number of slow requests at other servers below which their
	// part says nothing.
	minSlowElsewhere = 3
	// sharedCausePart is the least part of a service's requests, slow at other servers, that
	// is taken for a shared cause; usualSlowFactor applies where more are slow at all times.
	sharedCausePart = 0.1
	usualSlowFactor = 3
	// maxSlowServers bounds the servers with slow requests that are counted one by one. More
	// of them are a shared cause anyway.
	maxSlowServers = 64
)

// slowness counts the requests of one service that were answered or became slow lately.
type slowness struct {
	slices [slowSlices]slowCounts
	newest int64
	last   [lastOutcomes]outcome // a ring
	next   int
}

// outcome is that of one request: answered, or overdue at a server.
type outcome struct {
	at     time.Duration
	known  bool
	slow   bool
	server uint32
}

func (s *slowness) record(o outcome) {
	s.last[s.next] = o
	s.next = (s.next + 1) % lastOutcomes
}

// lastReport returns the counts of the last requests within slowTime.
func (s *slowness) lastReport(at time.Duration) (out ServiceReport) {
	for _, o := range s.last {
		if !o.known || at-o.at > slowTime {
			continue
		}
		one := ServiceReport{Due: 1}
		if o.slow {
			one.Slow = map[uint32]int{o.server: 1}
		}
		out.add(one, 1)
	}
	return out
}

// slowCounts counts requests whose answer has begun, or is overdue.
type slowCounts struct {
	due  int
	slow map[uint32]int // those that are overdue, by server
}

// advance drops old counts and returns the newest slice.
func (s *slowness) advance(at time.Duration) *slowCounts {
	number := int64(at / slowSlice)
	for n := max(s.newest, number-int64(slowSlices)) + 1; n <= number; n++ {
		s.slices[n%int64(slowSlices)] = slowCounts{}
	}
	s.newest = max(s.newest, number)
	return &s.slices[s.newest%int64(slowSlices)]
}

func (s *slowness) answered(at time.Duration) {
	s.advance(at).due++
	s.record(outcome{at: at, known: true})
}

func (s *slowness) overdue(server uint32, at time.Duration) {
	s.record(outcome{at, true, true, server})
	newest := s.advance(at)
	newest.due++
	if newest.slow == nil {
		newest.slow = map[uint32]int{}
	}
	if _, ok := newest.slow[server]; ok || len(newest.slow) < maxSlowServers {
		newest.slow[server]++
	}
}

// report returns the counts of the last slowTime.
func (s *slowness) report(at time.Duration) ServiceReport {
	s.advance(at)
	out := ServiceReport{}
	for i := range s.slices {
		out.add(ServiceReport{s.slices[i].due, s.slices[i].slow}, 1)
	}
	return out
}

// sharedCause reports whether so many requests are slow at other servers than the given
// one that its slowness is probably not its own. usual is the part of requests that is slow
// at all times.
func (r ServiceReport) sharedCause(server uint32, usual float64) bool {
	elsewhere := 0
	for id, n := range r.Slow {
		if id != server {
			elsewhere += n
		}
	}
	return elsewhere >= minSlowElsewhere && float64(elsewhere) > max(sharedCausePart, usualSlowFactor*usual)*float64(r.Due)
}
