package dispatch

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/backend"
	"ragwortstep/internal/core/balance"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/invariant"
)

const (
	// maxSends bounds the attempts of one request that sent at least one byte,
	// and maxAttempts all its attempts, including the first.
	maxSends    = 3
	maxAttempts = 6
	// bytesPerToken is the estimated ratio of prompt or response bytes to
	// tokens.
	bytesPerToken = 4.0
	// queueFullRetryAfter is the suggested delay when a workspace's queue is
	// full.
	queueFullRetryAfter = time.Second
)

// EstimateCost returns the estimated work in tokens of a request with the given
// prompt size and maximum number of generated tokens.
func EstimateCost(promptBytes, maxTokens int) float64 {
	return max(1, float64(promptBytes)/bytesPerToken+float64(maxTokens))
}

// Do waits for a slot, runs the request at a server of its pool and returns
// when the response header has arrived. The caller closes Response.Body.
//
// It returns *RefusedError when no response was obtained, *PreemptedError when
// an idempotent batch item was preempted by online work, and the context's
// error when the caller cancelled ctx after the request was sent. If ctx was
// cancelled before that, the error is a *RefusedError with ExecutedNo.
func (d *Dispatcher) Do(ctx context.Context, req *Request) (*Response, error) {
	j, err := d.admit(req)
	if err != nil {
		return nil, err
	}
	cancel := func() {}
	if !req.Deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
	}
	hasBody := false
	defer func() { // also after a panic
		if !hasBody {
			d.endRunOf(j)
			cancel()
			d.endCall()
		}
	}()
	resp, err := d.runJob(ctx, cancel, j)
	hasBody = err == nil
	return resp, err
}

// endRunOf frees the slot of a job's latest attempt if a panic has left it taken.
func (d *Dispatcher) endRunOf(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if j.run != nil {
		d.endRun(j.run, balance.Neutral, 0, time.Now())
		j.run.cancel(nil)
	}
}

// admit refuses requests that need not be queued, and counts the call as
// active.
func (d *Dispatcher) admit(req *Request) (*job, error) {
	j := &job{req: req, class: classOf(req.Class), cost: req.Cost, fingerprint: fingerprintOf(req), result: make(chan queueResult, 1)}
	if j.cost <= 0 {
		j.cost = EstimateCost(len(req.Body), 0)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining && j.class == schedule.Batch {
		return nil, j.refuse(http.StatusServiceUnavailable, "draining", "the host is shutting down", time.Second)
	}
	d.nextID++
	j.id = d.nextID
	d.budget.Request(time.Now())
	d.active++
	counters.Add("requests", 1)
	return j, nil
}

// endCall undoes the count of admit.
func (d *Dispatcher) endCall() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	invariant.Check(d.active >= 0, "active", "end call", "")
	d.signalIdle()
}

// runJob runs attempts of a job until it has a response or may not be retried.
func (d *Dispatcher) runJob(ctx context.Context, cancel context.CancelFunc, j *job) (*Response, error) {
	for {
		r, err := d.acquireSlot(ctx, j)
		if err != nil {
			return nil, err
		}
		j.run = r
		stop := context.AfterFunc(ctx, func() { r.cancel(context.Cause(ctx)) })
		resp, failure := d.send(r)
		if failure == nil && !d.shouldRetryResponse(r, resp) {
			return d.wrapResponse(r, resp, func() { stop(); cancel() }), nil
		}
		stop()
		if failure == nil {
			d.discard(r, resp)
			continue
		}
		if err := d.attemptFailed(ctx, r, failure); err != nil {
			return nil, err
		}
	}
}

// acquireSlot queues the job and waits for a slot.
func (d *Dispatcher) acquireSlot(ctx context.Context, j *job) (*run, error) {
	if err := ctx.Err(); err != nil {
		return nil, d.contextError(ctx, j)
	}
	p, err := d.enqueue(j)
	if err != nil {
		return nil, err
	}
	select {
	case g := <-j.result:
		return g.run, g.err
	case <-ctx.Done():
		d.abandon(p, j)
		return nil, d.contextError(ctx, j)
	}
}

// enqueue adds the job to its pool's queue.
func (d *Dispatcher) enqueue(j *job) (*poolState, error) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.quarantineError(j, now); err != nil {
		return nil, err
	}
	if d.bal.Pool(now, j.req.Pool).Servers == 0 {
		return nil, j.refuse(http.StatusServiceUnavailable, "no_server", "no server in pool "+strconv.Quote(j.req.Pool), time.Second)
	}
	p := d.pool(j.req.Pool)
	item := schedule.Item{ID: j.id, Workspace: j.req.Workspace, Class: j.class, Cost: j.cost, Deadline: j.req.Deadline, Weight: d.weights[j.req.Workspace]}
	if !p.queue.Push(item, d.maxQueue(j)) {
		counters.Add("queue_full", 1)
		return nil, j.refuse(http.StatusTooManyRequests, "queue_full", "too many requests of the workspace are waiting", queueFullRetryAfter)
	}
	p.waiting[j.id] = j
	p.divisionStale = true
	if j.class == schedule.Batch && p.batchSince.IsZero() {
		d.divideSlots(p, now) // the first item after a pause: see assumedDemand
	}
	d.schedule(p, now)
	return p, nil
}

// maxQueue returns the maximum number of waiting requests of the job's
// workspace. Retries are not bounded, because the request has been accepted
// already.
func (d *Dispatcher) maxQueue(j *job) int {
	if j.attempts > 0 {
		return 0
	}
	if j.class == schedule.Batch {
		return d.opts.BatchQueue
	}
	if w, ok := d.cfg.Workspaces[j.req.Workspace]; ok && w.MaxQueue > 0 {
		return w.MaxQueue
	}
	return defaultMaxQueue
}

// abandon removes a job from the queue after its context ended, or frees the
// slot that it was given in the meantime.
func (d *Dispatcher) abandon(p *poolState, j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.queue.Remove(j.id) {
		delete(p.waiting, j.id)
		return
	}
	if g := <-j.result; g.run != nil {
		g.run.cancel(context.Canceled)
		d.endRun(g.run, balance.Neutral, 0, time.Now())
	}
}

// send runs one attempt at its server.
func (d *Dispatcher) send(r *run) (*backend.Response, *backend.Error) {
	j := r.job
	invariant.Check(j.req.Idempotent || j.sends == 0, "I10", "send", r.server, "request", j.req.ID)
	j.attempts++
	if j.class == schedule.Batch && j.req.Idempotent && time.Since(r.started) > maxTickAge {
		// The process was paused after the slot was granted. The lease may have
		// expired and the item's job may have been cancelled.
		r.cancel(&PreemptedError{Server: r.server})
	}
	resp, err := d.client.Do(r.ctx, r.server, &backend.Request{
		ID: j.attemptID(), Method: j.req.Method, Path: j.req.Path, Header: j.req.Header, Body: j.req.Body,
		Stream: j.req.Stream, Idempotent: j.req.Idempotent,
	})
	if err == nil {
		j.sends++
		return resp, nil
	}
	var failure *backend.Error
	if !errors.As(err, &failure) {
		failure = &backend.Error{Stage: backend.NoResponse, Cause: backend.Broken, Step: "send", Peer: r.server, Err: err}
	}
	if failure.Stage > backend.NotSent {
		j.sends++
		if j.class != schedule.Batch || failure.Cause != backend.Broken {
			j.unanswered++
		}
	}
	return nil, failure
}

// attemptID returns an id that no other attempt of this host has, because callers may
// use an id again and an item keeps its own. A server that echoes it can't pass off an
// earlier answer as that of the attempt.
func (j *job) attemptID() string {
	return j.req.ID + "-" + strconv.FormatUint(j.id, 10) + "-" + strconv.Itoa(j.attempts)
}

// attemptFailed frees the slot of a failed attempt. It returns nil if the job
// may be retried, and otherwise the error for the caller.
func (d *Dispatcher) attemptFailed(ctx context.Context, r *run, failure *backend.Error) error {
	j := r.job
	now := time.Now()
	preempted := r.preempted()
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := failure.Cause == backend.Broken && failure.Stage != backend.NotSent
	if crashed && preempted == nil {
		d.recordConnectionLoss(r, now)
	}
	d.endRun(r, outcomeOf(failure), 0, now)
	r.cancel(nil)
	if preempted != nil {
		return preempted
	}
	if failure.Cause == backend.Cancelled {
		return d.contextError(ctx, j)
	}
	if failure.Cause == backend.Malformed && failure.Stage == backend.NotSent {
		return j.refuse(http.StatusBadRequest, "bad_request", failure.Error(), 0)
	}
	j.failedServers = append(j.failedServers, r.server)
	if d.mayRetry(j, failure.Stage == backend.NotSent, now) {
		counters.Add("retries", 1)
		return nil
	}
	return j.serverError(failure)
}

func (j *job) serverError(failure *backend.Error) *RefusedError {
	status, code := http.StatusBadGateway, "server_failed"
	if failure.Cause == backend.Silent {
		status, code = http.StatusGatewayTimeout, "server_silent"
	}
	if j.sends == 0 {
		status, code = http.StatusServiceUnavailable, "no_server"
	}
	out := j.refuse(status, code, failure.Error(), time.Second)
	out.Step, out.Peer = failure.Step, failure.Peer
	out.ServerLost = failure.Cause == backend.Broken && failure.Stage > backend.NotSent
	return out
}

// mayRetry reports whether a failed job may be retried, and takes the retry
// from the budget. A non-idempotent request may be retried only if nothing was
// sent.
func (d *Dispatcher) mayRetry(j *job, nothingSent bool, now time.Time) bool {
	if j.sends >= maxSends || j.attempts >= maxAttempts {
		return false
	}
	if maxUnanswered := j.req.MaxUnanswered; maxUnanswered > 0 && j.unanswered >= maxUnanswered {
		return false
	}
	if !j.req.Idempotent && (j.sends > 0 || !nothingSent) {
		return false
	}
	return d.budget.TakeRetry(now)
}

// outcomeOf returns what a failure means for the health of the server.
func outcomeOf(failure *backend.Error) balance.Outcome {
	switch failure.Cause {
	case backend.Cancelled:
		return balance.Neutral
	case backend.Malformed:
		if failure.Stage == backend.NotSent {
			return balance.Neutral
		}
	}
	return balance.Failed
}

// contextError returns the error of a job whose context ended.
func (d *Dispatcher) contextError(ctx context.Context, j *job) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return j.refuse(http.StatusGatewayTimeout, "deadline", "no response before the deadline", 0)
	}
	if j.sends == 0 {
		return j.refuse(statusClientClosedRequest, "cancelled", "the caller cancelled the request before it was sent", 0)
	}
	return errors.Wrapf(context.Cause(ctx), "dispatch to pool %s", j.req.Pool)
}

// statusClientClosedRequest is the status of requests whose caller closed the
// connection. It is not sent to anyone.
const statusClientClosedRequest = 499

// shouldRetryResponse reports whether a response says that the server could not
// accept the request, and the request may be sent to another server.
func (d *Dispatcher) shouldRetryResponse(r *run, resp *backend.Response) bool {
	if resp.Status != http.StatusServiceUnavailable || !r.job.req.Idempotent {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayRetry(r.job, false, time.Now())
}

// discard closes a response whose request is retried and frees its slot.
func (d *Dispatcher) discard(r *run, resp *backend.Response) {
	_ = resp.Body.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	r.job.failedServers = append(r.job.failedServers, r.server)
	counters.Add("retries", 1)
	d.endRun(r, balance.Failed, 0, time.Now())
	r.cancel(nil)
}
