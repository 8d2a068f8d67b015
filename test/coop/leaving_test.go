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
)

// serviceOf returns the service of a route, see Configure.
func serviceOf(route string) string {
	if route == "plain" || route == "once" {
		return "app"
	}
	return "llm"
}

// learnedAt returns when each host first passed on an answer of the service in
// which a server said that it is leaving.
func (l *Ledger) learnedAt(service string) map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]time.Time{}
	for _, answer := range l.Leaving {
		if serviceOf(answer.Route) != service {
			continue
		}
		if at, ok := out[answer.Host]; !ok || answer.At.Before(at) {
			out[answer.Host] = answer.At
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
// again.
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
	for service := range leaving {
		run.awaitTrue(changeTime, "hosts pass on answers of the leaving server of "+service, func() bool {
			return len(run.ledger.learnedAt(service)) == len(run.fleet.Hosts)
		})
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
	for i, h := range run.fleet.Hosts {
		if status := client.Submit(h.Callers, fmt.Sprint("job", i), callerKey, 20); status != http.StatusAccepted {
			t.Errorf("job at %s: status %d", h.Name, status)
		}
		run.jobs[fmt.Sprint("job", i)] = &soakJob{id: fmt.Sprint("job", i), items: 20, accepted: true}
	}
	for _, outage := range []bool{false, true} {
		for _, s := range leaving {
			run.lapse(s, outage)
			time.Sleep(lapseTime)
		}
	}
	restartedAt := time.Now()
	for _, s := range leaving {
		run.checkLeavingRuns(s)
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
	registerOthers("ready")
	close(run.stop)
	run.group.Wait()
	run.awaitJobsAndCheck()
	run.checkLeavingLogged(len(leaving))
	for _, failure := range run.ledger.Failures {
		t.Error(failure)
	}
	if t.Failed() {
		run.keepLogs()
	}
	t.Logf("served %d of %d requests", run.ledger.Served, len(run.ledger.Answers))
}

// checkLeavingRuns compares the requests that reached a server that is leaving
// with what hosts have passed on.
func (run *soakRun) checkLeavingRuns(s *Server) {
	learned := run.ledger.learnedAt(s.Service)
	late := 0
	for _, r := range s.Runs() {
		if strings.HasPrefix(r.ID, "job") {
			run.ledger.AddFailure("item %s reached %s after all hosts had passed on that it is leaving", r.ID, s.Name)
			continue
		}
		request, known := run.ledger.sent(r.ID)
		if !known {
			continue // sent before the test, to wait for the hosts
		}
		if after := request.At.Sub(learned[request.Host]); after > drainTime {
			if late++; late <= 3 {
				run.ledger.AddFailure("%s reached %s, sent %v after its host had passed on that the server is leaving", r.ID, s.Name, after)
			}
		}
	}
	if late > 0 {
		run.ledger.AddFailure("%d requests reached %s late", late, s.Name)
	}
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
