// Package quota bounds the requests of each workspace over all hosts together.
// Every host follows one token bucket per workspace: it takes its own
// admissions at once, and those of its peers from their reports, projected to
// the present from their recent rate. A peer that is silent may be alive
// behind a cut, so its even share of the rate and burst stays reserved for it.
// The package performs no I/O; time is an argument.
package quota

import (
	"math"
	"time"
)

const (
	// silentAfter is the age of a peer's report from which its even share is
	// reserved instead of its projected rate. It is five reports at 200 ms.
	silentAfter = time.Second
	// rateMean is the time constant of the mean rate of admissions.
	rateMean = 500 * time.Millisecond
	// projectFor bounds the projection of a peer's rate: without a newer report
	// by then, the peer counts as silent.
	projectFor = silentAfter
)

// Limit is a workspace's rate in requests per second and burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// Report is what a host tells its peers of one workspace.
type Report struct {
	Admitted float64 // requests admitted since the host's start
	Rate     float64 // recent admissions per second
}

// peerUse is what is known of one peer's use of one workspace's quota.
type peerUse struct {
	incarnation int64
	admitted    float64
	rate        float64
	at          time.Time
	projected   float64 // taken from the bucket since the report
}

// bucket is the fleet's token bucket of one workspace as this host sees it.
type bucket struct {
	started  bool // this host admits requests of the workspace
	limit    Limit
	level    float64
	at       time.Time
	admitted float64
	mean     float64 // own admissions per second
	peers    map[string]*peerUse
}

// Quotas follows the buckets of all workspaces. It is not safe for concurrent use.
type Quotas struct {
	buckets map[string]*bucket
	hosts   int                  // hosts of the fleet, this one included
	heard   map[string]time.Time // last report of each peer, of any workspace
	start   time.Time            // of this host
}

// New returns quotas of a fleet with one host that starts now.
func New(now time.Time) *Quotas {
	return &Quotas{buckets: map[string]*bucket{}, hosts: 1, heard: map[string]time.Time{}, start: now}
}

// SetHosts sets the number of hosts that may admit requests, this one included.
func (q *Quotas) SetHosts(n int) { q.hosts = max(n, 1) }

// Heard notes that a peer is alive, whatever it reported.
func (q *Quotas) Heard(peer string, now time.Time) { q.heard[peer] = now }

// Forget drops a peer that has left the fleet for good.
func (q *Quotas) Forget(peer string) {
	delete(q.heard, peer)
	for _, b := range q.buckets {
		delete(b.peers, peer)
	}
}

// silent returns the number of hosts that were not heard of recently.
func (q *Quotas) silent(now time.Time) int {
	heard := 0
	for _, at := range q.heard {
		if now.Sub(at) < silentAfter {
			heard++
		}
	}
	return max(q.hosts-1-heard, 0)
}

func (q *Quotas) bucket(workspace string, limit Limit, now time.Time) *bucket {
	b, ok := q.buckets[workspace]
	if !ok {
		b = q.add(workspace)
	}
	if !b.started {
		b.started = true
		b.limit, b.level, b.at = limit, q.firstLevel(b, limit, now), now
	}
	if b.limit != limit {
		b.level = min(b.level, limit.Burst)
		b.limit = limit
	}
	q.advance(b, now)
	return b
}

func (q *Quotas) add(workspace string) *bucket {
	b := &bucket{peers: map[string]*peerUse{}}
	q.buckets[workspace] = b
	return b
}

// firstLevel is the level at which a host begins to follow a bucket: its even
// share of the burst, and what arose since the host's start unless its peers
// use up what arises.
func (q *Quotas) firstLevel(b *bucket, limit Limit, now time.Time) float64 {
	used := 0.0
	for _, p := range b.peers {
		used += p.rate
	}
	level := limit.Burst / float64(q.hosts)
	if used < fullBelow*limit.Rate {
		level += limit.Rate * now.Sub(q.start).Seconds()
	}
	return min(level, limit.Burst)
}

// fullBelow is the part of a limit's rate under which the bucket fills up
// although it is used.
const fullBelow = 0.8

// advance refills the bucket and takes what peers admit by projection.
func (q *Quotas) advance(b *bucket, now time.Time) {
	dt := now.Sub(b.at).Seconds()
	if dt <= 0 {
		return
	}
	b.at = now
	b.mean *= math.Exp(-dt / rateMean.Seconds())
	silent := float64(q.silent(now)) / float64(q.hosts)
	level := b.level + b.limit.Rate*dt*(1-silent)
	for _, p := range b.peers {
		if now.Sub(p.at) < projectFor {
			use := p.rate * dt
			p.projected += use
			level -= use
		}
	}
	b.level = min(level, b.limit.Burst*(1-silent))
}

// Low reports whether a workspace's bucket is so low that peers should hear of
// admissions at once.
func (q *Quotas) Low(workspace string) bool {
	b, ok := q.buckets[workspace]
	return ok && b.started && b.limit.Rate > 0 && b.level < lowPart*b.limit.Burst
}

// lowPart is the part of the burst under which a bucket is low.
const lowPart = 0.5

// Admit takes one request's token. When there is none, it returns false and
// the time after which one is likely. A limit with rate 0 admits everything.
func (q *Quotas) Admit(workspace string, limit Limit, now time.Time) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := q.bucket(workspace, limit, now)
	if b.level < 1 {
		return false, wait(1-b.level, limit.Rate)
	}
	b.level--
	b.admitted++
	b.mean += 1 / rateMean.Seconds()
	return true, 0
}

// Return gives back the token of a request that was not sent to any server.
func (q *Quotas) Return(workspace string) {
	if b, ok := q.buckets[workspace]; ok {
		b.level = min(b.level+1, b.limit.Burst)
		b.admitted--
	}
}

// wait is the time in which the missing tokens arise at the rate.
func wait(missing, rate float64) time.Duration {
	return time.Duration(missing / rate * float64(time.Second))
}

// Reported takes over a report of one workspace by a peer, or by several
// together. Under another incarnation it counts from zero again.
func (q *Quotas) Reported(peer string, incarnation int64, workspace string, r Report, now time.Time) {
	b, ok := q.buckets[workspace]
	if !ok {
		b = q.add(workspace)
	}
	if b.started {
		q.advance(b, now)
	}
	p, ok := b.peers[peer]
	if !ok || p.incarnation != incarnation {
		b.peers[peer] = &peerUse{incarnation: incarnation, admitted: r.Admitted, rate: r.Rate, at: now}
		return
	}
	b.level += p.projected - max(r.Admitted-p.admitted, 0)
	b.level = min(b.level, b.limit.Burst)
	*p = peerUse{incarnation: incarnation, admitted: r.Admitted, rate: r.Rate, at: now}
}

// Reports returns this host's use of each workspace's quota.
func (q *Quotas) Reports(now time.Time) map[string]Report {
	out := make(map[string]Report, len(q.buckets))
	for name, b := range q.buckets {
		if !b.started {
			continue
		}
		q.advance(b, now)
		if b.admitted != 0 {
			out[name] = Report{Admitted: b.admitted, Rate: b.mean}
		}
	}
	return out
}
