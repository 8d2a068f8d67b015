// Package jobs stores callers' files, runs batch jobs over the fleet, and
// serves /v1/files and /v1/batches in OpenAI's form.
//
// All durable state is in the platform. A host claims chunks of jobs, runs
// their items through the dispatcher and commits results by conditional
// updates of the chunk's progress, which are the only commit points. Any host
// can be lost at any time; the rules are in internal/core/batch.
package jobs

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/store"
)

// cleanupTimeout bounds the removal of what a failed request wrote.
const cleanupTimeout = 5 * time.Second

// finalCommitTimeout bounds the last commits of interrupted chunks in Close.
const finalCommitTimeout = 2 * time.Second

// counters are the package's expvar metrics.
var counters = expvar.NewMap("jobs")

// Service stores files and runs batch jobs on one host.
type Service struct {
	o              Options // with defaults set
	store          store.Store
	writer         *store.Writer
	owner          batch.Owner
	registry       *registry
	uploads        chan struct{}
	slots          *slots
	held           *heldResults
	commitPacer    *pacer
	pool           pond.Pool
	latestProgress *progressCache
	lease          leaseMonitor
	fillSignal     chan struct{} // wakes fillLoop
	finishSignal   chan struct{} // wakes finishLoop

	mu   sync.Mutex
	runs map[runKey]*chunkRun

	ctx         context.Context // ends when the process must stop at once
	stop        context.CancelFunc
	itemCtx     context.Context // ends when running items must stop
	cancelItems context.CancelFunc
	drainCtx    context.Context // ends when no further item may start
	startDrain  context.CancelFunc
	wg          sync.WaitGroup
	closing     bool // spawn starts nothing; guarded by mu
}

// New returns a service that serves callers at once and runs jobs after Start.
func New(o Options) *Service {
	o = o.withDefaults()
	s := &Service{
		o:              o,
		store:          o.Store,
		writer:         store.NewWriter(string(o.Host) + "/" + o.Incarnation),
		owner:          batch.Owner{Host: string(o.Host), Incarnation: o.Incarnation},
		uploads:        make(chan struct{}, o.MaxUploads),
		slots:          newSlots(o.Workers),
		held:           newHeldResults(o.HeldBytes, o.HeldDiskBytes, o.DataFolder),
		commitPacer:    &pacer{interval: time.Duration(float64(time.Second) / o.CommitRate), now: o.Now},
		pool:           pond.NewPool(o.Workers),
		latestProgress: newProgressCache(o.Now),
		fillSignal:     make(chan struct{}, 1),
		finishSignal:   make(chan struct{}, 1),
		runs:           map[runKey]*chunkRun{},
		registry:       newRegistry(o.Now),
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.itemCtx, s.cancelItems = context.WithCancel(s.ctx)
	s.drainCtx, s.startDrain = context.WithCancel(s.itemCtx)
	s.registry.onCancel = s.wakeFinish
	if o.Peers != nil {
		o.Peers.Handle(methodNotify, s.handleNotify)
	}
	if o.Fleet != nil {
		o.Fleet.Subscribe(sectionJobs, s.receiveSection)
	}
	return s
}

// Start starts the background loops that run jobs until Close. ctx bounds only
// the start itself.
func (s *Service) Start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Wrap(err, "start jobs")
	}
	if err := s.held.reset(); err != nil {
		return errors.Wrap(err, "start jobs")
	}
	for _, loop := range []func(){s.leaseLoop, s.discoverLoop, s.fillLoop, s.finishLoop, s.repairLoop, s.sweepLoop} {
		s.spawn(loop)
	}
	return nil
}

// Close starts no further items, waits until running items finish or ctx ends,
// commits their results and releases the claimed chunks. Items still running
// when ctx ends are interrupted; another host runs them again.
func (s *Service) Close(ctx context.Context) error {
	s.startDrain()
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.cancelItems()
		select {
		case <-done:
		case <-time.After(finalCommitTimeout):
		}
	}
	s.stop()
	<-done
	s.pool.StopAndWait()
	return errors.Wrap(s.held.reset(), "close jobs")
}

// spawn runs fn in the background, unless the service is closing.
func (s *Service) spawn(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closing {
		s.wg.Go(fn)
	}
}

func (s *Service) now() time.Time { return s.o.Now() }

// wakeFill makes the fill loop look for claimable chunks.
func (s *Service) wakeFill() {
	select {
	case s.fillSignal <- struct{}{}:
	default:
	}
}

func (s *Service) recordEvent(e events.Event) {
	if s.o.Events != nil {
		s.o.Events.Record(e)
	}
}

// runPeriodically calls fn until the service drains, with jittered pauses whose
// mean is interval.
func (s *Service) runPeriodically(interval func() time.Duration, fn func(ctx context.Context)) {
	for sleep(s.drainCtx, jitter(interval())) {
		fn(s.drainCtx)
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns a random duration from 3/4 to 5/4 of d, so that hosts do not
// call the platform at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}
