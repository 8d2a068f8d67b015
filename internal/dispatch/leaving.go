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
	// leavingPollInterval is the mean interval at which a watcher reads the
	// platform's list of hosts. Two hosts per zone read it and forward it with
	// their heartbeats, so that the number of calls does not grow with the
	// number of hosts.
	leavingPollInterval = 2 * time.Second
	watchersPerZone     = 2
	leavingReadTimeout  = 2 * time.Second
	kindServer          = "server"
	stateLeaving        = "leaving"
)

// leavingServers holds the names and addresses of leaving servers by the host
// that read them from the platform.
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

// removeDeadHosts deletes the lists of hosts that are not alive, because they
// would no longer be updated. It reports whether it deleted any.
func (l leavingServers) removeDeadHosts(v fleet.View) bool {
	removed := false
	for host := range l {
		if !v.Alive[host] {
			delete(l, host)
			removed = true
		}
	}
	return removed
}

// watchLeaving reads the platform's list periodically while this host is a
// watcher.
func (d *Dispatcher) watchLeaving(ctx context.Context) {
	for {
		wait := leavingPollInterval/2 + rand.N(leavingPollInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		view := d.opts.Fleet.View()
		if isLeavingWatcher(view) {
			d.readLeaving(ctx, view.Self)
		} else {
			d.setLeaving(view.Self, nil)
			d.opts.Fleet.Publish(leavingSection, []string{})
		}
	}
}

// isLeavingWatcher reports whether this host is among the first live hosts of
// its zone by name.
func isLeavingWatcher(v fleet.View) bool {
	zone := ""
	for _, m := range v.Members {
		if m.Host == v.Self {
			zone = m.Zone
		}
	}
	earlier := 0
	for _, m := range v.Members {
		if m.Zone == zone && m.Host < v.Self && v.Alive[m.Host] {
			earlier++
		}
	}
	return earlier < watchersPerZone
}

// readLeaving reads and publishes the platform's list. On an error the previous
// list stays in use.
func (d *Dispatcher) readLeaving(ctx context.Context, self peer.HostID) {
	ctx, cancel := context.WithTimeout(ctx, leavingReadTimeout)
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

// leavingReceived stores the list of a watcher.
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
