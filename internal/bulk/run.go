package bulk

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/upstream"
)

const (
	// itemLimit is the time that a server gets for one run of an item. Runs
	// take 2.5 to 5 s alone and longer beside others.
	itemLimit = 60 * time.Second
	// firstByteWait and gapWait are the longest silences of a server under an
	// item before it goes on elsewhere.
	firstByteWait = 5 * time.Second
	gapWait       = 2 * time.Second
	// The streams of all items are read at the same moments, every readTick,
	// once an item has run for readTickAfter: a wake-up of the process costs
	// about ten system calls, and a server sends an event each 20 ms. The end
	// of a run is seen half a tick later, one in sixteen of the shortest run.
	readTick      = 50 * time.Millisecond
	readTickAfter = 8 * readTick
	// retryMin and retryMost bound the pause after a run that failed.
	retryMin  = 50 * time.Millisecond
	retryMost = time.Second
	// staleLimit is the age of the heads from which no item starts: the job
	// may have been ended meanwhile.
	staleLimit = 15 * time.Second
	// retentionMargin is added to the route's retention before an item is given
	// up, for clocks that differ between hosts.
	retentionMargin = 3 * time.Second
	// maxPendingBytes bounds the outputs that wait for the store. No item
	// starts above it.
	maxPendingBytes = 16 << 20
)

// start runs the items of a job that have not ended.
func (s *Service) start(j *job) {
	j.mu.Lock()
	j.owned = true
	if j.ctx == nil || j.ctx.Err() != nil {
		j.ctx, j.stop = context.WithCancel(s.runCtx)
	}
	ctx := j.ctx
	if j.ended || j.list.Complete() {
		j.mu.Unlock()
		s.afterCommit(j)
		return
	}
	var todo []*Item
	for _, id := range j.head.Items {
		if item, ok := j.items[id]; ok && !j.list.Ended(id) {
			todo = append(todo, item)
		}
	}
	// Results that ended before this host lost the job for a while still wait.
	left := j.list.Pending() > 0 && !j.commits
	j.commits = j.commits || left
	j.mu.Unlock()
	if left {
		go s.commitLoop(j)
	}
	s.opts.Cluster.SendNow()
	for _, item := range todo {
		s.pool.Submit(func() { s.runItem(ctx, j, item) })
	}
}

// itemRun is one item on its way through servers.
type itemRun struct {
	s        *Service
	j        *job
	item     *Item
	output   bytes.Buffer
	events   int
	last     int64 // last whole event
	failures int   // answers of 500
	delay    time.Duration
	tried    []string // servers that failed since the last progress
}

// runItem runs an item until it has ended or ctx ends.
func (s *Service) runItem(ctx context.Context, j *job, item *Item) {
	r := &itemRun{s: s, j: j, item: item}
	for ctx.Err() == nil {
		route := s.route(j)
		if state, reason := r.over(route); state != "" {
			r.finish(itemlist.Result{ID: item.ID, State: state}, reason)
			return
		}
		if !s.mayStart(j) {
			_ = pause(ctx, retryMost) // the loop's condition looks at ctx
			continue
		}
		slot, err := s.opts.Slots.Acquire(ctx, r.work(route))
		if err != nil {
			if ctx.Err() == nil {
				r.wait(ctx)
				r.tried = nil
			}
			continue
		}
		if done := r.attempt(ctx, slot); done != nil {
			r.finish(*done, "a server says that it can never be done")
			return
		}
	}
}

// route returns the job's route in the present configuration, or nil.
func (s *Service) route(j *job) *routing.Route {
	if snapshot := s.opts.Config.Current(); snapshot != nil {
		return snapshot.ByName(j.head.Route)
	}
	return nil
}

// over reports whether an item has to be given up, and why.
func (r *itemRun) over(route *routing.Route) (itemlist.State, string) {
	if route == nil {
		if r.s.opts.Config.Fresh() {
			return itemlist.DeadLetter, "the route was removed"
		}
		return "", ""
	}
	if r.failures >= route.MaxAttempts {
		return itemlist.DeadLetter, "it failed at every attempt"
	}
	if route.Retention > 0 && time.Since(r.j.accepted) > route.Retention+retentionMargin {
		return itemlist.DeadLetter, "its retention is over"
	}
	return "", ""
}

// mayStart reports whether an item of the job may be sent to a server.
func (s *Service) mayStart(j *job) bool {
	if age, ok := s.opts.Informer.Age(headPrefix); !ok || age > staleLimit {
		return false
	}
	if s.route(j) == nil {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.list.PendingBytes() < maxPendingBytes
}

func (r *itemRun) work(route *routing.Route) slots.Request {
	return slots.Request{
		Service: route.Service(rand.Float64()), Class: placement.Batch, Workspace: r.j.head.Workspace,
		Cost: r.item.Tokens, Deadline: r.j.accepted.Add(route.Completion), Tried: r.tried,
	}
}

// finish hands an ended item to the commit loop.
func (r *itemRun) finish(result itemlist.Result, reason string) {
	s, j := r.s, r.j
	s.opts.Metrics.Add("items_ended_total", 1, "route", j.head.Route, "state", string(result.State))
	if result.State == itemlist.DeadLetter {
		s.log.Warn("item given up", "event", "item_dead_letter", "job", j.id, "item", result.ID, "reason", reason, "failures", r.failures)
	}
	j.mu.Lock()
	added := !j.ended && j.list.Add(result)
	run := added && !j.commits && j.owned
	j.commits = j.commits || run
	j.mu.Unlock()
	if run {
		go s.commitLoop(j)
	}
}

// wait pauses after a run that failed, longer each time.
func (r *itemRun) wait(ctx context.Context) {
	r.delay = min(max(2*r.delay, retryMin), retryMost)
	_ = pause(ctx, r.delay) // the caller's loop looks at ctx
}

// attempt runs the item, or the rest of it, at one server. It returns the
// result when the item has ended.
func (r *itemRun) attempt(ctx context.Context, slot *slots.Slot) *itemlist.Result {
	ctx, cancel := context.WithTimeout(ctx, itemLimit)
	defer cancel()
	aside := make(chan struct{})
	go func() { // ends with the attempt
		select {
		case <-slot.Aside:
			close(aside)
			cancel()
		case <-ctx.Done():
		}
	}()
	result, outcome, units := r.exchange(ctx, slot)
	steppedAside := false
	select {
	case <-aside:
		steppedAside = true
		if outcome == placement.Failed {
			outcome = placement.Neutral
		}
	default:
	}
	slot.Done(outcome, units)
	switch {
	case result != nil:
		return result
	case steppedAside:
		r.s.opts.Metrics.Add("items_stepped_aside_total", 1, "route", r.j.head.Route)
	case outcome == placement.Good && units > 0:
	default:
		r.wait(ctx)
	}
	return nil
}

// exchange sends the item to a server and collects its events.
func (r *itemRun) exchange(ctx context.Context, slot *slots.Slot) (*itemlist.Result, placement.Outcome, float64) {
	s := r.s
	resume := r.events > 0
	header := s.opts.Items.ItemHeader(r.item, r.j.head.Workspace, slot.Server.Instance, itemLimit, resume, r.last)
	resp, err := s.opts.Upstream.Do(ctx, slot.Server.Address, &upstream.Request{
		Method: http.MethodPost, Target: r.item.Path, Host: r.j.head.Host, Header: header, Body: r.item.Body, FirstByte: firstByteWait,
	})
	if err != nil && ctx.Err() != nil {
		return nil, placement.Neutral, 0
	}
	if err != nil {
		return nil, r.failed(slot, err), 0
	}
	defer resp.Body.Close()
	answer := s.opts.Codec.Answer(resp.Status, resp.Header)
	if answer.Load != nil {
		slot.Told(answer.Load.Running, answer.Load.Waiting, answer.Load.Slots)
	}
	switch {
	case answer.ID != r.item.ID:
		return nil, r.failed(slot, errors.New("the answer belongs to another request")), 0
	case answer.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejection)) // keeps the connection
		return nil, placement.Rejected, 0
	case resp.Status == http.StatusOK && answer.Sealed && !answer.Encoded:
		return r.collect(ctx, slot, resp)
	}
	return r.serverFailed(slot, resp, answer)
}

// maxRejection bounds the bytes read of an answer that is not used.
const maxRejection = 16 << 10

// serverFailed handles an answer with which a server failed the item.
func (r *itemRun) serverFailed(slot *slots.Slot, resp *upstream.Response, answer online.Answer) (*itemlist.Result, placement.Outcome, float64) {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejection))
	if err != nil || !answer.Sealed {
		return nil, r.failed(slot, errors.Newf("status %d without a sound answer", resp.Status)), 0
	}
	r.s.log.Info("server failed item", "event", "item_failed", "job", r.j.id, "item", r.item.ID, "server", slot.Server.ID, "status", resp.Status)
	switch resp.Status {
	case http.StatusUnprocessableEntity:
		r.failures++
		return &itemlist.Result{ID: r.item.ID, State: itemlist.DeadLetter}, placement.Good, 0
	case http.StatusInternalServerError:
		r.failures++
	}
	return nil, placement.Neutral, 0
}

// failed logs a broken run and says what it means for the server.
func (r *itemRun) failed(slot *slots.Slot, err error) placement.Outcome {
	var failure *upstream.Error
	if errors.As(err, &failure) && failure.Silent {
		r.s.opts.Upstream.Distrust(slot.Server.Address)
	}
	r.tried = []string{slot.Server.ID}
	r.s.log.Info("item run broken", "event", "item_broken", "job", r.j.id, "item", r.item.ID, "server", slot.Server.ID, "events", r.events, "error", err)
	return placement.Failed
}

// collect gathers whole events until the stream's sound end.
func (r *itemRun) collect(ctx context.Context, slot *slots.Slot, resp *upstream.Response) (*itemlist.Result, placement.Outcome, float64) {
	reader := upstream.NewEventReader(resp.Body)
	got := 0
	began := time.Now()
	for {
		if !reader.Buffered() && time.Since(began) >= readTickAfter {
			r.s.awaitReadTick(ctx)
		}
		resp.Body.SetReadTimeout(gapWait)
		event, err := reader.Next()
		if err == io.EOF {
			return &itemlist.Result{ID: r.item.ID, State: itemlist.Completed, Output: r.output.String()}, placement.Good, float64(max(got, 1))
		}
		if err == nil && event.HasID && r.events > 0 && event.ID != r.last+1 {
			err = errors.Newf("event %d after %d", event.ID, r.last)
		}
		if err != nil {
			resp.Body.Spoil()
			if ctx.Err() != nil {
				return nil, placement.Neutral, 0
			}
			return nil, r.failed(slot, err), 0
		}
		r.add(event)
		got++
	}
}

// awaitReadTick waits for the next moment at which items' streams are read, or
// for the end of ctx.
func (s *Service) awaitReadTick(ctx context.Context) {
	s.mu.Lock()
	if s.tick == nil {
		s.tick = make(chan struct{})
		time.AfterFunc(readTick, s.endReadTick)
	}
	tick := s.tick
	s.mu.Unlock()
	select {
	case <-tick:
	case <-ctx.Done():
	}
}

func (s *Service) endReadTick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.tick)
	s.tick = nil
}

func (r *itemRun) add(event upstream.Event) {
	if r.events > 0 {
		r.output.WriteByte('\n')
	}
	r.output.Write(event.Data)
	r.events++
	r.last = event.ID
	r.delay, r.tried = 0, nil
}
