// Package limit is the state of one host's part in the fleet-wide rate limits:
// token buckets of the shares it holds, grants lent to and borrowed from other
// hosts, and the demand that decides what is borrowed. It performs no input or
// output and reads no clock; times are arguments from one monotonic clock.
//
// Bound: in every window of length T, the admissions of a workspace over all
// hosts are at most burst + rate*T. At every holder, the tokens in its bucket
// and those it lent and that may be unspent are together at most its part of
// the burst, and new ones arise at its part of the rate.
package limit

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/core/membership"
)

// Identity names a host's process.
type Identity = membership.Identity

// Limit is a workspace's rate in tokens per second and burst in tokens.
type Limit struct{ Rate, Burst float64 }

// Share is a holder's part of a limit: tokens per second and bucket size.
type Share struct{ Rate, Cap float64 }

func (s Share) min(other Share) Share {
	return Share{Rate: min(s.Rate, other.Rate), Cap: min(s.Cap, other.Cap)}
}

// exceeds reports whether any part of s is larger than that of other.
func (s Share) exceeds(other Share) bool { return s.Rate > other.Rate || s.Cap > other.Cap }

// Policy chooses how a limit is divided among hosts.
type Policy string

// Policies.
const (
	// Lending divides a limit over a few holders that lend tokens to all hosts.
	Lending Policy = "lending"
	// Static divides a limit over all hosts, which do not lend.
	Static Policy = "static"
	// Owner gives the whole limit to one host that lends to the others.
	Owner Policy = "owner"
)

const (
	maxHolders = 8
	// tokensPerHolder keeps a holder's bucket large enough to serve several
	// requests in a row without borrowing.
	tokensPerHolder = 4
)

// holderCount returns k, the number of holders of a limit.
func holderCount(policy Policy, limit Limit, hosts int) int {
	k := 1
	switch policy {
	case Static:
		// A bucket of less than one token would never admit a request.
		k = min(hosts, int(math.Floor(limit.Burst)))
	case Lending:
		k = min(hosts, maxHolders, int(math.Floor(limit.Burst/tokensPerHolder)))
	case Owner:
	}
	return max(k, 1)
}

// memberSet is the members of an epoch with the hashes of their host names.
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

// scored is a member and its rendezvous score for one workspace.
type scored struct {
	id    Identity
	score uint64
}

// compareScored orders higher scores first, and equal ones by host.
func compareScored(a, b scored) int {
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

// rank returns the first members in rendezvous order for the workspace, at
// most limit of them. A host's place does not depend on its incarnation.
func (m memberSet) rank(workspace string, limit int) []Identity {
	seed := xxhash.Sum64String(workspace)
	best := make([]scored, 0, min(limit, len(m.ids))+1)
	for i, hash := range m.hashes {
		score := mix(seed ^ hash)
		if len(best) == limit && score < best[limit-1].score {
			continue
		}
		c := scored{id: m.ids[i], score: score}
		at, _ := slices.BinarySearchFunc(best, c, compareScored)
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), limit)]
	}
	out := make([]Identity, len(best))
	for i, c := range best {
		out[i] = c.id
	}
	return out
}

// ranking is the order of an epoch's members for one workspace.
type ranking struct {
	order []Identity
	hosts int
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

// share returns what the process holds of the limit.
func (r ranking) share(policy Policy, limit Limit, id Identity) Share {
	holders := r.holders(policy, limit)
	if !slices.Contains(holders, id) {
		return Share{}
	}
	k := float64(len(holders))
	return Share{Rate: limit.Rate / k, Cap: limit.Burst / k}
}
