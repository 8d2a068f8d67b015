package dispatch

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/events"
	"ragwortstep/internal/peer"
)

// fingerprint identifies requests with the same workspace, route, method,
// path and body. Method and path tell apart requests without a body.
func fingerprint(req *Request) retry.Fingerprint {
	h := xxhash.New()
	for _, part := range []string{req.Workspace, req.Route, req.Method, req.Path} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(req.Body)
	return retry.Fingerprint(h.Sum64())
}

// quarantineError returns the refusal of a quarantined job, or nil. The
// caller holds mu.
func (d *Dispatcher) quarantineError(j *job, now time.Time) error {
	if !d.suspects.Known() {
		return nil
	}
	verdict, left := d.suspects.Check(j.fp, now)
	if verdict != retry.Quarantined {
		return nil
	}
	counters.Add("quarantine_refusals", 1)
	if left == retry.QuarantineFor { // the first refusal
		d.suspectsDirty = true
		d.quarantined(j.fp, "")
	}
	return j.refuse(http.StatusUnprocessableEntity, "request_quarantined", "backend servers were lost twice while running this request", left)
}

// lost notes that a connection broke while a run was in flight, which makes
// its request a suspect until the server is known to have survived. The
// caller holds mu.
func (d *Dispatcher) lost(r *run, now time.Time) {
	counters.Add("lost_in_flight", 1)
	d.suspects.Lost(r.job.fp, r.server, r.suspect, now)
	d.suspectsDirty = true
	time.AfterFunc(2*pollMargin, func() { d.client.PollNow(r.server) })
	go d.publish(now)
}

// survivalMargin is how long after a loss a response must end to show that the
// server survived. A response that the server sent just before it crashed may
// arrive after the loss of another connection was noticed.
const survivalMargin = 100 * time.Millisecond

// pollMargin is how long after a loss a poll must be sent to show that the
// server survived, because a dying server may close one connection and still
// answer on another for a moment.
const pollMargin = 20 * time.Millisecond

// succeeded clears the suspicion on a run's request, and those that rest on a
// loss of its server while it went on running there. The caller holds mu.
func (d *Dispatcher) succeeded(r *run, now time.Time) {
	if !d.suspects.Known() {
		return
	}
	cleared := d.suspects.Succeeded(r.job.fp, now)
	survived := d.suspects.Survived(r.server, r.started, now.Add(-survivalMargin))
	if cleared || survived {
		d.suspectsDirty = true
	}
}

// quarantined records that requests with a fingerprint are refused from now
// on, as found here or, with a peer, there. The caller holds mu.
func (d *Dispatcher) quarantined(fp retry.Fingerprint, peer string) {
	d.record(events.Event{Kind: "request.quarantined", Peer: peer, Detail: strconv.FormatUint(uint64(fp), 16)})
}

// suspectUsable returns the condition for servers that may run a suspect.
// Each host runs its suspects on servers of its own, so that two hosts do not
// put suspects on one server before they hear of each other. While none of
// them is usable, any server will do.
func (d *Dispatcher) suspectUsable(p *poolState, j *job, now time.Time) func(string) bool {
	own := retry.SuspectServers(d.self, d.aliveHosts(), d.bal.Names(p.name), now)
	if len(own) > 0 && !slices.ContainsFunc(own, func(s string) bool { return d.bal.Available(now, s) }) {
		own = d.bal.Names(p.name)
	}
	return func(server string) bool {
		return slices.Contains(own, server) && d.hasSlot(p, server, j.class, now) && d.suspects.MayRun(j.fp, server, now)
	}
}

// aliveHosts returns the alive members of the epoch. The caller holds mu.
func (d *Dispatcher) aliveHosts() []string {
	out := make([]string, 0, len(d.view.Members))
	for _, m := range d.view.Members {
		if d.view.Alive[m.Host] {
			out = append(out, hostName(m.Host))
		}
	}
	return out
}

// quarantineReceived takes over a peer's suspects.
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
		d.quarantined(fp, hostName(from))
	}
	for _, p := range d.pools {
		d.schedule(p, now)
	}
}
