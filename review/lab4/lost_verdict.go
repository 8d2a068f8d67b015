package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// killAfter is how long after the answer of 422 the process that got it is killed.
	killAfter = 500 * time.Millisecond
	// killedFor is how long a killed process is down, as in the site file.
	killedFor = 3500 * time.Millisecond
	// stability is stabilityWindowMs.
	stability = 3 * time.Second
)

// verdictSend is a send of the item that can never be done.
type verdictSend struct {
	from *Host
	calm time.Duration // for which that machine was undisturbed
}

// lostVerdict: three machines that run a batch job are lost, each before it has listed the
// item that can never be done.
func lostVerdict(l *Lab) int {
	body, ids := job(10)
	poison := ids[4]
	var mu sync.Mutex
	var all []verdictSend
	sends := make(chan verdictSend, 100)
	err := l.start(6, 6, 0, func(s *Server) {
		s.Step = 25 * time.Millisecond // an item runs for 6 s
		s.Answer = func(s *Server, w http.ResponseWriter, r *http.Request, id string, _ []byte) bool {
			if id != poison {
				return false
			}
			send := verdictSend{from: l.senderOf(r.RemoteAddr)}
			if send.from == nil {
				l.note("cannot tell who sent the item")
				return false
			}
			send.calm = send.from.calmFor()
			mu.Lock()
			all = append(all, send)
			n := len(all)
			mu.Unlock()
			l.note("item %s reaches server %s from %s, undisturbed for %.1f s: answered 422 (time %d)", id, s.ID, send.from.Name, send.calm.Seconds(), n)
			w.WriteHeader(http.StatusUnprocessableEntity)
			sends <- send
			return true
		}
	})
	if err != nil {
		l.note("cannot start: %v", err)
		return cannotRun
	}
	time.Sleep(stability)
	id := newID()
	status, _, _, err := call(context.Background(), http.MethodPost, l.hosts[0].Front(), "/pule252/"+id[:6], id, map[string]string{"Deadline-Ms": "4000"}, body)
	l.note("batch job %s of %d items sent to %s: %d %v; item %s can never be done", id, len(ids), l.hosts[0].Name, status, err, poison)
	if status != http.StatusAccepted {
		return cannotRun
	}
	lost := map[*Host]bool{}
	for len(lost) < 3 && l.trouble {
		select {
		case send := <-sends:
			time.Sleep(killAfter)
			if lost[send.from] {
				continue
			}
			if len(lost) < 2 {
				l.note("%s is removed for good", send.from.Name)
				send.from.remove()
			} else {
				l.note("the process on %s is killed and down for %v", send.from.Name, killedFor)
				send.from.kill(killedFor)
			}
			lost[send.from] = true
		case <-time.After(20 * time.Second):
			l.note("the item was not sent again")
			return held
		}
	}
	at := slices.IndexFunc(l.hosts, func(h *Host) bool { return !lost[h] })
	listed := false
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until) && !listed; time.Sleep(500 * time.Millisecond) {
		status, p := readPage(l.hosts[at], id, 0)
		for _, r := range p.Results {
			if status == http.StatusOK && r.ID == poison {
				l.note("%s lists the item as %s", l.hosts[at].Name, r.State)
				listed = true
			}
		}
	}
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for i, send := range all {
		if i >= 3 && send.calm >= stability {
			over++
		}
	}
	l.note("the item reached servers %d times; %d times after three answers of 422, from a machine in touch", len(all), over)
	switch {
	case over > 0:
		return broken
	case !listed:
		return cannotRun
	}
	return held
}
