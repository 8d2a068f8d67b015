package hedge

import (
	"math"
	"time"
)

const (
	// Buckets of a histogram are bucketsPerDoubling to a factor of two, from 1 ms up.
	bucketsPerDoubling = 4
	buckets            = 64 // the last one begins at 55 s
	// generation is how long a histogram counts before it becomes the former one. What
	// is known reaches back one to two generations.
	generation = time.Minute
)

// histogram counts times to the first byte. Bucket i holds those over bound(i-1) and up
// to bound(i).
type histogram [buckets]uint32

// bound returns the upper bound of a bucket.
func bound(i int) time.Duration {
	return time.Duration(float64(time.Millisecond) * math.Exp2(float64(i)/bucketsPerDoubling))
}

func bucketOf(d time.Duration) int {
	if d <= time.Millisecond {
		return 0
	}
	return min(int(math.Ceil(bucketsPerDoubling*math.Log2(float64(d)/float64(time.Millisecond)))), buckets-1)
}

func (h *histogram) add(o *histogram) {
	for i, n := range o {
		h[i] += n
	}
}

func (h *histogram) total() (n uint64) {
	for _, c := range h {
		n += uint64(c)
	}
	return n
}

// quantile returns an upper bound of the quantile; the histogram must not be empty.
func (h *histogram) quantile(q float64) time.Duration {
	rank, seen := uint64(math.Ceil(q*float64(h.total()))), uint64(0)
	for i, n := range h {
		if seen += uint64(n); seen >= max(rank, 1) {
			return bound(i)
		}
	}
	return bound(buckets - 1)
}

// times is a histogram of the last one to two generations.
type times struct {
	current, former histogram
	since           time.Time // begin of the current generation
}

func (t *times) add(d time.Duration, now time.Time) {
	t.advance(now)
	t.current[bucketOf(d)]++
}

// advance makes the current generation the former one when its time is over.
func (t *times) advance(now time.Time) {
	age := now.Sub(t.since)
	switch {
	case age < generation:
		return
	case age < 2*generation:
		t.former = t.current
	default:
		t.former = histogram{}
	}
	t.current, t.since = histogram{}, now
}

func (t *times) sum(now time.Time) histogram {
	t.advance(now)
	out := t.former
	out.add(&t.current)
	return out
}
