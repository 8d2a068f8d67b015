package entry

import (
	"strings"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/slots"
)

const (
	// evacuationWatchWait is how long a watch of the evacuations waits for a change. The
	// bound on an evacuation is some seconds, of which a watch that is silent without an
	// end takes this much.
	evacuationWatchWait = 3 * time.Second
	// evacuationTakeOver is the age of the copy at which a host reads the store itself.
	// Copies of hosts that hear the reader are younger.
	evacuationTakeOver = 7500 * time.Millisecond
)

// evacuations passes the evacuated zones to the scheduler.
type evacuations struct {
	prefix string
	slots  *slots.Scheduler
}

// update applies a copy. The name of an object is that of the zone; its content says
// nothing.
func (e evacuations) update(copied informer.Copy) {
	zones := map[string]bool{}
	for key := range copied.Objects {
		zones[strings.TrimPrefix(key, e.prefix)] = true
	}
	e.slots.SetEvacuated(zones)
}

// warmUps returns the bounds on requests to cold servers, by service.
func (t ColdTolerance) warmUps(services map[string]routing.Service) map[string]placement.WarmUp {
	out := map[string]placement.WarmUp{}
	for name, s := range services {
		if s.ColdRate > 0 {
			out[name] = placement.WarmUp{Limit: s.ColdRate*max(t.Factor, 1) + t.Requests, Time: s.ColdTime}
		}
	}
	return out
}
