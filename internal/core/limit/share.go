// Package limit implements one host's part of the fleet-wide rate limits: the
// token buckets of its shares, the grants lent to and borrowed from other hosts,
// and the demand estimate that determines how much to borrow. It performs no
// input or output and reads no clock; callers pass in times of one monotonic
// clock.
//
// Bound: in every window of length T, the requests that all hosts together admit
// for a workspace take at most burst + rate*T tokens. At every holder, the tokens
// in the bucket plus the lent tokens that may be unspent never exceed its share
// of the burst, and tokens accrue at its share of the rate.
package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/core/membership"
)

// Identity identifies one process of a host.
type Identity = membership.Identity

// Limit is a workspace's rate in tokens per second and burst in tokens.
type Limit struct{ Rate, Burst float64 }

// Share is a holder's part of a limit: a rate in tokens per second and a bucket
// size in tokens.
type Share struct{ Rate, Cap float64 }

// min returns the smaller rate and the smaller cap of both shares.
func (s Share) min(other Share) Share {
	return Share{Rate: min(s.Rate, other.Rate), Cap: min(s.Cap, other.Cap)}
}

// exceeds reports whether the rate or the cap of s is larger than that of other.
func (s Share) exceeds(other Share) bool { return s.Rate > other.Rate || s.Cap > other.Cap }

// Policy chooses how a limit is divided among hosts.
type Policy string

const (
	// Lending divides a limit among a few holders, which lend tokens to all hosts.
	Lending Policy = "lending"
	// Static divides a limit among all hosts, which do not lend.
	Static Policy = "static"
	// Owner assigns the whole limit to one host, which lends to the others.
	Owner Policy = "owner"
)

const (
	maxHolders = 8
	// minTokensPerHolder keeps a holder's bucket large enough to admit several
	// consecutive requests without borrowing.
	minTokensPerHolder = 4
)

// holderCount returns the number of holders of a limit.
func holderCount(policy Policy, limit Limit, hosts int) int {
	count := 1
	switch policy {
	case Static:
		// A bucket of less than one token would never admit a request.
		count = min(hosts, int(math.Floor(limit.Burst)))
	case Lending:
		count = min(hosts, maxHolders, int(math.Floor(limit.Burst/minTokensPerHolder)))
	case Owner:
	}
	return max(count, 1)
}

// memberSet holds the members of an epoch and the hashes of their host names.
type memberSet struct {
	ids    []Identity
	hashes []uint64
}

func newMemberSet(ids []Identity) memberSet {
	set := memberSet{ids: ids, hashes: make([]uint64, len(ids))}
	for i, id := range ids {
		set.hashes[i] = xxhash.Sum64String(id.Host)
	}
	return set
}

// candidate is a member with its rendezvous hashing score for one workspace.
type candidate struct {
	id    Identity
	score uint64
}

// compareCandidates sorts by descending score, then by host.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id.Host, b.id.Host))
}

// mix spreads the bits of x, as the finalizer of MurmurHash3 does.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// rank returns at most limit members in rendezvous hashing order for the
// workspace. A host's position does not depend on its incarnation.
func (m memberSet) rank(workspace string, limit int) []Identity {
	seed := xxhash.Sum64String(workspace)
	best := make([]candidate, 0, min(limit, len(m.ids))+1)
	for i, hash := range m.hashes {
		score := mix(seed ^ hash)
		if len(best) == limit && score < best[limit-1].score {
			continue
		}
		c := candidate{id: m.ids[i], score: score}
		at, _ := slices.BinarySearchFunc(best, c, compareCandidates)
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), limit)]
	}
	out := make([]Identity, len(best))
	for i, c := range best {
		out[i] = c.id
	}
	return out
}

// ranking holds an epoch's highest-ranked members for one workspace.
type ranking struct {
	order []Identity
	hosts int // number of members in the epoch
}

func newRanking(policy Policy, workspace string, members memberSet) ranking {
	limit := maxHolders
	if policy == Static {
		limit = max(1, len(members.ids))
	}
	return ranking{order: members.rank(workspace, limit), hosts: len(members.ids)}
}

// Holders returns the processes that hold a share of the limit among the
// members of an epoch.
func Holders(policy Policy, workspace string, l Limit, members []Identity) []Identity {
	return newRanking(policy, workspace, newMemberSet(members)).holders(policy, l)
}

// holders returns the processes that hold a share of the limit.
func (r ranking) holders(policy Policy, limit Limit) []Identity {
	return r.order[:min(holderCount(policy, limit, r.hosts), len(r.order))]
}

// share returns the share of the limit that the process holds, which is empty
// for a process that is not a holder.
func (r ranking) share(policy Policy, limit Limit, id Identity) Share {
	holders := r.holders(policy, limit)
	if !slices.Contains(holders, id) {
		return Share{}
	}
	count := float64(len(holders))
	return Share{Rate: limit.Rate / count, Cap: limit.Burst / count}
}
