package bulk

import (
	"time"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/core/freshness"
)

// suspensionDetector detects that the machine was suspended: the boot clock
// advances during a suspension and the monotonic clock does not.
type suspensionDetector struct {
	boot freshness.Instant
	at   time.Time
}

// minSuspension is the difference between the clocks that counts as a suspension.
const minSuspension = 300 * time.Millisecond

// detected reports whether there was a suspension since the last call.
func (w *suspensionDetector) detected() bool {
	boot, at := bootclock.Now(), time.Now()
	gap := boot.Sub(w.boot) - at.Sub(w.at)
	first := w.at.IsZero()
	w.boot, w.at = boot, at
	return !first && gap > minSuspension
}
