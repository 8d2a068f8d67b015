// Package membership is the state machine of one host's membership in the
// fleet: heartbeats, the view of which hosts are alive, epochs, the freshness
// lease and the activation of generations. It performs no input or output:
// the driver passes in ticks and messages and carries out the returned Output.
//
// Guarantees, given that one process at a time runs under a host name:
//   - The epoch and the revision never decrease.
//   - The lease is held only until L after a moment at which the platform or a
//     majority of the epoch's members knew no larger epoch and no larger revision.
//   - A generation is settled only when no process can hold its lease at an
//     earlier generation.
package membership

import (
	"cmp"
	"slices"
	"time"
)

// Member is one host process of an epoch.
type Member struct {
	Host        string  `json:"host"`
	Incarnation string  `json:"incarnation"` // new for each process start
	PeerAddress string  `json:"peer_address,omitempty"`
	Zone        string  `json:"zone,omitempty"`
	Size        float64 `json:"size,omitempty"` // relative capacity, 1 is average
}

// ID returns the member's identity.
func (m Member) ID() Identity { return Identity{Host: m.Host, Incarnation: m.Incarnation} }

// Identity tells the processes of one host apart.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Prior is an earlier epoch whose members may still have shares in force.
type Prior struct {
	Number  uint64     `json:"number"`
	Members []Identity `json:"members"`
}

// Epoch is one agreed set of members. Prior always holds the preceding epoch
// and, unless its proposer knew that one to be settled, that one's Prior.
type Epoch struct {
	Number  uint64   `json:"number"`
	Members []Member `json:"members"` // sorted by host
	Prior   []Prior  `json:"prior,omitempty"`
}

// Member returns the member with the host name.
func (e Epoch) Member(host string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(e.Members, host, func(m Member, h string) int { return cmp.Compare(m.Host, h) })
	if !ok {
		return Member{}, false
	}
	return e.Members[i], true
}

// Has reports whether the process is a member.
func (e Epoch) Has(id Identity) bool {
	m, ok := e.Member(id.Host)
	return ok && m.Incarnation == id.Incarnation
}

func (e Epoch) identities() []Identity {
	ids := make([]Identity, len(e.Members))
	for i, m := range e.Members {
		ids[i] = m.ID()
	}
	return ids
}

// Generation is the pair that decides shares: epoch and configuration revision.
type Generation struct {
	Epoch    uint64 `json:"epoch"`
	Revision int64  `json:"revision"`
}

// Covers reports whether neither part of g is smaller than that of other.
func (g Generation) Covers(other Generation) bool {
	return g.Epoch >= other.Epoch && g.Revision >= other.Revision
}

// Heartbeat is sent to all members and, with the answering host's content,
// returned as the answer. In an answer From may hold the identity alone.
type Heartbeat struct {
	From Member `json:"from"`
	Generation
	Silent  []string `json:"silent,omitempty"` // members that From has not heard for SilentAfter
	Leaving bool     `json:"leaving,omitempty"`
}

// Options configures a Machine.
type Options struct {
	Self        Member
	Interval    time.Duration // between heartbeats, default 500ms
	Lease       time.Duration // freshness lease L, default 3s
	Margin      time.Duration // added to L before a larger share is used, default 200ms
	SilentAfter time.Duration // a member not heard for so long may be removed, default 3s
	Poll        time.Duration // between platform reads of a watcher, default 1s
}

// Defaults of Options.
const (
	DefaultInterval    = 500 * time.Millisecond
	DefaultLease       = 3 * time.Second
	DefaultMargin      = 200 * time.Millisecond
	DefaultSilentAfter = 3 * time.Second
	DefaultPoll        = time.Second
)

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.Lease = cmp.Or(o.Lease, DefaultLease)
	o.Margin = cmp.Or(o.Margin, DefaultMargin)
	o.SilentAfter = cmp.Or(o.SilentAfter, DefaultSilentAfter)
	o.Poll = cmp.Or(o.Poll, DefaultPoll)
	return o
}

// Output is what the driver must do after a step. Sending, fetching, polling
// and proposing may fail; the machine asks again later.
type Output struct {
	Heartbeats  []Member // send a heartbeat to each
	FetchEpoch  string   // fetch the epoch from this host
	FetchConfig string   // fetch the configuration from this host
	Poll        bool     // read head and epoch from the platform
	Propose     bool     // update fleet/epoch with the result of Propose

	ViewChanged   bool // View differs from the previous one
	LeaseLapsed   bool // the lease ended; may be set together with LeaseRegained
	LeaseRegained bool
	Lost, Back    []string // members no longer or again heard
	NewlySettled  bool     // the generation was activated
}

func (o *Output) merge(other Output) {
	o.Heartbeats = append(o.Heartbeats, other.Heartbeats...)
	o.FetchEpoch = cmp.Or(o.FetchEpoch, other.FetchEpoch)
	o.FetchConfig = cmp.Or(o.FetchConfig, other.FetchConfig)
	o.Poll = o.Poll || other.Poll
	o.Propose = o.Propose || other.Propose
	o.ViewChanged = o.ViewChanged || other.ViewChanged
	o.LeaseLapsed = o.LeaseLapsed || other.LeaseLapsed
	o.LeaseRegained = o.LeaseRegained || other.LeaseRegained
	o.Lost = append(o.Lost, other.Lost...)
	o.Back = append(o.Back, other.Back...)
	o.NewlySettled = o.NewlySettled || other.NewlySettled
}
