package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// herdKills is how often all processes are killed at once, herdDown how long they are
	// down: herd_kill with share = 1.0 and for_s = 1.0 in the site file.
	herdKills = 3
	herdDown  = time.Second
	// deadlyEvery is how often the client sends the request that crashes servers again,
	// killAfterIt how long after it the processes are killed.
	deadlyEvery = 7 * time.Second
	killAfterIt = time.Second
	// crashedServerDown is how long a server is away that such a request has crashed.
	crashedServerDown = 3 * time.Second
)

// crashingRequest: a request crashes each server that begins to run it, and comes again
// after all processes of the system were killed.
func crashingRequest(l *Lab) int {
	var mu sync.Mutex
	var third time.Time // when the request has crashed its third server
	crashes, late := 0, 0
	err := l.start(3, 0, 6, func(s *Server) {
		s.Answer = func(s *Server, _ http.ResponseWriter, r *http.Request, id string, _ []byte) bool {
			if !strings.HasSuffix(r.URL.Path, "/deadly") {
				time.Sleep(15 * time.Millisecond)
				return false
			}
			from := l.senderOf(r.RemoteAddr)
			mu.Lock()
			crashes++
			counts := crashes > 3 && time.Since(third) > stability && from != nil && from.calmFor() > stability
			if counts {
				late++
			}
			if crashes == 3 {
				third = time.Now()
			}
			n := crashes
			mu.Unlock()
			name := "an unknown machine"
			if from != nil {
				name = from.Name
			}
			l.note("request %s from %s crashes server %s (crash %d; counts: %t)", id, name, s.ID, n, counts)
			go func() {
				_ = s.server.Close()
				time.Sleep(crashedServerDown)
				if err := s.listen(l.store); err != nil {
					l.note("server %s: %v", s.ID, err)
				}
			}()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	})
	if err != nil {
		l.note("cannot start: %v", err)
		return cannotRun
	}
	var ordinary tally
	for _, h := range l.hosts {
		go l.every(100*time.Millisecond, func() { ordinary.add(l.ask(h)) })
	}
	time.Sleep(stability + 2*time.Second)
	for i := range herdKills + 1 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, _, _, err := call(ctx, http.MethodPost, l.hosts[i%len(l.hosts)].Front(), "/puxa403/deadly", newID(), map[string]string{"Deadline-Ms": "1000"}, []byte("deadly"))
		cancel()
		l.note("the request is answered %d %v", status, err)
		time.Sleep(killAfterIt)
		if l.trouble && i < herdKills {
			l.note("all processes of the system are killed, and are back %v later", herdDown)
			for _, h := range l.hosts {
				h.kill(herdDown)
			}
		}
		time.Sleep(deadlyEvery - killAfterIt)
	}
	mu.Lock()
	defer mu.Unlock()
	l.note("the request crashed %d servers; %d retries reached one later than %v after the third crash, from a machine in touch; 3 are allowed", crashes, late, stability)
	l.note("ordinary requests: %d of %d served", ordinary.served, ordinary.sent)
	if late > 3 {
		return broken
	}
	if crashes == 0 {
		return cannotRun
	}
	return held
}
