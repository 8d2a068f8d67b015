package online_test

import (
	"fmt"
	"io"
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

const (
	// soundTimeout is the time of a call, several times of what a server needs for it.
	soundTimeout = 60 * time.Second
	// maxSilence is the longest silence of a sound server, and piecesBetweenSilences the
	// least number of pieces of an answer from one to the next.
	maxSilence            = 2 * time.Second
	piecesBetweenSilences = 2
)

// soundModel is a service whose servers are sound, but fall silent.
type soundModel struct {
	*model
	silentPart int // one of so many pieces of an answer comes after a silence
	slotsEach  int // slots of a server
}

// serveSoundly is the script of all servers. It answers in pieces of a few bytes, at
// times after an interim response.
func (m *soundModel) serveSoundly(c *servertest.Conn) bool {
	framing := []string{"chunked", "length", "until close"}[m.draw(3)]
	path := "/get/1"
	if strings.HasPrefix(c.ID, "stream") || strings.HasPrefix(c.ID, "resumable") {
		path = "/stream/1"
	}
	pieces := answerPieces(c, path, framing)
	if m.draw(3) == 0 {
		pieces = append([]string{"HTTP/1.1 102 X\r\n", "\r\n"}, pieces...)
	}
	spoken := piecesBetweenSilences
	for _, piece := range append(pieces, "") {
		pause := time.Duration(m.draw(20)) * time.Millisecond
		if spoken++; spoken > piecesBetweenSilences && m.draw(m.silentPart) == 0 {
			spoken = 0
			pause = maxSilence/4 + time.Duration(m.draw(int(3*maxSilence/4)))
		}
		if !m.pause(c, pause) {
			return false
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return false
		}
	}
	return framing != "until close"
}

// changeSoundly changes the configuration until the model ends. Entries of servers lapse
// and come back, but never all.
func (m *soundModel) changeSoundly(ids []string) {
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
			list[i].Timeout, list[i].MaxAttempts = soundTimeout, 1+m.draw(4)
			list[i].GapObjective = 400 * time.Millisecond // callers bear a gap of 3.2 s
			list[i].Objective = []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, time.Second}[m.draw(3)]
		}
		m.snapshot.Store(routing.New(version, list, m.snapshot.Load().Workspaces, nil, map[string]string{"k": "w"}))
		var servers []placement.Server
		kept := m.draw(len(ids))
		for i, id := range ids {
			if i == kept || m.draw(6) > 0 {
				servers = append(servers, placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: m.slotsEach, Ready: true})
			}
		}
		m.slots.SetServers(servers)
	}
}

// Servers that are sound, but silent for up to 2 s now and then, must answer every call
// beside changes of the configuration and of the list of servers: nothing that the host
// does about a silence may cost the answer.
func TestSoundServersAnswerAllCalls(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSoundServers(t, seed) })
		})
	}
}

func testSoundServers(t *testing.T, seed uint64) {
	m := &soundModel{model: &model{rng: rand.New(rand.NewPCG(seed, 3)), leaving: map[string]time.Time{}}}
	m.silentPart = 1 + m.draw(8)
	ids := []string{"a", "b", "c", "d"}[:1+m.draw(4)]
	m.slotsEach = 8/len(ids) + m.draw(4)
	m.fixture = newPipedFixture(t, m.serveSoundly, ids...)
	m.setRoutes(func(r *routing.Route) { r.Timeout, r.GapObjective = soundTimeout, 400*time.Millisecond })
	go m.changeSoundly(ids)
	var group sync.WaitGroup
	for i := range 30 {
		kind := []string{"get", "once", "stream", "resumable"}[m.draw(4)]
		at := time.Duration(m.draw(20000)) * time.Millisecond
		group.Go(func() {
			time.Sleep(at)
			call, began := fmt.Sprint(kind, "-", i), time.Now()
			status, body := m.serveBody(call, "/"+kind+"/1")
			want := "hello"
			if kind == "stream" || kind == "resumable" {
				want = events(1, 4)
			}
			if status != http.StatusOK || body != want {
				t.Errorf("%s, status %d after %v: body %q", call, status, time.Since(began), body)
			}
		})
	}
	group.Wait()
	m.mu.Lock()
	m.stop = true
	m.mu.Unlock()
	time.Sleep(10 * time.Second) // until all servers have found their connections closed
	var all []placement.Server
	for _, id := range ids {
		all = append(all, placement.Server{ID: id, Instance: id, Service: "s", Address: id, Zone: "z", Slots: m.slotsEach, Ready: true})
	}
	m.slots.SetServers(all)
	if load, _ := m.slots.ServiceLoad("s"); load > 0 {
		t.Errorf("%d places are taken", load)
	}
}
