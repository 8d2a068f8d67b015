package schedule

import "time"

const (
	// waveGap is how long no request has to be late before a wave counts as over. A host
	// with few callers has shorter pauses within a wave.
	waveGap = time.Second
	// waveDecay is the weight of the previous value in the mean lengths. It is small,
	// because a host sees few waves before their pattern changes.
	waveDecay = 0.5
	// maxWave bounds what counts as a wave. A longer span is a lasting overload and tells
	// nothing about the next wave.
	maxWave = 30 * time.Second
)

// Waves learns from the times at which requests are late how long waves of load last. The
// zero value has seen no wave.
type Waves struct {
	began, last time.Time // of the wave that goes on, or of the last one
	length      time.Duration
	nextReturn  time.Time // when the next caller that is sent around may return
}

// Observe records that a request became late, or is expected to.
func (w *Waves) Observe(now time.Time) {
	switch {
	case w.began.IsZero():
		w.began = now
	case now.Sub(w.last) > waveGap:
		w.length = learn(w.length, w.last.Sub(w.began))
		w.began = now
	}
	w.last = now
}

func learn(old, seen time.Duration) time.Duration {
	switch {
	case seen > maxWave:
		return old
	case old == 0:
		return seen
	}
	return time.Duration(waveDecay*float64(old) + (1-waveDecay)*float64(seen))
}

// Left returns how long the wave is expected to go on; false if no wave is known to have
// ended, or this one has lasted for longer than those before.
func (w *Waves) Left(now time.Time) (time.Duration, bool) {
	if w.length == 0 || now.Sub(w.last) > waveGap {
		return 0, false
	}
	left := w.length - now.Sub(w.began)
	return left, left > 0
}

// returnShare is the part of the rate of grants that callers which were sent around may
// use when they return. The rest is for the new requests of the valley.
const returnShare = 0.4

// NextReturn returns when a caller that is sent around now should return: after the wave,
// and paced so that the callers don't return together. It is false if no end of the wave is
// known, or if that is later than longest.
func (w *Waves) NextReturn(now time.Time, rate float64, longest time.Duration) (time.Duration, bool) {
	left, known := w.Left(now)
	if !known {
		return 0, false
	}
	at := now.Add(left)
	if w.nextReturn.After(at) {
		at = w.nextReturn
	}
	if at.Sub(now) > longest {
		return 0, false
	}
	w.nextReturn = at.Add(time.Duration(float64(time.Second) / (rate * returnShare)))
	return at.Sub(now), true
}
