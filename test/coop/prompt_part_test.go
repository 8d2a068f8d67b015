package coop

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	crashingPart  = "bad0bad0"
	crashTestTime = 12 * time.Second
	// learnTime is the time after the fifth crash, or the last, in which such requests may still
	// reach servers, and settleTime the time after which sound ones must be served.
	learnTime  = 3 * time.Second
	settleTime = 2 * learnTime
	// maxLateSends is the users' bound on such requests after learnTime.
	maxLateSends = 3
)

// crashLog records the crashes of servers and the sound requests by their outcome.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	late    []bool // outcome of sound requests sent after settleTime
}

// reference returns the time of the fifth crash, or of the last if there are fewer,
// and false if there is none.
func (l *crashLog) reference() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.crashes) == 0 {
		return time.Time{}, false
	}
	return l.crashes[min(len(l.crashes), 5)-1], true
}

// One request in twenty has a part of a prompt that crashes each server that begins
// to answer on it, at any host: servers must not go on crashing, and the requests of
// the same workspace with the same other parts must be served.
func TestPromptPartThatCrashesServers(t *testing.T) {
	run := newSoakRun(t, 11)
	log := &crashLog{}
	var serversMu sync.Mutex
	var add func(n int)
	add = func(n int) {
		s := &Server{Name: fmt.Sprint("part-", n), Service: "llm", Pause: 10 * time.Millisecond, CrashPart: crashingPart}
		var once sync.Once
		s.OnCrash = func() {
			once.Do(func() {
				log.mu.Lock()
				log.crashes = append(log.crashes, time.Now())
				log.mu.Unlock()
				go s.Crash()
				time.Sleep(time.Second)
				run.store.Remove("servers", s.Name)
				add(n + 100)
			})
		}
		s.Start(run.store)
		serversMu.Lock()
		defer serversMu.Unlock()
		run.allServers = append(run.allServers, s)
	}
	for i, s := range run.servers {
		if s.Service == "llm" {
			s.Crash()
			run.store.Remove("servers", s.Name)
			add(i)
		}
	}
	for i := range 8 {
		add(10 + i)
	}
	time.Sleep(time.Second) // hosts learn of the servers
	for c := range 8 {
		run.group.Go(func() {
			client := NewClient(run.ledger)
			for i := 0; run.sleepRandom(10*time.Millisecond, 40*time.Millisecond); i++ {
				route := []string{"stream", "resume"}[run.randN(2)]
				host, subject := run.randomHost().Callers, fmt.Sprintf("5b%d", run.randN(8))
				if run.randN(20) == 0 {
					client.CallWithParts(host, route, fmt.Sprintf("bad%d-%d", c, i), callerKey, sharedPart, subject, crashingPart)
					continue
				}
				reference, known := log.reference()
				settled := known && time.Since(reference) > settleTime
				status := client.CallWithParts(host, route, fmt.Sprintf("sound%d-%d", c, i), callerKey, sharedPart, subject)
				if settled {
					log.mu.Lock()
					log.late = append(log.late, status == http.StatusOK)
					log.mu.Unlock()
				}
			}
		})
	}
	time.Sleep(crashTestTime)
	close(run.stop)
	run.group.Wait()
	reference, known := log.reference()
	sends, served := 0, 0
	serversMu.Lock()
	defer serversMu.Unlock()
	for _, s := range run.allServers {
		for _, r := range s.Runs() {
			if known && strings.HasPrefix(r.ID, "bad") && r.At.Sub(reference) > learnTime {
				sends++
			}
		}
	}
	for _, ok := range log.late {
		if ok {
			served++
		}
	}
	t.Logf("%d crashes, %d such requests sent late; %d of %d sound ones served late; %d served in all", len(log.crashes), sends, served, len(log.late), run.ledger.Served)
	if len(log.crashes) < 3 {
		t.Errorf("only %d crashes", len(log.crashes))
	}
	if sends > maxLateSends {
		t.Errorf("%d requests with the part reached servers %v after the crashes, want at most %d", sends, learnTime, maxLateSends)
	}
	if len(log.late) < 20 || served*2 < len(log.late) {
		t.Errorf("%d of %d sound requests served after the crashes, %d in all", served, len(log.late), run.ledger.Served)
	}
	for _, failure := range run.ledger.Failures {
		t.Error(failure)
	}
}
