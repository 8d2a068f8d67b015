package admin

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

// fakeService is a fleet.Service that delivers published sections directly to the
// other hosts of a network.
type fakeService struct {
	mu       sync.Mutex
	self     peer.HostID
	network  map[peer.HostID]*fakeService
	snap     *config.Snapshot
	alive    map[peer.HostID]bool
	admitErr error
	onConfig []func(*config.Snapshot)
	receive  func(peer.HostID, json.RawMessage)
}

func (f *fakeService) View() fleet.View {
	v := fleet.View{Self: f.self, Epoch: 4, Alive: f.alive}
	for _, name := range []peer.HostID{"h1", "h2", "h3"} {
		v.Members = append(v.Members, fleet.Member{Host: name, Zone: "z"})
	}
	return v
}

func (f *fakeService) Config() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *fakeService) setRevision(revision int64) {
	f.mu.Lock()
	f.snap = &config.Snapshot{Revision: revision}
	callbacks := f.onConfig
	f.mu.Unlock()
	for _, fn := range callbacks {
		fn(f.snap)
	}
}

func (f *fakeService) OnConfig(fn func(*config.Snapshot)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onConfig = append(f.onConfig, fn)
}

func (f *fakeService) Publish(_ string, value any) {
	raw, _ := json.Marshal(value)
	for name, other := range f.network {
		if name != f.self {
			other.receive(f.self, raw)
		}
	}
}

func (f *fakeService) Subscribe(_ string, fn func(peer.HostID, json.RawMessage)) { f.receive = fn }
func (f *fakeService) MayAdmit(time.Time) error                                  { return f.admitErr }
func (f *fakeService) OnView(func(fleet.View))                                   {}
func (f *fakeService) HeartbeatNow()                                             {}

// Guards against a status that differs from what each host announced, or that
// shows a lease for a host that is not alive. The status decides whether a change
// counts as in force.
func TestStatusFromAnnouncements(t *testing.T) {
	is := is.New(t)
	network := map[peer.HostID]*fakeService{}
	collectors := map[peer.HostID]*StatusCollector{}
	recorders := map[peer.HostID]*events.Recorder{}
	for _, name := range []peer.HostID{"h1", "h2"} {
		network[name] = &fakeService{self: name, network: network, snap: config.EmptySnapshot(), alive: map[peer.HostID]bool{"h2": true}}
		recorders[name] = events.NewRecorder(string(name), nil)
		collectors[name] = NewStatusCollector(StatusCollectorOptions{
			Fleet: network[name], AdminAddress: string(name) + ":7003", Recorder: recorders[name],
			LeaseLeft: func() time.Duration { return time.Second },
		})
	}
	cause := recorders["h2"].Record(events.Event{Kind: "config.written"})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, b := range collectors {
		wg.Go(func() { b.Run(ctx) })
	}
	awaitRevision := func(revision int64) {
		for deadline := time.Now().Add(5 * time.Second); collectors["h1"].Status()[1].Revision != revision; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline)) // the revision must be announced in time
		}
	}
	network["h2"].setRevision(7)
	awaitRevision(7)
	status := collectors["h1"].Status()
	is.Equal(len(status), 3)
	is.Equal(status[0], HostStatus{Host: "h1", Zone: "z", AdminAddress: "h1:7003", Alive: true, Epoch: 4, LeaseHeld: true, LeaseLeftMS: 1000})
	is.Equal(status[1], HostStatus{Host: "h2", Zone: "z", AdminAddress: "h2:7003", Alive: true, Revision: 7, Epoch: 4, LeaseHeld: true})
	is.Equal(status[2], HostStatus{Host: "h3", Zone: "z"})
	effect := recorders["h1"].Record(events.Event{Kind: "config.adopted"})
	is.Equal(effect.CauseHost, "h2")
	is.True(effect.CauseSeq >= cause.Seq)
	cancel()
	wg.Wait()
	network["h1"].alive = map[peer.HostID]bool{}
	is.True(!collectors["h1"].Status()[1].LeaseHeld)
	before := counters.String()
	collectors["h1"].receive("h2", []byte("{"))
	is.True(counters.String() != before) // malformed announcements are counted
}
