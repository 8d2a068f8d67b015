package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	leaseCheckInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two checks of the lease above which the
	// process counts as having been paused. The lease may have lapsed in the pause
	// and been renewed since.
	pauseThreshold = 2 * time.Second
	// leasePollInterval is the interval between checks while waiting for the lease.
	leasePollInterval = 100 * time.Millisecond
)

// errListingOutdated reports that the jobs were last listed before the last lapse
// of the lease, so that a cancellation may have been missed.
var errListingOutdated = errors.New("unfinished jobs not listed since the lease lapsed")

// leaseMonitor records lapses of the freshness lease. While the lease holds,
// notices and heartbeats deliver cancellations. After a lapse the jobs must be
// listed again before items start.
type leaseMonitor struct {
	mu           sync.Mutex
	lastCheck    time.Time // zero before the first check
	lastLapse    time.Time // last time at which the lease did not hold
	listingStart time.Time // start of the last complete listing
}

// check records the state of the lease and returns an error when no item may
// start. admit is the result of Fleet.MayAdmit.
func (l *leaseMonitor) check(now time.Time, admit error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if admit != nil || !l.lastCheck.IsZero() && now.Sub(l.lastCheck) > pauseThreshold {
		l.lastLapse = now
	}
	l.lastCheck = now
	if admit != nil {
		return admit
	}
	if !l.lastLapse.IsZero() && !l.listingStart.After(l.lastLapse) {
		return errListingOutdated
	}
	return nil
}

func (l *leaseMonitor) recordListing(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listingStart = began
}

// checkMayStart returns nil while items may start, and an error otherwise.
func (s *Service) checkMayStart() error {
	now := s.now()
	return s.lease.check(now, s.o.Fleet.MayAdmit(now))
}

// leaseLoop checks the lease, and lists the jobs as soon as it holds again.
func (s *Service) leaseLoop() {
	for sleep(s.drainCtx, leaseCheckInterval) {
		if errors.Is(s.checkMayStart(), errListingOutdated) {
			s.refreshJobs(s.drainCtx)
		}
	}
}

// waitLease waits until the host's freshness lease holds.
func (s *Service) waitLease(ctx context.Context) error {
	return pollUntil(ctx, func() error { return s.o.Fleet.MayAdmit(s.now()) })
}

// waitMayStart waits until items may start.
func (s *Service) waitMayStart(ctx context.Context) error {
	return pollUntil(ctx, s.checkMayStart)
}

func pollUntil(ctx context.Context, ready func() error) error {
	for ready() != nil {
		if !sleep(ctx, leasePollInterval) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}
