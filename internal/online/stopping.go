package online

import (
	"sync"
	"time"
)

const (
	// keptDurations is how many answers of a route are remembered.
	keptDurations = 32
	// stopMargin is added to the time that an answer is expected to take before the end
	// of a host that stops.
	stopMargin = 250 * time.Millisecond
)

// durations holds how long the last complete answers of each route took, from the first
// send to a server. The zero value is ready to use.
type durations struct {
	mu      sync.Mutex
	byRoute map[string]*lastDurations
}

// lastDurations is a ring of the last durations.
type lastDurations struct {
	list [keptDurations]time.Duration
	next int
	n    int
}

func (d *durations) add(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.byRoute[route]
	if !ok {
		last = &lastDurations{}
		if d.byRoute == nil {
			d.byRoute = map[string]*lastDurations{}
		}
		d.byRoute[route] = last
	}
	last.list[last.next] = took
	last.next = (last.next + 1) % keptDurations
	last.n = min(last.n+1, keptDurations)
}

// longest returns the longest of the last durations of a route, and false if there is
// none.
func (d *durations) longest(route string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last, ok := d.byRoute[route]
	if !ok {
		return 0, false
	}
	longest := time.Duration(0)
	for _, took := range last.list[:last.n] {
		longest = max(longest, took)
	}
	return longest, true
}

// StopAt tells the service that the host stops and ends its calls at an instant. From
// then on, a call whose answer can't be expected by that time is refused before it is
// sent to a server, so that its caller goes to another host.
func (s *Service) StopAt(at time.Time) { s.stopAt.Store(&at) }

// latestSend returns the last instant at which a call may be sent to a server for its
// answer to be complete before the host stops, and false if the host doesn't stop. A call
// of a route without earlier answers may take all the time that it has.
func (s *Service) latestSend(a *admitted) (time.Time, bool) {
	stop := s.stopAt.Load()
	if stop == nil {
		return time.Time{}, false
	}
	expected, ok := s.durations.longest(a.route.Name)
	if left := time.Until(a.deadline); !ok || expected > left {
		expected = left // it ends at its deadline
	}
	return stop.Add(-expected - stopMargin), true
}

// refuseAtStop refuses a call whose answer can't be expected before the host stops.
func (s *Service) refuseAtStop(a *admitted) *Refusal {
	latest, stops := s.latestSend(a)
	if !stops || time.Now().Before(latest) {
		return nil
	}
	return unavailable(codeStopping, "the host stops before the answer can be expected", rejectedRetryAfter)
}
