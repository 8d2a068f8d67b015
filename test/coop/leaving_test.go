package coop

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	// drainTime is how long after a host has passed on that a server is leaving it
	// may still send requests to it.
	drainTime = 200 * time.Millisecond
	// lapseTime is how long the entry of a server is missing.
	lapseTime = 700 * time.Millisecond
	// changeTime bounds the time until all hosts act on a change of the servers.
	changeTime = 8 * time.Second
	// listTime is how long hosts go on after an outage of the store, so that they have
	// the new list of servers for most of it.
	listTime = 2 * time.Second
)

// learnedAt returns when each host first passed on an answer in which the start of
// the server said that it is leaving.
func (l *Ledger) learnedAt(server string) map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Time{}
	for _, answer := range l.Leaving {
		if at, ok := out[answer.Host]; answer.Server == server && (!ok || answer.AnsweredAt.Before(at)) {
			out[answer.Host] = answer.AnsweredAt
		}
	}
	return out
}

// sent returns where and when a request was sent, and false for items of jobs.
func (l *Ledger) sent(id string) (SentRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request, ok := l.Sent[id]
	return request, ok
}

// awaitTrue waits until ok returns true. It is a failure if that takes longer than
// within.
func (run *soakRun) awaitTrue(within time.Duration, what string, ok func() bool) {
	for deadline := time.Now().Add(within); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			run.ledger.AddFailure("not within %v: %s", within, what)
			return
		}
	}
}

// lapse removes a server's entry for a while, as a store does that has not heard
// from it, with an outage of the store meanwhile or not.
func (run *soakRun) lapse(s *Server, outage bool) {
	run.store.SetDown(outage)
	run.store.Remove("servers", s.Name)
	time.Sleep(lapseTime)
	run.store.SetDown(false)
	s.Register(run.store, "ready")
}

// A server says in its answers that it is leaving while its entry stays `ready`,
// lapses and comes back. Callers keep using their open connections. drainTime after
// a host has passed on such an answer, no request of a caller and no item of a job
// may reach the server from that host. After a restart under its name it is used
// again, and the same holds for a start of which the hosts hear only after it has said
// that it is leaving, because the store is down.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	run := newSoakRun(t, 14)
	leaving := map[string]*Server{}
	var others []*Server
	for _, s := range run.servers {
		if leaving[s.Service] == nil {
			leaving[s.Service] = s
		} else {
			others = append(others, s)
		}
	}
	registerOthers := func(state string) {
		for _, s := range others {
			s.Register(run.store, state)
		}
	}
	run.startCallers(8)
	time.Sleep(500 * time.Millisecond)
	for _, s := range leaving {
		s.SetLeaving(true)
	}
	time.Sleep(500 * time.Millisecond)
	registerOthers("draining") // so that each host has to ask the leaving ones
	for _, s := range leaving {
		run.awaitLearned(s)
	}
	client := NewClient(run.ledger)
	for i, h := range run.fleet.Hosts {
		n := 0
		run.awaitTrue(changeTime, h.Name+" refuses requests while all servers are leaving", func() bool {
			n++
			return client.Call(h.Callers, "plain", fmt.Sprintf("refused-%d-%d", i, n), callerKey) == http.StatusServiceUnavailable
		})
	}
	registerOthers("ready")
	time.Sleep(drainTime)
	for i, h := range run.fleet.Hosts {
		job := &soakJob{id: fmt.Sprint("job", i), items: 20, accepted: true, sentAt: time.Now()}
		if status := client.Submit(h.Callers, job.id, callerKey, job.items); status != http.StatusAccepted {
			t.Errorf("job at %s: status %d", h.Name, status)
		}
		run.jobs[job.id] = job
	}
	for _, outage := range []bool{false, true} {
		for _, s := range leaving {
			run.lapse(s, outage)
			time.Sleep(lapseTime)
		}
	}
	restartedAt := time.Now()
	for _, s := range leaving {
		s.Crash()
		s.SetLeaving(false)
		s.Start(run.store)
	}
	registerOthers("draining")
	for _, s := range leaving {
		run.awaitTrue(changeTime, "all hosts use the restarted "+s.Name, func() bool {
			return len(run.hostsSince(s, restartedAt)) == len(run.fleet.Hosts)
		})
	}
	run.store.SetDown(true)
	for _, s := range leaving {
		s.Crash()
		s.SetLeaving(true)
		if err := s.StartAtSameAddress(run.store); err != nil {
			t.Fatal(err)
		}
	}
	for _, s := range leaving {
		run.awaitLearned(s)
	}
	run.store.SetDown(false)
	registerOthers("ready")
	time.Sleep(listTime)
	close(run.stop)
	run.group.Wait()
	run.awaitJobsAndCheck()
	run.checkLeavingLogged(2 * len(leaving))
	for _, failure := range run.ledger.Failures {
		t.Error(failure)
	}
	if t.Failed() {
		run.keepLogs()
	}
	t.Logf("served %d of %d requests", run.ledger.Served, len(run.ledger.Answers))
}

// awaitLearned waits until each host has passed on an answer in which the current
// start of the server says that it is leaving.
func (run *soakRun) awaitLearned(s *Server) {
	run.awaitTrue(changeTime, "all hosts pass on answers of "+s.start(), func() bool {
		return len(run.ledger.learnedAt(s.start())) == len(run.fleet.Hosts)
	})
}

// hostsSince returns the hosts from which requests have reached a server since then.
func (run *soakRun) hostsSince(s *Server, since time.Time) map[string]bool {
	hosts := map[string]bool{}
	for _, r := range s.Runs() {
		if request, ok := run.ledger.sent(r.ID); ok && r.At.After(since) {
			hosts[request.Host] = true
		}
	}
	return hosts
}

// checkLeavingLogged checks that each host has logged each leaving server once.
func (run *soakRun) checkLeavingLogged(servers int) {
	for _, h := range run.fleet.Hosts {
		raw, err := os.ReadFile(filepath.Join(run.fleet.dir, h.Name+".log"))
		if err != nil {
			run.ledger.AddFailure("log of %s: %v", h.Name, err)
		}
		if n := strings.Count(string(raw), `"event":"server_leaving"`); n != servers {
			run.ledger.AddFailure("%s has logged %d leaving servers, %d have left", h.Name, n, servers)
		}
	}
}
