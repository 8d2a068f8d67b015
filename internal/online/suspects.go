package online

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/retry"
)

// suspectSection and suspectPartSection are the digest sections with the requests
// that were in flight when a connection to a server was lost, and with the parts
// of their prompts.
const (
	suspectSection     = "suspects"
	suspectPartSection = "suspect_parts"
)

// survivalMargin is the least time between a lost connection and the end of
// another response for the response to prove that the server did not crash: a
// crashing server may have sent a response just before.
const survivalMargin = 100 * time.Millisecond

// fingerprints identify a call among those that may crash servers.
type fingerprints struct {
	request retry.Fingerprint   // workspace, method, host, target and body
	parts   []retry.Fingerprint // the shared parts of the prompt
}

// Suspects tracks requests, and parts of prompts, that are suspected of crashing
// servers and shares them with all hosts. It is safe for concurrent use.
type Suspects struct {
	log   *slog.Logger
	mu    sync.Mutex
	set   *retry.Suspects
	parts *retry.PartSuspects
	// quarantinedParts holds the parts that this host quarantines, as last logged.
	quarantinedParts map[retry.Fingerprint]bool
}

// NewSuspects returns an empty set and registers it with the cluster.
func NewSuspects(c *cluster.Cluster, logger *slog.Logger) *Suspects {
	s := &Suspects{log: logger, set: retry.NewSuspects(), parts: retry.NewPartSuspects()}
	c.Provide(suspectSection, s.digest)
	c.Merge(suspectSection, mergeReports)
	c.Receive(suspectSection, func(u cluster.SectionUpdate) { s.received(u, s.set.Merge) })
	c.Provide(suspectPartSection, s.partDigest)
	c.Merge(suspectPartSection, mergePartReports)
	c.Receive(suspectPartSection, func(u cluster.SectionUpdate) { s.received(u, s.parts.Merge) })
	return s
}

// refusal returns the refusal of a quarantined call, or nil.
func (s *Suspects) refusal(call *Call, fps fingerprints) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.set.HasRecords() {
		if verdict, left := s.set.Check(fps.request, now); verdict == retry.Quarantined {
			return unavailable(codeSuspect, "servers broke down under this request", left)
		}
	}
	if r, refused := s.parts.Check(fps.parts, now); refused {
		return unavailable(codeSuspect, "servers broke down under a part of this prompt, probably "+call.SharedParts[r.Index], r.Left)
	}
	return nil
}

// suspected reports whether a call, or a part of its prompt, may have crashed a server.
func (s *Suspects) suspected(fps fingerprints) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts.HasLoss(fps.parts) {
		return true
	}
	if !s.set.HasRecords() {
		return false
	}
	verdict, _ := s.set.Check(fps.request, time.Now())
	return verdict != retry.NotSuspect
}

// Start records that a request is sent to a server. It reports whether the
// request is a suspect and the only suspect in flight at that server.
func (s *Suspects) Start(fps fingerprints, server string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.HasRecords() {
		return false
	}
	now := time.Now()
	verdict, _ := s.set.Check(fps.request, now)
	return verdict == retry.Suspect && s.set.MayRun(fps.request, server, now) && s.set.Start(fps.request, server)
}

// End records that a request for which Start returned true is no longer in
// flight.
func (s *Suspects) End(fps fingerprints) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set.End(fps.request)
}

// ConnectionLost records that the connection to a server broke during a request. isolated
// is the result of Start. A server that had answered on the request did not crash
// because of a part of its prompt.
func (s *Suspects) ConnectionLost(fps fingerprints, server string, sentAt time.Time, isolated, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !answered {
		s.parts.ServerLost(fps.parts, server, sentAt, now)
	}
	if s.set.ConnectionLost(fps.request, server, isolated, now) == retry.Quarantined {
		s.log.Warn("request quarantined", "event", "quarantined", "fingerprint", uint64(fps.request), "server", server)
	}
}

// Answered records that a server goes on with its answer to a request, which clears
// the parts of its prompt.
func (s *Suspects) Answered(fps fingerprints) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts.Answered(fps.parts, time.Now())
}

// Succeeded records a complete response of a server. It clears the request and
// those that ran there before, because a server gets a new id at each start.
func (s *Suspects) Succeeded(fps fingerprints, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.parts.Answered(fps.parts, now)
	s.parts.ServerSurvived(server, now.Add(-survivalMargin))
	if !s.set.HasRecords() {
		return
	}
	s.set.Succeeded(fps.request, now)
	s.set.ServerSurvived(server, time.Time{}, now.Add(-survivalMargin))
}

func (s *Suspects) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.set.HasRecords() {
		return nil
	}
	r := s.set.Report(time.Now())
	r.Trim(maxHostLosses)
	return r
}

// partDigest returns the section also when the last record has expired, so that
// peers drop it.
func (s *Suspects) partDigest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.parts.Used() {
		return nil
	}
	r := s.parts.Report(maxHostLosses, time.Now())
	quarantined := map[retry.Fingerprint]bool{}
	for _, q := range r.Quarantined {
		quarantined[q.Fingerprint] = true
		if !s.quarantinedParts[q.Fingerprint] {
			s.log.Warn("part of a prompt quarantined", "event", "quarantined", "fingerprint", uint64(q.Fingerprint), "left_ms", q.LeftMS)
		}
	}
	s.quarantinedParts = quarantined
	return r
}

const (
	// maxHostLosses and maxZoneLosses bound the losses in the digest of a host
	// and in the merged digest of a zone. Only the newest matter, since callers
	// retry a request within seconds.
	maxHostLosses = 24
	maxZoneLosses = 96
)

// mergeReports merges the reports of several hosts.
func mergeReports(values []cluster.Raw) (any, error) {
	var out retry.Report
	for _, raw := range values {
		r, err := decodeReport(raw)
		if err != nil {
			return nil, err
		}
		out.Merge(r)
	}
	out.Trim(maxZoneLosses)
	return out, nil
}

// mergePartReports merges the reports of several hosts on parts of prompts.
func mergePartReports(values []cluster.Raw) (any, error) {
	var out retry.Report
	for _, raw := range values {
		r, err := decodeReport(raw)
		if err != nil {
			return nil, err
		}
		out.Merge(r)
	}
	out.MergePartLosses()
	out.Trim(maxZoneLosses)
	return out, nil
}

func decodeReport(raw cluster.Raw) (retry.Report, error) {
	var out retry.Report
	return out, cbor.Unmarshal(raw, &out)
}

// removeReport removes the entries of one host's report from a merged one.
func removeReport(r *retry.Report, own retry.Report) {
	r.Losses = without(r.Losses, own.Losses)
	r.Running = without(r.Running, own.Running)
	r.Quarantined = without(r.Quarantined, own.Quarantined)
	r.Cleared = without(r.Cleared, own.Cleared)
	r.Survived = without(r.Survived, own.Survived)
}

// without removes one occurrence of each element of removed from the list.
func without[T comparable](list, removed []T) []T {
	for _, item := range removed {
		if i := slices.Index(list, item); i >= 0 {
			list = slices.Delete(list, i, i+1)
		}
	}
	return list
}

// received passes a report to merge, which returns what the report newly
// quarantines.
func (s *Suspects) received(n cluster.SectionUpdate, merge func(host string, r retry.Report, now time.Time) []retry.Fingerprint) {
	report, err := decodeReport(n.Raw)
	if err == nil && n.Own != nil {
		var own retry.Report
		own, err = decodeReport(n.Own)
		removeReport(&report, own)
	}
	if err != nil {
		s.log.Warn("cannot decode suspects of peer", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fp := range merge(n.From.Name, report, time.Now()) {
		s.log.Warn("request or part of a prompt quarantined", "event", "quarantined", "fingerprint", uint64(fp), "peer", n.From.Name)
	}
}

// fingerprintsOf returns the fingerprints of a call of a workspace. Those of parts
// hold for all workspaces.
func fingerprintsOf(call *Call, workspace string) fingerprints {
	h := xxhash.New()
	for _, part := range []string{workspace, call.Method, call.Host, call.Target} {
		_, _ = h.WriteString(part) // a hash does not fail
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(call.Body)
	out := fingerprints{request: retry.Fingerprint(h.Sum64())}
	for _, part := range call.SharedParts {
		out.parts = append(out.parts, retry.Fingerprint(xxhash.Sum64String(part)))
	}
	return out
}
