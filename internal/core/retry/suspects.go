package retry

import (
	"cmp"
	"slices"
	"time"
)

// Fingerprint identifies requests with the same content.
type Fingerprint uint64

const (
	// QuarantineDuration is how long requests with a quarantined fingerprint are refused.
	QuarantineDuration = 10 * time.Minute
	// lossRetention is how long a loss counts against a fingerprint.
	lossRetention = 10 * time.Minute
	// clearedPublishTime is how long a success is published, so that every peer sees it.
	clearedPublishTime = 10 * time.Second
	// lossesToQuarantine is the number of server losses that quarantine a
	// fingerprint.
	lossesToQuarantine = 2
	// sameLossWindow is the time within which losses of one server, reported by
	// several hosts or for several fingerprints, count as the same loss.
	sameLossWindow = time.Second
	// confirmationDelay is how long a quarantine waits for reports of peers whose
	// own suspect was in flight at the same lost server.
	confirmationDelay = 200 * time.Millisecond
	// peerReportExpiry is how long a peer's report that a suspect is in flight is
	// valid without a newer one.
	peerReportExpiry = 3 * time.Second
	// maxFingerprints bounds the recorded and published fingerprints.
	maxFingerprints         = 1024
	maxLossesPerFingerprint = 4
)

// Verdict is the status of a fingerprint.
type Verdict int

// Verdicts.
const (
	NotSuspect Verdict = iota
	Suspect
	Quarantined
)

// loss is one loss of a server with a fingerprint in flight.
type loss struct {
	server    string
	at        time.Time
	asSuspect bool // its host ran no other suspect on that server
}

// peerState is a peer's latest report.
type peerState struct {
	losses     map[Fingerprint][]loss
	running    map[Fingerprint]string
	reportedAt time.Time
}

// Suspects tracks requests that were in flight on a server whose connection
// broke. It combines the host's own observations with those of its peers. It
// is not safe for concurrent use.
type Suspects struct {
	ownLosses        map[Fingerprint][]loss
	running          map[Fingerprint]string // servers of this host's suspects in flight
	peers            map[string]peerState
	quarantinedUntil map[Fingerprint]time.Time
	clearedAt        map[Fingerprint]time.Time // last success at any host
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{
		ownLosses:        map[Fingerprint][]loss{},
		running:          map[Fingerprint]string{},
		peers:            map[string]peerState{},
		quarantinedUntil: map[Fingerprint]time.Time{},
		clearedAt:        map[Fingerprint]time.Time{},
	}
}

// Check returns the verdict on a fingerprint, and for Quarantined the remaining
// time of the quarantine.
func (s *Suspects) Check(fp Fingerprint, now time.Time) (Verdict, time.Duration) {
	if until, ok := s.quarantinedUntil[fp]; ok && now.Before(until) {
		return Quarantined, until.Sub(now)
	}
	switch losses := s.losses(fp, now); {
	case losses >= lossesToQuarantine && s.confirmed(fp, now):
		s.quarantinedUntil[fp] = now.Add(QuarantineDuration)
		return Quarantined, QuarantineDuration
	case losses > 0:
		return Suspect, 0
	}
	return NotSuspect, 0
}

// losses counts the server losses that all hosts observed with the fingerprint
// since its last success. A loss that several hosts observed counts once, and
// one that involved another suspect does not count.
func (s *Suspects) losses(fp Fingerprint, now time.Time) int {
	var counted []loss
	add := func(list []loss) {
		for _, l := range list {
			expired := now.Sub(l.at) >= lossRetention || !l.at.After(s.clearedAt[fp])
			if !expired && !slices.ContainsFunc(counted, l.sameLoss) && !s.involvesOtherSuspect(fp, l) {
				counted = append(counted, l)
			}
		}
	}
	add(s.ownLosses[fp])
	for _, p := range s.peers {
		add(p.losses[fp])
	}
	return len(counted)
}

// sameLoss reports whether two observations are of the same loss of a server.
func (l loss) sameLoss(o loss) bool {
	return l.server == o.server && l.at.Sub(o.at).Abs() < sameLossWindow
}

// involvesOtherSuspect reports whether another suspect was in flight in the same
// loss of a server. This happens when two hosts send suspects to one server
// before they receive each other's reports; then it is unknown which of them
// caused the loss.
func (s *Suspects) involvesOtherSuspect(fp Fingerprint, l loss) bool {
	if !l.asSuspect {
		return false
	}
	if s.listsOtherSuspect(s.ownLosses, fp, l) {
		return true
	}
	for _, p := range s.peers {
		if s.listsOtherSuspect(p.losses, fp, l) {
			return true
		}
	}
	return false
}

// listsOtherSuspect reports whether a list has the same loss of another request
// that ran there as a suspect, or that any host had lost before. The latter had
// reached its host before the report of its first loss.
func (s *Suspects) listsOtherSuspect(m map[Fingerprint][]loss, fp Fingerprint, l loss) bool {
	for other, list := range m {
		if other == fp {
			continue
		}
		for _, o := range list {
			if o.sameLoss(l) && (o.asSuspect || s.lostBefore(other, l)) {
				return true
			}
		}
	}
	return false
}

// lostBefore reports whether any host lost a request in an earlier loss.
func (s *Suspects) lostBefore(fp Fingerprint, l loss) bool {
	earlier := func(o loss) bool { return o.at.Before(l.at) && !o.sameLoss(l) }
	if slices.ContainsFunc(s.ownLosses[fp], earlier) {
		return true
	}
	for _, p := range s.peers {
		if slices.ContainsFunc(p.losses[fp], earlier) {
			return true
		}
	}
	return false
}

// confirmed reports whether peers have had time to report another suspect in the
// last loss.
func (s *Suspects) confirmed(fp Fingerprint, now time.Time) bool {
	list := s.ownLosses[fp]
	return len(list) == 0 || now.Sub(list[len(list)-1].at) >= confirmationDelay
}

// MayRun reports whether a suspect may be sent to a server: no other suspect is
// in flight there, no other request with its fingerprint is in flight as a
// suspect anywhere, and no quarantine of it awaits confirmation.
func (s *Suspects) MayRun(fp Fingerprint, server string, now time.Time) bool {
	if conflicts(s.running, fp, server) || s.losses(fp, now) >= lossesToQuarantine {
		return false
	}
	for _, p := range s.peers {
		if now.Sub(p.reportedAt) < peerReportExpiry && conflicts(p.running, fp, server) {
			return false
		}
	}
	return true
}

// conflicts reports whether running has the fingerprint at any server, or any
// fingerprint at the given one.
func conflicts(running map[Fingerprint]string, fp Fingerprint, server string) bool {
	if _, ok := running[fp]; ok {
		return true
	}
	for _, at := range running {
		if at == server {
			return true
		}
	}
	return false
}

// Start records that a suspect is sent to a server. It reports false and records
// nothing when this host has the same fingerprint in flight as a suspect, or
// another suspect at that server.
func (s *Suspects) Start(fp Fingerprint, server string) bool {
	if conflicts(s.running, fp, server) {
		return false
	}
	s.running[fp] = server
	return true
}

// End records that a suspect is no longer in flight.
func (s *Suspects) End(fp Fingerprint) { delete(s.running, fp) }

// ConnectionLost records that the connection to a server broke while a request with the
// fingerprint was in flight. asSuspect is set when it ran as the only suspect on
// that server. Without it, a further loss of a known suspect does not count: the
// request was sent before the first loss and ran beside others.
func (s *Suspects) ConnectionLost(fp Fingerprint, server string, asSuspect bool, now time.Time) Verdict {
	before := s.losses(fp, now)
	if before > 0 && !asSuspect {
		return Suspect
	}
	list := append(s.ownLosses[fp], loss{server, now, asSuspect})
	s.ownLosses[fp] = list[max(0, len(list)-maxLossesPerFingerprint):]
	s.evict(now)
	verdict, _ := s.Check(fp, now)
	return verdict
}

// Succeeded records a complete response to a request with the fingerprint, which
// clears its losses. It reports whether it was a suspect.
func (s *Suspects) Succeeded(fp Fingerprint, now time.Time) bool {
	if s.losses(fp, now) == 0 {
		return false
	}
	delete(s.ownLosses, fp)
	s.clearedAt[fp] = now
	return true
}

// ServerSurvived records that the server kept running from since to until: connections
// that broke in between were not broken by a crash, so their losses are removed.
// It reports whether there were any.
func (s *Suspects) ServerSurvived(server string, since, until time.Time) bool {
	changed := false
	for fp, list := range s.ownLosses {
		kept := slices.DeleteFunc(list, func(l loss) bool {
			return l.server == server && !l.at.Before(since) && l.at.Before(until)
		})
		if len(kept) == len(list) {
			continue
		}
		changed = true
		s.ownLosses[fp] = kept
		if len(kept) == 0 {
			delete(s.ownLosses, fp)
		}
	}
	return changed
}

// HasRecords reports whether any fingerprint is recorded, so that callers can skip
// the checks in the common case.
func (s *Suspects) HasRecords() bool {
	if len(s.ownLosses) > 0 || len(s.quarantinedUntil) > 0 {
		return true
	}
	for _, p := range s.peers {
		if len(p.losses) > 0 {
			return true
		}
	}
	return false
}

// evict removes expired records and, above maxFingerprints, the fingerprints
// with the oldest losses.
func (s *Suspects) evict(now time.Time) {
	for fp, list := range s.ownLosses {
		if now.Sub(list[len(list)-1].at) >= lossRetention {
			delete(s.ownLosses, fp)
		}
	}
	for fp, at := range s.clearedAt {
		if now.Sub(at) >= lossRetention {
			delete(s.clearedAt, fp)
		}
	}
	for fp, until := range s.quarantinedUntil {
		if !now.Before(until) {
			delete(s.quarantinedUntil, fp)
		}
	}
	for len(s.ownLosses) > maxFingerprints {
		delete(s.ownLosses, oldestFingerprint(s.ownLosses))
	}
}

func oldestFingerprint(m map[Fingerprint][]loss) Fingerprint {
	var out Fingerprint
	var at time.Time
	for fp, list := range m {
		if last := list[len(list)-1].at; at.IsZero() || last.Before(at) {
			out, at = fp, last
		}
	}
	return out
}

// sortedKeys makes published sections independent of map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
