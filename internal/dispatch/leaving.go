package dispatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
)

const (
	// leavingPoll is how often a watching host reads the platform's list. Two
	// hosts per zone read it, and pass it on with their heartbeats, so that
	// the calls do not grow with the number of hosts.
	leavingPoll     = 2 * time.Second
	watchersPerZone = 2
	leavingTimeout  = 2 * time.Second
	kindServer      = "server"
	stateLeaving    = "leaving"
)

// leavingServers is the names and addresses of leaving servers by source: the
// host that read the platform's list.
type leavingServers map[peer.HostID][]string

func newLeavingServers() leavingServers { return leavingServers{} }

func (l leavingServers) contains(s config.Server) bool {
	for _, names := range l {
		if slices.Contains(names, s.Name) || slices.Contains(names, s.Address) {
			return true
		}
	}
	return false
}

// forgetAbsent drops the lists of hosts that are not alive, which nobody would
// correct. It reports whether there were any.
func (l leavingServers) forgetAbsent(v fleet.View) bool {
	forgot := false
	for host := range l {
		if !v.Alive[host] {
			delete(l, host)
			forgot = true
		}
	}
	return forgot
}

// watchLeaving reads the platform's list while this host is a watcher.
func (d *Dispatcher) watchLeaving(ctx context.Context) {
	for {
		wait := leavingPoll/2 + rand.N(leavingPoll)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		view := d.opts.Fleet.View()
		if watches(view) {
			d.readLeaving(ctx, view.Self)
		} else {
			d.setLeaving(view.Self, nil)
			d.opts.Fleet.Publish(leavingSection, []string{})
		}
	}
}

// watches reports whether this host is among the first alive ones of its zone.
func watches(v fleet.View) bool {
	zone := ""
	for _, m := range v.Members {
		if m.Host == v.Self {
			zone = m.Zone
		}
	}
	before := 0
	for _, m := range v.Members {
		if m.Zone == zone && m.Host < v.Self && v.Alive[m.Host] {
			before++
		}
	}
	return before < watchersPerZone
}

// readLeaving reads the platform's list. On an error the last list stays in
// force.
func (d *Dispatcher) readLeaving(ctx context.Context, self peer.HostID) {
	ctx, cancel := context.WithTimeout(ctx, leavingTimeout)
	defer cancel()
	entries, err := d.opts.Store.Hosts(ctx)
	if err != nil {
		counters.Add("host_list_errors", 1)
		return
	}
	names := []string{}
	for _, e := range entries {
		if e.Kind == kindServer && e.State == stateLeaving {
			names = append(names, e.Name, e.Address)
		}
	}
	d.setLeaving(self, names)
	d.opts.Fleet.Publish(leavingSection, names)
}

// leavingReceived takes over a watching peer's list.
func (d *Dispatcher) leavingReceived(from peer.HostID, raw json.RawMessage) {
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		counters.Add("bad_sections", 1)
		return
	}
	d.setLeaving(from, names)
}

func (d *Dispatcher) setLeaving(from peer.HostID, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if slices.Equal(d.leaving[from], names) {
		return
	}
	d.leaving[from] = names
	if len(names) == 0 {
		delete(d.leaving, from)
	}
	if d.cfg != nil {
		d.applyServers()
	}
}
