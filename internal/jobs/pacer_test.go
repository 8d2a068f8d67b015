package jobs

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against unpaced commits when the platform recovers, and against delays
// without an outage.
func TestCommitPacingAfterOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := &pacer{interval: 50 * time.Millisecond, now: func() time.Time { return now }}
	for range 100 {
		is.Equal(p.reserve(), time.Duration(0))
	}
	p.recordFailure()
	var last time.Duration
	for range 100 {
		last = p.reserve()
	}
	is.True(last > 4*time.Second && last < 6*time.Second) // 20 commits per second
	now = now.Add(recoveryPeriod + time.Second)
	is.Equal(p.reserve(), time.Duration(0))
}
