package slots

import "time"

// MarkLeaving takes the server out of use on this host for its lifetime, because it
// said in its answer to the request that it is leaving. Requests in flight go on.
func (slot *Slot) MarkLeaving(request string) {
	s, now := slot.s, time.Now()
	confirmedAt := s.listConfirmedAt(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.placer.MarkLeaving(slot.Server.ID, confirmedAt, now) {
		return
	}
	counters.Add("servers_leaving", 1)
	load, slots := s.placer.ServiceLoad(slot.Server.Service, now)
	s.opts.Logger.Info("server is leaving", "event", "server_leaving", "server", slot.Server.ID, "service", slot.Server.Service, "request", request,
		"took_ms", now.Sub(slot.startedAt).Milliseconds(), "list_age_ms", now.Sub(s.serversSetAt).Milliseconds(), "load_left", load, "slots_left", slots)
	s.refuseUnservable(s.queue(slot.Server.Service))
	s.dispatch(slot.Server.Service, now)
}

// ServerLeaves reports whether the server has said that it is leaving.
func (slot *Slot) ServerLeaves() bool {
	slot.s.mu.Lock()
	defer slot.s.mu.Unlock()
	return slot.s.placer.Leaves(slot.Server.ID)
}

// listConfirmedAt returns when the list of servers was last known to be the newest,
// zero if it never was.
func (s *Scheduler) listConfirmedAt(now time.Time) time.Time {
	if s.opts.ListAge == nil {
		return now
	}
	age, ok := s.opts.ListAge()
	if !ok {
		return time.Time{}
	}
	return now.Add(-age)
}

// refuseUnservable refuses the waiting requests that no server may take any more.
// Only the first ones of a queue are offered to servers, so the others would wait
// until they are among those. The caller holds mu.
func (s *Scheduler) refuseUnservable(q *queue) {
	for id, w := range q.waiting {
		if !s.placer.HasServer(w.query(time.Now())) {
			q.order.Remove(id)
			delete(q.waiting, id)
			w.granted <- nil
		}
	}
}
