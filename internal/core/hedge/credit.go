package hedge

import "time"

const (
	// creditTime is how long a request's part of a second attempt can be used. It is long
	// enough for a host with few requests to earn a whole one.
	creditTime = 5 * time.Minute
	// creditSlice is the unit in which credit expires.
	creditSlice  = time.Second
	creditSlices = int(creditTime / creditSlice)
	// freshSlices is how many slices may hold more than one second attempt together.
	// Older credit beyond that is dropped, so that what was saved in a quiet time is not
	// spent at once in an outage.
	freshSlices = 2
	// wholeAttempt is a second attempt in units of credit. Whole numbers keep the limit
	// exact over any number of requests.
	wholeAttempt = 1_000_000
)

// credit is what the requests of one route have earned for second attempts. Each unit is
// used once, within creditTime.
type credit struct {
	slices [creditSlices]int64 // a ring; slice n is at n modulo its length
	newest int64               // number of the newest slice
	total  int64
}

// advance drops what has expired. at is the time since a fixed instant.
func (c *credit) advance(at time.Duration) {
	number := int64(at / creditSlice)
	for c.newest < number {
		c.newest++
		if number-c.newest >= int64(creditSlices) {
			c.newest = number - int64(creditSlices) + 1
		}
		slot := &c.slices[c.newest%int64(creditSlices)]
		c.total -= *slot
		*slot = 0
	}
	for n := c.newest - int64(creditSlices) + 1; n <= c.newest-freshSlices && c.total > wholeAttempt; n++ {
		c.take(n, c.total-wholeAttempt)
	}
}

// take removes up to units from a slice and returns how many it removed.
func (c *credit) take(number, units int64) int64 {
	if number < 0 {
		return 0
	}
	slot := &c.slices[number%int64(creditSlices)]
	taken := min(*slot, units)
	*slot -= taken
	c.total -= taken
	return taken
}

func (c *credit) earn(units int64, at time.Duration) {
	c.advance(at)
	c.slices[c.newest%int64(creditSlices)] += units
	c.total += units
}

// spend uses the oldest credit for one second attempt. It reports false if there is not
// enough.
func (c *credit) spend(at time.Duration) bool {
	if !c.covers(at) {
		return false
	}
	left := int64(wholeAttempt)
	for n := c.newest - int64(creditSlices) + 1; n <= c.newest && left > 0; n++ {
		left -= c.take(n, left)
	}
	return true
}

// covers reports whether there is enough for one second attempt.
func (c *credit) covers(at time.Duration) bool {
	c.advance(at)
	return c.total >= wholeAttempt
}
