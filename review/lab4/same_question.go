package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// questionWork is what a plain server needs for an answer, the mean of `theft-alert` in
	// the large deployment.
	questionWork = 60 * time.Millisecond
	// crashedFor is how long the servers are down; srv_crash in the site file has 4.5 s.
	crashedFor = 3 * time.Second
	// recovery is recoveryS.
	recovery = 12 * time.Second
	// questionGap is the pause between questions at each of three hosts: 33 a second come
	// at the peaks of the site.
	questionGap = 90 * time.Millisecond
)

// sameQuestion: clients ask the same question again and again, and the servers of its
// service crash once.
func sameQuestion(l *Lab) int {
	err := l.start(3, 3, 3, func(s *Server) {
		if s.Service != "alert-app" {
			return
		}
		s.Answer = func(*Server, http.ResponseWriter, *http.Request, string, []byte) bool {
			time.Sleep(questionWork)
			return false
		}
	})
	if err != nil {
		l.note("cannot start: %v", err)
		return cannotRun
	}
	var before, between, after, streams tally
	var phase atomic.Pointer[tally]
	phase.Store(&before)
	for _, h := range l.hosts {
		go l.every(questionGap, func() {
			t := phase.Load()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			id := newID()
			status, _, raw, err := call(ctx, http.MethodGet, h.Front(), "/puxa403/stock/42", id, map[string]string{"Deadline-Ms": "1000"}, nil)
			t.add(err == nil && status == http.StatusOK && string(raw) == plainBody(id))
		})
		go l.every(time.Second, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			id := newID()
			header := map[string]string{"Deadline-Ms": "5000", "Model": "m", "Token-Count": "450,242", "Prompt-Prefix": "5c1e07a2:200," + id[:6] + ":250"}
			status, _, _, err := call(ctx, http.MethodPost, h.Front(), "/lohu930/2f", id, header, []byte(id))
			streams.add(err == nil && status == http.StatusOK)
		})
	}
	time.Sleep(10 * time.Second)
	if l.trouble {
		phase.Store(&between)
		l.note("final fault: all processes of the system are killed")
		for _, h := range l.hosts {
			h.kill(restartDelay)
		}
		time.Sleep(restartDelay)
	}
	for _, h := range l.hosts {
		if err := l.awaitReady(h, 10*time.Second); err != nil {
			l.note("%v", err)
			return cannotRun
		}
	}
	phase.Store(&between)
	back := time.Now()
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.note("all servers of alert-app crash, and are back %v later", crashedFor)
		if err := l.crashService("alert-app"); err != nil {
			l.note("%v", err)
			return cannotRun
		}
	}
	time.Sleep(time.Until(back.Add(recovery)))
	phase.Store(&after)
	time.Sleep(30 * time.Second)
	phase.Store(&between)
	time.Sleep(1500 * time.Millisecond)
	l.note("the same question before the final fault: %d of %d served", before.served, before.sent)
	l.note("later than %v after the machines were back: %d of %d served", recovery, after.served, after.sent)
	l.note("other requests, all the while: %d of %d served", streams.served, streams.sent)
	if before.served*4 < before.sent || after.sent < 100 {
		return cannotRun
	}
	if after.served*4 < after.sent {
		return broken
	}
	return held
}

// every calls fn on a goroutine of its own at each interval until the end of the script.
func (l *Lab) every(interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
			go fn()
		}
	}
}

// crashService ends all servers of a service at once and starts them again.
func (l *Lab) crashService(service string) error {
	for _, s := range l.servers {
		if s.Service == service {
			_ = s.server.Close()
		}
	}
	time.Sleep(crashedFor)
	for _, s := range l.servers {
		if s.Service != service {
			continue
		}
		if err := s.listen(l.store); err != nil {
			return err
		}
	}
	return nil
}
