package limit

import (
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstep/internal/core/membership"
)

// Options configures a State.
type Options struct {
	Self          Identity
	Policy        Policy        // default Lending
	GrantLifetime time.Duration // of borrowed tokens at the borrower, default 2s
	GrantMargin   time.Duration // added to it at the lender, default 200ms
	// OutsiderLifetime is the lifetime of tokens lent to a process that is no
	// member, default 300ms. The activation of a generation does not wait for
	// such processes, so larger shares apply this time plus the margin after it.
	OutsiderLifetime time.Duration
	Rand             *rand.Rand // breaks ties among lenders and numbers grants; required
}

// Defaults of Options.
const (
	DefaultGrantLifetime    = 2 * time.Second
	DefaultGrantMargin      = 200 * time.Millisecond
	DefaultOutsiderLifetime = 300 * time.Millisecond
)

// predictionHorizon is how far ahead online demand is predicted when batch
// items ask for tokens.
const predictionHorizon = 500 * time.Millisecond

// maxKept is the largest part of a bucket, beyond one token, that is kept for
// online requests.
const maxKept = 0.75

// Generation is what decides the shares, as known to this host.
type Generation struct {
	Number        membership.Generation
	Members       []Identity
	Prior         [][]Identity       // members of earlier epochs that may still use shares
	Limits        map[string]Limit   // by workspace
	Earlier       map[string][]Limit // limits that hosts may still apply
	LimitsUnknown bool               // not all earlier limits are known
	EpochSettled  bool               // Prior does not matter
	Settled       bool               // nor do Earlier and LimitsUnknown
	Fresh         bool               // the freshness lease holds at the moment of Apply
	Lapses        uint64             // how often the freshness lease was regained after a gap
}

// workspace is the state of one workspace's limit.
type workspace struct {
	name    string
	limit   Limit
	exists  bool // in the current configuration
	ranking ranking
	prior   []ranking

	bucket   bucket
	target   Share     // share of the settled generation, in force from raiseAt
	raiseAt  time.Time // zero when no larger share is pending
	settled  time.Time // since when the shares are settled, zero while they are not
	handed   float64   // tokens taken over, to be added when the share comes into force
	borrowed []borrowed
	lenders  map[Identity]*lenderState
	asked    Waiting // tokens in requests to lenders that are under way
	online   demand  // asked for here, by callers
	batch    demand
	lentOut  demand // online tokens taken from the bucket or asked for by borrowers
	touched  time.Time
}

// State is one host's part in all limits. It is not safe for concurrent use.
type State struct {
	opts       Options
	generation Generation
	workspaces map[string]*workspace
	active     map[string]*workspace // with demand, waiting requests or borrowed tokens
	nextGrant  uint64
	reports    map[Identity][]report // closed grants to be reported to their lender
	handovers  []Handover            // to be sent
}

// New returns a state without limits.
func New(opts Options) *State {
	if opts.Policy == "" {
		opts.Policy = Lending
	}
	if opts.GrantLifetime == 0 {
		opts.GrantLifetime = DefaultGrantLifetime
	}
	if opts.GrantMargin == 0 {
		opts.GrantMargin = DefaultGrantMargin
	}
	if opts.OutsiderLifetime == 0 {
		opts.OutsiderLifetime = DefaultOutsiderLifetime
	}
	return &State{
		opts:       opts,
		workspaces: map[string]*workspace{},
		active:     map[string]*workspace{},
		nextGrant:  opts.Rand.Uint64(),
		reports:    map[Identity][]report{},
	}
}

// Apply takes over a generation. Smaller shares apply at once, larger ones when
// the generation is settled and tokens lent to outsiders before are expired. Borrowed tokens whose lender loses a share are
// given up, so that none is left once all hosts have applied the generation.
func (s *State) Apply(now time.Time, g Generation) {
	former := s.generation
	s.generation = g
	if g.Lapses != former.Lapses {
		s.emptyAll(now)
	}
	sameMembers := slices.Equal(g.Members, former.Members)
	samePrior := slices.EqualFunc(g.Prior, former.Prior, slices.Equal[[]Identity])
	members := newMemberSet(g.Members)
	prior := make([]memberSet, len(g.Prior))
	formerMembers := make([]bool, len(g.Prior))
	for i, ids := range g.Prior {
		prior[i] = newMemberSet(ids)
		formerMembers[i] = slices.Equal(ids, former.Members)
	}
	for name, limit := range g.Limits {
		w := s.workspace(now, name)
		formerRanking, formerLimit := w.ranking, w.limit
		if !sameMembers || !w.exists {
			w.ranking = newRanking(s.opts.Policy, name, members)
			w.forgetLenders()
		}
		if !samePrior || !w.exists {
			w.prior = s.priorRankings(w, prior, formerMembers, formerRanking)
		}
		w.limit, w.exists = limit, true
		if !sameMembers {
			s.handOver(now, w, formerRanking, formerLimit)
		}
		s.giveUpStale(now, w, formerRanking, formerLimit)
		s.applyTo(now, w)
	}
	s.dropRemoved(now)
	if !slices.Contains(g.Members, s.opts.Self) {
		s.shortenBorrowed(now)
	}
}

// shortenBorrowed gives the borrowed tokens of a process that is no longer a
// member the lifetime of an outsider's. Later epochs do not wait for it.
func (s *State) shortenBorrowed(now time.Time) {
	end := now.Add(s.opts.OutsiderLifetime)
	for _, w := range s.active {
		for i := range w.borrowed {
			if w.borrowed[i].expires.After(end) {
				w.borrowed[i].expires = end
			}
		}
	}
}

// workspace returns the state of a workspace, which begins empty.
func (s *State) workspace(now time.Time, name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{name: name, lenders: map[Identity]*lenderState{}}
		w.bucket.last = now
		s.workspaces[name] = w
	}
	return w
}

// giveUpStale gives up the tokens of lenders whose share became smaller.
func (s *State) giveUpStale(now time.Time, w *workspace, formerRanking ranking, formerLimit Limit) {
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool {
		before := formerRanking.share(s.opts.Policy, formerLimit, b.lender)
		if !before.exceeds(w.ranking.share(s.opts.Policy, w.limit, b.lender)) {
			return false
		}
		s.closeBorrowed(now, w, b)
		return true
	})
}

// priorRankings ranks the members of earlier epochs. Mostly these are the
// former members, whose ranking is known if the workspace existed.
func (s *State) priorRankings(w *workspace, prior []memberSet, formerMembers []bool, former ranking) []ranking {
	var out []ranking
	for i, members := range prior {
		if formerMembers[i] && w.exists {
			out = append(out, former)
			continue
		}
		out = append(out, newRanking(s.opts.Policy, w.name, members))
	}
	return out
}

// dropRemoved takes the shares of workspaces that are no longer configured,
// and forgets them when nothing is outstanding.
func (s *State) dropRemoved(now time.Time) {
	for name, w := range s.workspaces {
		if _, ok := s.generation.Limits[name]; ok {
			continue
		}
		w.exists, w.limit, w.raiseAt, w.handed = false, Limit{}, time.Time{}, 0
		w.bucket.setShare(now, Share{})
		for _, b := range w.borrowed {
			s.closeBorrowed(now, w, b)
		}
		w.borrowed = nil
		if len(w.bucket.grants) == 0 {
			delete(s.workspaces, name)
			delete(s.active, name)
		}
	}
}

// settledFor reports whether all hosts apply the workspace's current limit and
// holders, or none at all.
func (s *State) settledFor(w *workspace) bool {
	g := s.generation
	return g.EpochSettled && (g.Settled || !g.LimitsUnknown && len(g.Earlier[w.name]) == 0)
}

// applyTo recomputes this host's share of a workspace.
func (s *State) applyTo(now time.Time, w *workspace) {
	target := w.ranking.share(s.opts.Policy, w.limit, s.opts.Self)
	s.refill(now, w)
	if target == (Share{}) {
		w.handed = 0
	}
	if !s.settledFor(w) {
		w.raiseAt, w.settled = time.Time{}, time.Time{}
		w.bucket.setShare(now, w.bucket.share.min(s.least(w, target)))
		return
	}
	if w.settled.IsZero() {
		w.settled = now
	}
	w.bucket.setShare(now, w.bucket.share.min(target))
	if target != w.bucket.share && (w.raiseAt.IsZero() || target != w.target) {
		w.raiseAt = now.Add(s.raiseDelay())
	}
	w.target = target
}

// raiseDelay is the time from the settling of a generation until its larger
// shares are in force: tokens lent to outsiders have expired by then.
func (s *State) raiseDelay() time.Duration { return s.opts.OutsiderLifetime + s.opts.GrantMargin }

// InForce reports whether the shares of a workspace add up to its whole limit.
// After a change of members they are smaller for some time.
func (s *State) InForce(now time.Time, name string) bool {
	w := s.workspaces[name]
	return w != nil && !w.settled.IsZero() && !now.Before(w.settled.Add(s.raiseDelay()))
}

// refill brings the bucket to now, including a raise that fell due meanwhile.
func (s *State) refill(now time.Time, w *workspace) {
	if !w.raiseAt.IsZero() && !now.Before(w.raiseAt) {
		w.bucket.setShare(w.raiseAt, w.target)
		w.bucket.level += w.handed
		w.bucket.clamp()
		w.raiseAt, w.handed = time.Time{}, 0
	}
	w.bucket.refill(now)
}

// least returns the smallest share of this process over all generations that
// may be in force somewhere.
func (s *State) least(w *workspace, target Share) Share {
	if s.generation.LimitsUnknown {
		return Share{}
	}
	rankings := []ranking{w.ranking}
	if !s.generation.EpochSettled {
		rankings = append(rankings, w.prior...)
	}
	limits := append([]Limit{w.limit}, s.generation.Earlier[w.name]...)
	for _, r := range rankings {
		for _, l := range limits {
			target = target.min(r.share(s.opts.Policy, l, s.opts.Self))
		}
	}
	return target
}

// emptyAll drops all tokens after a gap in the freshness lease.
func (s *State) emptyAll(now time.Time) {
	for _, w := range s.workspaces {
		s.refill(now, w)
		w.bucket.empty(now)
		w.handed = 0
		for _, b := range w.borrowed {
			s.closeBorrowed(now, w, b)
		}
		w.borrowed = nil
	}
}

// Limit returns the workspace's configured limit.
func (s *State) Limit(name string) (Limit, bool) {
	w := s.workspaces[name]
	if w == nil || !w.exists {
		return Limit{}, false
	}
	return w.limit, true
}

// Ask counts n tokens asked for by a caller, which drives prefetching.
func (s *State) Ask(now time.Time, name string, n float64, batch bool) {
	w := s.workspaces[name]
	if w == nil {
		return
	}
	w.touched = now
	s.active[name] = w
	if batch {
		w.batch.add(now, n)
		return
	}
	w.online.add(now, n)
}

// Take consumes n tokens or none. Batch items take tokens of the bucket only
// when the predicted online demand leaves them.
func (s *State) Take(now time.Time, name string, n float64, batch bool) bool {
	w := s.workspaces[name]
	if w == nil || !w.exists {
		return false
	}
	s.refill(now, w)
	s.expireBorrowed(now, w)
	fromBorrowed := min(n, w.borrowedFor(batch))
	fromBucket := n - fromBorrowed
	if fromBucket > w.bucket.level || batch && fromBucket > w.spares(now) {
		return false
	}
	w.bucket.level -= fromBucket
	s.spendBorrowed(now, w, fromBorrowed, batch)
	if !batch && fromBucket > 0 {
		w.lentOut.add(now, fromBucket)
	}
	return true
}

// spares returns how many tokens the bucket can give to batch items and still
// hold those for the online demand predicted for the horizon, of which a part
// is lent already. The part kept is bounded, so that a bucket smaller than that
// demand serves batch items when it is nearly full, that is, when online
// requests leave part of the rate.
func (w *workspace) spares(now time.Time) float64 {
	predicted := w.lentOut.at(now) * predictionHorizon.Seconds()
	kept := min(predicted, maxKept*max(0, w.bucket.share.Cap-1)) - w.bucket.lentOnline()
	return w.bucket.level - max(0, kept)
}

// Tokens returns the tokens in this host's bucket, those it lent, and those it
// borrowed. It is for metrics and tests.
func (s *State) Tokens(now time.Time, name string) (level, lent, borrowed float64) {
	w := s.workspaces[name]
	if w == nil {
		return 0, 0, 0
	}
	s.refill(now, w)
	s.expireBorrowed(now, w)
	return w.bucket.level, w.bucket.lent, w.borrowedFor(false)
}

// Share returns this host's share in force.
func (s *State) Share(now time.Time, name string) Share {
	w := s.workspaces[name]
	if w == nil {
		return Share{}
	}
	s.refill(now, w)
	return w.bucket.share
}

// roundingSlack absorbs the rounding of sums of tokens.
const roundingSlack = 1e-6

// Consistent reports whether the tokens of the workspace that this host
// answers for are within its share of the burst. Tokens lent before the share
// became smaller are exempt.
func (s *State) Consistent(name string) bool {
	w := s.workspaces[name]
	if w == nil {
		return true
	}
	b := w.bucket
	return b.level >= 0 && b.lent >= 0 && b.level <= max(0, b.share.Cap-b.lent)+roundingSlack
}

// Active reports whether any workspace has recent demand or borrowed tokens,
// or any report is to be sent, so that Plan should be called often.
func (s *State) Active() bool { return len(s.active)+len(s.reports) > 0 }
