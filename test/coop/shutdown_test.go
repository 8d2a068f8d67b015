package coop

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateCallTime is how long after SIGTERM a call comes on an open connection. A server
// that is silent for as long again and more does not answer it in the grace period.
const lateCallTime = 2 * time.Second

// Signals overlap: the settings file changes (SIGHUP) while a host drains after
// SIGTERM. The host must finish its streams and end by itself; it would cut them if
// a signal ended the process. A call that arrives on an open connection, and that its
// server can't answer in the grace period, was closed without an answer.
func TestSettingsSignalDuringShutdown(t *testing.T) {
	is := is.New(t)
	run := newSoakRun(t, 12)
	for _, s := range run.servers {
		if s.Service == "llm" {
			run.store.Remove("servers", s.Name)
		}
	}
	run.addServer("slow", "llm", 60*time.Millisecond) // streams last 0.3 to 1.5 s
	run.awaitStreams()
	leaving := run.fleet.Hosts[0]
	lateCaller := NewClient(run.ledger)
	if status := lateCaller.Call(leaving.Callers, "once", "early", callerKey); status != http.StatusOK { // the host learns how long such calls take
		t.Errorf("a call to a sound server got status %d", status)
	}
	run.silence = func(string, int64) time.Duration { return 2 * lateCallTime }
	for _, s := range run.servers {
		if s.Service == "app" {
			run.store.Remove("servers", s.Name)
		}
	}
	run.addServer("silent", "app", 0)
	lateCaller.Results(leaving.Callers, "none", callerKey, 0) // opens a connection
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			if status := NewClient(run.ledger).Call(leaving.Callers, "stream", fmt.Sprint("draining-", i), callerKey); status != http.StatusOK {
				t.Errorf("stream cut at shutdown: status %d", status)
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	leaving.Signal(syscall.SIGTERM)
	group.Go(func() {
		time.Sleep(lateCallTime)
		if status := lateCaller.Call(leaving.Callers, "once", "late", callerKey); status != http.StatusGatewayTimeout {
			t.Errorf("a call that is open at the end of the grace period got status %d", status)
		}
	})
	for range 5 {
		time.Sleep(40 * time.Millisecond)
		leaving.Signal(syscall.SIGHUP)
	}
	group.Wait()
	is.NoErr(leaving.Wait()) // it ended with status 0
	is.NoErr(leaving.Start())
	is.Equal(run.ledger.Failures, nil)
}

// Guards against hosts that end, with all their requests, when the reader of their log
// lines ends.
func TestEndOfLogReaderEndsNoHost(t *testing.T) {
	is := is.New(t)
	run := newSoakRun(t, 13)
	host := run.fleet.Hosts[0]
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	kept := host.log
	host.log = writer
	is.NoErr(host.Restart(syscall.SIGTERM))
	host.log = kept
	is.NoErr(writer.Close())
	run.awaitServing(15 * time.Second)
	is.NoErr(reader.Close())
	for i := range 20 {
		if status := NewClient(run.ledger).Call(host.Callers, "unknown", fmt.Sprint("logged-", i), callerKey); status != http.StatusNotFound {
			t.Fatalf("request %d after the end of the log reader: status %d", i, status)
		}
		time.Sleep(20 * time.Millisecond)
	}
	host.Signal(syscall.SIGTERM)
	is.NoErr(host.Wait()) // it ended with status 0
	is.NoErr(host.Start())
	is.Equal(run.ledger.Failures, nil)
}
