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
)

// Verdict is what is known of a fingerprint.
type Verdict int

// Verdicts.
const (
	Innocent Verdict = iota
	Suspect
	Quarantined
)

// loss is what one host observed of one fingerprint.
type loss struct {
	count  int // server losses
	server string
	at     time.Time // of the last loss
}

// remote is a peer's published knowledge.
type remote struct {
	losses map[Fingerprint]loss
	runs   map[Fingerprint]string
	seen   time.Time
}

// Suspects tracks requests that were in flight on a server whose connection
// broke. It combines the host's own observations with those of its peers. It
// is not safe for concurrent use.
type Suspects struct {
	own         map[Fingerprint]loss
	runs        map[Fingerprint]string // suspects in flight here, by server
	peers       map[string]remote
	quarantined map[Fingerprint]time.Time // until
	cleared     map[Fingerprint]time.Time // at, from any host
}

// NewSuspects returns an empty set.
func NewSuspects() *Suspects {
	return &Suspects{
		own:         map[Fingerprint]loss{},
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
// observed counts once.
func (s *Suspects) losses(fp Fingerprint, now time.Time) int {
	var seen []loss
	add := func(l loss, ok bool) {
		if ok && now.Sub(l.at) < suspectFor && l.at.After(s.cleared[fp]) {
			seen = append(seen, l)
		}
	}
	l, ok := s.own[fp]
	add(l, ok)
	for _, p := range s.peers {
		l, ok := p.losses[fp]
		add(l, ok)
	}
	total := 0
	for i, l := range seen {
		total += l.count
		if s.shared(fp, l) || slices.ContainsFunc(seen[:i], l.same) {
			total--
		}
	}
	return total
}

// same reports whether two hosts observed the same loss of a server.
func (l loss) same(o loss) bool {
	return l.server == o.server && l.at.Sub(o.at).Abs() < ambiguousWithin
}

// shared reports whether a different suspect was lost in the same loss of a
// server. This happens when two hosts send a suspect to one server before
// they learn of each other; then the loss identifies neither.
func (s *Suspects) shared(fp Fingerprint, l loss) bool {
	if l.count < quarantineLosses {
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

func sharedIn(m map[Fingerprint]loss, fp Fingerprint, l loss) bool {
	for other, o := range m {
		if other != fp && o.count >= quarantineLosses && o.same(l) {
			return true
		}
	}
	return false
}

// confirmed reports whether the peers had time to report that the last loss
// involved another suspect.
func (s *Suspects) confirmed(fp Fingerprint, now time.Time) bool {
	l, ok := s.own[fp]
	return !ok || now.Sub(l.at) >= confirmAfter
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
	l := s.own[fp]
	if !l.at.After(s.cleared[fp]) || now.Sub(l.at) >= suspectFor {
		l.count = 0
	}
	s.own[fp] = loss{l.count + 1, server, now}
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

// Survived notes that the server went on running since a time before the
// losses reported on it, so only connections broke and no request is suspect
// for it.
func (s *Suspects) Survived(server string, since time.Time) bool {
	changed := false
	for fp, l := range s.own {
		if l.server != server || l.at.Before(since) {
			continue
		}
		changed = true
		if l.count--; l.count == 0 {
			delete(s.own, fp)
			continue
		}
		l.server = ""
		s.own[fp] = l
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
	for fp, r := range s.own {
		if now.Sub(r.at) >= suspectFor {
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

func oldest(m map[Fingerprint]loss) Fingerprint {
	var out Fingerprint
	var at time.Time
	for fp, r := range m {
		if at.IsZero() || r.at.Before(at) {
			out, at = fp, r.at
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
