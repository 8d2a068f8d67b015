package coop

import (
	"fmt"
	"sync/atomic"
	"time"
)

// crash is the time that the crash of a server took. The end is zero until then.
type crash struct{ began, ended time.Time }

// crash crashes a server.
func (run *soakRun) crash(s *Server) {
	run.mu.Lock()
	i := len(run.crashes)
	run.crashes = append(run.crashes, crash{began: time.Now()})
	run.mu.Unlock()
	s.Crash()
	run.mu.Lock()
	defer run.mu.Unlock()
	run.crashes[i].ended = time.Now()
}

// crashedSince reports whether a server crashed, or was crashing, since then.
func (run *soakRun) crashedSince(since time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, c := range run.crashes {
		if c.ended.IsZero() || c.ended.After(since) {
			return true
		}
	}
	return false
}

// takeServer takes a random server out of the list of those in use, or returns nil if
// no service has another one.
func (run *soakRun) takeServer() *Server {
	run.mu.Lock()
	defer run.mu.Unlock()
	count := map[string]int{}
	for _, s := range run.servers {
		count[s.Service]++
	}
	for _, i := range run.rng.Perm(len(run.servers)) {
		if s := run.servers[i]; count[s.Service] > 1 {
			run.servers = append(run.servers[:i:i], run.servers[i+1:]...)
			return s
		}
	}
	return nil
}

func (run *soakRun) returnServer(s *Server) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.servers = append(run.servers, s)
}

// startLeaving makes servers leave, in concurrent series, until stop is closed. With
// faults the store has outages and servers crash meanwhile. It returns the number of
// servers that have left.
func (run *soakRun) startLeaving(faults bool) *atomic.Int64 {
	var left atomic.Int64
	for series := range run.size.leaving {
		run.group.Go(func() {
			for n := 0; run.sleepRandom(50*time.Millisecond, 500*time.Millisecond); n++ {
				if s := run.takeServer(); s != nil {
					run.leave(s, faults)
					run.replace(s, fmt.Sprintf("%s-new-%d-%d", s.Service, series, n))
					left.Add(1)
				}
			}
		})
	}
	return &left
}

// leave makes a server say in its answers that it is leaving, while its entry stays
// ready, lapses and comes back, or names a start of which hosts can't know yet. Then it
// ends, with or without a report to the store.
func (run *soakRun) leave(s *Server, faults bool) {
	if faults && run.randN(3) == 0 {
		run.restartUnnoticed(s)
	} else {
		s.SetLeaving(true)
		run.sleepRandom(100*time.Millisecond, 800*time.Millisecond)
	}
	kinds := 2
	if faults {
		kinds = 4
	}
	for range 1 + run.randN(3) {
		kind := run.randN(kinds)
		switch kind {
		case 1, 2:
			if kind == 2 {
				run.store.SetDown(true)
			}
			run.store.Remove("servers", s.Name)
			run.sleepRandom(100*time.Millisecond, time.Second)
			if kind == 2 {
				run.store.SetDown(false)
			}
			s.Register(run.store, "ready")
		case 3:
			run.restartUnnoticed(s)
		}
		run.sleepRandom(100*time.Millisecond, 800*time.Millisecond)
	}
	switch run.randN(3) {
	case 0:
		s.Register(run.store, "draining")
		run.sleepRandom(300*time.Millisecond, time.Second)
	case 1:
		run.store.Remove("servers", s.Name)
		run.sleepRandom(300*time.Millisecond, time.Second)
	}
	s.Stop()
	run.store.Remove("servers", s.Name)
}

// restartUnnoticed crashes a server and starts it again at its address during an outage
// of the store. The new start says that it is leaving before hosts can know of it.
func (run *soakRun) restartUnnoticed(s *Server) {
	run.store.SetDown(true)
	run.crash(s)
	s.SetLeaving(true)
	if err := s.StartAtSameAddress(run.store); err != nil {
		run.ledger.AddFailure("%v", err)
	}
	run.sleepRandom(500*time.Millisecond, 1500*time.Millisecond)
	run.store.SetDown(false)
}

// replace starts a server that has left again, at another address or its own, or
// another one in its place.
func (run *soakRun) replace(s *Server, name string) {
	kind := run.randN(3)
	if kind == 0 {
		run.addServer(name, s.Service, s.Pause)
		return
	}
	s.SetLeaving(false)
	if kind == 1 {
		s.Start(run.store)
	} else if err := s.StartAtSameAddress(run.store); err != nil {
		run.ledger.AddFailure("%v", err)
		return
	}
	run.returnServer(s)
}
