package limit

import "time"

// grant is a number of tokens lent to a borrower.
type grant struct {
	borrower Identity
	amount   float64
	batch    bool
	expires  time.Time // by the lender's clock
}

// bucket holds the tokens of one share. The sum of level and lent never
// exceeds the cap in force when the tokens arose.
type bucket struct {
	share  Share
	level  float64
	lent   float64
	last   time.Time // level is valid at this time
	grants map[uint64]grant
}

// refill adds the tokens that arose until now and drops expired grants. Grants
// still count against the cap until now, which only makes the result smaller.
func (b *bucket) refill(now time.Time) {
	if now.After(b.last) {
		b.level += b.share.Rate * now.Sub(b.last).Seconds()
		b.last = now
	}
	b.clamp()
	for id, g := range b.grants {
		if !now.Before(g.expires) {
			b.close(id, g)
		}
	}
}

// clamp keeps level and lent within the cap.
func (b *bucket) clamp() {
	b.level = max(0, min(b.level, b.share.Cap-b.lent))
}

func (b *bucket) close(id uint64, g grant) {
	delete(b.grants, id)
	b.lent = max(0, b.lent-g.amount)
	if len(b.grants) == 0 {
		b.lent = 0 // removes rounding errors
	}
}

// setShare changes the share from now on. A bucket that becomes larger does
// not receive tokens at once.
func (b *bucket) setShare(now time.Time, s Share) {
	b.refill(now)
	b.share = s
	b.clamp()
}

// empty drops the tokens. Lent ones still count.
func (b *bucket) empty(now time.Time) {
	b.refill(now)
	b.level = 0
}

// lentOnline returns the tokens lent for online requests.
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

// settle closes a grant by its borrower's report and takes back what is returned.
func (b *bucket) settle(id uint64, borrower Identity, returned float64) {
	g, ok := b.grants[id]
	if !ok || g.borrower != borrower {
		return
	}
	b.close(id, g)
	b.level += max(0, min(returned, g.amount))
	b.clamp()
}
