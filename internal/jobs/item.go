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
	maxResultBytes = 900 << 10
	maxErrorBytes  = 2 << 10 // of an item's error message
	maxRetryDelay  = 30 * time.Second
	heldPoll       = 50 * time.Millisecond
	// Estimated cost of an item: a token per four bytes of the request, plus
	// the tokens it may generate.
	bytesPerToken    = 4
	defaultMaxTokens = 256
)

// outcome is the result of one attempt.
type outcome struct {
	line    []byte // a final result, or nil
	counted bool   // the attempt counts
	repeats int    // further sends within a counted attempt that got no answer
	unsent  bool   // nothing was sent to a server
	delay   time.Duration
	// last is the result to record when the attempts are used up.
	last func() []byte
}

// admit waits until the item may start: the lease holds, unsaved results fit,
// the intention of a non-idempotent item is recorded, the workspace has a
// token and a slot is free.
func (r *chunkRun) admit(item int) error {
	ctx := r.feedCtx
	if err := r.s.waitCurrent(ctx); err != nil {
		return err
	}
	if err := r.waitHeld(ctx); err != nil {
		return err
	}
	if err := r.ensureIntended(ctx, item); err != nil {
		return err
	}
	if err := r.pay(ctx, item); err != nil {
		return err
	}
	workspace := r.job.entry.Workspace
	return r.s.slots.enter(ctx, workspace, func() float64 { return r.s.share(workspace) })
}

// waitHeld waits while unsaved results fill this host's limit.
func (r *chunkRun) waitHeld(ctx context.Context) error {
	for r.s.held.full(r.s.slots.inUse()) {
		r.commitSoon()
		if !sleep(ctx, heldPoll) {
			return ctx.Err()
		}
	}
	return nil
}

// pay takes the item's token once per claim; repeated attempts are free.
func (r *chunkRun) pay(ctx context.Context, item int) error {
	r.mu.Lock()
	paid := r.paid.Has(item)
	r.mu.Unlock()
	if paid || r.s.o.Limiter == nil {
		return nil
	}
	for {
		err := r.s.o.Limiter.Acquire(ctx, r.job.entry.Workspace, 1, limiter.Batch)
		if err == nil {
			break
		}
		delay := r.s.o.RetryDelay
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
	r.paid = r.paid.With(item)
	return nil
}

// share returns the workspace's part of this host's slots among the
// workspaces with claimed chunks.
func (s *Service) share(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, seen := 0.0, map[string]bool{}
	for _, run := range s.runs {
		if ws := run.job.entry.Workspace; !seen[ws] {
			seen[ws] = true
			sum += s.weight(ws)
		}
	}
	if sum == 0 {
		return 1
	}
	return s.weight(workspace) / sum
}

// ensureIntended records the intention of a non-idempotent item, together
// with those that follow it in the queue.
func (r *chunkRun) ensureIntended(ctx context.Context, item int) error {
	if !r.needsIntention(item) {
		return nil
	}
	intend := []int{item}
	r.mu.Lock()
	queue := append([]queued(nil), r.queue...)
	fresh := r.s.now().Sub(r.oldestHeld) < r.s.o.CommitInterval
	r.mu.Unlock()
	for _, q := range queue {
		if len(intend) == intendBatch {
			break
		}
		if r.needsIntention(q.item) {
			intend = append(intend, q.item)
		}
	}
	err := r.commit(r.s.ctx, commitOptions{intend: intend, deferResults: fresh})
	if errors.Is(err, errLost) {
		r.lose()
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
	route, ok := findRoute(r.s.o.Fleet.Config(), line)
	return ok && !route.Idempotent
}

// modelPaths are the paths whose route is chosen by the body's model.
var modelPaths = map[string]bool{"/v1/chat/completions": true, "/v1/completions": true, "/v1/embeddings": true}

type modelBody struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// findRoute returns the route of an item: by model, or by the longest prefix.
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

func (r *chunkRun) request(item int, line inputLine, route config.Route) *dispatch.Request {
	var body modelBody
	_ = json.Unmarshal(line.Body, &body) // only an estimate depends on it
	tokens := max(body.MaxTokens, body.MaxCompletionTokens)
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	deadline := time.UnixMilli(r.job.entry.DeadlineAt)
	if least := r.s.now().Add(r.s.o.ItemTimeout); deadline.Before(least) {
		deadline = least
	}
	return &dispatch.Request{
		ID: r.requestID(item), Workspace: r.job.entry.Workspace, Class: dispatch.Batch,
		Route: route.Name, Pool: route.Pool, Method: http.MethodPost, Path: line.URL,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: line.Body,
		Idempotent: route.Idempotent, Deadline: deadline, MaxUnanswered: r.attemptsLeft(item),
		Cost: float64(len(line.Body)/bytesPerToken + tokens),
	}
}

// attempt runs the item once.
func (r *chunkRun) attempt(item int) outcome {
	line, err := parseLine(r.lines[item])
	if err != nil {
		return outcome{line: r.errorLine(item, itemError{Code: "invalid_item", Message: err.Error()})}
	}
	cfg := r.s.o.Fleet.Config()
	route, ok := findRoute(cfg, line)
	if !ok && cfg.Revision > 0 {
		return outcome{line: r.errorLine(item, itemError{Code: "route_not_found", Message: "no route serves this url and model"})}
	}
	if !ok || r.ctx.Err() != nil || r.s.current() != nil {
		return outcome{unsent: true, delay: r.s.o.RetryDelay}
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.s.attemptTimeout(route))
	defer cancel()
	resp, err := r.s.o.Dispatcher.Do(ctx, r.request(item, line, route))
	if err != nil {
		return r.failed(item, err, route.Idempotent)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return r.failed(item, errors.Wrapf(err, "read answer of %s", resp.Server), route.Idempotent)
	}
	return r.answered(item, resp, body, route.Idempotent)
}

// attemptTimeout is the deadline of one attempt, waiting for a slot included.
// An attempt that ends before anything was sent does not count.
func (s *Service) attemptTimeout(route config.Route) time.Duration {
	if route.TimeoutMS > 0 {
		return time.Duration(route.TimeoutMS) * time.Millisecond
	}
	return s.o.ItemTimeout
}

// failed judges an attempt without a complete answer.
func (r *chunkRun) failed(item int, err error, idempotent bool) outcome {
	var refused *dispatch.RefusedError
	isRefusal := errors.As(err, &refused)
	unsent := isRefusal && refused.Executed == dispatch.ExecutedNo
	failure := itemError{Code: "request_failed", Message: err.Error()}
	if isRefusal {
		failure = itemError{Code: refused.Code, Message: refused.Message}
	}
	last := func() []byte { return r.errorLine(item, failure) }
	switch {
	case unsent && permanent(refused.Status):
		return outcome{line: last()}
	case r.ctx.Err() != nil:
		return outcome{unsent: unsent}
	case r.s.o.IsPreempted(err) && (idempotent || unsent):
		counters.Add("items_preempted", 1)
		return outcome{unsent: unsent, delay: r.s.o.RetryDelay / 8}
	case unsent:
		// Refusals do not count, unless the job is past its deadline and must end.
		return outcome{unsent: true, counted: r.overdue(), delay: max(refused.RetryAfter, r.refusalDelay()), last: last}
	case !idempotent:
		failure = itemError{Code: "outcome_unknown", Message: "the item may have run and is not idempotent: " + failure.Message}
		return outcome{line: last()}
	}
	repeats := 0
	if isRefusal {
		repeats = max(0, refused.Unanswered-1)
	}
	return outcome{counted: true, repeats: repeats, delay: r.attemptDelay(item), last: last}
}

// attemptsLeft returns how many attempts a started item has, this one included.
func (r *chunkRun) attemptsLeft(item int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(1, r.s.o.MaxAttempts-int(r.attempts[item])+1)
}

// answered judges a complete answer of a server.
func (r *chunkRun) answered(item int, resp *dispatch.Response, body []byte, idempotent bool) outcome {
	r.mu.Lock()
	r.refusals = 0
	r.mu.Unlock()
	if len(body) > maxResultBytes {
		return outcome{line: r.tooLarge(item)}
	}
	line := r.responseLine(item, resp, body)
	if !idempotent || !retryableStatus(resp.Status) {
		return outcome{line: line}
	}
	last := func() []byte { return line }
	if resp.Status == http.StatusTooManyRequests {
		return outcome{counted: r.overdue(), delay: r.refusalDelay(), last: last}
	}
	return outcome{counted: true, delay: r.attemptDelay(item), last: last}
}

func (r *chunkRun) overdue() bool {
	return r.s.now().UnixMilli() > r.job.entry.DeadlineAt
}

// permanent reports a refusal that repeating does not change.
func permanent(status int) bool {
	return status >= 400 && status < 500 && !retryableStatus(status)
}

func retryableStatus(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// attemptDelay grows with the item's attempts.
func (r *chunkRun) attemptDelay(item int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return jitter(min(r.s.o.RetryDelay<<min(int(r.attempts[item])-1, 10), maxRetryDelay))
}

// refusalDelay grows with the chunk's successive refusals.
func (r *chunkRun) refusalDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusals++
	return jitter(min(r.s.o.RetryDelay<<min(r.refusals/16, 10), maxRetryDelay/6))
}

// settle records the outcome of an attempt. Items to be repeated go to the
// end of the queue, so that they do not delay others.
func (r *chunkRun) settle(item int, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.signal()
	r.running--
	r.attempts[item] += byte(o.repeats)
	if o.unsent {
		r.sent = r.sent.Without(item)
	}
	switch {
	case o.line != nil:
		r.hold(item, o.line)
		return
	case !o.counted:
		r.attempts[item]--
	case int(r.attempts[item]) >= r.s.o.MaxAttempts:
		r.hold(item, o.last())
		return
	}
	r.queue = append(r.queue, queued{item: item, notBefore: r.s.now().Add(o.delay)})
}

// customID returns the item's id from its line, "" when the line is not readable.
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
	if len(line) > segmentRawBytes {
		return r.tooLarge(item) // encoding text that is not JSON can enlarge it
	}
	return line
}

func (r *chunkRun) tooLarge(item int) []byte {
	return r.errorLine(item, itemError{
		Code: "response_too_large", Message: fmt.Sprintf("the response is larger than %d bytes", maxResultBytes),
	})
}

// encodeLine returns the mark and the line with its line end.
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
