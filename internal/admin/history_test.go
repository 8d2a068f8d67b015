package admin

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/platform/platformtest"
)

func setRate(rate float64) func(*config.Snapshot) error {
	return func(s *config.Snapshot) error {
		s.Workspaces["a"] = config.Workspace{Name: "a", Weight: 1, Rate: rate, Burst: 1, MaxQueue: 1}
		return nil
	}
}

func newHistory(store *platformtest.Fake, f *fakeFleet) *HistoryWriter {
	return NewHistoryWriter(HistoryOptions{
		Store: store,
		Commit: func(ctx context.Context, expected int64, mutate func(*config.Snapshot) error) (*config.Snapshot, error) {
			return f.Write(ctx, expected, "", "", mutate)
		},
		Conflict: func(err error) (int64, bool) {
			var c *ConflictError
			ok := errors.As(err, &c)
			if !ok {
				return 0, false
			}
			return c.Current, true
		},
		Now: func() time.Time { return time.Unix(1_800_000_000, 0) },
	})
}

// The history must list what was committed, newest first, and only that.
func TestHistoryWriter(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, f := platformtest.New(), &fakeFleet{snap: config.Empty()}
	h := newHistory(store, f)
	for i := range 12 { // revisions of one and two digits
		_, err := h.Write(ctx, int64(i), "k1", "note", setRate(float64(i+1)))
		is.NoErr(err)
	}
	_, err := h.Write(ctx, 3, "k1", "", setRate(9))
	var conflict *ConflictError
	is.True(errors.As(err, &conflict) && conflict.Expected == 3 && conflict.Current == 12)
	_, err = h.Write(ctx, 12, "k1", "", func(*config.Snapshot) error { return errors.New("refused") })
	is.True(err != nil)
	store.SetDown(true)
	_, err = h.Write(ctx, 12, "k1", "", setRate(50)) // committed, but its entry is lost
	is.NoErr(err)
	_, err = h.History(ctx, 5)
	is.True(err != nil)
	store.SetDown(false)
	_, err = h.Write(ctx, 13, "k2", "", setRate(60))
	is.NoErr(err)
	changes, err := h.History(ctx, 4)
	is.NoErr(err)
	is.Equal(len(changes), 4)
	is.Equal(changes[0].Revision, int64(14))
	is.Equal(changes[0].Summary, "~ workspace a: rate 50 -> 60")
	is.Equal(changes[0].Author, "k2")
	is.Equal(changes[1].Revision, int64(13)) // the gap is shown
	is.Equal(changes[1].Author, "")
	is.Equal(changes[2].Summary, "~ workspace a: rate 11 -> 12")
	is.Equal(changes[2].Unix, int64(1_800_000_000))
	is.Equal(changes[3].Note, "note")
}

// Old entries are removed, or the history would grow without bound.
func TestHistoryRemovesOldEntries(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := platformtest.New()
	h := newHistory(store, &fakeFleet{snap: config.Empty()})
	h.record(ctx, config.Change{Revision: 1})
	h.record(ctx, config.Change{Revision: historyKept})
	changes, err := h.History(ctx, 10)
	is.NoErr(err)
	is.Equal(changes[len(changes)-1].Revision, int64(1))
	h.record(ctx, config.Change{Revision: historyKept + 1})
	changes, err = h.History(ctx, 10)
	is.NoErr(err)
	is.Equal(changes[len(changes)-1].Revision, int64(historyKept))
}

// fakeService connects boards of several hosts without heartbeats.
type fakeService struct {
	mu       sync.Mutex
	self     peer.HostID
	network  map[peer.HostID]*fakeService
	snap     *config.Snapshot
	alive    map[peer.HostID]bool
	stale    error
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

func (f *fakeService) adopt(revision int64) {
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
func (f *fakeService) MayAdmit(time.Time) error                                  { return f.stale }
func (f *fakeService) OnView(func(fleet.View))                                   {}
func (f *fakeService) Nudge()                                                    {}

// The status decides whether a change counts as in force, so it must show what
// each host announced, and no lease of a host that is gone.
func TestBoard(t *testing.T) {
	is := is.New(t)
	network := map[peer.HostID]*fakeService{}
	boards := map[peer.HostID]*Board{}
	recorders := map[peer.HostID]*events.Recorder{}
	for _, name := range []peer.HostID{"h1", "h2"} {
		network[name] = &fakeService{self: name, network: network, snap: config.Empty(), alive: map[peer.HostID]bool{"h2": true}}
		recorders[name] = events.NewRecorder(string(name), nil)
		boards[name] = NewBoard(BoardOptions{
			Fleet: network[name], AdminAddress: string(name) + ":7003", Recorder: recorders[name],
			LeaseLeft: func() time.Duration { return time.Second },
		})
	}
	cause := recorders["h2"].Record(events.Event{Kind: "config.written"})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, b := range boards {
		wg.Go(func() { b.Run(ctx) })
	}
	awaitRevision := func(revision int64) {
		for deadline := time.Now().Add(5 * time.Second); boards["h1"].Status()[1].Revision != revision; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline)) // announced
		}
	}
	network["h2"].adopt(7)
	awaitRevision(7)
	status := boards["h1"].Status()
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
	is.True(!boards["h1"].Status()[1].LeaseHeld)
	before := counters.String()
	boards["h1"].receive("h2", []byte("{"))
	is.True(counters.String() != before) // counted
}
