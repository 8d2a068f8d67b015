package membership

import (
	"cmp"
	"slices"
)

// Member is a process of a host in an epoch.
type Member struct {
	Host        string  `json:"host"`
	Incarnation string  `json:"incarnation"` // new for each process start
	PeerAddress string  `json:"peer_address,omitempty"`
	Zone        string  `json:"zone,omitempty"`
	Size        float64 `json:"size,omitempty"` // relative capacity, 1 is average
}

// ID returns the member's identity.
func (m Member) ID() Identity { return Identity{Host: m.Host, Incarnation: m.Incarnation} }

// Identity identifies one process of a host.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Prior is an earlier epoch whose members may still use shares.
type Prior struct {
	Number  uint64     `json:"number"`
	Members []Identity `json:"members"`
}

// Epoch is an agreed set of members. Prior contains the preceding epoch and, if
// the proposer did not know that epoch to be settled, its Prior as well.
type Epoch struct {
	Number  uint64   `json:"number"`
	Members []Member `json:"members"` // sorted by host
	Prior   []Prior  `json:"prior,omitempty"`
}

// Member returns the member of the given host.
func (e Epoch) Member(host string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(e.Members, host, func(m Member, h string) int { return cmp.Compare(m.Host, h) })
	if !ok {
		return Member{}, false
	}
	return e.Members[i], true
}

// Has reports whether the process is a member.
func (e Epoch) Has(id Identity) bool {
	m, ok := e.Member(id.Host)
	return ok && m.Incarnation == id.Incarnation
}

func (e Epoch) identities() []Identity {
	ids := make([]Identity, len(e.Members))
	for i, m := range e.Members {
		ids[i] = m.ID()
	}
	return ids
}

// Generation is the pair of epoch and configuration revision that determines the
// shares.
type Generation struct {
	Epoch    uint64 `json:"epoch"`
	Revision int64  `json:"revision"`
}

// Covers reports whether both the epoch and the revision of g are at least those
// of other.
func (g Generation) Covers(other Generation) bool {
	return g.Epoch >= other.Epoch && g.Revision >= other.Revision
}
