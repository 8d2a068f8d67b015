package retry

import (
	"maps"
	"slices"
	"time"
)

const (
	// lossesToQuarantinePart is the number of losses, one after the other, that
	// quarantine a part on which no server is known to have answered.
	lossesToQuarantinePart = 3
	// lossesToQuarantineAnsweredPart applies to parts on which servers have
	// answered: these are rarely the cause.
	lossesToQuarantineAnsweredPart = 5
	// maxAnsweredParts bounds the parts of which a host remembers an answer, twice.
	maxAnsweredParts = 4096
	// survivalReportMargin is how much later than a loss a server must have answered,
	// by the reports of different hosts, to show that it survived. It exceeds the
	// time that reports are under way.
	survivalReportMargin = time.Second
	// partLossPublishTime is how long a loss is published, so that every peer sees
	// it. A host that starts later hears of quarantines only.
	partLossPublishTime = clearedPublishTime
)

// partLoss is the loss of a server on which a request with a part waited for the
// begin of its answer.
type partLoss struct {
	sentAt time.Time // of the request
	lostAt time.Time
	own    bool // observed by this host
}

// lostServer is a server that a host reported as lost.
type lostServer struct {
	answeredAt time.Time // last answer that this host got after the report, zero for none
	parts      map[Fingerprint]bool
}

// partQuarantine is a quarantine that a peer reported.
type partQuarantine struct {
	until   time.Time
	heardAt time.Time
}

// PartSuspects finds parts of prompts that crash each server that begins to answer
// a request with them. Many requests share such a part and differ else, so no
// single one is lost twice. A part is suspected of the losses of all servers on
// which a request with it had no answer yet. An answer on it clears it, and a later
// answer of such a server shows that the server did not crash. It combines the
// host's own observations with those of its peers. It is not safe for concurrent
// use.
type PartSuspects struct {
	losses      map[Fingerprint]map[string]partLoss // by part and server; a server has a new name after a loss
	servers     map[string]*lostServer
	answeredAt  map[Fingerprint]time.Time      // last answer at any host
	answeredOld map[Fingerprint]time.Time      // the entries of answeredAt before it was full
	reported    map[Fingerprint]partQuarantine // quarantines of peers
	outdated    map[Fingerprint]time.Time      // when a peer last reported a loss from before an answer
	used        bool                           // there was a record
}

// NewPartSuspects returns an empty set.
func NewPartSuspects() *PartSuspects {
	return &PartSuspects{
		losses: map[Fingerprint]map[string]partLoss{}, servers: map[string]*lostServer{},
		answeredAt: map[Fingerprint]time.Time{}, reported: map[Fingerprint]partQuarantine{}, outdated: map[Fingerprint]time.Time{},
	}
}

// Used reports whether there was ever a record of a loss or a quarantine.
func (s *PartSuspects) Used() bool { return s.used }

// ServerLost records that a server was lost on which a request with the parts, sent
// at a time, waited for the begin of its answer.
func (s *PartSuspects) ServerLost(parts []Fingerprint, server string, sentAt, now time.Time) {
	for _, part := range parts {
		s.add(part, server, partLoss{sentAt, now, true})
	}
}

// add records a loss. Ages in reports are understated by the time that the report
// was under way, so the earliest of several reports is the most accurate one.
func (s *PartSuspects) add(part Fingerprint, server string, l partLoss) {
	s.used = true
	if s.losses[part] == nil {
		s.losses[part] = map[string]partLoss{}
	}
	if old, ok := s.losses[part][server]; ok {
		l.own = l.own || old.own
		if old.lostAt.Before(l.lostAt) {
			l.sentAt, l.lostAt = old.sentAt, old.lostAt
		}
	}
	s.losses[part][server] = l
	if s.servers[server] == nil {
		s.servers[server] = &lostServer{parts: map[Fingerprint]bool{}}
	}
	s.servers[server].parts[part] = true
}

func (s *PartSuspects) lastLoss(part Fingerprint) time.Time {
	var last time.Time
	for _, l := range s.losses[part] {
		if l.lostAt.After(last) {
			last = l.lostAt
		}
	}
	return last
}

// remove removes the losses of a part that match.
func (s *PartSuspects) remove(part Fingerprint, match func(server string, l partLoss) bool) {
	servers := s.losses[part]
	for server, l := range servers {
		if match(server, l) {
			delete(servers, server)
		}
	}
	if len(servers) == 0 {
		delete(s.losses, part)
	}
}

// Answered records that a server answered on the parts and kept running, which
// clears them.
func (s *PartSuspects) Answered(parts []Fingerprint, now time.Time) {
	for _, part := range parts {
		s.clear(part, now)
	}
}

func (s *PartSuspects) clear(part Fingerprint, at time.Time) {
	if last, _ := s.lastAnswer(part); !last.Before(at) {
		return
	}
	if len(s.answeredAt) >= maxAnsweredParts {
		s.answeredAt, s.answeredOld = map[Fingerprint]time.Time{}, s.answeredAt
	}
	s.answeredAt[part] = at
	delete(s.reported, part)
	s.remove(part, func(_ string, l partLoss) bool { return !l.lostAt.After(at) })
}

// lastAnswer returns when a server last answered on the part, and false if none is
// known to have.
func (s *PartSuspects) lastAnswer(part Fingerprint) (time.Time, bool) {
	if at, ok := s.answeredAt[part]; ok {
		return at, true
	}
	at, ok := s.answeredOld[part]
	return at, ok
}

// ServerSurvived records that a server still ran at a time: connections that this
// host lost before were not broken by a crash.
func (s *PartSuspects) ServerSurvived(server string, at time.Time) {
	if lost, ok := s.servers[server]; ok {
		lost.answeredAt = at
		s.removeSurvived(server, at)
	}
}

func (s *PartSuspects) removeSurvived(server string, at time.Time) {
	lost, ok := s.servers[server]
	if !ok {
		return
	}
	for part := range lost.parts {
		s.remove(part, func(name string, l partLoss) bool {
			return name == server && (l.own && l.lostAt.Before(at) || l.lostAt.Before(at.Add(-survivalReportMargin)))
		})
		if _, left := s.losses[part][server]; !left {
			delete(lost.parts, part)
		}
	}
}

// PartRefusal tells why a request is refused for a part of its prompt.
type PartRefusal struct {
	Index int           // of the part
	Left  time.Duration // of the quarantine
}

// Check returns the refusal of a request with the parts, and false if it may run.
// Where another part accounts for the losses as well, only requests with both are
// refused: one of them is sound, and its next answer shows which.
func (s *PartSuspects) Check(parts []Fingerprint, now time.Time) (PartRefusal, bool) {
	outside := func(other Fingerprint) bool { return !slices.Contains(parts, other) }
	for i, part := range parts {
		left := s.reportedLeft(part, now)
		if s.isSuspect(part) {
			left = s.left(part, now)
		}
		if left > 0 && !slices.ContainsFunc(s.alternatives(part), outside) {
			return PartRefusal{i, left}, true
		}
	}
	return PartRefusal{}, false
}

// HasLoss reports whether a server was lost on which a request with one of the parts
// waited, and no answer on that part has cleared it.
func (s *PartSuspects) HasLoss(parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(part Fingerprint) bool { return len(s.losses[part]) > 0 })
}

// reportedLeft returns how long a quarantine that a peer reports lasts, 0 if there
// is none. A host that knows an answer on the part judges by itself: the peer may
// not have heard of all losses yet, and another part may account for them.
func (s *PartSuspects) reportedLeft(part Fingerprint, now time.Time) time.Duration {
	q, ok := s.reported[part]
	if _, answered := s.lastAnswer(part); !ok || answered || now.Sub(q.heardAt) >= peerReportExpiry {
		return 0
	}
	return q.until.Sub(now)
}

// left returns how long a quarantine for the losses of a part lasts.
func (s *PartSuspects) left(part Fingerprint, now time.Time) time.Duration {
	return s.lastLoss(part).Add(QuarantineDuration).Sub(now)
}

// isSuspect reports whether a part has enough losses for a quarantine.
func (s *PartSuspects) isSuspect(part Fingerprint) bool {
	needed := lossesToQuarantinePart
	if _, answered := s.lastAnswer(part); answered {
		needed = lossesToQuarantineAnsweredPart
	}
	return len(s.losses[part]) >= needed && s.consecutive(part) >= needed
}

// consecutive counts the losses of a part, each of a request that was sent after
// the loss before. Losses of many servers at the same moment, with the requests
// that waited there, count once: a part cannot cause them one by one.
func (s *PartSuspects) consecutive(part Fingerprint) int {
	list := make([]partLoss, 0, len(s.losses[part]))
	for _, l := range s.losses[part] {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b partLoss) int { return a.lostAt.Compare(b.lostAt) })
	count, last := 0, time.Time{}
	for _, l := range list {
		if l.sentAt.After(last) {
			count, last = count+1, l.lostAt
		}
	}
	return count
}

// alternatives returns the other parts that account for the losses of a part, but
// for fewer than would quarantine it, and are no less likely to be their cause.
func (s *PartSuspects) alternatives(part Fingerprint) []Fingerprint {
	_, answered := s.lastAnswer(part)
	lost := s.losses[part]
	if len(lost) == 0 {
		return nil
	}
	var out []Fingerprint
	for other, list := range s.losses {
		if _, ok := s.lastAnswer(other); other == part || len(list) < len(lost) || (ok && !answered) {
			continue
		}
		unexplained := 0
		for server := range lost {
			if _, ok := list[server]; !ok {
				unexplained++
			}
		}
		if unexplained < lossesToQuarantinePart {
			out = append(out, other)
		}
	}
	return out
}

// Report returns this host's own recent losses, the parts that it quarantines, the last
// answers on all parts with losses and of their servers, with at most limit entries
// of each kind.
func (s *PartSuspects) Report(limit int, now time.Time) Report {
	s.evict(now)
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	var out Report
	for _, part := range sortedKeys(s.losses) {
		for _, server := range sortedKeys(s.losses[part]) {
			if l := s.losses[part][server]; l.own && now.Sub(l.lostAt) < partLossPublishTime {
				out.Losses = append(out.Losses, LossReport{Fingerprint: part, Server: server, AgeMS: age(l.lostAt), WaitedMS: l.lostAt.Sub(l.sentAt).Milliseconds()})
			}
		}
		if at, ok := s.lastAnswer(part); ok && now.Sub(at) < clearedPublishTime {
			out.Cleared = append(out.Cleared, ClearReport{part, age(at)})
		}
		if s.isSuspect(part) && len(s.alternatives(part)) == 0 {
			out.Quarantined = append(out.Quarantined, QuarantineReport{part, s.left(part, now).Milliseconds()})
		}
	}
	for _, part := range sortedKeys(s.outdated) {
		if at, ok := s.lastAnswer(part); ok && len(s.losses[part]) == 0 {
			out.Cleared = append(out.Cleared, ClearReport{part, age(at)})
		}
	}
	for _, server := range sortedKeys(s.servers) {
		if at := s.servers[server].answeredAt; !at.IsZero() {
			out.Survived = append(out.Survived, SurvivalReport{server, age(at)})
		}
	}
	out.Trim(limit)
	return out
}

// evict removes what has expired and, above maxFingerprints, the parts with the
// oldest losses.
func (s *PartSuspects) evict(now time.Time) {
	for part := range s.losses {
		s.remove(part, func(_ string, l partLoss) bool { return now.Sub(l.lostAt) >= lossRetention })
	}
	if excess := len(s.losses) - maxFingerprints; excess > 0 {
		parts := sortedKeys(s.losses)
		slices.SortStableFunc(parts, func(a, b Fingerprint) int { return s.lastLoss(a).Compare(s.lastLoss(b)) })
		for _, part := range parts[:excess] {
			delete(s.losses, part)
		}
	}
	for server, lost := range s.servers {
		maps.DeleteFunc(lost.parts, func(part Fingerprint, _ bool) bool { _, ok := s.losses[part][server]; return !ok })
		if len(lost.parts) == 0 && now.Sub(lost.answeredAt) > clearedPublishTime {
			delete(s.servers, server)
		}
	}
	maps.DeleteFunc(s.reported, func(_ Fingerprint, q partQuarantine) bool { return now.Sub(q.heardAt) >= peerReportExpiry })
	maps.DeleteFunc(s.outdated, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= peerReportExpiry })
}

// Merge adds what a peer reported. It returns the parts that it newly quarantines.
func (s *PartSuspects) Merge(_ string, r Report, now time.Time) []Fingerprint {
	for _, l := range r.Losses {
		lostAt := ago(now, l.AgeMS)
		if answered, _ := s.lastAnswer(l.Fingerprint); !lostAt.After(answered) {
			s.outdated[l.Fingerprint] = now
			continue
		}
		s.add(l.Fingerprint, l.Server, partLoss{sentAt: lostAt.Add(-time.Duration(l.WaitedMS) * time.Millisecond), lostAt: lostAt})
	}
	for _, c := range r.Cleared {
		s.clear(c.Fingerprint, ago(now, c.AgeMS))
	}
	for _, survived := range r.Survived {
		s.removeSurvived(survived.Server, ago(now, survived.AgeMS))
	}
	var added []Fingerprint
	for _, q := range r.Quarantined {
		s.used = true
		if _, known := s.reported[q.Fingerprint]; !known {
			added = append(added, q.Fingerprint)
		}
		s.reported[q.Fingerprint] = partQuarantine{now.Add(time.Duration(q.LeftMS) * time.Millisecond), now}
	}
	return added
}
