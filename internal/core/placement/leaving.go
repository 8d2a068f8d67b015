package placement

import (
	"slices"
	"time"
)

const (
	// leavingRetention is how long a server that said it is leaving is remembered
	// while it is not in the list. Its entry can only come back while it runs, and it
	// ends soon after it can report to the store again; the longest losses of
	// connectivity last about an hour.
	leavingRetention = 6 * time.Hour
	// registrationDelay bounds the time from the start of a server until its entry is
	// in the store, while the server reaches it.
	registrationDelay = 2 * time.Second
)

// leavingServers holds what is known of servers that are leaving, by ID.
type leavingServers map[string]leavingServer

type leavingServer struct {
	instance string
	// A server of this instance that started after startedAfter and not after saidAt
	// may be the one that said it is leaving: the list may not have had it yet.
	startedAfter, saidAt time.Time
	unlistedSince        time.Time // zero while it is in the list
}

func (l leavingServers) contains(id string) bool {
	_, ok := l[id]
	return ok
}

// mayBe reports whether a start of the server may be the one that said it is leaving,
// in an answer to a request for an earlier start.
func (l leavingServer) mayBe(s Server) bool {
	return l.instance != "" && l.instance == s.Instance && s.StartedAt.After(l.startedAfter) && !s.StartedAt.After(l.saidAt)
}

// update records a new list of servers and removes those that have been out of it
// for longer than leavingRetention.
func (l leavingServers) update(listed map[string]*server, now time.Time) {
	for id, s := range l {
		_, ok := listed[id]
		switch {
		case ok:
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) > leavingRetention:
			delete(l, id)
			continue
		}
		l[id] = s
	}
}

// MarkLeaving takes a server that said it is leaving out of use. No later list of
// servers puts it back; after a restart it has another ID. Requests in flight are
// not affected. listConfirmedAt is when the list was last known to be the newest,
// zero if it never was: the answer may have come from a later start of the server.
// It returns false if the server was marked before.
func (p *Placement) MarkLeaving(id string, listConfirmedAt, now time.Time) bool {
	if p.leaving.contains(id) {
		return false
	}
	said := leavingServer{saidAt: now}
	if s, ok := p.servers[id]; ok {
		said.instance = s.cfg.Instance
		if p.isListed(s) && !listConfirmedAt.IsZero() {
			said.startedAfter = listConfirmedAt.Add(-registrationDelay)
		}
		s.cfg.Ready = false
	}
	p.leaving[id] = said
	for _, s := range p.servers {
		p.keepOut(s, said)
	}
	return true
}

// keepOut takes a server out of use if it may be the one that said it is leaving.
func (p *Placement) keepOut(s *server, said leavingServer) {
	if !said.mayBe(s.cfg) {
		return
	}
	s.cfg.Ready = false
	if !p.leaving.contains(s.cfg.ID) {
		p.leaving[s.cfg.ID] = leavingServer{}
	}
}

// keepOutLeaving takes the listed servers that have said they are leaving, or may have,
// out of use.
func (p *Placement) keepOutLeaving() {
	if len(p.leaving) == 0 {
		return
	}
	byInstance := map[string][]*server{}
	for id, s := range p.servers {
		byInstance[s.cfg.Instance] = append(byInstance[s.cfg.Instance], s)
		s.cfg.Ready = s.cfg.Ready && !p.leaving.contains(id)
	}
	for _, said := range p.leaving {
		for _, s := range byInstance[said.instance] {
			p.keepOut(s, said)
		}
	}
}

// Leaves reports whether a server has said that it is leaving, in an answer or by its
// entry. One that is not in the list any more has not.
func (p *Placement) Leaves(id string) bool {
	s, ok := p.servers[id]
	return p.leaving.contains(id) || ok && !s.cfg.Ready && p.isListed(s)
}

func (p *Placement) isListed(s *server) bool { return slices.Contains(p.byService[s.cfg.Service], s) }
