package online_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/servertest"
)

// modelRun is one request of a call at a server.
type modelRun struct {
	call, server string
	began, ended time.Time // ended is zero while the server is at work
	rejected     bool      // the server stated that it did not run it
}

// model is a service in front of servers that do anything at any time, while the
// configuration and the list of servers change.
type model struct {
	*fixture
	mu      sync.Mutex
	rng     *rand.Rand
	runs    []*modelRun
	leaving map[string]time.Time // when a server said that it is leaving, by instance
	stop    bool
}

func (m *model) draw(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.IntN(n)
}

// pause waits until the silence is over or the host closes the connection. It
// reports false in the latter case.
func (m *model) pause(c *servertest.Conn, d time.Duration) bool {
	select {
	case <-c.PeerClosed():
		return false
	case <-time.After(d):
		return true
	}
}

// serveConn is the script of all servers.
func (m *model) serveConn(c *servertest.Conn) bool {
	m.mu.Lock()
	run := &modelRun{call: c.ID, server: c.Header.Get("X-Instance"), began: time.Now()}
	m.runs = append(m.runs, run)
	if at, ok := m.leaving[run.server]; ok && time.Since(at) > 100*time.Millisecond {
		m.t.Errorf("%s reached %s %v after it said that it is leaving", c.ID, run.server, time.Since(at))
	}
	m.mu.Unlock()
	keep := m.answer(c, run)
	m.mu.Lock()
	run.ended = time.Now()
	m.mu.Unlock()
	return keep
}

func (m *model) answer(c *servertest.Conn, run *modelRun) bool {
	var extra []string
	if m.draw(40) == 0 {
		extra = append(extra, servertest.LeavingLine)
	}
	if !m.pause(c, time.Duration(m.draw(6))*m.drawSilence()) {
		return false
	}
	kind := m.draw(12)
	if extra != nil && kind != 2 && kind != 3 && kind != 4 {
		m.markLeaving(run.server, time.Now())
	}
	switch kind {
	case 0:
		m.mu.Lock()
		run.rejected = true
		m.mu.Unlock()
		c.RespondNotRun(http.StatusServiceUnavailable, extra...)
		return true
	case 1:
		c.WriteHead(http.StatusInternalServerError, append(extra, "Content-Length: 1")...)
		m.pause(c, m.drawSilence())
		_, _ = fmt.Fprint(c, "e")
		return true
	case 2:
		return false
	case 4:
		m.mu.Lock()
		run.rejected = true
		m.mu.Unlock()
		c.RespondNotRun(http.StatusMisdirectedRequest) // another server answers
		return true
	case 3:
		c.ID = "other"
		c.Respond(200, "other")
		return true
	}
	if strings.HasPrefix(run.call, "get") || strings.HasPrefix(run.call, "once") {
		c.WriteHead(200, append(extra, "Content-Length: 2")...)
		for _, piece := range []string{"o", "k"} {
			if !m.pause(c, m.drawSilence()) || m.draw(30) == 0 {
				return false
			}
			_, _ = fmt.Fprint(c, piece)
		}
		return true
	}
	c.WriteHead(200, append(extra, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")...)
	for id := c.After + 1; id <= 4; id++ {
		if !m.pause(c, m.drawSilence()) || m.draw(30) == 0 {
			return false
		}
		c.WriteEvent(id)
	}
	c.EndStream()
	return true
}

// markLeaving notes that a server said that it is leaving.
func (m *model) markLeaving(server string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.leaving[server]; !ok {
		m.leaving[server] = at
	}
}

func (m *model) drawSilence() time.Duration {
	if m.draw(3) > 0 {
		return time.Duration(m.draw(50)) * time.Millisecond
	}
	return time.Duration(m.draw(2000)) * time.Millisecond
}

// modelServer describes a server; e is of another service than the others.
func modelServer(id string, ready bool) placement.Server {
	service := "s"
	if id == "e" {
		service = "t"
	}
	return placement.Server{ID: id, Instance: id, Service: service, Address: id, Zone: "z", Slots: 2, Ready: ready}
}

// change changes the configuration and the list of servers until the model ends.
func (m *model) change(ids []string) {
	for version := int64(2); ; version++ {
		time.Sleep(time.Duration(100+m.draw(900)) * time.Millisecond)
		m.mu.Lock()
		stop := m.stop
		m.mu.Unlock()
		if stop {
			return
		}
		list := routes()
		for i := range list {
			list[i].Timeout = []time.Duration{modelTimeout, modelTimeout / 2, modelTimeout / 8}[m.draw(3)]
			list[i].MaxAttempts = 1 + m.draw(3)
			if m.draw(4) == 0 {
				list[i].Targets = []routing.Target{{Service: "t", Weight: 1}}
			}
		}
		if m.draw(4) == 0 {
			list = list[:len(list)-m.draw(len(list))]
		}
		keys := map[string]string{"k": "w"}
		if m.draw(6) == 0 {
			keys = nil
		}
		m.snapshot.Store(routing.New(version, list, m.snapshot.Load().Workspaces, nil, keys))
		var servers []placement.Server
		for _, id := range ids {
			if m.draw(6) > 0 {
				servers = append(servers, modelServer(id, m.draw(5) > 0))
			}
		}
		m.slots.SetServers(servers)
	}
}

const (
	modelTimeout     = 4 * time.Second
	modelMaxAttempts = 3
	// modelMaxOverlap is how long two servers may work on one stream.
	modelMaxOverlap = 400 * time.Millisecond
)

// check checks what all runs of a call may be.
func (m *model) check(call string, status int, body string, took time.Duration) {
	fail := func(format string, args ...any) {
		m.t.Errorf("%s, status %d after %v: %s", call, status, took, fmt.Sprintf(format, args...))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	servers, ran := map[string]bool{}, 0
	var runs []*modelRun
	for _, run := range m.runs {
		if run.call != call {
			continue
		}
		servers[run.server] = true
		if !run.rejected {
			ran++
			runs = append(runs, run)
		}
		if run.ended.IsZero() {
			fail("%s still works on it", run.server)
		}
	}
	kind, _, _ := strings.Cut(call, "-")
	if took > modelTimeout {
		fail("held for too long")
	}
	if len(servers) > modelMaxAttempts {
		fail("%d servers", len(servers))
	}
	if (kind == "once" || kind == "stream") && ran > 1 {
		fail("%d runs", ran)
	}
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && ran > 0 {
		fail("it has run")
	}
	whole := "ok"
	if kind == "stream" || kind == "resumable" {
		whole = events(1, 4)
	}
	if status == http.StatusOK && body != whole || status == 0 && !strings.HasPrefix(whole, body) {
		fail("body %q", body)
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			overlap := min(a.ended.Sub(b.began), b.ended.Sub(b.began))
			if kind == "resumable" && a.server != b.server && overlap > modelMaxOverlap {
				fail("%s and %s for %v", a.server, b.server, overlap)
			}
			if a.server == b.server && overlap > 0 {
				fail("twice at once at %s", a.server)
			}
		}
	}
}

// Whatever servers do and however configuration and servers change meanwhile, every
// call ends in its time, reaches only as many servers as it may, runs once if it must,
// and its answer says no more than is true. No slot stays taken, and no server at work.
func TestCallsKeepTheirPromisesBesideChanges(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &model{rng: rand.New(rand.NewPCG(seed, 2)), leaving: map[string]time.Time{}}
				ids := []string{"a", "b", "c", "d", "e"}
				m.fixture = newPipedFixture(t, m.serveConn, ids...)
				m.setRoutes(func(r *routing.Route) { r.Timeout, r.MaxAttempts = modelTimeout, modelMaxAttempts })
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
			})
		})
	}
}
