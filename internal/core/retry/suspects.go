package retry

import (
	"cmp"
	"slices"
	"time"
)

// Fingerprint identifies requests with the same content.
type Fingerprint uint64

const (
	// QuarantineFor is how long requests with a quarantined fingerprint are refused.
	QuarantineFor = 10 * time.Minute
	// suspectFor is how long a first loss is remembered.
	suspectFor = 10 * time.Minute
	// clearedFor is how long a success is published, so that every peer sees it.
	clearedFor = 10 * time.Second
	// quarantineLosses is the number of server losses that identifies a request.
	quarantineLosses = 2
	// ambiguousWithin is the window in which losses of one server reported by
	// several hosts, or for several fingerprints, are taken for the same loss.
	ambiguousWithin = time.Second
	// confirmAfter is how long a quarantine waits for reports of peers that
	// lost another suspect with the same server.
	confirmAfter = 200 * time.Millisecond
	// peerExpiry is how long a peer's claim that a suspect runs is believed
	// without a renewal.
	peerExpiry = 3 * time.Second
	// maxRecords bounds the remembered and the published fingerprints.
	maxRecords = 1024
	// maxLosses bounds the remembered losses of one fingerprint.
	maxLosses = 4
)

// Verdict is what is known of a fingerprint.
type Verdict int

// Verdicts.
const (
	Innocent Verdict = iota
	Suspect
	Quarantined
)

// loss is one loss of a server with a fingerprint in flight.
type loss struct {
	server  string
	at      time.Time
	suspect bool // it ran as the only suspect of its host on that server
}

// remote is a peer's published knowledge.
type remote struct {
	losses map[Fingerprint][]loss
	runs   map[Fingerprint]string
	seen   time.Time
}

// Suspects tracks requests that were in flight on a server whose connection
// broke. It combines the host's own observations with those of its peers. It
// is not safe for concurrent use.
type Suspects struct {
	own         map[Fingerprint][]loss
	runs        map[Fingerprint]string // suspects in flight here, by server
	peers       map[string]remote
	quarantined map[Fingerprint]time.Time // until
	cleared     map[Fingerprint]time.Time // at, from any host
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{
		own:         map[Fingerprint][]loss{},
		runs:        map[Fingerprint]string{},
		peers:       map[string]remote{},
		quarantined: map[Fingerprint]time.Time{},
		cleared:     map[Fingerprint]time.Time{},
	}
}

// Check returns the verdict on a fingerprint, and for Quarantined the time
// until it ends.
func (s *Suspects) Check(fp Fingerprint, now time.Time) (Verdict, time.Duration) {
	if until, ok := s.quarantined[fp]; ok && now.Before(until) {
		return Quarantined, until.Sub(now)
	}
	switch losses := s.losses(fp, now); {
	case losses >= quarantineLosses && s.confirmed(fp, now):
		s.quarantined[fp] = now.Add(QuarantineFor)
		return Quarantined, QuarantineFor
	case losses > 0:
		return Suspect, 0
	}
	return Innocent, 0
}

// losses counts the server losses that all hosts observed with the
// fingerprint since its last success. One server's loss that several hosts
// observed counts once, and one that involved another suspect not at all.
func (s *Suspects) losses(fp Fingerprint, now time.Time) int {
	var counted []loss
	add := func(list []loss) {
		for _, l := range list {
			expired := now.Sub(l.at) >= suspectFor || !l.at.After(s.cleared[fp])
			if !expired && !slices.ContainsFunc(counted, l.same) && !s.shared(fp, l) {
				counted = append(counted, l)
			}
		}
	}
	add(s.own[fp])
	for _, p := range s.peers {
		add(p.losses[fp])
	}
	return len(counted)
}

// same reports whether two observations are of the same loss of a server.
func (l loss) same(o loss) bool {
	return l.server == o.server && l.at.Sub(o.at).Abs() < ambiguousWithin
}

// shared reports whether a different suspect was lost in the same loss of a
// server. This happens when two hosts send a suspect to one server before
// they learn of each other; then the loss identifies neither.
func (s *Suspects) shared(fp Fingerprint, l loss) bool {
	if !l.suspect {
		return false
	}
	if sharedIn(s.own, fp, l) {
		return true
	}
	for _, p := range s.peers {
		if sharedIn(p.losses, fp, l) {
			return true
		}
	}
	return false
}

func sharedIn(m map[Fingerprint][]loss, fp Fingerprint, l loss) bool {
	for other, list := range m {
		if other == fp {
			continue
		}
		if slices.ContainsFunc(list, func(o loss) bool { return o.suspect && o.same(l) }) {
			return true
		}
	}
	return false
}

// confirmed reports whether the peers had time to report that the last loss
// involved another suspect.
func (s *Suspects) confirmed(fp Fingerprint, now time.Time) bool {
	list := s.own[fp]
	return len(list) == 0 || now.Sub(list[len(list)-1].at) >= confirmAfter
}

// MayRun reports whether a suspect may be sent to a server: no other suspect
// is in flight there, no other copy of it is in flight anywhere, and no
// quarantine of it awaits confirmation.
func (s *Suspects) MayRun(fp Fingerprint, server string, now time.Time) bool {
	if busy(s.runs, fp, server) || s.losses(fp, now) >= quarantineLosses {
		return false
	}
	for _, p := range s.peers {
		if now.Sub(p.seen) < peerExpiry && busy(p.runs, fp, server) {
			return false
		}
	}
	return true
}

func busy(runs map[Fingerprint]string, fp Fingerprint, server string) bool {
	if _, ok := runs[fp]; ok {
		return true
	}
	for _, at := range runs {
		if at == server {
			return true
		}
	}
	return false
}

// Start notes that a suspect is sent to a server. It reports false, without
// an effect, when another suspect is in flight there.
func (s *Suspects) Start(fp Fingerprint, server string) bool {
	if busy(s.runs, fp, server) {
		return false
	}
	s.runs[fp] = server
	return true
}

// End notes that a suspect is no longer in flight.
func (s *Suspects) End(fp Fingerprint) { delete(s.runs, fp) }

// Lost notes that the connection to a server broke while a request with the
// fingerprint was in flight. asSuspect tells that it ran as the only suspect
// on that server; a further loss of a known suspect that was sent before it
// was known does not count, because it was one of many.
func (s *Suspects) Lost(fp Fingerprint, server string, asSuspect bool, now time.Time) Verdict {
	before := s.losses(fp, now)
	if before > 0 && !asSuspect {
		return Suspect
	}
	list := append(s.own[fp], loss{server, now, asSuspect})
	s.own[fp] = list[max(0, len(list)-maxLosses):]
	s.bound(now)
	verdict, _ := s.Check(fp, now)
	return verdict
}

// Succeeded notes a complete response to a request with the fingerprint,
// which clears the suspicion. It reports whether there was one.
func (s *Suspects) Succeeded(fp Fingerprint, now time.Time) bool {
	if s.losses(fp, now) == 0 {
		return false
	}
	delete(s.own, fp)
	s.cleared[fp] = now
	return true
}

// Survived notes that the server went on running from since to until, so the
// connections that broke in between broke for another reason, and no request
// is suspect for them.
func (s *Suspects) Survived(server string, since, until time.Time) bool {
	changed := false
	for fp, list := range s.own {
		kept := slices.DeleteFunc(list, func(l loss) bool {
			return l.server == server && !l.at.Before(since) && l.at.Before(until)
		})
		if len(kept) == len(list) {
			continue
		}
		changed = true
		s.own[fp] = kept
		if len(kept) == 0 {
			delete(s.own, fp)
		}
	}
	return changed
}

// Known reports whether any fingerprint is remembered, so that callers can
// skip the checks in the common case.
func (s *Suspects) Known() bool {
	if len(s.own) > 0 || len(s.quarantined) > 0 {
		return true
	}
	for _, p := range s.peers {
		if len(p.losses) > 0 {
			return true
		}
	}
	return false
}

// bound drops expired records and, above maxRecords, the oldest.
func (s *Suspects) bound(now time.Time) {
	for fp, list := range s.own {
		if now.Sub(list[len(list)-1].at) >= suspectFor {
			delete(s.own, fp)
		}
	}
	for fp, at := range s.cleared {
		if now.Sub(at) >= suspectFor {
			delete(s.cleared, fp)
		}
	}
	for fp, until := range s.quarantined {
		if !now.Before(until) {
			delete(s.quarantined, fp)
		}
	}
	for len(s.own) > maxRecords {
		delete(s.own, oldest(s.own))
	}
}

func oldest(m map[Fingerprint][]loss) Fingerprint {
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
