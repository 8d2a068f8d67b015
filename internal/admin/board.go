package admin

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

const (
	// boardSection is the heartbeat section in which hosts announce themselves.
	boardSection = "admin"
	// boardInterval is how often a host looks for changes of its announcement.
	boardInterval = 500 * time.Millisecond
)

var counters = expvar.NewMap("admin")

// announcement is what a host tells its peers for the status and the time line.
type announcement struct {
	Incarnation  string `json:"incarnation"`
	AdminAddress string `json:"admin_address"`
	Revision     int64  `json:"revision"`
	Epoch        uint64 `json:"epoch"`
	LeaseHeld    bool   `json:"lease_held"`
	Leaving      bool   `json:"leaving"`
	LastEvent    uint64 `json:"last_event"` // sequence number of the host's latest event
}

// BoardOptions configures a Board. Fleet is required.
type BoardOptions struct {
	Fleet        fleet.Service
	Incarnation  string
	AdminAddress string               // listen.admin of this host
	Leaving      func() bool          // this host shuts down; never when nil
	Recorder     *events.Recorder     // its numbers order the time line over hosts; may be nil
	LeaseLeft    func() time.Duration // rest of the freshness lease; unknown when nil
}

// Board is a StatusSource. Every host announces its revision, epoch, lease and
// operators' address in the heartbeats, and keeps what its peers announce. The
// announcements carry event numbers, from which the recorders take causes.
type Board struct {
	opts BoardOptions

	mu    sync.Mutex
	peers map[peer.HostID]announcement
	last  announcement
}

// NewBoard subscribes to the announcements of the peers. Call it before the
// fleet starts, and Run afterwards.
func NewBoard(o BoardOptions) *Board {
	b := &Board{opts: o, peers: map[peer.HostID]announcement{}}
	o.Fleet.Subscribe(boardSection, b.receive)
	return b
}

// Run announces this host until ctx ends. A new configuration is announced at
// once, so that a write that waits for it learns of it early.
func (b *Board) Run(ctx context.Context) {
	changed := make(chan struct{}, 1)
	b.opts.Fleet.OnConfig(func(*config.Snapshot) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	tick := time.NewTicker(boardInterval)
	defer tick.Stop()
	for {
		b.announce()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

func (b *Board) announce() {
	now := b.own()
	b.mu.Lock()
	same := now == b.last
	newRevision := now.Revision != b.last.Revision
	b.last = now
	b.mu.Unlock()
	if same {
		return
	}
	b.opts.Fleet.Publish(boardSection, now)
	if newRevision {
		b.opts.Fleet.Nudge()
	}
}

func (b *Board) own() announcement {
	view := b.opts.Fleet.View()
	a := announcement{
		Incarnation: b.opts.Incarnation, AdminAddress: b.opts.AdminAddress, Epoch: view.Epoch,
		Revision: startedConfig{b.opts.Fleet}.Config().Revision, LeaseHeld: b.opts.Fleet.MayAdmit(time.Now()) == nil,
	}
	if b.opts.Leaving != nil {
		a.Leaving = b.opts.Leaving()
	}
	if b.opts.Recorder != nil {
		a.LastEvent = b.opts.Recorder.Last()
	}
	return a
}

// receive keeps a peer's announcement; malformed ones are counted.
func (b *Board) receive(from peer.HostID, raw json.RawMessage) {
	var a announcement
	if err := json.Unmarshal(raw, &a); err != nil {
		counters.Add("malformed_announcements", 1)
		return
	}
	b.mu.Lock()
	b.peers[from] = a
	b.mu.Unlock()
	if b.opts.Recorder != nil {
		b.opts.Recorder.Observe(string(from), a.LastEvent)
	}
}

// Status implements StatusSource for the members of the epoch, in order of
// their names. The lease of a host that is not alive counts as not held.
func (b *Board) Status() []HostStatus {
	view := b.opts.Fleet.View()
	own := b.own()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []HostStatus
	for _, m := range view.Members {
		self := m.Host == view.Self
		a := b.peers[m.Host]
		if self {
			a = own
		}
		s := HostStatus{
			Host: string(m.Host), Zone: m.Zone, Incarnation: m.Incarnation, AdminAddress: a.AdminAddress,
			Alive: self || view.Alive[m.Host], Leaving: a.Leaving, Revision: a.Revision, Epoch: a.Epoch,
		}
		s.LeaseHeld = s.Alive && a.LeaseHeld
		if self && b.opts.LeaseLeft != nil {
			s.LeaseLeftMS = max(0, b.opts.LeaseLeft().Milliseconds())
		}
		out = append(out, s)
	}
	return out
}
