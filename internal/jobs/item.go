package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/limiter"
)

const (
	// maxResultBytes bounds a response body, so that a line fits into a segment.
	maxResultBytes   = 900 << 10
	maxErrorBytes    = 2 << 10 // of an item's error message
	maxRetryDelay    = 30 * time.Second
	heldPollInterval = 50 * time.Millisecond
	// The estimated cost of an item in tokens is one per four bytes of the request
	// body, plus the largest number that it may generate.
	bytesPerToken    = 4
	defaultMaxTokens = 256
)

// outcome is the result of one attempt.
type outcome struct {
	line            []byte // a final result, or nil
	countsAsAttempt bool   // the attempt counts towards MaxAttempts
	extraSends      int    // sends after the first within a counted attempt that got no response
	unsent          bool   // nothing was sent to a server
	delay           time.Duration
	// finalLine returns the result to record when no attempts are left.
	finalLine func() []byte
}

// waitToStart waits until the item may start: the lease holds, held results are
// below their limit, the intention of a non-idempotent item is recorded, the
// workspace has a rate limit token, and a slot is free.
func (r *chunkRun) waitToStart(item int) error {
	ctx := r.startCtx
	if err := r.svc.waitMayStart(ctx); err != nil {
		return err
	}
	if err := r.waitHeld(ctx); err != nil {
		return err
	}
	if err := r.ensureIntended(ctx, item); err != nil {
		return err
	}
	if err := r.takeRateToken(ctx, item); err != nil {
		return err
	}
	workspace := r.job.entry.Workspace
	for {
		if err := r.svc.slots.acquire(ctx, workspace, func() float64 { return r.svc.slotShare(workspace) }); err != nil {
			return err
		}
		if r.svc.held.startItem() {
			return nil
		}
		r.svc.slots.release(workspace) // items of other chunks started in the meantime
		if err := r.waitHeld(ctx); err != nil {
			return err
		}
	}
}

// waitHeld waits while held results reach this host's limit.
func (r *chunkRun) waitHeld(ctx context.Context) error {
	for r.svc.held.full() {
		r.requestCommit()
		if !sleep(ctx, heldPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// takeRateToken takes a rate limit token once per item and claim. Retries need no
// further token.
func (r *chunkRun) takeRateToken(ctx context.Context, item int) error {
	r.mu.Lock()
	rateTokenTaken := r.rateTokenTaken.Has(item)
	r.mu.Unlock()
	if rateTokenTaken || r.svc.o.Limiter == nil {
		return nil
	}
	for {
		err := r.svc.o.Limiter.Acquire(ctx, r.job.entry.Workspace, 1, limiter.Batch)
		if err == nil {
			break
		}
		delay := r.svc.o.RetryDelay
		var refused *limiter.RefusedError
		if errors.As(err, &refused) && refused.RetryAfter > 0 {
			delay = refused.RetryAfter
		}
		if !sleep(ctx, jitter(delay)) {
			return ctx.Err()
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateTokenTaken = r.rateTokenTaken.With(item)
	return nil
}

// slotShare returns the workspace's share of this host's slots, by weight among
// the workspaces with claimed chunks.
func (s *Service) slotShare(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, seen := 0.0, map[string]bool{}
	for _, run := range s.runs {
		if ws := run.job.entry.Workspace; !seen[ws] {
			seen[ws] = true
			sum += s.workspaceWeight(ws)
		}
	}
	if sum == 0 {
		return 1
	}
	return s.workspaceWeight(workspace) / sum
}

// ensureIntended records the intention to send a non-idempotent item, together
// with the intentions of the items that follow it in the queue.
func (r *chunkRun) ensureIntended(ctx context.Context, item int) error {
	if !r.needsIntention(item) {
		return nil
	}
	intend := []int{item}
	r.mu.Lock()
	queue := append([]queuedItem(nil), r.queue...)
	fresh := r.svc.now().Sub(r.oldestHeld) < r.svc.o.CommitInterval
	r.mu.Unlock()
	for _, q := range queue {
		if len(intend) == intentionBatchSize {
			break
		}
		if r.needsIntention(q.item) {
			intend = append(intend, q.item)
		}
	}
	err := r.commit(r.svc.ctx, commitOptions{intend: intend, deferResults: fresh})
	if errors.Is(err, errChunkLost) {
		r.stopLost()
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}

func (r *chunkRun) needsIntention(item int) bool {
	r.mu.Lock()
	intended := r.progress.Intended.Has(item)
	raw := r.lines[item]
	r.mu.Unlock()
	if intended {
		return false
	}
	line, err := parseLine(raw)
	if err != nil {
		return false // such an item is not sent
	}
	route, ok := findRoute(r.svc.o.Fleet.Config(), line)
	return ok && !route.Idempotent
}

// modelPaths are the paths whose route is chosen by the body's model.
var modelPaths = map[string]bool{"/v1/chat/completions": true, "/v1/completions": true, "/v1/embeddings": true}

type modelBody struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// findRoute returns the route of an item, by model or by the longest path prefix.
func findRoute(cfg *config.Snapshot, line inputLine) (config.Route, bool) {
	var best config.Route
	found := false
	var body modelBody
	isModel := modelPaths[line.URL]
	if isModel {
		_ = json.Unmarshal(line.Body, &body) // without a model no route is found
	}
	for _, route := range cfg.Routes {
		switch {
		case isModel && route.Kind == config.RouteModel && route.Model == body.Model:
			return route, true
		case !isModel && route.Kind == config.RouteService && strings.HasPrefix(line.URL, route.Prefix):
			if !found || len(route.Prefix) > len(best.Prefix) {
				best, found = route, true
			}
		}
	}
	return best, found
}

func (r *chunkRun) requestID(item int) string {
	return fmt.Sprintf("batch_req_%s-%d-%d", strings.TrimPrefix(r.job.entry.ID, jobIDPrefix), r.index, item)
}

func (r *chunkRun) dispatchRequest(item int, line inputLine, route config.Route) *dispatch.Request {
	var body modelBody
	_ = json.Unmarshal(line.Body, &body) // only an estimate depends on it
	tokens := max(body.MaxTokens, body.MaxCompletionTokens)
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	deadline := time.UnixMilli(r.job.entry.DeadlineAt)
	if earliest := r.svc.now().Add(r.svc.o.ItemTimeout); deadline.Before(earliest) {
		deadline = earliest
	}
	return &dispatch.Request{
		ID: r.requestID(item), Workspace: r.job.entry.Workspace, Class: dispatch.Batch,
		Route: route.Name, Pool: route.Pool, Method: http.MethodPost, Path: line.URL,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: line.Body,
		Idempotent: route.Idempotent, Deadline: deadline, MaxUnanswered: r.attemptsLeft(item),
		Cost: float64(len(line.Body)/bytesPerToken + tokens),
	}
}

// attempt makes one attempt to run the item.
func (r *chunkRun) attempt(item int) outcome {
	line, err := parseLine(r.lines[item])
	if err != nil {
		return outcome{line: r.errorLine(item, itemError{Code: "invalid_item", Message: err.Error()})}
	}
	cfg := r.svc.o.Fleet.Config()
	route, ok := findRoute(cfg, line)
	if !ok && cfg.Revision > 0 {
		return outcome{line: r.errorLine(item, itemError{Code: "route_not_found", Message: "no route serves this url and model"})}
	}
	if !ok || r.ctx.Err() != nil || r.svc.checkMayStart() != nil {
		return outcome{unsent: true, delay: r.svc.o.RetryDelay}
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.svc.attemptTimeout(route))
	defer cancel()
	resp, err := r.svc.o.Dispatcher.Do(ctx, r.dispatchRequest(item, line, route))
	if err != nil {
		return r.failureOutcome(item, err, route.Idempotent)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return r.failureOutcome(item, errors.Wrapf(err, "read answer of %s", resp.Server), route.Idempotent)
	}
	return r.responseOutcome(item, resp, body, route.Idempotent)
}

// attemptTimeout returns the limit of one attempt, including its wait in the
// dispatcher's queue. An attempt that ends before anything was sent does not
// count.
func (s *Service) attemptTimeout(route config.Route) time.Duration {
	if route.TimeoutMS > 0 {
		return time.Duration(route.TimeoutMS) * time.Millisecond
	}
	return s.o.ItemTimeout
}

// failureOutcome returns the outcome of an attempt without a complete response.
func (r *chunkRun) failureOutcome(item int, err error, idempotent bool) outcome {
	var refused *dispatch.RefusedError
	isRefusal := errors.As(err, &refused)
	unsent := isRefusal && refused.Executed == dispatch.ExecutedNo
	failure := itemError{Code: "request_failed", Message: err.Error()}
	if isRefusal {
		failure = itemError{Code: refused.Code, Message: refused.Message}
	}
	finalLine := func() []byte { return r.errorLine(item, failure) }
	switch {
	case unsent && permanentRefusal(refused.Status):
		return outcome{line: finalLine()}
	case r.ctx.Err() != nil:
		return outcome{unsent: unsent}
	case r.svc.o.IsPreempted(err) && (idempotent || unsent):
		counters.Add("items_preempted", 1)
		return outcome{unsent: unsent, delay: r.svc.o.RetryDelay / 8}
	case unsent:
		// Refusals count as attempts only after the job's deadline, so that the job ends.
		return outcome{unsent: true, countsAsAttempt: r.pastDeadline(), delay: max(refused.RetryAfter, r.refusalDelay()), finalLine: finalLine}
	case !idempotent:
		failure = itemError{Code: "outcome_unknown", Message: "the item may have run and is not idempotent: " + failure.Message}
		return outcome{line: finalLine()}
	}
	if isRefusal && refused.ServerLost {
		// Servers crash for other reasons than the item, which is owed until its deadline.
		return outcome{countsAsAttempt: r.pastDeadline(), delay: r.refusalDelay(), finalLine: finalLine}
	}
	extraSends := 0
	if isRefusal {
		extraSends = max(0, refused.Unanswered-1)
	}
	return outcome{countsAsAttempt: true, extraSends: extraSends, delay: r.attemptDelay(item), finalLine: finalLine}
}

// attemptsLeft returns the number of attempts that a started item has left,
// including the current one.
func (r *chunkRun) attemptsLeft(item int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.svc.o.MaxAttempts-int(r.attempts[item])+1)
}

// responseOutcome returns the outcome of an attempt with a complete response.
func (r *chunkRun) responseOutcome(item int, resp *dispatch.Response, body []byte, idempotent bool) outcome {
	r.mu.Lock()
	r.refusals = 0
	r.mu.Unlock()
	if len(body) > maxResultBytes {
		return outcome{line: r.tooLargeLine(item)}
	}
	line := r.responseLine(item, resp, body)
	if !idempotent || !retryableStatus(resp.Status) {
		return outcome{line: line}
	}
	finalLine := func() []byte { return line }
	if resp.Status == http.StatusTooManyRequests {
		return outcome{countsAsAttempt: r.pastDeadline(), delay: r.refusalDelay(), finalLine: finalLine}
	}
	return outcome{countsAsAttempt: true, delay: r.attemptDelay(item), finalLine: finalLine}
}

func (r *chunkRun) pastDeadline() bool {
	return r.svc.now().UnixMilli() > r.job.entry.DeadlineAt
}

// permanentRefusal reports whether a retry would be refused with the same status.
func permanentRefusal(status int) bool {
	return status >= 400 && status < 500 && !retryableStatus(status)
}

func retryableStatus(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// attemptDelay returns the delay before the item's next attempt. It grows with
// the item's attempts.
func (r *chunkRun) attemptDelay(item int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return jitter(min(r.svc.o.RetryDelay<<min(int(r.attempts[item])-1, 10), maxRetryDelay))
}

// refusalDelay returns the delay after a refusal. It grows with the chunk's
// consecutive refusals.
func (r *chunkRun) refusalDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	return jitter(min(r.svc.o.RetryDelay<<min(r.refusals/16, 10), maxRetryDelay/6))
}

// recordOutcome applies the outcome of an attempt. Items to be retried go to the
// end of the queue, so that they do not delay other items.
func (r *chunkRun) recordOutcome(item int, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signalQueueChange()
	r.running--
	r.attempts[item] += byte(o.extraSends)
	if o.unsent {
		r.sent = r.sent.Without(item)
	}
	switch {
	case o.line != nil:
		r.holdResult(item, o.line)
		return
	case !o.countsAsAttempt:
		r.attempts[item]--
	case int(r.attempts[item]) >= r.svc.o.MaxAttempts:
		r.holdResult(item, o.finalLine())
		return
	}
	r.queue = append(r.queue, queuedItem{item: item, notBefore: r.svc.now().Add(o.delay)})
}

// customID returns the custom id in the item's line, or "" when it cannot be read.
func (r *chunkRun) customID(item int) string {
	if r.lines == nil {
		return ""
	}
	line, _ := parseLine(r.lines[item])
	return line.CustomID
}

func (r *chunkRun) errorLine(item int, e itemError) []byte {
	e.Message = e.Message[:min(len(e.Message), maxErrorBytes)]
	return encodeLine(markError, resultLine{ID: r.requestID(item), CustomID: r.customID(item), Error: &e})
}

func (r *chunkRun) responseLine(item int, resp *dispatch.Response, body []byte) []byte {
	mark := byte(markOutput)
	if resp.Status >= 300 || resp.Status < 200 {
		mark = markError
	}
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body)) // a string is always encodable
	}
	id := resp.Header.Get("X-Request-Id")
	if id == "" {
		id = r.requestID(item)
	}
	line := encodeLine(mark, resultLine{
		ID: r.requestID(item), CustomID: r.customID(item),
		Response: &itemResponse{Status: resp.Status, RequestID: id, Body: body},
	})
	if len(line) > maxSegmentBytes {
		return r.tooLargeLine(item) // encoding a body that is not JSON can enlarge it
	}
	return line
}

func (r *chunkRun) tooLargeLine(item int) []byte {
	return r.errorLine(item, itemError{
		Code: "response_too_large", Message: fmt.Sprintf("the response is larger than %d bytes", maxResultBytes),
	})
}

// encodeLine returns the mark followed by the encoded line and a line end.
func encodeLine(mark byte, line resultLine) []byte {
	var buf bytes.Buffer
	buf.WriteByte(mark)
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(line); err != nil {
		counters.Add("unencodable_results", 1)
		line.Response, line.Error = nil, &itemError{Code: "invalid_response", Message: err.Error()}
		buf.Truncate(1)
		buf.Bytes()[0] = markError
		_ = enc.Encode(line) // strings are always encodable
	}
	return buf.Bytes()
}
