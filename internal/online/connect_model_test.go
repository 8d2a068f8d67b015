package online_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/upstream"
)

// modelDialTimeout is that of the model's connections.
const modelDialTimeout = 400 * time.Millisecond

// sleepUntil sleeps for d, or until ctx ends, which is an error.
func sleepUntil(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Calls keep their promises, see TestCallsKeepTheirPromisesBesideChanges, also if servers
// refuse connections, or accept none for a while. Guards against servers that are asked
// again, or counted wrongly, after a connection has failed.
func TestCallsKeepTheirPromisesWhenConnectionsFail(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testConnectionsFail(t, seed) })
		})
	}
}

func testConnectionsFail(t *testing.T, seed uint64) {
	m := &model{rng: rand.New(rand.NewPCG(seed, 5)), leaving: map[string]time.Time{}}
	ids := []string{"a", "b", "c", "d", "e"}[:2+m.draw(4)]
	server := servertest.NewPiped(t, m.serveConn)
	m.fixture = &fixture{t: t}
	m.build(upstream.Options{Connect: func(ctx context.Context, address string) (upstream.Conn, error) {
		switch m.draw(4) {
		case 0:
			return nil, syscall.ECONNREFUSED
		case 1:
			if err := sleepUntil(ctx, modelDialTimeout); err != nil {
				return nil, err
			}
			return nil, os.ErrDeadlineExceeded
		case 2: // less than a request may be under way to a server that is leaving
			if err := sleepUntil(ctx, time.Duration(m.draw(90))*time.Millisecond); err != nil {
				return nil, err
			}
		}
		return server.Connect(ctx, address)
	}}, nil)
	m.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = modelTimeout, modelMaxAttempts })
	var all []placement.Server
	for _, id := range ids {
		all = append(all, modelServer(id, true))
	}
	m.slots.SetServers(all)
	go m.change(ids)
	var group sync.WaitGroup
	for i := range 60 {
		kind := []string{"get", "once", "stream", "resumable"}[m.draw(4)]
		at := time.Duration(m.draw(15000)) * time.Millisecond
		group.Go(func() {
			time.Sleep(at)
			call, began := fmt.Sprint(kind, "-", i), time.Now()
			status, body := m.serveBody(call, "/"+kind+"/1")
			took := time.Since(began)
			time.Sleep(10 * time.Millisecond) // servers learn of the end
			m.check(call, status, body, took)
		})
	}
	group.Wait()
	m.mu.Lock()
	m.stop = true
	m.mu.Unlock()
	time.Sleep(10 * time.Second) // until servers that failed are in use again
	m.slots.SetServers(all)
	for _, service := range []string{"s", "t"} {
		if load, _ := m.slots.ServiceLoad(service); load > 0 {
			t.Errorf("%d places of %s are taken", load, service)
		}
	}
}
