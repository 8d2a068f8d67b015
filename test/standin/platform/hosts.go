package platform

import (
	"sync"
	"time"

	client "ragwortstep/internal/store"
)

// hostList is the platform's list of hosts and servers. A change becomes
// visible only after delay.
type hostList struct {
	delay time.Duration

	mu      sync.Mutex
	visible []client.HostEntry
	pending []hostChange
}

type hostChange struct {
	visibleAt time.Time
	hosts     []client.HostEntry
}

func (h *hostList) set(hosts []client.HostEntry, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, hostChange{visibleAt: now.Add(h.delay), hosts: hosts})
}

func (h *hostList) get(now time.Time) []client.HostEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.pending) > 0 && !h.pending[0].visibleAt.After(now) {
		h.visible = h.pending[0].hosts
		h.pending = h.pending[1:]
	}
	return append([]client.HostEntry{}, h.visible...)
}
