package integration

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/test/harness"
)

const (
	// slowStreamTokens makes a stream that lasts for seconds.
	slowStreamTokens = 300
	// signalInterval is the time between the signals of a series.
	signalInterval = 200 * time.Millisecond
	// pipeBytes is more than a pipe holds.
	pipeBytes = 4 << 20
)

// restartWithOutput starts the host again with the pipe's end as its standard output
// and error.
func restartWithOutput(ctx context.Context, t *testing.T, h *harness.Host, writer *os.File) {
	t.Helper()
	is := is.New(t)
	h.Output = writer
	is.NoErr(h.Restart(ctx, restartTimeout))
	is.NoErr(writer.Close())
}

// fill writes to the pipe until it is full.
func fill(t *testing.T, writer *os.File) {
	t.Helper()
	is := is.New(t)
	is.NoErr(writer.SetWriteDeadline(time.Now().Add(signalInterval)))
	_, err := writer.Write(make([]byte, pipeBytes))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against hosts that end, with all their requests, on SIGHUP: when they serve
// and while they drain.
func TestHangupEndsNoHost(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	ctx, d := startDeployment(t, harness.Thies, withHosts(1))
	h, caller := d.Hosts[0], hostCallers(d, d.Layout.Workspaces[0].Name)[0]
	done := make(chan harness.Answer)
	for range 4 {
		go func() { done <- caller.Complete(ctx, harness.Completion{Tokens: slowStreamTokens, Stream: true}) }()
	}
	hangUp := func() {
		time.Sleep(signalInterval)
		is.NoErr(h.Signal(syscall.SIGHUP))
	}
	hangUp()
	hangUp()
	is.NoErr(h.Signal(syscall.SIGTERM))
	hangUp()
	hangUp()
	for range 4 {
		a := <-done
		if a.Verdict != harness.Complete {
			t.Errorf("stream at a host with SIGHUP: %+v", a)
		}
	}
	<-h.Exited()
	is.NoErr(h.Status())
}

// Guards against hosts that end, with all their requests, when the reader of their log
// lines ends.
func TestEndOfLogReaderEndsNoHost(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	ctx, d := startDeployment(t, harness.Thies, withHosts(1))
	h := d.Hosts[0]
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	restartWithOutput(ctx, t, h, writer)
	is.NoErr(reader.Close())
	graceful, err := h.Terminate(restartTimeout) // is logged
	is.NoErr(err)
	is.True(graceful)
	is.NoErr(h.Status())
}

// Guards against hosts that hang because nobody reads their log lines.
func TestUnreadLogBlocksNoHost(t *testing.T) {
	runParallel(t)
	is := is.New(t)
	ctx, d := startDeployment(t, harness.Thies, withHosts(1))
	h := d.Hosts[0]
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	defer reader.Close()
	fill(t, writer)
	restartWithOutput(ctx, t, h, writer)
	graceful, err := h.Terminate(restartTimeout)
	is.NoErr(err)
	is.True(graceful)
	is.NoErr(h.Status())
}
