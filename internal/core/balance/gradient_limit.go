package balance

import (
	"math"
	"time"
)

const (
	limitWindow                = 500 * time.Millisecond
	limitMinSamples            = 20
	limitMaxWindow             = 5 * time.Second // a window with few samples ends after this
	limitMinSamplesAtMaxWindow = 5               // samples below which such a window is discarded
	// limitLatencyTolerance is the ratio of latency to its minimum above which the
	// limit falls. Continuous batching roughly doubles the time per token between
	// an idle and a full engine.
	limitLatencyTolerance = 2.0
	// minLatencyDrift is the part of the distance to the window's mean by which
	// the minimum rises. It rises only at low load or at the lowest limit: if it
	// rose under load, the latency that a higher limit causes would raise the
	// limit further.
	minLatencyDrift  = 0.05
	lowLoadPart      = 0.5 // part of the limit below which a window is at low load
	limitSmoothing   = 0.2
	limitRangeFactor = 4.0 // the limit stays between initial/limitRangeFactor and initial*limitRangeFactor
	// minUsedPart is the part of the limit that must have been in use in a window
	// for its latency to show whether a larger limit would do.
	minUsedPart = 0.8
)

// gradientLimit adapts the limit of concurrent requests to the gradient, the
// ratio of minimum to current latency.
type gradientLimit struct {
	initial    float64
	limit      float64
	minLatency float64 // lowest mean latency of a window, s per token

	windowStart time.Time
	latencySum  float64
	samples     int
	peakLoad    float64 // highest load at send in the window
}

func (g *gradientLimit) reset(initial int) {
	*g = gradientLimit{initial: float64(initial), limit: float64(initial)}
}

// sample adds one latency and, at the end of a window, adjusts the limit.
func (g *gradientLimit) sample(now time.Time, perToken, load float64) {
	if g.samples == 0 {
		g.windowStart = now
		g.latencySum, g.peakLoad = 0, 0
	}
	g.latencySum += perToken
	g.samples++
	g.peakLoad = max(g.peakLoad, load)
	age := now.Sub(g.windowStart)
	switch {
	case age >= limitWindow && g.samples >= limitMinSamples, age >= limitMaxWindow && g.samples >= limitMinSamplesAtMaxWindow:
		g.adjust(g.latencySum / float64(g.samples))
		g.samples = 0
	case age >= limitMaxWindow:
		g.samples = 0
	}
}

// adjust updates the limit after a window with the given mean latency.
func (g *gradientLimit) adjust(mean float64) {
	if mean <= 0 {
		return
	}
	if g.minLatency == 0 || mean < g.minLatency {
		g.minLatency = mean
	}
	if g.peakLoad < lowLoadPart*g.limit || g.limit <= g.minLimit() {
		g.minLatency += minLatencyDrift * (mean - g.minLatency)
	}
	if g.peakLoad < minUsedPart*g.limit {
		return
	}
	gradient := min(1, max(0.5, limitLatencyTolerance*g.minLatency/mean))
	target := g.limit * gradient
	if gradient == 1 {
		target += max(1, math.Sqrt(g.limit)/2)
	}
	g.set(g.limit + limitSmoothing*(target-g.limit))
}

// cap lowers the limit to the requests that a server at capacity runs.
func (g *gradientLimit) cap(running int) {
	g.limit = max(g.minLimit(), min(g.limit, float64(running)))
}

func (g *gradientLimit) set(limit float64) {
	g.limit = min(g.initial*limitRangeFactor, max(g.minLimit(), limit))
}

func (g *gradientLimit) minLimit() float64 { return max(1, g.initial/limitRangeFactor) }
