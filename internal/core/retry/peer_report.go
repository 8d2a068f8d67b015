package retry

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a host publishes to its peers. It gives ages instead of times,
// because the hosts' clocks differ.
type Report struct {
	Losses      []LossReport       `json:"losses,omitempty"`
	Running     []RunReport        `json:"running,omitempty"`
	Quarantined []QuarantineReport `json:"quarantined,omitempty"`
	Cleared     []ClearReport      `json:"cleared,omitempty"`
	Survived    []SurvivalReport   `json:"survived,omitempty"`
}

// Trim keeps at most limit losses, those of the fingerprints with the most of them
// and the newest of these, and at most limit of the other entries of each kind.
func (r *Report) Trim(limit int) {
	count := map[Fingerprint]int{}
	for _, l := range r.Losses {
		count[l.Fingerprint]++
	}
	slices.SortStableFunc(r.Losses, func(a, b LossReport) int {
		return cmp.Or(cmp.Compare(count[b.Fingerprint], count[a.Fingerprint]), cmp.Compare(a.AgeMS, b.AgeMS))
	})
	slices.SortStableFunc(r.Cleared, func(a, b ClearReport) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	slices.SortStableFunc(r.Survived, func(a, b SurvivalReport) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	r.Losses = r.Losses[:min(limit, len(r.Losses))]
	r.Cleared = r.Cleared[:min(limit, len(r.Cleared))]
	r.Survived = r.Survived[:min(limit, len(r.Survived))]
	r.Quarantined = r.Quarantined[:min(limit, len(r.Quarantined))]
}

// Merge adds the report of another host. Of several entries about the same answer,
// server or quarantine it keeps the newest.
func (r *Report) Merge(other Report) {
	r.Losses = append(r.Losses, other.Losses...)
	r.Running = append(r.Running, other.Running...)
	r.Quarantined = mergeEntries(r.Quarantined, other.Quarantined,
		func(q QuarantineReport) Fingerprint { return q.Fingerprint }, func(a, b QuarantineReport) bool { return a.LeftMS > b.LeftMS })
	r.Cleared = mergeEntries(r.Cleared, other.Cleared,
		func(c ClearReport) Fingerprint { return c.Fingerprint }, func(a, b ClearReport) bool { return a.AgeMS < b.AgeMS })
	r.Survived = mergeEntries(r.Survived, other.Survived,
		func(v SurvivalReport) string { return v.Server }, func(a, b SurvivalReport) bool { return a.AgeMS < b.AgeMS })
}

// MergePartLosses keeps one loss of each server and part: all hosts that had a
// request there report it. The earliest is the most accurate.
func (r *Report) MergePartLosses() {
	type loss struct {
		part   Fingerprint
		server string
	}
	r.Losses = mergeEntries(nil, r.Losses,
		func(l LossReport) loss { return loss{l.Fingerprint, l.Server} }, func(a, b LossReport) bool { return a.AgeMS > b.AgeMS })
}

// mergeEntries appends the entries to the list, with one entry of each key: the
// one that is preferred to all others.
func mergeEntries[T any, K comparable](list, entries []T, key func(T) K, preferred func(a, b T) bool) []T {
	index := make(map[K]int, len(list))
	for i, e := range list {
		index[key(e)] = i
	}
	for _, e := range entries {
		i, ok := index[key(e)]
		switch {
		case !ok:
			index[key(e)] = len(list)
			list = append(list, e)
		case preferred(e, list[i]):
			list[i] = e
		}
	}
	return list
}

// LossReport reports that a server was lost while a request with the fingerprint
// was in flight.
type LossReport struct {
	Fingerprint Fingerprint `json:"fp"`
	Server      string      `json:"server"`
	AgeMS       int64       `json:"age_ms"`
	Suspect     bool        `json:"suspect,omitempty"`   // it ran as its host's only suspect there
	WaitedMS    int64       `json:"waited_ms,omitempty"` // from sending a request with a suspected part until the loss
}

// SurvivalReport reports the last answer of a server that was reported as lost.
type SurvivalReport struct {
	Server string `json:"server"`
	AgeMS  int64  `json:"age_ms"`
}

// RunReport reports that a suspect is in flight at a server.
type RunReport struct {
	Fingerprint Fingerprint `json:"fp"`
	Server      string      `json:"server"`
}

// QuarantineReport reports that requests with a fingerprint are refused.
type QuarantineReport struct {
	Fingerprint Fingerprint `json:"fp"`
	LeftMS      int64       `json:"left_ms"`
}

// ClearReport reports that a suspect succeeded.
type ClearReport struct {
	Fingerprint Fingerprint `json:"fp"`
	AgeMS       int64       `json:"age_ms"`
}

// Report returns this host's own observations.
func (s *Suspects) Report(now time.Time) Report {
	s.evict(now)
	var out Report
	for _, fp := range sortedKeys(s.ownLosses) {
		for _, l := range s.ownLosses[fp] {
			out.Losses = append(out.Losses, LossReport{Fingerprint: fp, Server: l.server, AgeMS: now.Sub(l.at).Milliseconds(), Suspect: l.asSuspect})
		}
	}
	for _, fp := range sortedKeys(s.running) {
		out.Running = append(out.Running, RunReport{fp, s.running[fp]})
	}
	for _, fp := range sortedKeys(s.quarantinedUntil) {
		out.Quarantined = append(out.Quarantined, QuarantineReport{fp, s.quarantinedUntil[fp].Sub(now).Milliseconds()})
	}
	for _, fp := range sortedKeys(s.clearedAt) {
		if age := now.Sub(s.clearedAt[fp]); age < clearedPublishTime {
			out.Cleared = append(out.Cleared, ClearReport{fp, age.Milliseconds()})
		}
	}
	return out
}

// Merge replaces a peer's state by its latest report. It returns the
// fingerprints that the report newly quarantines.
func (s *Suspects) Merge(host string, r Report, now time.Time) []Fingerprint {
	p := peerState{losses: map[Fingerprint][]loss{}, running: map[Fingerprint]string{}, reportedAt: now}
	for _, l := range r.Losses {
		p.losses[l.Fingerprint] = append(p.losses[l.Fingerprint], loss{l.Server, ago(now, l.AgeMS), l.Suspect})
	}
	for _, run := range r.Running {
		p.running[run.Fingerprint] = run.Server
	}
	s.peers[host] = p
	for _, c := range r.Cleared {
		if at := ago(now, c.AgeMS); at.After(s.clearedAt[c.Fingerprint]) {
			s.clearedAt[c.Fingerprint] = at
		}
	}
	return s.mergeQuarantines(r.Quarantined, now)
}

// mergeQuarantines adds a peer's quarantines. Peers publish the remaining time,
// so that a quarantine does not grow longer when it is passed on repeatedly.
func (s *Suspects) mergeQuarantines(list []QuarantineReport, now time.Time) []Fingerprint {
	var added []Fingerprint
	for _, q := range list {
		until := now.Add(time.Duration(q.LeftMS) * time.Millisecond)
		if current, ok := s.quarantinedUntil[q.Fingerprint]; !ok {
			s.quarantinedUntil[q.Fingerprint] = until
			added = append(added, q.Fingerprint)
		} else if until.Before(current) {
			s.quarantinedUntil[q.Fingerprint] = until
		}
	}
	return added
}

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
