package coop

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Signals overlap: the settings file changes (SIGHUP) while a host drains after
// SIGTERM. The host must finish its streams and end by itself; it would cut them if
// a signal ended the process.
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
	for range 5 {
		time.Sleep(40 * time.Millisecond)
		leaving.Signal(syscall.SIGHUP)
	}
	group.Wait()
	is.NoErr(leaving.Wait()) // it ended with status 0
	is.NoErr(leaving.Start())
	is.Equal(run.ledger.Failures, nil)
}
