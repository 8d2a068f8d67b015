package fleet

import (
	"time"

	"ragwortstep/internal/peer"
)

// HostStatus is the state of one process of the fleet as last reported to this host.
type HostStatus struct {
	Host          peer.HostID   `json:"host"`
	Incarnation   string        `json:"incarnation"`
	Zone          string        `json:"zone"`
	PeerAddress   string        `json:"peer_address"`
	Member        bool          `json:"member"` // belongs to the epoch
	Alive         bool          `json:"alive"`
	Leaving       bool          `json:"leaving"`
	Epoch         uint64        `json:"epoch"`
	Revision      int64         `json:"revision"`
	LastHeartbeat time.Duration `json:"last_heartbeat_ns"` // time since the last contact, -1 if there was none
}

// Status is the state of the fleet as seen by this host, for operators.
type Status struct {
	Self           HostStatus    `json:"self"`
	Settled        bool          `json:"settled"` // the generation is activated
	Watcher        bool          `json:"watcher"` // reads the platform
	Fresh          bool          `json:"fresh"`   // the freshness lease holds
	LeaseRemaining time.Duration `json:"lease_remaining_ns"`
	LeaseLapses    uint64        `json:"lease_lapses"`
	Hosts          []HostStatus  `json:"hosts"` // other processes, sorted by host
}

// Status returns the state of the fleet as seen by this host.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	gen := f.machine.Generation()
	self := f.opts.Self
	s := Status{
		Self: HostStatus{
			Host: self.Host, Incarnation: self.Incarnation, Zone: self.Zone, PeerAddress: self.PeerAddress,
			Member: f.machine.IsMember(), Alive: true, Epoch: gen.Epoch, Revision: gen.Revision,
		},
		Settled:        f.machine.Settled(),
		Watcher:        f.machine.IsWatcher(),
		LeaseRemaining: max(0, f.machine.LeaseUntil().Sub(now)),
		LeaseLapses:    f.machine.Lapses(),
	}
	s.Fresh = s.LeaseRemaining > 0
	epoch, alive := f.machine.Epoch(), f.machine.Alive()
	for _, p := range f.machine.Peers() {
		h := HostStatus{
			Host: peer.HostID(p.Member.Host), Incarnation: p.Member.Incarnation, Zone: p.Member.Zone,
			PeerAddress: p.Member.PeerAddress, Member: epoch.Has(p.Member.ID()), Leaving: p.Leaving,
			Epoch: p.Generation.Epoch, Revision: p.Generation.Revision, LastHeartbeat: -1,
		}
		h.Alive = h.Member && alive[p.Member.Host]
		if !p.LastContact.IsZero() {
			h.LastHeartbeat = now.Sub(p.LastContact)
		}
		s.Hosts = append(s.Hosts, h)
	}
	return s
}
