package balance

import (
	"math"
	"time"
)

const (
	kneeWindow     = 500 * time.Millisecond
	kneeMinSamples = 20
	kneeMaxWindow  = 5 * time.Second // a window with few samples ends after this
	kneeMinAtMax   = 5               // samples below which such a window is discarded
	// kneeTolerance is how far the latency may rise above its minimum before
	// the limit falls. Continuous batching roughly doubles the time per token
	// between an idle and a full engine.
	kneeTolerance = 2.0
	// kneeMinDrift is the part of the distance to the window's mean that the
	// minimum rises. It rises only at low load or at the lowest limit: if it
	// rose under load, the limit would follow its own latency upwards.
	kneeMinDrift  = 0.05
	kneeIdle      = 0.5 // part of the limit below which a window is at low load
	kneeSmoothing = 0.2
	kneeRange     = 4.0 // the limit stays within the first value times or divided by this
	// kneeBusy is the part of the limit that must have been in use for a
	// window to say anything about a larger limit.
	kneeBusy = 0.8
)

// knee learns the limit of concurrent requests from the gradient of latency
// against its minimum.
type knee struct {
	first   float64
	limit   float64
	minimum float64 // lowest mean latency of a window, s per token

	started time.Time
	sum     float64
	count   int
	peak    float64 // highest load at send in the window
}

func (k *knee) reset(first int) {
	*k = knee{first: float64(first), limit: float64(first)}
}

// sample adds one latency and, at the end of a window, adjusts the limit.
func (k *knee) sample(now time.Time, perToken, load float64) {
	if k.count == 0 {
		k.started = now
		k.sum, k.peak = 0, 0
	}
	k.sum += perToken
	k.count++
	k.peak = max(k.peak, load)
	age := now.Sub(k.started)
	switch {
	case age >= kneeWindow && k.count >= kneeMinSamples, age >= kneeMaxWindow && k.count >= kneeMinAtMax:
		k.adjust(k.sum / float64(k.count))
		k.count = 0
	case age >= kneeMaxWindow:
		k.count = 0
	}
}

// adjust moves the limit after a window with the given mean latency.
func (k *knee) adjust(mean float64) {
	if mean <= 0 {
		return
	}
	if k.minimum == 0 || mean < k.minimum {
		k.minimum = mean
	}
	if k.peak < kneeIdle*k.limit || k.limit <= k.lowest() {
		k.minimum += kneeMinDrift * (mean - k.minimum)
	}
	if k.peak < kneeBusy*k.limit {
		return
	}
	gradient := min(1, max(0.5, kneeTolerance*k.minimum/mean))
	target := k.limit * gradient
	if gradient == 1 {
		target += max(1, math.Sqrt(k.limit)/2)
	}
	k.set(k.limit + kneeSmoothing*(target-k.limit))
}

// cap lowers the limit to what a server with a queue of its own runs at once.
func (k *knee) cap(running int) {
	k.limit = max(k.lowest(), min(k.limit, float64(running)))
}

func (k *knee) set(limit float64) {
	k.limit = min(k.first*kneeRange, max(k.lowest(), limit))
}

// lowest is the lower bound of the limit.
func (k *knee) lowest() float64 { return max(1, k.first/kneeRange) }
