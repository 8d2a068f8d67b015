package limit

import "time"

// grant is an amount of tokens lent to a borrower.
type grant struct {
	borrower Identity
	amount   float64
	batch    bool
	expires  time.Time // on the lender's clock
}

// bucket is the token bucket of one share. The sum of level and lent never
// exceeds the cap that applied when the tokens were added.
type bucket struct {
	share      Share
	level      float64   // available tokens
	lent       float64   // tokens of open grants
	refilledAt time.Time // level is valid at this time
	grants     map[uint64]grant
}

// refill adds the tokens accrued until now and closes expired grants. A grant
// that expired before now still counts against the cap for this refill, which
// can only lower the level.
func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.level += b.share.Rate * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	b.clamp()
	for id, g := range b.grants {
		if !now.Before(g.expires) {
			b.closeGrant(id, g)
		}
	}
}

// clamp keeps level and lent within the cap.
func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.share.Cap-b.lent))
}

// closeGrant removes a grant, so that its tokens no longer count against the cap.
func (b *bucket) closeGrant(id uint64, g grant) {
	delete(b.grants, id)
	b.lent = max(0, b.lent-g.amount)
	if len(b.grants) == 0 {
		b.lent = 0 // discards accumulated rounding errors
	}
}

// setShare replaces the share from now on. A larger cap adds no tokens at once.
func (b *bucket) setShare(now time.Time, s Share) {
	b.refill(now)
	b.share = s
	b.clamp()
}

// empty discards the available tokens. Lent tokens still count against the cap.
func (b *bucket) empty(now time.Time) {
	b.refill(now)
	b.level = 0
}

// lentOnline returns the tokens of open grants for online requests.
func (b *bucket) lentOnline() float64 {
	sum := 0.0
	for _, g := range b.grants {
		if !g.batch {
			sum += g.amount
		}
	}
	return sum
}

func (b *bucket) lend(id uint64, g grant) {
	if b.grants == nil {
		b.grants = map[uint64]grant{}
	}
	b.level -= g.amount
	b.lent += g.amount
	b.grants[id] = g
}

// applyReport closes a grant and adds the returned tokens. It ignores unknown
// grants and reports that do not come from the borrower.
func (b *bucket) applyReport(id uint64, borrower Identity, returned float64) {
	g, ok := b.grants[id]
	if !ok || g.borrower != borrower {
		return
	}
	b.closeGrant(id, g)
	b.level += max(0, min(returned, g.amount))
	b.clamp()
}
