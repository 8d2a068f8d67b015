package placement

import "slices"

// Query describes the request for which a server is chosen.
type Query struct {
	Service string
	Class   Class
	Tried   []string // IDs of servers that must not be chosen
	Only    []string // IDs of the servers that may be chosen, nil for all
	// Prefer is the ID of the server that a batch request goes to if it has room, empty for
	// none.
	Prefer string
	Urgent bool // the batch request has to start soon
}

func (q Query) excludes(id string) bool {
	return slices.Contains(q.Tried, id) || q.Only != nil && !slices.Contains(q.Only, id)
}

// HasServer reports whether a server that takes new requests may be chosen, now or
// when it is less loaded.
func (p *Placement) HasServer(q Query) bool {
	return slices.ContainsFunc(p.byService[q.Service], func(s *server) bool { return s.cfg.Ready && !q.excludes(s.cfg.ID) })
}
