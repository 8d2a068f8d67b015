package dispatch

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/core/schedule"
	"ragwortstep/internal/events"
	"ragwortstep/internal/peer"
)

// fingerprintOf returns a hash of the workspace, route, method, path and body of
// a request. Method and path distinguish requests without a body.
func fingerprintOf(req *Request) retry.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{req.Workspace, req.Route, req.Method, req.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	return retry.Fingerprint(h.Sum64())
}

// verdict returns whether a job is suspected of crashing servers, and for
// Quarantined the remaining time. Batch items are not: they are owed until their
// job's deadline, however many servers crash under them. The caller holds mu.
func (d *Dispatcher) verdict(j *job, now time.Time) (retry.Verdict, time.Duration) {
	if j.class == schedule.Batch || !d.suspects.HasRecords() {
		return retry.NotSuspect, 0
	}
	return d.suspects.Check(j.fingerprint, now)
}

// quarantineError returns the refusal of a quarantined job, or nil. The
// caller holds mu.
func (d *Dispatcher) quarantineError(j *job, now time.Time) error {
	verdict, remaining := d.verdict(j, now)
	if verdict != retry.Quarantined {
		return nil
	}
	counters.Add("quarantine_refusals", 1)
	if remaining == retry.QuarantineDuration { // the first refusal
		d.suspectsChanged = true
		d.recordQuarantine(j.fingerprint, "")
	}
	return j.refuse(http.StatusUnprocessableEntity, "request_quarantined", "backend servers were lost twice while running this request", remaining)
}

// recordConnectionLoss records that a connection broke during a run. Its request,
// unless it is a batch item, is a suspect until the server is found to have survived. The caller
// holds mu.
func (d *Dispatcher) recordConnectionLoss(r *run, now time.Time) {
	counters.Add("lost_in_flight", 1)
	if r.job.class == schedule.Batch {
		return
	}
	d.suspects.ConnectionLost(r.job.fingerprint, r.server, r.suspect, now)
	d.suspectsChanged = true
	time.AfterFunc(2*pollMargin, func() { d.client.PollNow(r.server) })
	go d.publish(now)
}

// survivalMargin is how long after a connection loss a response must end to
// show that the server survived. A response sent just before a crash may arrive
// after the loss of another connection was detected.
const survivalMargin = 100 * time.Millisecond

// pollMargin is how long after a connection loss a poll must be sent to show
// that the server survived. A crashing server may close one connection and
// still respond on another shortly afterwards.
const pollMargin = 20 * time.Millisecond

// recordSuccess clears the suspicion against a run's request, and against
// requests suspected of crashing its server if the run was in progress at the
// time. The caller holds mu.
func (d *Dispatcher) recordSuccess(r *run, now time.Time) {
	if !d.suspects.HasRecords() {
		return
	}
	cleared := d.suspects.Succeeded(r.job.fingerprint, now)
	survived := d.suspects.ServerSurvived(r.server, r.started, now.Add(-survivalMargin))
	if cleared || survived {
		d.suspectsChanged = true
	}
}

// recordQuarantine records that a request was quarantined, by this host or by
// the given peer. The caller holds mu.
func (d *Dispatcher) recordQuarantine(fp retry.Fingerprint, peer string) {
	d.record(events.Event{Kind: "request.quarantined", Peer: peer, Detail: strconv.FormatUint(uint64(fp), 16)})
}

// suspectServerFilter returns a function that reports whether a suspect may run
// at a server. Each host runs suspects on its own servers, so that two hosts do
// not send suspects to one server before they have exchanged reports. If none
// of its servers is available, any server may be used.
func (d *Dispatcher) suspectServerFilter(p *poolState, j *job, now time.Time) func(string) bool {
	servers := retry.SuspectServers(d.self, d.aliveHosts(), d.bal.ServerNames(p.name), now)
	if len(servers) > 0 && !slices.ContainsFunc(servers, func(s string) bool { return d.bal.Available(now, s) }) {
		servers = d.bal.ServerNames(p.name)
	}
	return func(server string) bool {
		return slices.Contains(servers, server) && d.canStartAt(p, server, j.class, now) && d.suspects.MayRun(j.fingerprint, server, now)
	}
}

// aliveHosts returns the live members of the epoch. The caller holds mu.
func (d *Dispatcher) aliveHosts() []string {
	out := make([]string, 0, len(d.view.Members))
	for _, m := range d.view.Members {
		if d.view.Alive[m.Host] {
			out = append(out, hostName(m.Host))
		}
	}
	return out
}

// quarantineReceived merges a peer's suspects.
func (d *Dispatcher) quarantineReceived(from peer.HostID, raw json.RawMessage) {
	var report retry.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		counters.Add("bad_sections", 1)
		return
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, fp := range d.suspects.Merge(hostName(from), report, now) {
		d.recordQuarantine(fp, hostName(from))
	}
	for _, p := range d.pools {
		d.schedule(p, now)
	}
}
