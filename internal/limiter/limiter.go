// Package limiter enforces each workspace's rate and burst over all hosts
// together. It drives core/limit and borrows tokens from other hosts.
package limiter

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/invariant"
)

// minRetryAfter is the least suggested delay, so that refused callers do not
// retry immediately.
const minRetryAfter = 50 * time.Millisecond

// Limiter admits requests within the limits of all hosts together. It is safe
// for concurrent use.
type Limiter struct {
	opts   Options
	self   limit.Identity
	wakeup chan struct{}

	mu           sync.Mutex
	state        *limit.State
	applied      appliedView
	queues       map[string]*queue
	waitingCount int
	lastFullPlan time.Time // last plan for all active workspaces
	inFlight     map[limit.Identity]bool
	lastSent     map[limit.Identity]time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// appliedView holds the parts of a view that affect shares.
type appliedView struct {
	epoch                 uint64
	revision              int64
	settled, epochSettled bool
	limitsUnknown         bool
	lapses                uint64
}

// New returns a limiter and registers its methods with opts.Peers, which must
// be started later. Call Start to run the limiter.
func New(opts Options) *Limiter {
	opts = opts.withDefaults()
	l := &Limiter{
		opts:     opts,
		self:     limit.Identity{Host: string(opts.Fleet.View().Self), Incarnation: opts.Incarnation},
		wakeup:   make(chan struct{}, 1),
		queues:   map[string]*queue{},
		inFlight: map[limit.Identity]bool{},
		lastSent: map[limit.Identity]time.Time{},
	}
	l.state = limit.New(limit.Options{
		Self: l.self, Policy: opts.Policy, Rand: opts.Rand,
		GrantLifetime: opts.GrantLifetime, GrantMargin: opts.GrantMargin,
	})
	l.ctx, l.cancel = context.WithCancel(context.Background())
	opts.Peers.Handle(methodBorrow, l.serveBorrow)
	opts.Peers.Handle(methodHandover, l.serveHandover)
	return l
}

// Start subscribes to the fleet's view and starts borrowing. It returns at
// once; the limiter runs until Close or until ctx ends.
func (l *Limiter) Start(ctx context.Context) {
	l.opts.Fleet.OnView(l.applyView)
	context.AfterFunc(ctx, l.cancel)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.loop()
	}()
}

// Close stops the limiter. Waiting requests are refused.
func (l *Limiter) Close() error {
	l.mu.Lock() // goroutines are started under the lock, so none starts after this
	l.cancel()
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}

// applyView applies the shares that result from a view. The configuration
// matches the view, because the fleet updates both before this callback.
func (l *Limiter) applyView(v fleet.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	applied := appliedView{v.Epoch, v.Revision, v.Settled, v.EpochSettled, v.LimitsUnknown, v.Lapses}
	if applied == l.applied || v.Epoch == 0 {
		return
	}
	l.applied = applied
	g := limit.Generation{
		Number:  membership.Generation{Epoch: v.Epoch, Revision: v.Revision},
		Members: make([]limit.Identity, len(v.Members)), Prior: v.Prior,
		Limits: map[string]limit.Limit{}, Earlier: map[string][]limit.Limit{},
		LimitsUnknown: v.LimitsUnknown, EpochSettled: v.EpochSettled, Settled: v.Settled, Lapses: v.Lapses,
	}
	for i, m := range v.Members {
		g.Members[i] = limit.Identity{Host: string(m.Host), Incarnation: m.Incarnation}
	}
	for name, earlier := range v.EarlierLimits {
		for _, e := range earlier {
			g.Earlier[name] = append(g.Earlier[name], limit.Limit(e))
		}
	}
	if snapshot := l.opts.Fleet.Config(); snapshot != nil {
		for name, w := range snapshot.Workspaces {
			g.Limits[name] = limit.Limit{Rate: w.Rate, Burst: w.Burst}
		}
	}
	now := l.opts.Now()
	maps.DeleteFunc(l.lastSent, func(_ limit.Identity, at time.Time) bool { return now.Sub(at) > time.Minute })
	// The fleet calls this before it renews the lease, so the check covers the
	// tokens held until now.
	g.Fresh = l.opts.Fleet.MayAdmit(now) == nil
	l.state.Apply(now, g)
	l.sendHandovers(l.state.DrainHandovers())
}

// Acquire takes n tokens of the workspace. An online request waits at most
// Options.Wait, plus settlingExtraWait while shares settle, and then fails with
// *RefusedError. A batch item waits until ctx ends. Without a freshness lease
// an online request fails with the error of fleet.Service.MayAdmit. An unknown
// workspace fails with ErrUnknownWorkspace.
func (l *Limiter) Acquire(ctx context.Context, workspace string, n float64, class Class) error {
	w, err := l.admitOrQueue(workspace, n, class)
	if w == nil {
		return err
	}
	stats.Add("waited", 1)
	var expired <-chan time.Time
	if class == Online {
		timer := time.NewTimer(w.timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case err := <-w.result:
		return err
	case <-expired:
		return l.cancelWait(workspace, w, nil)
	case <-ctx.Done():
		return l.cancelWait(workspace, w, ctx.Err())
	case <-l.ctx.Done():
		return l.cancelWait(workspace, w, errors.Wrap(l.ctx.Err(), "limiter closed"))
	}
}

// admitOrQueue admits or refuses a request at once, or returns a queued waiter.
func (l *Limiter) admitOrQueue(workspace string, n float64, class Class) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	leaseErr := l.opts.Fleet.MayAdmit(now)
	if leaseErr != nil && class == Online {
		stats.Add("not_fresh", 1)
		return nil, leaseErr
	}
	lim, ok := l.state.Limit(workspace)
	if !ok {
		return nil, errors.Wrap(ErrUnknownWorkspace, workspace)
	}
	if !(n > 0) || math.IsInf(n, 0) {
		return nil, errors.Newf("acquire of %v tokens", n)
	}
	l.state.RecordDemand(now, workspace, n, class == Batch)
	q := l.queue(workspace)
	if leaseErr == nil && q.noneAhead(class) && l.take(now, workspace, n, class) {
		return nil, nil
	}
	if class == Online && l.exceedsMaxWait(lim, q, n) {
		return nil, l.refusedError(workspace, lim, q, n)
	}
	w := q.push(n, class)
	w.timeout = l.maxWait(now, workspace)
	l.waitingCount++
	l.wakeLoop()
	return w, nil
}

// maxWait returns how long an online request may wait for its tokens. While
// shares settle, a host cannot determine whether the workspace is within its
// rate.
func (l *Limiter) maxWait(now time.Time, workspace string) time.Duration {
	if l.opts.Wait == 0 || l.state.FullLimitInForce(now, workspace) {
		return l.opts.Wait
	}
	return l.opts.Wait + settlingExtraWait
}

// exceedsMaxWait reports whether a request cannot get its tokens within
// Options.Wait, even if this host received the whole rate.
func (l *Limiter) exceedsMaxWait(lim limit.Limit, q *queue, n float64) bool {
	if n > lim.Burst || lim.Rate <= 0 {
		return true
	}
	return q.tokens[Online]+n > lim.Burst+lim.Rate*l.opts.Wait.Seconds()
}

func (l *Limiter) refusedError(workspace string, lim limit.Limit, q *queue, n float64) error {
	stats.Add("refused", 1)
	retry := l.opts.Wait
	if lim.Rate > 0 {
		retry = time.Duration((q.tokens[Online] + n) / lim.Rate * float64(time.Second))
	}
	return &RefusedError{Workspace: workspace, RetryAfter: max(retry, minRetryAfter)}
}

// take consumes tokens and counts the admission. The caller holds mu and has
// checked the freshness lease at time now.
func (l *Limiter) take(now time.Time, workspace string, n float64, class Class) bool {
	if !l.state.Take(now, workspace, n, class == Batch) {
		return false
	}
	invariant.Check(l.state.TokensWithinShare(workspace), "I7", "take tokens", l.self.Host, "workspace", workspace)
	if class == Batch {
		stats.Add("admitted_batch", 1)
	} else {
		stats.Add("admitted", 1)
	}
	return true
}

// cancelWait removes a waiter from its queue, unless it was admitted in the
// meantime. A nil cause means that the wait timed out.
func (l *Limiter) cancelWait(workspace string, w *waiter, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	default:
	}
	q := l.queue(workspace)
	q.remove(w)
	l.waitingCount--
	if cause != nil {
		return cause
	}
	lim, _ := l.state.Limit(workspace)
	return l.refusedError(workspace, lim, q, w.amount)
}

func (l *Limiter) queue(workspace string) *queue {
	q := l.queues[workspace]
	if q == nil {
		q = &queue{}
		l.queues[workspace] = q
	}
	return q
}

func (l *Limiter) wakeLoop() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
