// Package bootclock reads the clock that also counts the time in which the
// machine was suspended. Leases and ages of knowledge use it: Go's monotonic
// clock stands still during a suspension.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"

	"ragwortstep/internal/core/freshness"
)

// Now returns the present reading. It falls back to the time since the
// process's start where the system has no such clock.
func Now() freshness.Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return freshness.Instant(time.Since(started))
	}
	return freshness.Instant(ts.Nano())
}

var started = time.Now()
