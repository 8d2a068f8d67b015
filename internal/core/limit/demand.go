package limit

import (
	"math"
	"time"
)

// demandWindow is the time constant of the average of demand. It is long
// enough to smooth single requests and short enough to follow bursts.
const demandWindow = time.Second

// demand is an exponentially weighted average of tokens per second.
type demand struct {
	rate float64
	last time.Time
}

// add counts n tokens asked for.
func (d *demand) add(now time.Time, n float64) {
	d.rate = d.at(now) + n/demandWindow.Seconds()
	d.last = now
}

// at returns the average at now, which is not before the last add.
func (d *demand) at(now time.Time) float64 {
	if d.rate == 0 {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.last).Seconds())/demandWindow.Seconds())
}
