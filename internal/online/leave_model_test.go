package online_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/online"
)

// maxLeaveTime is how long servers may be at work on a call after its caller has left.
// The rules allow 500 ms.
const maxLeaveTime = 150 * time.Millisecond

// serveUntil serves a call whose caller leaves after a while.
func (m *model) serveUntil(call, path string, after time.Duration) {
	ctx, cancel := context.WithTimeout(m.t.Context(), after)
	defer cancel()
	defer func() { _ = recover() }() // the response is aborted
	m.service.Serve(ctx, httptest.NewRecorder(), &online.Call{
		ID: call, Key: "k", Host: "h.example", Method: http.MethodPost, Target: path, Path: path, Header: http.Header{}, Body: []byte(call), Arrived: time.Now(),
	})
}

// checkLeft checks that no server is at work on a call whose caller left at a moment, and
// that none was sent the call later.
func (m *model) checkLeft(call string, left time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, run := range m.runs {
		if run.call != call {
			continue
		}
		if run.began.After(left.Add(maxLeaveTime)) {
			m.t.Errorf("%s reached %s %v after its caller had left", call, run.server, run.began.Sub(left))
		}
		if run.ended.IsZero() || run.ended.After(left.Add(maxLeaveTime)) {
			m.t.Errorf("%s works on %s %v after its caller has left", run.server, call, time.Since(left))
		}
	}
}

// Callers that leave at any moment must free servers and places at once, whatever servers
// do and however configuration and servers change meanwhile.
func TestCallersThatLeaveFreeServers(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCallersLeave(t, seed) })
		})
	}
}

func testCallersLeave(t *testing.T, seed uint64) {
	m := &model{rng: rand.New(rand.NewPCG(seed, 4)), leaving: map[string]time.Time{}}
	ids := []string{"a", "b", "c", "d", "e"}
	m.fixture = newPipedFixture(t, m.serveConn, ids...)
	m.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = modelTimeout, modelMaxAttempts })
	go m.change(ids)
	var group sync.WaitGroup
	for i := range 60 {
		kind := []string{"get", "once", "stream", "resumable"}[m.draw(4)]
		at, after := time.Duration(m.draw(15000))*time.Millisecond, time.Duration(m.draw(4000))*time.Millisecond
		group.Go(func() {
			time.Sleep(at)
			call, began := fmt.Sprint(kind, "-", i), time.Now()
			m.serveUntil(call, "/"+kind+"/1", after)
			if took := time.Since(began); took > after+maxLeaveTime {
				t.Errorf("%s is served for %v after its caller has left", call, took-after)
			}
			left := began.Add(after)
			time.Sleep(time.Until(left) + maxLeaveTime + time.Millisecond)
			m.checkLeft(call, left)
		})
	}
	group.Wait()
	m.mu.Lock()
	m.stop = true
	m.mu.Unlock()
	time.Sleep(10 * time.Second) // until servers that failed are in use again
	var all []placement.Server
	for _, id := range ids {
		all = append(all, modelServer(id, true))
	}
	m.slots.SetServers(all)
	for _, service := range []string{"s", "t"} {
		if load, _ := m.slots.ServiceLoad(service); load > 0 {
			t.Errorf("%d places of %s are taken", load, service)
		}
	}
}
