package coop

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loseAllHosts ends all hosts at the same moment without a warning, and starts them
// again.
func (run *soakRun) loseAllHosts() {
	run.t.Helper()
	for _, h := range run.fleet.Hosts {
		h.Signal(syscall.SIGKILL)
	}
	for _, h := range run.fleet.Hosts {
		_ = h.Wait() // the error only reports the signal
		if err := h.Start(); err != nil {
			run.t.Fatal(err)
		}
	}
	run.awaitServing(15 * time.Second)
}

// submit submits a job that must be accepted.
func (run *soakRun) submit(client *Client, id string) *soakJob {
	j := &soakJob{id: id, items: 6, accepted: true}
	run.jobs[id] = j
	for deadline := time.Now().Add(10 * time.Second); client.Submit(run.randomHost().Callers, id, callerKey, j.items) != http.StatusAccepted; {
		if time.Now().After(deadline) {
			run.t.Fatalf("job %s is not accepted", id)
		}
	}
	return j
}

// Hosts acknowledged what only they knew: all of them lose power right after one has
// accepted a job, shown a result or ended a job. The job must be there, a position
// must hold what was read, and an ended job must run no more.
func TestNothingAcknowledgedIsLostWithAllHosts(t *testing.T) {
	is := is.NewRelaxed(t)
	run := newSoakRun(t, 14)
	client := NewClient(run.ledger)
	for round := range 3 {
		accepted := run.submit(client, fmt.Sprint("accepted-", round))
		run.loseAllHosts()
		is.Equal(run.readJob(client, accepted, run.randomHost()), http.StatusOK)

		read := run.submit(client, fmt.Sprint("read-", round))
		for deadline := time.Now().Add(15 * time.Second); len(read.seenResults) == 0 && time.Now().Before(deadline); {
			run.readJob(client, read, run.randomHost())
		}
		seen := len(read.seenResults)
		run.loseAllHosts()
		for _, h := range run.fleet.Hosts {
			results, _, status := client.Results(h.Callers, read.id, callerKey, 0)
			is.Equal(status, http.StatusOK)
			is.True(len(results) >= seen)
			run.readJob(client, read, h) // compares the positions
		}

		ended := run.submit(client, fmt.Sprint("ended-", round))
		is.Equal(client.End(run.randomHost().Callers, ended.id, callerKey), http.StatusOK)
		ended.ended = time.Now()
		run.loseAllHosts()
		for _, h := range run.fleet.Hosts {
			is.Equal(run.readJob(client, ended, h), http.StatusOK)
		}
	}
	run.awaitJobsAndCheck()
	is.Equal(run.ledger.Failures, nil)
	if t.Failed() {
		run.keepLogs()
	}
}
