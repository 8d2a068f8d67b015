package limit

import (
	"slices"
	"time"

	"ragwortstep/internal/core/membership"
)

// Handover transfers the tokens of a share to the process that replaces the
// sender as a holder in a new epoch. It must be sent at most once.
//
// The transfer does not increase the total number of tokens: the sender removes
// them from its bucket, and the receiver adds them, up to its cap, when its
// share takes effect; it ignores handovers that arrive later. While the sender
// holds its freshness lease, the epoch is not settled and the receiver's share
// has not taken effect.
type Handover struct {
	To        Identity `json:"-"`
	Workspace string   `json:"w"`
	Amount    float64  `json:"n"`
}

// DrainHandovers returns the handovers queued since the last call and clears the queue.
func (s *State) DrainHandovers() []Handover {
	out := s.handovers
	s.handovers = nil
	return out
}

// queueHandover empties the bucket of a share that moves to another process and
// queues its tokens for that process.
func (s *State) queueHandover(now time.Time, w *workspace, former ranking, formerLimit Limit) {
	s.refill(now, w)
	if !s.generation.Fresh || w.bucket.level < 1 || s.opts.Policy == Static {
		return
	}
	old, next := former.holders(s.opts.Policy, formerLimit), w.ranking.holders(s.opts.Policy, w.limit)
	index := slices.Index(difference(old, next), s.opts.Self)
	joining := difference(next, old)
	if index < 0 || index >= len(joining) {
		return
	}
	s.handovers = append(s.handovers, Handover{To: joining[index], Workspace: w.name, Amount: w.bucket.level})
	w.bucket.empty(now)
}

// AcceptHandovers accepts handovers for shares that move to this process in the epoch
// of gen. Handovers of any other epoch are ignored.
func (s *State) AcceptHandovers(now time.Time, gen membership.Generation, items []Handover) {
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
			w.handoverTokens += h.Amount
		}
	}
}

// difference returns the elements of a that are not in b, in the order of a.
func difference(a, b []Identity) []Identity {
	return slices.DeleteFunc(slices.Clone(a), func(id Identity) bool { return slices.Contains(b, id) })
}
