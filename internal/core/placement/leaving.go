package placement

import "time"

// leavingRetention is how long a server that said it is leaving is remembered
// while it is not in the list. Its entry can only come back while it runs, and it
// ends soon after it can report to the store again; the longest losses of
// connectivity last about an hour.
const leavingRetention = 6 * time.Hour

// leavingServers holds, by ID, since when a leaving server has not been in the
// list; the zero time while it is.
type leavingServers map[string]time.Time

func (l leavingServers) contains(id string) bool {
	_, ok := l[id]
	return ok
}

// update records a new list of servers and removes those that have been out of it
// for longer than leavingRetention.
func (l leavingServers) update(listed map[string]*server, now time.Time) {
	for id, since := range l {
		_, ok := listed[id]
		switch {
		case ok:
			l[id] = time.Time{}
		case since.IsZero():
			l[id] = now
		case now.Sub(since) > leavingRetention:
			delete(l, id)
		}
	}
}

// MarkLeaving takes a server that said it is leaving out of use. No later list of
// servers puts it back; after a restart it has another ID. Requests in flight are
// not affected. It returns false if the server was marked before.
func (p *Placement) MarkLeaving(id string) bool {
	if p.leaving.contains(id) {
		return false
	}
	p.leaving[id] = time.Time{}
	if s, ok := p.servers[id]; ok {
		s.cfg.Ready = false
	}
	return true
}
