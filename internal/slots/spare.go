package slots

import (
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/schedule"
)

// Demand is the use of a service's slots.
type Demand struct {
	Waiting int // online requests of this host that wait for one
	Load    int // estimated requests in flight over all hosts
	Slots   int
}

// Demand returns the use of a service's slots.
func (s *Scheduler) Demand(service string) Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	load, slots := s.placer.ServiceLoad(service, time.Now())
	return Demand{s.queue(service).order.Len(schedule.Online), load, slots}
}

// Spare grants a free slot at once to an online request, or returns nil. The server is not
// cold, and not on the machine with the given address unless all servers are. No batch item
// is preempted for it, and it does not go before requests that wait.
func (s *Scheduler) Spare(request Request, avoid string) *Slot {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue(request.Service).order.Len(schedule.Online) > 0 {
		return nil
	}
	s.refreshListAge(now)
	query := placement.Query{Service: request.Service, Class: request.Class, Tried: request.Tried, Only: request.Only}
	server, ok := s.placer.PickSpare(query, avoid, now)
	if !ok {
		return nil
	}
	s.placer.Start(server.ID, request.Class, now)
	return &Slot{Server: server, s: s, request: request, startedAt: now}
}
