package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxSteps bounds the steps of a model run, which together last for less than
// leavingRetention.
const maxSteps = 150

// leavingModel is a Placement in front of servers that start, restart under their
// names, say that they are leaving, and lapse from the list and come back.
type leavingModel struct {
	*Placement
	now      time.Time
	lifetime [4]int          // number of the current start, by server
	said     map[string]bool // ids of the servers that said they are leaving
}

func (m *leavingModel) server(i int) Server {
	s := testServer(fmt.Sprintf("s%d@%d", i, m.lifetime[i]), 3)
	s.Instance = fmt.Sprint("s", i)
	return s
}

// TestLeavingServerIsNotChosenAgain guards against a request to a server after it
// said that it is leaving, whatever the list of servers says meanwhile: its entry
// stays ready, is drawn back, lapses and returns. Each later start under the same
// name is a new server and must be used.
func TestLeavingServerIsNotChosenAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leavingModel{Placement: New("z1", rand.New(rand.NewPCG(3, 4))), now: start, said: map[string]bool{}}
		listed := map[string]Server{}
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(leavingRetention)/maxSteps).Draw(t, "ns")))
			switch rapid.SampledFrom([]string{"list", "list", "leave", "restart", "pick", "pick"}).Draw(t, "step") {
			case "list":
				var list []Server
				listed = map[string]Server{}
				for i := range m.lifetime {
					if s := m.server(i); rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
						s.Ready = rapid.IntRange(0, 3).Draw(t, "ready") > 0
						list = append(list, s)
						listed[s.ID] = s
					}
				}
				m.SetServers(list, m.now)
			case "leave":
				id := m.server(rapid.IntRange(0, 3).Draw(t, "server")).ID
				if first := m.MarkLeaving(id, m.now, m.now); first == m.said[id] {
					t.Fatalf("%s: first mark %v, marked before %v", id, first, m.said[id])
				}
				m.said[id] = true
			case "restart":
				m.lifetime[rapid.IntRange(0, 3).Draw(t, "server")]++
			case "pick":
				m.checkPicks(t, listed)
			}
		}
	})
}

// checkPicks checks that requests of both classes reach exactly the listed servers
// that are ready and have not said that they are leaving.
func (m *leavingModel) checkPicks(t *rapid.T, listed map[string]Server) {
	usable := 0
	for id, s := range listed {
		if s.Ready && !m.said[id] {
			usable++
		}
	}
	for _, class := range []Class{Online, Batch} {
		var tried []string
		for {
			s, verdict := m.Pick(Query{Service: "s", Class: class, Tried: tried}, m.now)
			if verdict != Chosen {
				break
			}
			if m.said[s.ID] {
				t.Fatalf("%s was chosen after it said that it is leaving", s.ID)
			}
			m.Start(s.ID, class, m.now)
			m.Finish(s.ID, class, Success, time.Millisecond, 1, m.now)
			tried = append(tried, s.ID)
		}
		if len(tried) != usable {
			t.Fatalf("%d servers were chosen, %d of the list %v are usable", len(tried), usable, listed)
		}
	}
	if _, slots := m.ServiceLoad("s", m.now); slots != 3*usable {
		t.Fatalf("%d slots at %d usable servers", slots, usable)
	}
}

// TestLeavingServersAreForgotten guards against memory that grows with each server
// that ever left, and against forgetting one that is still in the list.
func TestLeavingServersAreForgotten(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement()
	now := start
	for i := range 1000 {
		id := fmt.Sprint("s@", i)
		p.SetServers([]Server{testServer("stays", 8), testServer(id, 8)}, now)
		p.MarkLeaving("stays", now, now)
		p.MarkLeaving(id, now, now)
		now = now.Add(leavingRetention / 4)
		if len(p.leaving) > 8 {
			t.Fatalf("%d servers are remembered after %d have left", len(p.leaving), i)
		}
	}
	p.SetServers(nil, now) // its entry lapses and comes back
	p.SetServers(nil, now.Add(leavingRetention/4))
	p.SetServers([]Server{testServer("stays", 8)}, now.Add(leavingRetention/2))
	_, verdict := p.Pick(Query{Service: "s"}, now.Add(leavingRetention/2))
	is.Equal(verdict, NoServer)
}

// TestRequestsInFlightAtLeavingServerAreCounted guards against losing the ends of
// requests that go on at a server that is leaving, and its counts for peers.
func TestRequestsInFlightAtLeavingServerAreCounted(t *testing.T) {
	is := is.New(t)
	p := newTestPlacement(testServer("a", 8))
	p.Start("a", Online, start)
	p.Start("a", Batch, start)
	p.MarkLeaving("a", start, start)
	is.Equal(p.OwnInFlight(), map[string]InFlight{"a": {Online: 1, Batch: 1}})
	p.SetServers(nil, start)
	p.Finish("a", Online, Success, time.Millisecond, 1, start)
	p.Finish("a", Batch, Success, time.Millisecond, 1, start)
	is.Equal(len(p.OwnInFlight()), 0)
}

// TestLeavingServerIsKnownByItsLaterStart guards against requests to a server that
// said it is leaving while this host knew an earlier start of it only, because the
// list was old, and against taking a server out of use that restarted after it had
// left.
func TestLeavingServerIsKnownByItsLaterStart(t *testing.T) {
	const said = time.Hour // from start until the server said that it is leaving
	entry := func(startedAt time.Duration) Server {
		s := testServer(fmt.Sprint("s@", startedAt), 8)
		s.Instance, s.StartedAt = "s", start.Add(startedAt)
		return s
	}
	for name, c := range map[string]struct {
		confirmed time.Duration // from start until the list was last known to be the newest
		unknown   bool          // the list never was known to be the newest
		changed   bool          // the list had the later start when the answer came
		startedAt time.Duration // from start to the later start
		usable    bool
	}{
		"started since the list was confirmed":          {confirmed: said - time.Minute, startedAt: said - 30*time.Second},
		"the list was never confirmed":                  {unknown: true, startedAt: said - 50*time.Minute},
		"registered late":                               {confirmed: said - time.Second, startedAt: said - 2*time.Second},
		"in the list when the answer came":              {confirmed: said, changed: true, startedAt: said - 30*time.Second},
		"started before, by its clock":                  {confirmed: said - time.Second, startedAt: said - 30*time.Second, usable: true},
		"restarted after it had left":                   {confirmed: said - time.Minute, startedAt: said + 1, usable: true},
		"restarted after it had left, in the list then": {confirmed: said, changed: true, startedAt: said + 1, usable: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newTestPlacement(entry(0))
			p.Start("s@0s", Online, start)
			later, now, confirmedAt := entry(c.startedAt), start.Add(said), start.Add(c.confirmed)
			if c.unknown {
				confirmedAt = time.Time{}
			}
			if c.changed {
				p.SetServers([]Server{later}, now)
			}
			p.MarkLeaving("s@0s", confirmedAt, now)
			for range 2 {
				_, verdict := p.Pick(Query{Service: "s"}, now)
				if c.changed {
					is.Equal(verdict == Chosen, c.usable)
				} else {
					is.Equal(verdict, NoServer)
				}
				c.changed = true
				p.SetServers([]Server{later, testServer("other", 8)}, now)
				p.SetServers([]Server{later}, now)
			}
			restarted := entry(said + time.Minute)
			p.SetServers([]Server{restarted}, now)
			got, verdict := p.Pick(Query{Service: "s"}, now)
			is.Equal(verdict, Chosen)
			is.Equal(got.ID, restarted.ID)
		})
	}
}
