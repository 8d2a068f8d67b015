// Package decisionlog writes log lines without blocking the code that logs. Lines
// go to a bounded queue that one goroutine writes out. Lines are dropped and
// counted when the queue is full or the rate limit is exceeded.
package decisionlog

import (
	"bytes"
	"context"
	"expvar"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// queueSize bounds the lines queued while the output is blocked, about 1 MB.
	queueSize = 4096
	// linesPerSecond limits the log volume under load. It does not apply to
	// level Warn and above: failures are rarer than requests, and the queue
	// bounds them.
	linesPerSecond = 250
	// sampledPerSecond limits the lines of LevelSampled, so that successful
	// requests do not displace refusals and failures.
	sampledPerSecond = 100
	// flushInterval is how long lines are collected for one write.
	flushInterval = 100 * time.Millisecond
)

// LevelSampled is the level of lines about successful requests. They are logged
// as INFO and are dropped first under load.
const LevelSampled = slog.Level(-2)

var counters = expvar.NewMap("log")

// Writer is a non-blocking io.Writer. Close flushes it.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
}

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueSize), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails; a dropped line is counted.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		counters.Add("dropped_ring_full", 1)
	}
	return len(line), nil
}

// run writes lines in batches until Close.
func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for {
		select {
		case line := <-w.lines:
			batch.Write(line)
		case <-w.closed:
			w.drain(&batch)
			w.flush(&batch)
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-w.closed:
		}
		w.drain(&batch)
		w.flush(&batch)
	}
}

func (w *Writer) drain(batch *bytes.Buffer) {
	for {
		select {
		case line := <-w.lines:
			batch.Write(line)
		default:
			return
		}
	}
}

func (w *Writer) flush(batch *bytes.Buffer) {
	if _, err := w.out.Write(batch.Bytes()); err != nil {
		counters.Add("write_failures", 1)
	}
	batch.Reset()
}

// closeTimeout bounds the final flush when the output is blocked.
const closeTimeout = 500 * time.Millisecond

// Close writes the queued lines, waiting at most closeTimeout.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// handler limits the rate of lines below Warn.
type handler struct {
	slog.Handler
	limit   *rateLimit
	sampled *rateLimit
}

// rateLimit counts the lines of the current second.
type rateLimit struct {
	mu       sync.Mutex
	second   int64
	lines    int
	maxLines int // per second
}

// New returns a logger that writes JSON lines at or above level to w.
func New(w *Writer, level slog.Level) *slog.Logger {
	if level == slog.LevelInfo {
		level = LevelSampled
	}
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr}
	return slog.New(&handler{slog.NewJSONHandler(w, opts), &rateLimit{maxLines: linesPerSecond}, &rateLimit{maxLines: sampledPerSecond}})
}

// replaceAttr logs errors by their message, without stack traces, and
// LevelSampled as INFO.
func replaceAttr(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.LevelKey && a.Value.Any() == LevelSampled {
		a.Value = slog.StringValue(slog.LevelInfo.String())
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	limit := h.limit
	if r.Level < slog.LevelInfo {
		limit = h.sampled
	}
	if r.Level < slog.LevelWarn && !limit.allow(r.Time) {
		counters.Add("dropped_rate", 1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.limit, h.sampled}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.limit, h.sampled}
}

func (r *rateLimit) allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := now.Unix(); s != r.second {
		r.second, r.lines = s, 0
	}
	r.lines++
	return r.lines <= r.maxLines
}
