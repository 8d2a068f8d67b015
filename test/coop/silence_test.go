package coop

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	silenceTestTime    = 10 * time.Second
	silenceTestCallers = 12
	minSilence         = 500 * time.Millisecond
	maxSilence         = 1500 * time.Millisecond
	maxSoakSilence     = 2 * time.Second
)

// silentParts returns a function for Server.Silence. The server falls silent in two
// of three of its answers, for a time and before a part that depend on the request
// and the server.
func silentParts(server string) func(id string, part int64) time.Duration {
	return func(id string, part int64) time.Duration {
		h := idHash(server + id)
		parts := 2*EventCount(id) + 2
		if h%3 == 0 || int64(h/3%uint64(parts)) != part {
			return 0
		}
		return minSilence + time.Duration(h/1000%uint64(maxSilence-minSilence))
	}
}

// Sound servers fall silent for a while in any phase of an answer and go on, while
// the configuration changes several times a second: every request must get its
// whole answer.
func TestSilentServersBesideChanges(t *testing.T) {
	is := is.NewRelaxed(t)
	run := newSoakRun(t, 13)
	for i := range 2 {
		for service, pause := range map[string]time.Duration{"llm": 5 * time.Millisecond, "app": 0} {
			s := &Server{Name: fmt.Sprint("silent-", service, "-", i), Service: service, Pause: pause}
			s.Silence = silentParts(s.Name)
			s.Start(run.store)
			run.servers, run.allServers = append(run.servers, s), append(run.allServers, s)
		}
	}
	for _, s := range run.servers {
		if s.Silence == nil {
			run.store.Remove("servers", s.Name)
		}
	}
	run.awaitStreams()
	run.startChanges()
	var mu sync.Mutex
	statuses := map[string]map[int]int{}
	for c := range silenceTestCallers {
		run.group.Go(func() {
			client := NewClient(run.ledger)
			kinds := []string{"plain", "once", "stream", "resume"}
			for i := 0; run.sleepRandom(time.Millisecond, 20*time.Millisecond); i++ {
				kind := kinds[run.randN(len(kinds))]
				status := client.Call(run.randomHost().Callers, kind, fmt.Sprintf("silence-%d-%d", c, i), callerKey)
				mu.Lock()
				if statuses[kind] == nil {
					statuses[kind] = map[int]int{}
				}
				statuses[kind][status]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(silenceTestTime)
	close(run.stop)
	run.group.Wait()
	run.checkRuns()
	t.Logf("answers by route and status: %v, cut: %d", statuses, run.ledger.Cut)
	for kind, counts := range statuses {
		for status, n := range counts {
			if status != http.StatusOK {
				t.Errorf("%d requests of route %s got status %d", n, kind, status)
			}
		}
	}
	is.Equal(run.ledger.Failures, nil)
	is.Equal(run.ledger.Cut, 0)
	is.True(run.ledger.Served > 100)
	if t.Failed() {
		run.keepLogs()
	}
}
