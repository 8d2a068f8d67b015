// Package bootclock reads a monotonic clock that includes the time during which
// the machine was suspended. Leases and freshness checks need it, because Go's
// monotonic clock stops during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"ragwortstep/internal/core/freshness"
)

// Now returns the current time of the clock. On systems without CLOCK_BOOTTIME
// it falls back to the time since the process started.
func Now() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return freshness.Instant(time.Since(started))
	}
	return freshness.Instant(ts.Nano())
}

var started = time.Now()
