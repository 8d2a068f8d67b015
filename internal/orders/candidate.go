package orders

import "ragwortstep/internal/fleet"

// DefaultCandidates is the number of hosts that compete for the role. Three
// survive the loss of two, and read the platform about once per second
// together.
const DefaultCandidates = 3

// IsCandidate reports whether this host is among the first n live members by
// name, for use in Options.Candidate. Hosts with different views may disagree,
// which only changes the number of candidates.
func IsCandidate(v fleet.View, n int) bool {
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
