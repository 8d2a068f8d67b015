package fleet

import (
	"context"
	"expvar"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/defaults"
	"ragwortstep/internal/events"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// ErrNotFresh is returned by MayAdmit while the freshness lease does not hold.
var ErrNotFresh = errors.New("freshness lease expired")

const (
	// heartbeatTimeoutShare is the deadline of a heartbeat as a fraction of the
	// interval: 400ms at the default of 500ms, so that each heartbeat ends
	// before the next is sent.
	heartbeatTimeoutShare = 0.8
	// ticksPerInterval is how often per heartbeat interval the state machine ticks.
	ticksPerInterval = 10
	maxTickInterval  = 50 * time.Millisecond
	// minEarlyHeartbeatInterval is the minimum time between two rounds of
	// heartbeats requested by HeartbeatNow.
	minEarlyHeartbeatInterval = 10 * time.Millisecond
	fetchTimeout              = 2 * time.Second
	pollTimeout               = 2 * time.Second
	// loadTimeout allows for reading all shards from a slow platform.
	loadTimeout = 20 * time.Second
	// proposeTimeout allows for several attempts at a slow platform.
	proposeTimeout = 5 * time.Second
)

// Transport is the part of the peer layer that Fleet uses. *peer.Node and
// *peertest.Node implement it.
type Transport interface {
	peer.Caller
	CallAddress(ctx context.Context, address, method string, params, result any) (peer.HostID, error)
	SetAddress(host peer.HostID, address string)
	RemoveAddress(host peer.HostID)
}

// Options configures a Fleet. Self.Host, Self.PeerAddress, Store and Peers are required.
type Options struct {
	// Self describes this host. An empty Incarnation is replaced by a new
	// UUID, a Size of 0 by 1.
	Self  Member
	Store store.Store
	Peers Transport
	Seeds []string // addresses of peers to start from when the platform is unavailable

	Heartbeat   time.Duration // interval between heartbeats, default 500ms; the deadline of each is 4/5 of it
	Lease       time.Duration // freshness lease L, default 3s
	Margin      time.Duration // waited in addition to L before larger shares are used, default 200ms
	SilentAfter time.Duration // time without contact after which a host may be removed, default Lease
	Poll        time.Duration // interval of a watcher's platform reads, default 1s

	Recorder *events.Recorder // receives state changes; may be nil
	Now      func() time.Time // default time.Now; must be monotonic
	Logger   *slog.Logger     // default slog.Default()
}

func (o Options) withDefaults() Options {
	if o.Self.Incarnation == "" {
		o.Self.Incarnation = uuid.Must(uuid.NewV7()).String()
	}
	defaults.Set(&o.Self.Size, 1)
	defaults.Set(&o.Heartbeat, membership.DefaultInterval)
	defaults.Set(&o.Lease, membership.DefaultLease)
	defaults.Set(&o.Margin, membership.DefaultMargin)
	defaults.Set(&o.SilentAfter, o.Lease)
	defaults.Set(&o.Poll, membership.DefaultPoll)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	return o
}

func (o Options) tick() time.Duration { return min(o.Heartbeat/ticksPerInterval, maxTickInterval) }

func (o Options) heartbeatTimeout() time.Duration {
	return time.Duration(heartbeatTimeoutShare * float64(o.Heartbeat))
}

// toCore and fromCore convert between Member and membership.Member.
func toCore(m Member) membership.Member {
	return membership.Member{Host: string(m.Host), Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Zone: m.Zone, Size: m.Size}
}

func fromCore(m membership.Member) Member {
	return Member{Host: peer.HostID(m.Host), Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Zone: m.Zone, Size: m.Size}
}

// stats sums the counters of all fleets in the process: heartbeats_sent,
// heartbeats_failed, heartbeats_received, polls, poll_failures, proposals,
// proposal_failures, epochs_adopted, configs_adopted, config_fetch_failures,
// epoch_fetch_failures, lease_lapses.
var stats = expvar.NewMap("fleet")
