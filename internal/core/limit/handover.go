package limit

import (
	"slices"
	"time"

	"ragwortstep/internal/core/membership"
)

// Handover moves the tokens of a share to the process that takes its place in
// a new epoch. It must be sent at most once.
//
// The sum of tokens stays the same: the sender gives them up, and the receiver
// adds them, within its cap, when its share comes into force, and ignores what
// arrives later. The sender holds its freshness lease, so the epoch is not
// settled yet and the receiver's share is not in force.
type Handover struct {
	To        Identity `json:"-"`
	Workspace string   `json:"w"`
	Amount    float64  `json:"n"`
}

// Handovers returns what is to be sent since the last call.
func (s *State) Handovers() []Handover {
	out := s.handovers
	s.handovers = nil
	return out
}

// handOver gives up the tokens of a share that another process takes over.
func (s *State) handOver(now time.Time, w *workspace, former ranking, formerLimit Limit) {
	s.refill(now, w)
	if !s.generation.Fresh || w.bucket.level < 1 || s.opts.Policy == Static {
		return
	}
	old, next := former.holders(s.opts.Policy, formerLimit), w.ranking.holders(s.opts.Policy, w.limit)
	place := slices.Index(without(old, next), s.opts.Self)
	arriving := without(next, old)
	if place < 0 || place >= len(arriving) {
		return
	}
	s.handovers = append(s.handovers, Handover{To: arriving[place], Workspace: w.name, Amount: w.bucket.level})
	w.bucket.empty(now)
}

// TakeOver takes in the tokens of shares that this process takes over in the
// epoch of gen.
func (s *State) TakeOver(now time.Time, gen membership.Generation, items []Handover) {
	if gen.Epoch != s.generation.Number.Epoch {
		return
	}
	for _, h := range items {
		w := s.workspaces[h.Workspace]
		if w == nil || !w.exists || !(h.Amount > 0) {
			continue
		}
		s.refill(now, w)
		if w.bucket.share == (Share{}) {
			w.handed += h.Amount
		}
	}
}

// without returns the elements of a that are not in b, in their order.
func without(a, b []Identity) []Identity {
	return slices.DeleteFunc(slices.Clone(a), func(id Identity) bool { return slices.Contains(b, id) })
}
