// Package fleet runs the state machine of core/membership over the network: it
// exchanges heartbeats between hosts, distributes the configuration, agrees on
// membership epochs and maintains the freshness lease.
package fleet

import (
	"encoding/json"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
)

// Member is one host of a membership epoch.
type Member struct {
	Host        peer.HostID `json:"host"`
	Incarnation string      `json:"incarnation"` // new for each process start
	PeerAddress string      `json:"peer_address"`
	Zone        string      `json:"zone"`
	Size        float64     `json:"size"` // relative capacity, 1 is average
}

// View is a host's present view of the fleet.
type View struct {
	Self     peer.HostID
	Epoch    uint64
	Members  []Member // sorted by host
	Revision int64    // configuration revision adopted by this host
	Alive    map[peer.HostID]bool
	// Settled is true when the generation (Epoch, Revision) is activated: no
	// process holds a lease at an earlier one, so that shares that grew and
	// roles of former members may be used.
	Settled bool
	// EpochSettled is true when the epoch is activated, whatever the revision.
	EpochSettled bool
	// Prior lists the members of earlier epochs that may still use their
	// shares. It is relevant only until EpochSettled.
	Prior [][]Identity
	// EarlierLimits holds, for each workspace whose limit changed, the former
	// limits that hosts may still apply. It is empty once Settled.
	EarlierLimits map[string][]Limit
	// LimitsUnknown is true when EarlierLimits may be incomplete, for example
	// after the start of this host. It is false once Settled.
	LimitsUnknown bool
	// Lapses counts how often this host regained its freshness lease after it
	// had expired. The view with the new count is published before the
	// regained lease takes effect.
	Lapses uint64
}

// Identity identifies one process of a host.
type Identity = membership.Identity

// Limit is a workspace's rate in requests per second and burst in requests.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Service is the interface of Fleet for other packages, which use fakes of it
// in their tests.
type Service interface {
	View() View
	// Config returns the adopted configuration. It is never nil after Start,
	// and its revision never decreases.
	Config() *config.Snapshot
	// MayAdmit returns nil while the freshness lease holds, and otherwise an
	// error that wraps ErrNotFresh.
	MayAdmit(now time.Time) error
	OnConfig(func(*config.Snapshot))
	OnView(func(View))
	// Publish sets a section, a named value that this host's heartbeats carry
	// to all peers.
	Publish(section string, value any)
	// Subscribe registers a callback for a section that arrives from any peer.
	Subscribe(section string, fn func(from peer.HostID, raw json.RawMessage))
	// HeartbeatNow sends heartbeats without waiting for the next interval. Calls in
	// quick succession are combined into one round.
	HeartbeatNow()
}
