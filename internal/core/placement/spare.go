package placement

import (
	"slices"
	"strings"
	"time"
)

// PickSpare chooses a server with a free slot for an online request that can do without:
// the best by its score that is not cold, and not on the machine with the given address
// unless all servers are. It reports false if there is none. It does not count the
// request; call Start.
func (p *Placement) PickSpare(q Query, avoid string, now time.Time) (Server, bool) {
	mean := p.meanTimePerUnit(q.Service)
	elsewhere := slices.ContainsFunc(p.byService[q.Service], func(s *server) bool { return s.cfg.Ready && !onSameMachine(s.cfg.Address, avoid) })
	var best *server
	lowest := 0.0
	for _, s := range p.byService[q.Service] {
		if q.excludes(s.cfg.ID) || !s.usable(now) || p.isCold(s, now) || elsewhere && onSameMachine(s.cfg.Address, avoid) {
			continue
		}
		load := p.load(s, now).total()
		if load >= s.cfg.Slots || !p.mayWarm(s, Online, now) {
			continue
		}
		if score := p.score(s, load, Online, mean, now); best == nil || score < lowest {
			best, lowest = s, score
		}
	}
	if best == nil {
		return Server{}, false
	}
	return best.cfg, true
}

// onSameMachine reports whether two addresses with ports have the same host.
func onSameMachine(a, b string) bool {
	i, j := strings.LastIndexByte(a, ':'), strings.LastIndexByte(b, ':')
	return i >= 0 && j >= 0 && a[:i] == b[:j]
}
