package limit

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the demand average. It is long
// enough to smooth out single requests and short enough to follow bursts.
const demandTimeConstant = time.Second

// demand is an exponentially weighted moving average in tokens per second.
type demand struct {
	rate      float64
	updatedAt time.Time
}

// add records demand for n tokens.
func (d *demand) add(now time.Time, n float64) {
	d.rate = d.rateAt(now) + n/demandTimeConstant.Seconds()
	d.updatedAt = now
}

// rateAt returns the average at now, which must not be before the last add.
func (d *demand) rateAt(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandTimeConstant.Seconds())
}
