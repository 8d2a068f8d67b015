package decisionlog

import (
	"bytes"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// buffer is a writer that is safe to read while it is written.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) lines() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Split(strings.TrimSpace(b.b.String()), "\n")
}

// TestLinesAreWritten guards against losing queued lines at Close, and against
// errors logged with stack traces.
func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	w := NewWriter(out)
	New(w, slog.LevelInfo).With("host", "a").Info("request refused", "event", "refused", "error", errors.New("why"))
	w.Close()
	var line map[string]any
	is.NoErr(json.Unmarshal([]byte(out.lines()[0]), &line))
	is.Equal(line["event"], "refused")
	is.Equal(line["host"], "a")
	is.Equal(line["error"], "why")
}

// TestBlockedOutputDoesNotBlockLogging guards against requests that block
// when nothing reads the log. A pipe buffers only 64 KB.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	r, pipe, err := os.Pipe()
	is.NoErr(err)
	defer r.Close()
	defer pipe.Close()
	w := NewWriter(pipe)
	logger := New(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		for range 4 * queueSize {
			logger.Warn("server failed", "event", "server_failed", "padding", strings.Repeat("x", 100))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging blocks until the output is read")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }() // lets the writer finish
	w.Close()
}

// TestLogRateIsLimited guards against a log volume that grows with the load,
// and against dropping failures.
func TestLogRateIsLimited(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for range 3 * linesPerSecond {
		logger.Info("request refused")
	}
	for range 20 {
		logger.Warn("server failed")
	}
	w.Close()
	lines := out.lines()
	is.True(len(lines) <= 2*linesPerSecond+20) // the lines may be spread over two seconds
	failures := 0
	for _, line := range lines {
		if strings.Contains(line, "server failed") {
			failures++
		}
	}
	is.Equal(failures, 20)
}

// TestSampledLinesAreDroppedFirst guards against dropping refusals
// because lines about successful requests used up the rate limit.
func TestSampledLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	out := &buffer{}
	w := NewWriter(out)
	logger := New(w, slog.LevelInfo)
	for range 5 * sampledPerSecond {
		logger.Log(t.Context(), LevelSampled, "request served")
	}
	for range 20 {
		logger.Info("request refused")
	}
	w.Close()
	served, refused := 0, 0
	for _, line := range out.lines() {
		is.True(strings.Contains(line, `"level":"INFO"`))
		if strings.Contains(line, "served") {
			served++
		} else {
			refused++
		}
	}
	is.True(served <= 2*sampledPerSecond)
	is.Equal(refused, 20)
}
