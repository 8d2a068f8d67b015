// Package decisionlog writes log lines without ever blocking the code that
// logs: lines go to a bounded ring, one goroutine writes them, and lines that
// find the ring full or exceed the rate are dropped and counted.
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
	// ringLines bounds the lines that wait for a blocked output, about 1 MB.
	ringLines = 4096
	// linesPerSecond bounds the volume under load. Lines of level Warn and
	// above are not bound by it: failures are rarer than requests, and the
	// ring bounds them.
	linesPerSecond = 250
	// sampledPerSecond bounds the lines of LevelSampled, so that answers that
	// went well do not crowd out refusals and failures.
	sampledPerSecond = 100
	// flushInterval gathers lines into one write.
	flushInterval = 100 * time.Millisecond
)

// LevelSampled is the level of lines about requests that went well. They are
// shown as INFO, and are the first to be left out under load.
const LevelSampled = slog.Level(-2)

var counters = expvar.NewMap("log")

// Writer is an io.Writer that does not block. Close flushes it.
type Writer struct {
	out    io.Writer
	lines  chan []byte
	closed chan struct{}
	done   chan struct{}
	once   sync.Once
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, ringLines), closed: make(chan struct{}), done: make(chan struct{})}
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

// run writes lines in groups until Close.
func (w *Writer) run() {
	defer close(w.done)
	var group bytes.Buffer
	for {
		select {
		case line := <-w.lines:
			group.Write(line)
		case <-w.closed:
			w.drain(&group)
			w.flush(&group)
			return
		}
		select {
		case <-time.After(flushInterval):
		case <-w.closed:
		}
		w.drain(&group)
		w.flush(&group)
	}
}

func (w *Writer) drain(group *bytes.Buffer) {
	for {
		select {
		case line := <-w.lines:
			group.Write(line)
		default:
			return
		}
	}
}

func (w *Writer) flush(group *bytes.Buffer) {
	if _, err := w.out.Write(group.Bytes()); err != nil {
		counters.Add("write_failures", 1)
	}
	group.Reset()
}

// closeWait bounds the flush at Close when the output is blocked.
const closeWait = 500 * time.Millisecond

// Close writes what waits, for at most closeWait.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// handler bounds the rate of lines below Warn.
type handler struct {
	slog.Handler
	limit   *rate
	sampled *rate
}

// rate counts lines in the present second.
type rate struct {
	mu     sync.Mutex
	second int64
	lines  int
	most   int // per second
}

// New returns a logger of JSON lines at or above a level to w.
func New(w *Writer, level slog.Level) *slog.Logger {
	if level == slog.LevelInfo {
		level = LevelSampled
	}
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr}
	return slog.New(&handler{slog.NewJSONHandler(w, opts), &rate{most: linesPerSecond}, &rate{most: sampledPerSecond}})
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

func (r *rate) allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := now.Unix(); s != r.second {
		r.second, r.lines = s, 0
	}
	r.lines++
	return r.lines <= r.most
}
