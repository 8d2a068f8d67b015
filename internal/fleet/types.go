// Package fleet drives core/membership: heartbeats between hosts, the
// distribution of the configuration, membership epochs and the freshness lease.
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

// View is what a host knows of the fleet.
type View struct {
	Self     peer.HostID
	Epoch    uint64
	Members  []Member // sorted by host
	Revision int64    // configuration revision in force at this host
	Alive    map[peer.HostID]bool
	// Settled is true when the generation (Epoch, Revision) is activated, so
	// that larger shares and taken-over roles may be used.
	Settled bool
	// EpochSettled is true when the epoch is activated, whatever the revision.
	EpochSettled bool
	// Prior lists the members of earlier epochs that may still use shares;
	// it matters until EpochSettled.
	Prior [][]Identity
	// EarlierLimits holds, per workspace whose limit changed, the limits that
	// hosts may still apply; it is empty once Settled.
	EarlierLimits map[string][]Limit
	// LimitsUnknown is true when this host does not know all limits that may
	// still be applied, for example after its start; it is false once Settled.
	LimitsUnknown bool
	// Lapses counts how often this host regained its freshness lease after it
	// had ended. The view with the larger count precedes the regained lease.
	Lapses uint64
}

// Identity tells the processes of one host apart.
type Identity = membership.Identity

// Limit is a workspace's rate in requests per second and burst in requests.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Service is what other packages use of the fleet. Fleet implements it;
// tests use small fakes of it.
type Service interface {
	View() View
	// Config is never nil after start and never older than a previous result.
	Config() *config.Snapshot
	// MayAdmit is nil while the freshness lease holds.
	MayAdmit(now time.Time) error
	OnConfig(func(*config.Snapshot))
	OnView(func(View))
	// Publish sets a section that heartbeats carry to all peers.
	Publish(section string, value any)
	// Subscribe receives a section of each peer whenever it arrives.
	Subscribe(section string, fn func(from peer.HostID, raw json.RawMessage))
	// Nudge sends heartbeats at once, rate limited.
	Nudge()
}
