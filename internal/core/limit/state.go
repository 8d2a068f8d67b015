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
	GrantLifetime time.Duration // lifetime of borrowed tokens at the borrower, default 2s
	GrantMargin   time.Duration // added to GrantLifetime at the lender, default 200ms
	// OutsiderLifetime is the lifetime of tokens lent to an outsider, a process
	// that is not a member, default 300ms. The activation of a generation does
	// not wait for outsiders, so an increased share takes effect only when this
	// time plus GrantMargin has passed after the activation.
	OutsiderLifetime time.Duration
	Rand             *rand.Rand // breaks ties among lenders and seeds grant IDs; required
}

// Default values of Options.
const (
	DefaultGrantLifetime    = 2 * time.Second
	DefaultGrantMargin      = 200 * time.Millisecond
	DefaultOutsiderLifetime = 300 * time.Millisecond
)

// predictionHorizon is how far ahead online demand is predicted to decide how
// many tokens batch items may take.
const predictionHorizon = 500 * time.Millisecond

// maxReservedFraction is the largest fraction of a bucket, not counting one
// token, that is reserved for online requests.
const maxReservedFraction = 0.75

// Generation is this host's view of the membership and limits that determine
// the shares.
type Generation struct {
	Number        membership.Generation
	Members       []Identity
	Prior         [][]Identity       // members of earlier epochs that may still use shares
	Limits        map[string]Limit   // by workspace
	Earlier       map[string][]Limit // earlier limits that hosts may still apply, by workspace
	LimitsUnknown bool               // Earlier may be incomplete
	EpochSettled  bool               // Prior can be ignored
	Settled       bool               // Earlier and LimitsUnknown can be ignored as well
	Fresh         bool               // the freshness lease is held at the time of Apply
	Lapses        uint64             // how often the freshness lease was regained after a gap
}

// workspace is the state of one workspace's limit.
type workspace struct {
	name    string
	limit   Limit
	exists  bool // in the current configuration
	ranking ranking
	prior   []ranking // rankings of Generation.Prior

	bucket         bucket
	target         Share     // share of the settled generation, takes effect at raiseAt
	raiseAt        time.Time // zero if no increase is pending
	settledSince   time.Time // when the shares became settled, zero if they are not
	handoverTokens float64   // tokens of handovers, added when the share takes effect
	borrowed       []borrowed
	lenders        map[Identity]*lenderState
	requested      ClassTokens // tokens in requests to lenders in flight
	online         demand      // demand of this host's callers
	batch          demand      // the same for batch items
	bucketDemand   demand      // online tokens taken from the bucket or requested by borrowers
	lastDemandAt   time.Time
}

// State is one host's part of all limits. It is not safe for concurrent use.
type State struct {
	opts        Options
	generation  Generation
	workspaces  map[string]*workspace
	active      map[string]*workspace // those with recent demand, waiting requests or borrowed tokens
	lastGrantID uint64
	reports     map[Identity][]queuedReport // reports on closed grants, by lender
	handovers   []Handover                  // to be sent
}

// New returns a state without any limits; Apply sets them.
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
		opts:        opts,
		workspaces:  map[string]*workspace{},
		active:      map[string]*workspace{},
		lastGrantID: opts.Rand.Uint64(),
		reports:     map[Identity][]queuedReport{},
	}
}

// Apply switches to a generation. Decreased shares take effect at once,
// increased ones when the generation is settled and the tokens lent to outsiders
// before that have expired. Borrowed tokens are returned if their lender's share
// decreases, so that none remain once all hosts have applied the generation.
func (s *State) Apply(now time.Time, g Generation) {
	former := s.generation
	s.generation = g
	if g.Lapses != former.Lapses {
		s.discardAllTokens(now)
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
			w.pruneLenders()
		}
		if !samePrior || !w.exists {
			w.prior = s.priorRankings(w, prior, formerMembers, formerRanking)
		}
		w.limit, w.exists = limit, true
		if !sameMembers {
			s.queueHandover(now, w, formerRanking, formerLimit)
		}
		s.returnStaleBorrowed(now, w, formerRanking, formerLimit)
		s.updateShare(now, w)
	}
	s.removeUnconfigured(now)
	if !slices.Contains(g.Members, s.opts.Self) {
		s.shortenBorrowed(now)
	}
}

// shortenBorrowed limits the remaining lifetime of borrowed tokens to
// OutsiderLifetime when this process is no longer a member, because later epochs
// do not wait for it.
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

// workspace returns the state of a workspace and creates it if necessary.
func (s *State) workspace(now time.Time, name string) *workspace {
	w := s.workspaces[name]
	if w == nil {
		w = &workspace{name: name, lenders: map[Identity]*lenderState{}}
		w.bucket.refilledAt = now
		s.workspaces[name] = w
	}
	return w
}

// returnStaleBorrowed returns the tokens of lenders whose share decreased.
func (s *State) returnStaleBorrowed(now time.Time, w *workspace, formerRanking ranking, formerLimit Limit) {
	w.borrowed = slices.DeleteFunc(w.borrowed, func(b borrowed) bool {
		before := formerRanking.share(s.opts.Policy, formerLimit, b.lender)
		if !before.exceeds(w.ranking.share(s.opts.Policy, w.limit, b.lender)) {
			return false
		}
		s.closeBorrowed(now, w, b)
		return true
	})
}

// priorRankings ranks the members of earlier epochs. These are usually the
// former members, whose ranking can be reused if the workspace already existed.
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

// removeUnconfigured clears the shares of workspaces that are no longer
// configured, and deletes those without open grants.
func (s *State) removeUnconfigured(now time.Time) {
	for name, w := range s.workspaces {
		if _, ok := s.generation.Limits[name]; ok {
			continue
		}
		w.exists, w.limit, w.raiseAt, w.handoverTokens = false, Limit{}, time.Time{}, 0
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

// workspaceSettled reports whether every host applies the workspace's current
// limit and holders or holds no share.
func (s *State) workspaceSettled(w *workspace) bool {
	g := s.generation
	return g.EpochSettled && (g.Settled || !g.LimitsUnknown && len(g.Earlier[w.name]) == 0)
}

// updateShare recomputes this host's share of a workspace. A decrease takes
// effect at once; an increase is scheduled when the workspace is settled.
func (s *State) updateShare(now time.Time, w *workspace) {
	target := w.ranking.share(s.opts.Policy, w.limit, s.opts.Self)
	s.refill(now, w)
	if target == (Share{}) {
		w.handoverTokens = 0
	}
	if !s.workspaceSettled(w) {
		w.raiseAt, w.settledSince = time.Time{}, time.Time{}
		w.bucket.setShare(now, w.bucket.share.min(s.smallestShare(w, target)))
		return
	}
	if w.settledSince.IsZero() {
		w.settledSince = now
	}
	w.bucket.setShare(now, w.bucket.share.min(target))
	if target != w.bucket.share && (w.raiseAt.IsZero() || target != w.target) {
		w.raiseAt = now.Add(s.raiseDelay())
	}
	w.target = target
}

// raiseDelay is the time from when a generation is settled until its increased
// shares take effect: tokens lent to outsiders have expired by then.
func (s *State) raiseDelay() time.Duration { return s.opts.OutsiderLifetime + s.opts.GrantMargin }

// FullLimitInForce reports whether the shares of a workspace add up to its whole limit.
// After a membership change they are smaller for some time.
func (s *State) FullLimitInForce(now time.Time, name string) bool {
	w := s.workspaces[name]
	return w != nil && !w.settledSince.IsZero() && !now.Before(w.settledSince.Add(s.raiseDelay()))
}

// refill advances the bucket to now and applies an increase that became due.
func (s *State) refill(now time.Time, w *workspace) {
	if !w.raiseAt.IsZero() && !now.Before(w.raiseAt) {
		w.bucket.setShare(w.raiseAt, w.target)
		w.bucket.level += w.handoverTokens
		w.bucket.clamp()
		w.raiseAt, w.handoverTokens = time.Time{}, 0
	}
	w.bucket.refill(now)
}

// smallestShare returns the smallest share of this process over all generations
// that any host may still apply.
func (s *State) smallestShare(w *workspace, target Share) Share {
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

// discardAllTokens empties all buckets and returns all borrowed tokens after a
// gap in the freshness lease.
func (s *State) discardAllTokens(now time.Time) {
	for _, w := range s.workspaces {
		s.refill(now, w)
		w.bucket.empty(now)
		w.handoverTokens = 0
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

// RecordDemand records that a caller needs n tokens. This demand determines how many
// tokens are borrowed ahead.
func (s *State) RecordDemand(now time.Time, name string, n float64, batch bool) {
	w := s.workspaces[name]
	if w == nil {
		return
	}
	w.lastDemandAt = now
	s.active[name] = w
	if batch {
		w.batch.add(now, n)
		return
	}
	w.online.add(now, n)
}

// Take consumes n tokens or none. Batch items take from the bucket only what is
// not reserved for predicted online demand.
func (s *State) Take(now time.Time, name string, n float64, batch bool) bool {
	w := s.workspaces[name]
	if w == nil || !w.exists {
		return false
	}
	s.refill(now, w)
	s.expireBorrowed(now, w)
	fromBorrowed := min(n, w.borrowedFor(batch))
	fromBucket := n - fromBorrowed
	if fromBucket > w.bucket.level || batch && fromBucket > w.availableToBatch(now) {
		return false
	}
	w.bucket.level -= fromBucket
	s.spendBorrowed(now, w, fromBorrowed, batch)
	if !batch && fromBucket > 0 {
		w.bucketDemand.add(now, fromBucket)
	}
	return true
}

// availableToBatch returns how many tokens of the bucket batch items may take.
// The rest is reserved for the online demand predicted for predictionHorizon,
// less the tokens already lent for online requests. The reserve is bounded by
// maxReservedFraction, so that a bucket smaller than that demand still serves
// batch items when it is nearly full, that is, when online requests leave part
// of the rate unused.
func (w *workspace) availableToBatch(now time.Time) float64 {
	predicted := w.bucketDemand.rateAt(now) * predictionHorizon.Seconds()
	reserved := min(predicted, maxReservedFraction*max(0, w.bucket.share.Cap-1)) - w.bucket.lentOnline()
	return w.bucket.level - max(0, reserved)
}

// Tokens returns the tokens in this host's bucket, those it has lent and those
// it has borrowed, for metrics and tests.
func (s *State) Tokens(now time.Time, name string) (level, lent, borrowed float64) {
	w := s.workspaces[name]
	if w == nil {
		return 0, 0, 0
	}
	s.refill(now, w)
	s.expireBorrowed(now, w)
	return w.bucket.level, w.bucket.lent, w.borrowedFor(false)
}

// Share returns the share that this host currently applies.
func (s *State) Share(now time.Time, name string) Share {
	w := s.workspaces[name]
	if w == nil {
		return Share{}
	}
	s.refill(now, w)
	return w.bucket.share
}

// roundingTolerance allows for rounding errors in sums of tokens.
const roundingTolerance = 1e-6

// TokensWithinShare reports whether the tokens in this host's bucket and those it has
// lent are within its share of the burst. Tokens lent before the share decreased
// are exempt.
func (s *State) TokensWithinShare(name string) bool {
	w := s.workspaces[name]
	if w == nil {
		return true
	}
	b := w.bucket
	return b.level >= 0 && b.lent >= 0 && b.level <= max(0, b.share.Cap-b.lent)+roundingTolerance
}

// Active reports whether Plan should be called often: a workspace has recent
// demand or borrowed tokens, or a report is to be sent.
func (s *State) Active() bool { return len(s.active)+len(s.reports) > 0 }
