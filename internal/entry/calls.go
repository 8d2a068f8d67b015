package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"ragwortstep/internal/callers"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/online"
	"ragwortstep/internal/panics"
)

const (
	// maxLoggedCuts bounds the lines about requests that are open at the end of the
	// grace period.
	maxLoggedCuts = 50
)

// cutter is who ended a connection before the answer to its request was complete.
type cutter string

const (
	cutByCaller  cutter = "caller"       // closed or reset it, or the network did
	cutByHost    cutter = "host"         // aborted the answer
	cutByPanic   cutter = "panic"        // of a handler whose answer had begun
	cutByTheStop cutter = "grace_period" // ended
)

// calls is the handler of callers' requests. It knows the open ones, and logs and
// counts those whose connection ends before their answer is complete.
type calls struct {
	next      http.Handler
	requestID func(http.Header) string
	isLeaving func() bool
	metrics   *metrics.Registry
	log       *slog.Logger

	mu   sync.Mutex
	open map[*openCall]struct{}
}

// openCall is a request that is not answered yet.
type openCall struct {
	id, path string
	arrived  time.Time
}

// ServeHTTP implements http.Handler.
func (c *calls) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &openCall{id: c.requestID(r.Header), path: r.URL.Path, arrived: time.Now()}
	out := &answer{ResponseWriter: w, isLeaving: c.isLeaving}
	c.add(call)
	defer func() {
		c.remove(call)
		c.finish(call, out, r, recover())
	}()
	c.next.ServeHTTP(out, r)
}

func (c *calls) add(call *openCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*openCall]struct{}{}
	}
	c.open[call] = struct{}{}
}

func (c *calls) remove(call *openCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, call)
}

// finish logs a request whose answer is not complete, or whose handler panicked. A
// handler that panics before its answer has begun is answered by a status that does
// not say that nothing ran.
func (c *calls) finish(call *openCall, out *answer, r *http.Request, panicked any) {
	by, reason := cutByHost, "the answer was aborted"
	if end := callers.EndOf(r); end != "" {
		by, reason = cutByCaller, end
	}
	switch {
	case panicked == nil && r.Context().Err() == nil && out.status == 0:
		out.WriteHeader(http.StatusOK)
	case panicked == nil && (r.Context().Err() == nil || out.isComplete()):
		return
	case panicked == nil:
		c.logCut(call, out.status, by, reason)
	case panicked == http.ErrAbortHandler:
		c.logCut(call, out.status, by, reason)
		panic(http.ErrAbortHandler)
	default:
		c.logPanic(call, panicked)
		if out.status == 0 {
			clear(out.Header())
			online.InternalError().Write(out)
			return
		}
		c.logCut(call, out.status, cutByPanic, fmt.Sprint(panicked))
		panic(http.ErrAbortHandler)
	}
}

func (c *calls) logCut(call *openCall, status int, by cutter, reason string) {
	draining := c.isLeaving()
	c.metrics.Add("answers_cut_total", 1, "by", string(by), "draining", strconv.FormatBool(draining))
	level := slog.LevelWarn
	if by == cutByCaller {
		level = slog.LevelInfo
	}
	c.log.Log(context.Background(), level, "connection ended before the answer was complete", "event", "answer_cut", "request", call.id, "path", call.path,
		"by", string(by), "reason", reason, "draining", draining, "status", status, "held_ms", time.Since(call.arrived).Milliseconds())
}

func (c *calls) logPanic(call *openCall, panicked any) {
	c.metrics.Add("handler_panics_total", 1)
	c.log.Error("handler panicked", "event", "handler_panicked", "request", call.id, "path", call.path,
		"error", fmt.Sprint(panicked), "stack", panics.New(panicked).Stack, "held_ms", time.Since(call.arrived).Milliseconds())
}

// cutOpen logs and counts the requests that are open at the end of the grace period.
func (c *calls) cutOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	logged := 0
	for call := range c.open {
		if logged++; logged > maxLoggedCuts {
			c.metrics.Add("answers_cut_total", 1, "by", string(cutByTheStop), "draining", "true")
			continue
		}
		c.logCut(call, 0, cutByTheStop, "the grace period has ended")
	}
}

// answer is a response that notes how much of it was written.
type answer struct {
	http.ResponseWriter
	isLeaving func() bool
	status    int // 0 before the header is written
	written   int64
}

// WriteHeader implements http.ResponseWriter. The answers of a host that shuts down
// say that their connection will be closed.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 && status >= http.StatusOK {
		a.status = status
		if a.isLeaving() {
			a.Header().Set("Connection", "close")
		}
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	if a.status == 0 {
		a.WriteHeader(http.StatusOK)
	}
	n, err := a.ResponseWriter.Write(p)
	a.written += int64(n)
	return n, err
}

// Unwrap gives http.ResponseController access to the response.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// isComplete reports whether the whole of an answer of known length was written.
func (a *answer) isComplete() bool {
	length, err := strconv.ParseInt(a.Header().Get("Content-Length"), 10, 64)
	return a.status != 0 && err == nil && a.written == length
}
