package orders

import "ragwortstep/internal/fleet"

// DefaultCandidates is how many hosts stand for the role. Three cost about one
// read of the platform per second and survive the loss of two.
const DefaultCandidates = 3

// FirstAlive reports whether this host is among the first n alive members by
// name, for Options.Candidate. Hosts with different views may disagree, which
// only adds or removes candidates.
func FirstAlive(v fleet.View, n int) bool {
	for _, m := range v.Members { // sorted by host
		if n == 0 {
			return false
		}
		if m.Host == v.Self {
			return true
		}
		if v.Alive[m.Host] {
			n--
		}
	}
	return false
}
