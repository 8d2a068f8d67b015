package slots

import (
	"maps"
	"slices"
	"strings"
	"time"

	"ragwortstep/internal/core/freshness"
	"ragwortstep/internal/core/placement"
)

const (
	// listAgeInterval is how often the age of the list of servers is read.
	listAgeInterval = 100 * time.Millisecond
	// newHostWait is how long a host that the store did not know waits after its
	// registration before it uses its parts of the bounds of cold servers. By then the
	// hosts that reach the store or a peer count it.
	newHostWait = 6 * time.Second
	// knownHostWait is the same for a host that was registered before. Its former
	// process may have used its parts until it ended.
	knownHostWait = 1250 * time.Millisecond
)

// warmUps is the state of a scheduler that concerns cold servers.
type warmUps struct {
	enabled    bool // a service has a bound
	listReadAt time.Time
	bootReadAt freshness.Instant // the same on the boot clock, which counts suspensions
	bootNow    func() freshness.Instant
	partsFrom  time.Time // when this host may begin to use its parts, zero if that is not known or past
	usesParts  bool
}

// SetWarmUps sets the bounds on requests to cold servers by service.
func (s *Scheduler) SetWarmUps(byService map[string]placement.WarmUp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.SetWarmUps(byService)
	s.warmUps.enabled, s.warmUps.listReadAt = len(byService) > 0, time.Time{}
	s.updateWarmUpHosts()
}

// Registered tells the scheduler that this host is in the list of hosts, and whether it
// was there before. A host whose registration was removed is registered again, and must
// not use its parts until the others count it.
func (s *Scheduler) Registered(before bool) {
	wait := newHostWait
	if before {
		wait = knownHostWait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmUps.partsFrom, s.warmUps.usesParts = time.Now().Add(wait), false
	s.placer.SetWarmUpHosts("", nil)
}

// refreshListAge tells the placement how old the list of servers is. The caller holds mu.
func (s *Scheduler) refreshListAge(now time.Time) {
	if !s.warmUps.enabled {
		return
	}
	boot := s.warmUps.bootNow()
	if now.Sub(s.warmUps.listReadAt) < listAgeInterval && boot.Sub(s.warmUps.bootReadAt) < listAgeInterval {
		return
	}
	s.warmUps.listReadAt, s.warmUps.bootReadAt = now, boot
	s.placer.SetListConfirmedAt(s.listConfirmedAt(now))
	if from := s.warmUps.partsFrom; !from.IsZero() && !now.Before(from) {
		s.warmUps.partsFrom = time.Time{}
		s.warmUps.usesParts = true
		s.updateWarmUpHosts()
	}
}

// updateWarmUpHosts passes the registered hosts to the placement once this host may use
// its parts and knows the others: it would take the whole bound before. The caller holds
// mu.
func (s *Scheduler) updateWarmUpHosts() {
	if !s.warmUps.enabled || !s.warmUps.usesParts || !s.opts.Cluster.MembersKnown() {
		return
	}
	self := s.opts.Cluster.Self()
	byZone := map[string][]string{s.opts.Zone: {self.Name}}
	for _, p := range s.opts.Cluster.Peers() {
		byZone[p.Zone] = append(byZone[p.Zone], p.Name)
	}
	s.placer.SetWarmUpHosts(self.Name, byZone)
}

// UpdateCold records for how long the server said in its response that it is cold.
func (slot *Slot) UpdateCold(left time.Duration) {
	slot.s.mu.Lock()
	defer slot.s.mu.Unlock()
	slot.s.placer.RecordCold(slot.Server.ID, left, time.Now())
}

// SetEvacuated sets the zones whose servers get no new requests. Requests that wait are
// offered to the other servers at once.
func (s *Scheduler) SetEvacuated(zones map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(zones, s.evacuated) {
		return
	}
	now := time.Now()
	s.placer.SetEvacuated(zones, now)
	s.evacuated = maps.Clone(zones)
	s.setServers(s.servers, now)
	load, left := 0, 0
	services := map[string]bool{}
	for _, server := range s.servers {
		services[server.Service] = true
	}
	for service := range services {
		l, n := s.placer.ServiceLoad(service, now)
		load, left = load+l, left+n
	}
	s.opts.Logger.Info("evacuated zones changed", "event", "zones_evacuated", "zones", strings.Join(slices.Sorted(maps.Keys(zones)), ","),
		"load_left", load, "slots_left", left)
}
