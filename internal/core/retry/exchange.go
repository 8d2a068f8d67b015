package retry

import "time"

// Report is what a host publishes to its peers. Times are ages, because the
// hosts' clocks differ.
type Report struct {
	Losses      []LossReport       `json:"losses,omitempty"`
	Running     []RunReport        `json:"running,omitempty"`
	Quarantined []QuarantineReport `json:"quarantined,omitempty"`
	Cleared     []ClearReport      `json:"cleared,omitempty"`
}

// LossReport says that a server was lost while the fingerprint was in flight.
type LossReport struct {
	Fingerprint Fingerprint `json:"fp"`
	Server      string      `json:"server"`
	AgeMS       int64       `json:"age_ms"`
	Suspect     bool        `json:"suspect,omitempty"` // it ran as a suspect
}

// RunReport says that a suspect is in flight at a server.
type RunReport struct {
	Fingerprint Fingerprint `json:"fp"`
	Server      string      `json:"server"`
}

// QuarantineReport says that a fingerprint is refused.
type QuarantineReport struct {
	Fingerprint Fingerprint `json:"fp"`
	LeftMS      int64       `json:"left_ms"`
}

// ClearReport says that a suspect succeeded.
type ClearReport struct {
	Fingerprint Fingerprint `json:"fp"`
	AgeMS       int64       `json:"age_ms"`
}

// Report returns this host's own observations.
func (s *Suspects) Report(now time.Time) Report {
	s.bound(now)
	var out Report
	for _, fp := range sortedKeys(s.own) {
		for _, l := range s.own[fp] {
			out.Losses = append(out.Losses, LossReport{fp, l.server, now.Sub(l.at).Milliseconds(), l.suspect})
		}
	}
	for _, fp := range sortedKeys(s.runs) {
		out.Running = append(out.Running, RunReport{fp, s.runs[fp]})
	}
	for _, fp := range sortedKeys(s.quarantined) {
		out.Quarantined = append(out.Quarantined, QuarantineReport{fp, s.quarantined[fp].Sub(now).Milliseconds()})
	}
	for _, fp := range sortedKeys(s.cleared) {
		if age := now.Sub(s.cleared[fp]); age < clearedFor {
			out.Cleared = append(out.Cleared, ClearReport{fp, age.Milliseconds()})
		}
	}
	return out
}

// Merge replaces what is known from a peer by its latest report. It returns
// the fingerprints that are quarantined by it and were not before.
func (s *Suspects) Merge(host string, r Report, now time.Time) []Fingerprint {
	p := remote{losses: map[Fingerprint][]loss{}, runs: map[Fingerprint]string{}, seen: now}
	for _, l := range r.Losses {
		p.losses[l.Fingerprint] = append(p.losses[l.Fingerprint], loss{l.Server, ago(now, l.AgeMS), l.Suspect})
	}
	for _, run := range r.Running {
		p.runs[run.Fingerprint] = run.Server
	}
	s.peers[host] = p
	for _, c := range r.Cleared {
		if at := ago(now, c.AgeMS); at.After(s.cleared[c.Fingerprint]) {
			s.cleared[c.Fingerprint] = at
		}
	}
	return s.adopt(r.Quarantined, now)
}

// adopt takes over a peer's quarantines. A quarantine never becomes longer by
// going around among the peers, because its remaining time is published.
func (s *Suspects) adopt(list []QuarantineReport, now time.Time) []Fingerprint {
	var added []Fingerprint
	for _, q := range list {
		until := now.Add(time.Duration(q.LeftMS) * time.Millisecond)
		if current, ok := s.quarantined[q.Fingerprint]; !ok {
			s.quarantined[q.Fingerprint] = until
			added = append(added, q.Fingerprint)
		} else if until.Before(current) {
			s.quarantined[q.Fingerprint] = until
		}
	}
	return added
}

func ago(now time.Time, ms int64) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}
