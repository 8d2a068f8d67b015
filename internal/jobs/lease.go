package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// leaseTick is the interval at which the lease is looked at.
	leaseTick = 250 * time.Millisecond
	// pauseGap without a look means that the process was paused, perhaps for
	// longer than the freshness lease, which may have been renewed since.
	pauseGap = 2 * time.Second
	// leasePoll is the interval between looks at a lapsed lease.
	leasePoll = 100 * time.Millisecond
)

// errNotCurrent reports that the list of jobs is older than the last lapse of
// the lease, so that a cancellation may have been missed.
var errNotCurrent = errors.New("unfinished jobs not listed since the lease lapsed")

// leaseWatch notes lapses of the freshness lease. While the lease holds,
// notices and heartbeats carry cancellations; after a lapse the jobs must be
// listed again before items start.
type leaseWatch struct {
	mu       sync.Mutex
	looked   time.Time // last look, zero before the first
	lapsed   time.Time // last time at which the lease did not hold
	listedAt time.Time // begin of the last complete listing
}

// look notes the state of the lease and returns an error when no item may start.
func (l *leaseWatch) look(now time.Time, admit error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if admit != nil || !l.looked.IsZero() && now.Sub(l.looked) > pauseGap {
		l.lapsed = now
	}
	l.looked = now
	if admit != nil {
		return admit
	}
	if !l.lapsed.IsZero() && !l.listedAt.After(l.lapsed) {
		return errNotCurrent
	}
	return nil
}

func (l *leaseWatch) listed(began time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listedAt = began
}

// current returns nil while items may start.
func (s *Service) current() error {
	now := s.now()
	return s.lease.look(now, s.o.Fleet.MayAdmit(now))
}

// leaseLoop looks at the lease and lists the jobs as soon as it holds again.
func (s *Service) leaseLoop() {
	for sleep(s.draining, leaseTick) {
		if errors.Is(s.current(), errNotCurrent) {
			s.discover(s.draining)
		}
	}
}

// waitLease waits until the host's freshness lease holds.
func (s *Service) waitLease(ctx context.Context) error {
	return waitFor(ctx, func() error { return s.o.Fleet.MayAdmit(s.now()) })
}

// waitCurrent waits until items may start.
func (s *Service) waitCurrent(ctx context.Context) error {
	return waitFor(ctx, s.current)
}

func waitFor(ctx context.Context, ready func() error) error {
	for ready() != nil {
		if !sleep(ctx, leasePoll) {
			return ctx.Err()
		}
	}
	return ctx.Err()
}
