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
	// heartbeatTimeoutShare is the heartbeat deadline as a part of the
	// interval: 400ms at the default of 500ms, so that one is over before the next.
	heartbeatTimeoutShare = 0.8
	// ticksPerInterval is how often per heartbeat interval the state advances.
	ticksPerInterval = 10
	maxTick          = 50 * time.Millisecond
	// nudgeInterval is the least time between heartbeats that are sent early.
	nudgeInterval = 10 * time.Millisecond
	fetchTimeout  = 2 * time.Second
	pollTimeout   = 2 * time.Second
	// loadTimeout covers all shards of the configuration at a slow platform.
	loadTimeout = 20 * time.Second
	// proposeTimeout covers several attempts against a slow platform.
	proposeTimeout = 5 * time.Second
)

// Transport is what Fleet needs of the peer layer. *peer.Node and
// *peertest.Node implement it.
type Transport interface {
	peer.Caller
	CallAddress(ctx context.Context, address, method string, params, result any) (peer.HostID, error)
	SetAddress(host peer.HostID, address string)
	Forget(host peer.HostID)
}

// Options configures a Fleet. Self.Host, Self.PeerAddress, Store and Peers are required.
type Options struct {
	// Self describes this host. An empty Incarnation is replaced by a new
	// unique one; a Size of 0 by 1.
	Self  Member
	Store store.Store
	Peers Transport
	Seeds []string // addresses of peers to ask at start when the platform is down

	Heartbeat   time.Duration // interval, default 500ms; its deadline is 4/5 of it
	Lease       time.Duration // freshness lease L, default 3s
	Margin      time.Duration // added to L before larger shares are used, default 200ms
	SilentAfter time.Duration // a silent host may be removed after, default Lease
	Poll        time.Duration // between platform reads of watchers, default 1s

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

func (o Options) tick() time.Duration { return min(o.Heartbeat/ticksPerInterval, maxTick) }

func (o Options) heartbeatTimeout() time.Duration {
	return time.Duration(heartbeatTimeoutShare * float64(o.Heartbeat))
}

// toCore and fromCore convert between the two forms of a member.
func toCore(m Member) membership.Member {
	return membership.Member{Host: string(m.Host), Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Zone: m.Zone, Size: m.Size}
}

func fromCore(m membership.Member) Member {
	return Member{Host: peer.HostID(m.Host), Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, Zone: m.Zone, Size: m.Size}
}

// stats counts over all fleets of the process: heartbeats_sent,
// heartbeats_failed, heartbeats_received, polls, poll_failures, proposals,
// proposal_failures, epochs_adopted, configs_adopted, config_fetch_failures,
// epoch_fetch_failures, lease_lapses.
var stats = expvar.NewMap("fleet")
