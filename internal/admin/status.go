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
	// statusSection is the heartbeat section that carries the hosts' announcements.
	statusSection = "admin"
	// announceInterval is how often a host checks whether its announcement changed.
	announceInterval = 500 * time.Millisecond
)

var counters = expvar.NewMap("admin")

// announcement is the state that a host publishes to its peers for the status and
// the timeline.
type announcement struct {
	Incarnation  string `json:"incarnation"`
	AdminAddress string `json:"admin_address"`
	Revision     int64  `json:"revision"`
	Epoch        uint64 `json:"epoch"`
	LeaseHeld    bool   `json:"lease_held"`
	Leaving      bool   `json:"leaving"`
	LastEvent    uint64 `json:"last_event"` // sequence number of the host's latest event
}

// StatusCollectorOptions configures a StatusCollector. Fleet is required.
type StatusCollectorOptions struct {
	Fleet        fleet.Service
	Incarnation  string
	AdminAddress string               // listen.admin of this host
	Leaving      func() bool          // whether this host is shutting down; false when nil
	Recorder     *events.Recorder     // orders the timeline across hosts by event numbers; may be nil
	LeaseLeft    func() time.Duration // remaining time of the freshness lease; unknown when nil
}

// StatusCollector is a StatusSource. Every host publishes its revision, epoch, lease and
// administration address in the heartbeats and stores the announcements of its
// peers. The announcements carry event numbers, from which the recorders determine
// the causes of events.
type StatusCollector struct {
	opts StatusCollectorOptions

	mu            sync.Mutex
	peers         map[peer.HostID]announcement
	lastAnnounced announcement
}

// NewStatusCollector subscribes to the announcements of the peers. Call it before the
// fleet starts, and Run afterwards.
func NewStatusCollector(o StatusCollectorOptions) *StatusCollector {
	b := &StatusCollector{opts: o, peers: map[peer.HostID]announcement{}}
	o.Fleet.Subscribe(statusSection, b.receive)
	return b
}

// Run announces this host's state until ctx ends. A new configuration is announced
// immediately, since writes with ?wait= wait for it.
func (b *StatusCollector) Run(ctx context.Context) {
	changed := make(chan struct{}, 1)
	b.opts.Fleet.OnConfig(func(*config.Snapshot) {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	tick := time.NewTicker(announceInterval)
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

func (b *StatusCollector) announce() {
	now := b.ownAnnouncement()
	b.mu.Lock()
	same := now == b.lastAnnounced
	newRevision := now.Revision != b.lastAnnounced.Revision
	b.lastAnnounced = now
	b.mu.Unlock()
	if same {
		return
	}
	b.opts.Fleet.Publish(statusSection, now)
	if newRevision {
		b.opts.Fleet.HeartbeatNow()
	}
}

func (b *StatusCollector) ownAnnouncement() announcement {
	view := b.opts.Fleet.View()
	a := announcement{
		Incarnation: b.opts.Incarnation, AdminAddress: b.opts.AdminAddress, Epoch: view.Epoch,
		Revision: configOrEmpty{b.opts.Fleet}.Config().Revision, LeaseHeld: b.opts.Fleet.MayAdmit(time.Now()) == nil,
	}
	if b.opts.Leaving != nil {
		a.Leaving = b.opts.Leaving()
	}
	if b.opts.Recorder != nil {
		a.LastEvent = b.opts.Recorder.LastSeq()
	}
	return a
}

// receive stores a peer's announcement; malformed ones are only counted.
func (b *StatusCollector) receive(from peer.HostID, raw json.RawMessage) {
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

// Status implements StatusSource for the members of the epoch, in order of their
// names. A host that is not alive is reported without a lease.
func (b *StatusCollector) Status() []HostStatus {
	view := b.opts.Fleet.View()
	ownAnnouncement := b.ownAnnouncement()
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []HostStatus
	for _, m := range view.Members {
		self := m.Host == view.Self
		a := b.peers[m.Host]
		if self {
			a = ownAnnouncement
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
