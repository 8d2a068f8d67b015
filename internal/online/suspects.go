package online

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/retry"
)

// suspectSection is the part of the digests with requests that coincided with
// the loss of a server.
const suspectSection = "suspects"

// survivalMargin is how long after a loss an answer must end to show that the
// server survived: a dying server may have sent an answer just before.
const survivalMargin = 100 * time.Millisecond

// Suspects shares among all hosts which requests broke servers down. It is
// safe for concurrent use.
type Suspects struct {
	log *slog.Logger
	mu  sync.Mutex
	set *retry.Suspects
}

// NewSuspects returns an empty set and registers it with the cluster.
func NewSuspects(c *cluster.Cluster, logger *slog.Logger) *Suspects {
	s := &Suspects{log: logger, set: retry.NewSuspects()}
	c.Provide(suspectSection, s.digest)
	c.Merge(suspectSection, mergeReports)
	c.Receive(suspectSection, s.received)
	return s
}

// Blocked returns how long requests with the fingerprint are refused, 0 when
// they are not.
func (s *Suspects) Blocked(fp retry.Fingerprint) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.Known() {
		return 0
	}
	verdict, left := s.set.Check(fp, time.Now())
	if verdict != retry.Quarantined {
		return 0
	}
	return left
}

// Start notes that a request is sent to a server. It reports whether it is a
// suspect that runs there as the only one.
func (s *Suspects) Start(fp retry.Fingerprint, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.Known() {
		return false
	}
	now := time.Now()
	verdict, _ := s.set.Check(fp, now)
	return verdict == retry.Suspect && s.set.MayRun(fp, server, now) && s.set.Start(fp, server)
}

// End notes that a request that Start reported as alone is not in flight any more.
func (s *Suspects) End(fp retry.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.End(fp)
}

// Lost notes that the connection to a server broke under a request. alone is
// Start's result.
func (s *Suspects) Lost(fp retry.Fingerprint, server string, alone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set.Lost(fp, server, alone, time.Now()) == retry.Quarantined {
		s.log.Warn("request quarantined", "event", "quarantined", "fingerprint", uint64(fp), "server", server)
	}
}

// Succeeded notes a whole answer of a server. The request did not break it
// down, and neither did an earlier one: a server's id is new at each start.
func (s *Suspects) Succeeded(fp retry.Fingerprint, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.Known() {
		return
	}
	now := time.Now()
	s.set.Succeeded(fp, now)
	s.set.Survived(server, time.Time{}, now.Add(-survivalMargin))
}

func (s *Suspects) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.Known() {
		return nil
	}
	r := s.set.Report(time.Now())
	trim(&r, ownLosses)
	return r
}

const (
	// ownLosses and mergedLosses bound the losses that one host tells and those
	// that the hosts of a zone tell together. Callers send a request again
	// within seconds, so the newest ones matter.
	ownLosses    = 24
	mergedLosses = 96
)

// trim keeps the newest entries of a report.
func trim(r *retry.Report, most int) {
	slices.SortStableFunc(r.Losses, func(a, b retry.LossReport) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	slices.SortStableFunc(r.Cleared, func(a, b retry.ClearReport) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	r.Losses = r.Losses[:min(most, len(r.Losses))]
	r.Cleared = r.Cleared[:min(most, len(r.Cleared))]
	r.Quarantined = r.Quarantined[:min(most, len(r.Quarantined))]
}

// mergeReports joins the reports of several hosts.
func mergeReports(values []json.RawMessage) (any, error) {
	var out retry.Report
	for _, raw := range values {
		var r retry.Report
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, err
		}
		out.Losses = append(out.Losses, r.Losses...)
		out.Running = append(out.Running, r.Running...)
		out.Quarantined = append(out.Quarantined, r.Quarantined...)
		out.Cleared = append(out.Cleared, r.Cleared...)
	}
	trim(&out, mergedLosses)
	return out, nil
}

func (s *Suspects) received(n cluster.News) {
	var report retry.Report
	if err := json.Unmarshal(n.Raw, &report); err != nil {
		s.log.Warn("peer's suspects not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fp := range s.set.Merge(n.From.Name, report, time.Now()) {
		s.log.Warn("request quarantined", "event", "quarantined", "fingerprint", uint64(fp), "peer", n.From.Name)
	}
}

// fingerprint identifies calls with the same content.
func fingerprint(call *Call, workspace string) retry.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{workspace, call.Method, call.Host, call.Target} {
		_, _ = h.WriteString(part) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	return retry.Fingerprint(h.Sum64())
}
