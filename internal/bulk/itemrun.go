package bulk

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

const (
	// itemTimeout bounds one run of an item at a server. A run takes 2.5 to 5 s at
	// an idle server and longer at a loaded one.
	itemTimeout = 60 * time.Second
	// firstByteTimeout and eventGapTimeout bound the waits for a server's first
	// byte and next event, after which the item continues at another server. They
	// double, up to maxPatience times, when a run ends by them without any event or the
	// item is run from the start, so that an item completes also if all servers are
	// silent for longer. What silences have added is halved again by calmEvents events in
	// a row that came within eventGapTimeout.
	firstByteTimeout = 5 * time.Second
	eventGapTimeout  = 2 * time.Second
	maxPatience      = 8
	calmEvents       = 8
	// minRetryDelay and maxRetryDelay bound the delay after a failed run.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// maxHeadAge is the age of the copy of the heads above which no item starts,
	// because the job may have been ended in the meantime.
	maxHeadAge = 15 * time.Second
	// retentionMargin is added to the route's retention before an item becomes a
	// dead letter, to allow for differences between the hosts' clocks.
	retentionMargin = 3 * time.Second
	// routeGrace is how long a job's route must be missing from the configuration before
	// items are given up: the next version may bring it back.
	routeGrace = 5 * time.Second
	// maxSlotWait is how long an item waits for a slot before its route, which may have
	// moved to another service, and its retention are checked again.
	maxSlotWait = time.Second
	// maxPendingBytes bounds a job's outputs that are not listed yet. Above it no
	// item of the job starts.
	maxPendingBytes = 16 << 20
	// maxLostRests is how many servers may fail to go on with an output before the
	// item is run from the start.
	maxLostRests = 2
	// emptyAnswers is how many complete answers without an event, from the start of the
	// item, mean that its output is empty.
	emptyAnswers = 3
)

// start runs the items of a loaded job that have not ended yet. ctx is that of the
// claim.
func (s *Service) start(ctx context.Context, j *job) {
	j.mu.Lock()
	if ctx.Err() != nil {
		j.mu.Unlock()
		return
	}
	j.loaded = true
	if j.ended || j.list.Complete() {
		j.mu.Unlock()
		s.markComplete(j)
		return
	}
	var todo []*Item
	for _, id := range j.head.Items {
		if item, ok := j.items[id]; ok && !j.list.Ended(id) {
			todo = append(todo, item)
		}
	}
	// Results may be pending from before this host temporarily lost the job.
	left := j.list.Pending() > 0 && !j.committing
	j.committing = j.committing || left
	j.mu.Unlock()
	if left {
		go s.commitLoop(j)
	}
	s.opts.Cluster.SendNow()
	for _, item := range todo {
		s.submitItem(ctx, &itemRun{s: s, j: j, item: item, silences: 1, lateEnds: 1})
	}
}

// itemRun is the state of one item across its runs at servers.
type itemRun struct {
	s           *Service
	j           *job
	item        *Item
	output      bytes.Buffer
	held        *upstream.HeldAnswer // counts the output, nil without one
	eventCount  int
	lastEventID int64 // of the last complete event
	lostRests   int   // answers in a row that did not go on with the output
	empty       int   // complete answers without an event, since the last event
	failures    int   // responses with status 422 or 500
	retryDelay  time.Duration
	lastServer  string         // id of the server that ran the item last and may keep its prompt
	tried       []string       // servers that failed since the last progress
	connections upstream.Sends // those that the item was sent on
	silences    time.Duration  // factor of the waits for a server, from its silences
	lateEnds    time.Duration  // the same, from runs from the start
	calm        int            // events in a row that came within eventGapTimeout
	progressed  bool           // the current run has made an event
}

// submitItem passes an item to the workers of its route.
func (s *Service) submitItem(ctx context.Context, r *itemRun) {
	s.workersOf(r.j).Submit(func() { s.runItem(ctx, r) })
}

// workersOf returns the workers of a job's route. Items of different routes wait for
// different servers.
func (s *Service) workersOf(j *job) pond.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool, ok := s.workers[j.head.Route]
	if !ok {
		pool = pond.NewPool(maxConcurrentItems)
		s.workers[j.head.Route] = pool
	}
	return pool
}

// runItem runs an item until it has ended or ctx ends. One that cannot start for now lets
// items go first that wait for a worker. After a panic the item starts over: the worker
// pool would drop its task without a trace.
func (s *Service) runItem(ctx context.Context, r *itemRun) {
	for ctx.Err() == nil {
		state := itemBlocked
		err := s.guarded("run item", r.j.id, func() error {
			state = r.step(ctx)
			return nil
		})
		if err != nil {
			r.startOver()
			_ = pause(ctx, maxRetryDelay) // the loop checks ctx
		}
		if state == itemEnded {
			r.dropOutput()
			return
		}
		if state == itemBlocked && s.workersOf(r.j).WaitingTasks() > 0 {
			s.submitItem(ctx, r) // another worker may have r from now on
			return
		}
	}
	r.dropOutput()
}

// itemState is the state of an item after a step.
type itemState int

const (
	itemBlocked itemState = iota // it has no route, or no server takes it
	itemWaiting                  // for a slot or its next run
	itemEnded
)

// step waits for a slot and runs the item once.
func (r *itemRun) step(ctx context.Context) itemState {
	fresh := r.s.opts.Config.Fresh() // before the route, which is then at least as new
	route := r.s.route(r.j)
	if state, reason := r.deadLetterReason(route, fresh); state != "" {
		r.finish(itemlist.Result{ID: r.item.ID, State: state}, reason)
		return itemEnded
	}
	if route == nil || !r.s.mayStart(r.j) { // the latter may know a newer configuration
		_ = pause(ctx, maxRetryDelay) // the caller checks ctx
		return itemBlocked
	}
	slot, err := r.acquire(ctx, route)
	if errors.Is(err, errSlotWait) {
		return itemWaiting
	}
	if err != nil && r.tried == nil {
		r.backOff(ctx)
		return itemBlocked
	}
	if err != nil { // perhaps one of those that were tried takes it
		r.backOff(ctx)
		r.tried = nil
		return itemWaiting
	}
	if done := r.attempt(ctx, slot); done != nil {
		r.finish(*done, "a server rejected it permanently")
		return itemEnded
	}
	return itemWaiting
}

// route returns the job's route in the current configuration, or nil.
func (s *Service) route(j *job) *routing.Route {
	if snapshot := s.opts.Config.Current(); snapshot != nil {
		return snapshot.ByName(j.head.Route)
	}
	return nil
}

// deadLetterReason returns the state DeadLetter and the reason if the item must
// not be run again, and empty strings otherwise.
func (r *itemRun) deadLetterReason(route *routing.Route, fresh bool) (itemlist.State, string) {
	if r.j.lostRoute(route != nil, fresh, time.Now()) {
		return itemlist.DeadLetter, "the route was removed"
	}
	if route == nil {
		return "", ""
	}
	if r.failures >= route.MaxAttempts {
		return itemlist.DeadLetter, "it failed in all attempts"
	}
	if route.Retention > 0 && time.Since(r.j.accepted) > route.Retention+retentionMargin {
		return itemlist.DeadLetter, "its retention has expired"
	}
	return "", ""
}

// lostRoute notes whether the job's route is in the configuration, and reports whether
// it has been missing for routeGrace.
func (j *job) lostRoute(found, fresh bool, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case found:
		j.noRouteSince = time.Time{}
	case !fresh:
	case j.noRouteSince.IsZero():
		j.noRouteSince = now
	default:
		return now.Sub(j.noRouteSince) >= routeGrace
	}
	return false
}

// checkRoutes notes which jobs that this host runs have their route, so that a return of
// the route counts also while no item looks.
func (s *Service) checkRoutes(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if j.isOwned() {
			fresh := s.opts.Config.Fresh() // before the route, which is then at least as new
			j.lostRoute(s.route(j) != nil, fresh, now)
		}
	}
}

// mayStart reports whether an item of the job may be sent to a server.
func (s *Service) mayStart(j *job) bool {
	if age, ok := s.opts.Informer.Age(headPrefix); !ok || age > maxHeadAge {
		return false
	}
	if s.route(j) == nil {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.PendingBytes() < maxPendingBytes
}

// errSlotWait is the cause of a wait for a slot that took maxSlotWait.
var errSlotWait = errors.New("no slot became free")

func (r *itemRun) acquire(ctx context.Context, route *routing.Route) (*slots.Slot, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, maxSlotWait, errSlotWait)
	defer cancel()
	return r.s.opts.Slots.Acquire(ctx, r.slotRequest(route))
}

// mayUse reports whether the item may still be sent to the slot's server after its
// wait for the slot.
func (r *itemRun) mayUse(slot *slots.Slot) bool {
	route := r.s.route(r.j)
	return r.s.mayStart(r.j) && route != nil && route.HasTarget(slot.Server.Service)
}

func (r *itemRun) slotRequest(route *routing.Route) slots.Request {
	deadline := r.j.accepted.Add(route.Completion)
	return slots.Request{
		Service: route.Service(rand.Float64()), Class: placement.Batch, Workspace: r.j.head.Workspace,
		Cost: r.item.Tokens, Deadline: deadline, LatestStart: r.s.pace.latestStart(deadline, r.eventCount, r.outputTokens()), Tried: r.tried,
		Left: r.s.pace.remaining(r.eventCount, r.outputTokens()), Prefer: r.lastServer,
	}
}

// outputTokens returns the tokens that the item's submitter expects it to make, 0 if unknown.
func (r *itemRun) outputTokens() float64 { return r.s.opts.Items.OutputTokens(r.item) }

// finish passes the result of an ended item to the commit loop.
func (r *itemRun) finish(result itemlist.Result, reason string) {
	s, j := r.s, r.j
	s.opts.Metrics.Add("items_ended_total", 1, "route", j.head.Route, "state", string(result.State))
	if result.State == itemlist.DeadLetter {
		s.log.Warn("item is a dead letter", "event", "item_dead_letter", "job", j.id, "item", result.ID, "reason", reason, "failures", r.failures)
	}
	if j.addResult(result) {
		go s.commitLoop(j)
	}
}

// addResult adds the result of an item to the pending ones. It reports whether the
// caller must run a commitLoop.
func (j *job) addResult(result itemlist.Result) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	added := !j.ended && j.list.Add(result)
	run := added && !j.committing && j.owned
	j.committing = j.committing || run
	return run
}

// backOff pauses after a failed run, with exponential delays.
func (r *itemRun) backOff(ctx context.Context) {
	r.retryDelay = min(max(2*r.retryDelay, minRetryDelay), maxRetryDelay)
	_ = pause(ctx, r.retryDelay) // the caller's loop checks ctx
}

// attempt runs the item, or the rest of it, at one server. It returns the result
// if the item has ended, otherwise nil. The slot is released, also after a panic.
func (r *itemRun) attempt(ctx context.Context, slot *slots.Slot) *itemlist.Result {
	released := false
	release := func(outcome placement.Outcome, units float64) {
		released = true
		slot.Done(outcome, units)
	}
	defer func() {
		if !released {
			release(placement.Neutral, 0)
		}
	}()
	if !r.mayUse(slot) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	preemption := make(chan struct{})
	go func() { // ends with the attempt
		select {
		case <-slot.Preempted:
			close(preemption)
			cancel()
		case <-ctx.Done():
		}
	}()
	began, eventsBefore := time.Now(), r.eventCount
	result, outcome, units := r.exchange(ctx, slot)
	preempted := false
	select {
	case <-preemption:
		preempted = true
		if outcome == placement.Failed {
			outcome = placement.Neutral
		}
	default:
	}
	release(outcome, units)
	switch {
	case result != nil:
		return result
	case preempted:
		r.s.opts.Metrics.Add("items_stepped_aside_total", 1, "route", r.j.head.Route)
		r.s.log.Info("item was preempted", "event", "item_preempted", "job", r.j.id, "item", r.item.ID, "server", slot.Server.ID, "reason", string(slot.PreemptReason()),
			"ran_ms", time.Since(began).Milliseconds(), "events", r.eventCount, "events_before", eventsBefore, "left_ms", r.s.pace.remaining(r.eventCount, r.outputTokens()).Milliseconds())
	case outcome == placement.Success && units > 0:
	default:
		r.backOff(ctx)
	}
	return nil
}

// exchange sends the item to a server and collects its events.
func (r *itemRun) exchange(ctx context.Context, slot *slots.Slot) (*itemlist.Result, placement.Outcome, float64) {
	s := r.s
	r.progressed = false
	resume := r.eventCount > 0
	header := s.opts.Items.ItemHeader(r.item, r.j.head.Workspace, slot.Server.Instance, itemTimeout, resume, r.lastEventID)
	resp, err := s.opts.Upstream.Do(ctx, slot.Server.Address, &upstream.Request{
		Method: http.MethodPost, Target: r.item.Path, Host: r.j.head.Host, Header: header, Body: r.item.Body, FirstByteTimeout: r.patience() * firstByteTimeout,
		Sends: &r.connections,
	})
	if err != nil && ctx.Err() != nil {
		return nil, placement.Neutral, 0
	}
	if err != nil {
		return nil, r.recordFailure(slot, err), 0
	}
	defer resp.Body.Close()
	meta := s.opts.Codec.ResponseMeta(resp.Status, resp.Header)
	if meta.Load != nil {
		slot.UpdateServerLoad(meta.Load.Running, meta.Load.Waiting, meta.Load.Slots, meta.Load.Slowdown)
	}
	if meta.ColdFor != nil && !meta.Misdirected {
		slot.UpdateCold(*meta.ColdFor)
	}
	if meta.ServerLeaves(r.item.ID) {
		slot.MarkLeaving(r.item.ID)
	}
	switch {
	case meta.ID != r.item.ID:
		return nil, r.recordFailure(slot, errors.New("the response belongs to another request")), 0
	case meta.NotRun:
		resp.Body.Discard()
		return nil, placement.Rejected, 0
	case resp.Status == http.StatusOK && meta.Sealed && !meta.Encoded:
		return r.collect(ctx, slot, resp)
	}
	return r.handleServerError(slot, resp, meta)
}

// handleServerError handles an error response of a server, which counts only as a whole.
func (r *itemRun) handleServerError(slot *slots.Slot, resp *upstream.Response, meta online.ResponseMeta) (*itemlist.Result, placement.Outcome, float64) {
	resp.Body.SetReadTimeout(r.patience() * eventGapTimeout)
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, upstream.MaxAnswerBytes+1))
	if err == nil && n > upstream.MaxAnswerBytes {
		err = upstream.ErrAnswerTooLarge
	}
	if err == nil && !meta.Sealed {
		err = errors.New("response without the server's signature")
	}
	if err != nil {
		return nil, r.recordFailure(slot, errors.Wrapf(err, "status %d", resp.Status)), 0
	}
	r.s.log.Info("server returned an error for an item", "event", "item_failed", "job", r.j.id, "item", r.item.ID, "server", slot.Server.ID, "status", resp.Status)
	switch resp.Status {
	case http.StatusUnprocessableEntity:
		r.failures++
		return &itemlist.Result{ID: r.item.ID, State: itemlist.DeadLetter}, placement.Success, 0
	case http.StatusInternalServerError:
		r.failures++
	}
	return nil, placement.Neutral, 0
}

// recordFailure logs a failed run and returns its outcome for the server.
func (r *itemRun) recordFailure(slot *slots.Slot, err error) placement.Outcome {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Silent {
		r.s.opts.Upstream.CloseIdle(slot.Server.Address)
		r.calm = 0
		if !r.progressed && failure.Stage != upstream.NotSent {
			r.silences = min(2*r.silences, maxPatience)
		}
	}
	r.tried = []string{slot.Server.ID}
	r.s.log.Info("item run failed", "event", "item_broken", "job", r.j.id, "item", r.item.ID, "server", slot.Server.ID, "events", r.eventCount, "error", err)
	if errors.Is(err, upstream.ErrAnswerMemory) {
		return placement.Neutral
	}
	return placement.Failed
}

var errNoEvent = errors.New("the response has no event")

// noteLostRest counts an answer that did not go on with the output. After some of
// them the item is run from the start.
func (r *itemRun) noteLostRest(err error) {
	if r.eventCount == 0 || !errors.IsAny(err, errNoEvent, upstream.ErrMalformedEvent, upstream.ErrEventOrder) {
		return
	}
	if r.lostRests++; r.lostRests >= maxLostRests {
		r.startOver()
		r.lateEnds = min(2*r.lateEnds, maxPatience) // all events may have been there, and the end come late
	}
}

// startOver drops the output, so that the next run begins with the first event.
func (r *itemRun) startOver() {
	r.dropOutput()
	r.eventCount, r.lastEventID, r.lostRests = 0, 0, 0
}

// dropOutput frees the memory of the output.
func (r *itemRun) dropOutput() {
	r.output = bytes.Buffer{}
	if r.held != nil {
		r.held.Release()
		r.held = nil
	}
}

// isEmptyOutput reports whether an answer without an event, and the ones before it,
// show that the item's output is empty. A single one may be a fault of its server.
func (r *itemRun) isEmptyOutput(resp *upstream.Response, hasComments bool) bool {
	if r.eventCount > 0 || resp.UntilClose || hasComments {
		return false
	}
	r.empty++
	return r.empty >= emptyAnswers
}

// patience returns the factor of the waits for the servers of the item.
func (r *itemRun) patience() time.Duration { return max(r.silences, r.lateEnds) }

// noteWait notes how long the server took for an event.
func (r *itemRun) noteWait(took time.Duration) {
	if took > eventGapTimeout {
		r.calm = 0
		return
	}
	if r.calm++; r.calm >= calmEvents {
		r.calm, r.silences = 0, max(r.silences/2, 1)
	}
}

// collect reads complete events until the regular end of the stream. One that ends
// without an event is no output, unless isEmptyOutput says so.
func (r *itemRun) collect(ctx context.Context, slot *slots.Slot, resp *upstream.Response) (*itemlist.Result, placement.Outcome, float64) {
	held := r.s.opts.Upstream.Hold()
	defer held.Release()
	reader := upstream.NewEventReader(resp.Body, r.lastEventID, held)
	got, hasComments := 0, false
	began := time.Now()
	defer func() { r.s.pace.recordRun(got, time.Since(began)) }()
	resp.Body.SetReadTimeout(r.patience() * eventGapTimeout)
	for {
		if !reader.Buffered() && time.Since(began) >= readTickAfter {
			r.s.awaitReadTick(ctx)
		}
		asked := time.Now()
		event, err := reader.Next()
		if err == io.EOF && got == 0 && !r.isEmptyOutput(resp, hasComments) {
			err = errNoEvent
		}
		if err == io.EOF {
			r.s.pace.recordItem(r.eventCount, r.outputTokens())
			return &itemlist.Result{ID: r.item.ID, State: itemlist.Completed, Output: r.output.String()}, placement.Success, float64(max(got, 1))
		}
		if err == nil && event.IsComment {
			hasComments = true
			continue
		}
		if err == nil {
			err = r.appendEvent(event)
		}
		if err != nil {
			resp.Body.DisableReuse()
			if ctx.Err() != nil {
				return nil, placement.Neutral, 0
			}
			outcome := r.recordFailure(slot, err)
			r.noteLostRest(err)
			return nil, outcome, 0
		}
		r.noteWait(time.Since(asked))
		if got++; got == 1 {
			r.lastServer = slot.Server.ID
			slot.Answers()
		}
		resp.Body.SetReadTimeout(r.patience() * eventGapTimeout)
	}
}

// appendEvent adds an event to the output. An output that can't be held is dropped: the
// part that makes it too large may be that of a faulty server.
func (r *itemRun) appendEvent(event upstream.Event) error {
	if r.held == nil {
		r.held = r.s.opts.Upstream.Hold()
	}
	if err := r.held.Resize(r.output.Len() + 1 + len(event.Data)); err != nil {
		r.startOver()
		return errors.Wrapf(err, "hold event %d", event.ID)
	}
	if r.eventCount > 0 {
		r.output.WriteByte('\n')
	}
	r.output.Write(event.Data)
	r.eventCount++
	r.lastEventID = event.ID
	r.retryDelay, r.tried, r.lostRests, r.empty, r.progressed = 0, nil, 0, 0, true
	return nil
}
