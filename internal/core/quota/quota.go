// Package quota bounds the requests of each workspace over all hosts together.
// Every host keeps a copy of one token bucket per workspace: it subtracts its own
// admissions at once, and those of its peers according to their reports and,
// between reports, their recent rates. A peer without recent reports may still
// admit requests behind a network partition, so its even share of the rate and
// burst stays reserved for it. The package performs no I/O; time is an argument.
package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// peerTimeout is the time after which a peer that was not seen alive counts as
	// silent, so that its even share is reserved. It is five reports at 200 ms.
	peerTimeout = time.Second
	// rateTimeConstant is the time constant of the moving average of the rate of
	// admissions.
	rateTimeConstant = 500 * time.Millisecond
	// maxProjection is how long a peer's rate is projected without a newer report.
	// It equals peerTimeout, after which the peer's even share is reserved instead.
	maxProjection = peerTimeout
)

// Limit is a workspace's rate in requests per second and burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
	// Slack is the number of admissions that are not reported yet by which the
	// limit may be exceeded.
	Slack float64
}

// Report is what a host reports to its peers about one workspace.
type Report struct {
	Admitted float64 // requests admitted since the host started
	Rate     float64 // recent admissions per second
	Asked    float64 // recent requests per second, refused ones included
}

// peerUsage is one peer's use of one workspace's quota.
type peerUsage struct {
	incarnation int64
	Report
	updatedAt    time.Time
	projectedUse float64 // subtracted from the level since the report
}

// bucket is this host's copy of the fleet's token bucket of one workspace.
type bucket struct {
	active    bool // limit is known and level is kept up to date
	limit     Limit
	level     float64 // tokens
	updatedAt time.Time
	admitted  float64
	meanRate  float64 // moving average of this host's admissions per second
	askedRate float64 // moving average of this host's requests per second
	peers     map[string]*peerUsage
}

// Quotas holds the buckets of all workspaces. It is not safe for concurrent use.
type Quotas struct {
	rng       *rand.Rand
	buckets   map[string]*bucket
	hosts     int                  // in the fleet, this one included; 0 if unknown
	knownAt   time.Time            // when hosts became known
	peersSeen map[string]time.Time // when each peer was last known alive
	startedAt time.Time            // of this host
	reportLag time.Duration        // mean time until the peers' admissions are known here
	// silentCount is the result of silent at silentAt. The reports of one digest
	// have the same time.
	silentCount int
	silentAt    time.Time
}

// New returns the quotas of a host that starts now and does not know its fleet.
func New(now time.Time, rng *rand.Rand) *Quotas {
	return &Quotas{rng: rng, buckets: map[string]*bucket{}, peersSeen: map[string]time.Time{}, startedAt: now}
}

// SetReportLag sets the mean time until a report of an admission reaches the
// other hosts.
func (q *Quotas) SetReportLag(lag time.Duration) { q.reportLag = lag }

// SetHosts sets the number of hosts that may admit requests, this one included.
// Until the first call, no request of a workspace with a limit is admitted.
func (q *Quotas) SetHosts(n int, now time.Time) {
	if q.hosts == 0 {
		q.knownAt = now
	}
	q.hosts, q.silentAt = max(n, 1), time.Time{}
}

// Seen records that a peer was alive at the given time.
func (q *Quotas) Seen(peer string, now time.Time) {
	q.peersSeen[peer], q.silentAt = now, time.Time{}
}

// RemovePeer removes a peer that has left the fleet for good.
func (q *Quotas) RemovePeer(peer string) {
	delete(q.peersSeen, peer)
	q.silentAt = time.Time{}
	for _, b := range q.buckets {
		delete(b.peers, peer)
	}
}

// silent returns the number of peers not known alive within peerTimeout.
func (q *Quotas) silent(now time.Time) int {
	if q.silentAt.Equal(now) {
		return q.silentCount
	}
	peersSeen := 0
	for _, at := range q.peersSeen {
		if now.Sub(at) < peerTimeout {
			peersSeen++
		}
	}
	q.silentCount, q.silentAt = max(q.hosts-1-peersSeen, 0), now
	return q.silentCount
}

// bucket returns the workspace's bucket, with the limit applied and the level
// updated to now.
func (q *Quotas) bucket(workspace string, limit Limit, now time.Time) *bucket {
	b, ok := q.buckets[workspace]
	if !ok {
		b = &bucket{peers: map[string]*peerUsage{}}
		q.buckets[workspace] = b
	}
	if !b.active {
		b.active = true
		b.limit, b.level, b.updatedAt = limit, q.initialLevel(limit, now), now
	}
	if b.limit != limit {
		b.level = min(b.level, limit.Burst)
		b.limit = limit
	}
	q.advance(b, now)
	return b
}

// initialLevel returns the level of a bucket that no host has used since this
// one started. Before, the whole burst may have been used by processes that were
// since restarted.
func (q *Quotas) initialLevel(limit Limit, now time.Time) float64 {
	return min(limit.Rate*now.Sub(q.startedAt).Seconds(), limit.Burst)
}

// advance adds the tokens since the last update, without the share of silent
// peers, and subtracts the projected admissions of the others.
func (q *Quotas) advance(b *bucket, now time.Time) {
	dt := now.Sub(b.updatedAt).Seconds()
	if dt <= 0 {
		return
	}
	b.updatedAt = now
	decay := math.Exp(-dt / rateTimeConstant.Seconds())
	b.meanRate *= decay
	b.askedRate *= decay
	silent := float64(q.silent(now)) / float64(max(q.hosts, 1))
	level := b.level + b.limit.Rate*dt*(1-silent)
	for _, p := range b.peers {
		if now.Sub(p.updatedAt) < maxProjection {
			use := p.Rate * dt
			p.projectedUse += use
			level -= use
		}
	}
	b.level = min(level, b.limit.Burst*(1-silent))
}

// BucketLow reports whether a workspace's bucket is so low that this host's admissions
// should be reported to the peers at once.
func (q *Quotas) BucketLow(workspace string) bool {
	b, ok := q.buckets[workspace]
	return ok && b.active && b.limit.Rate > 0 && b.level < lowLevelPart*b.limit.Burst
}

// lowLevelPart is the part of the burst below which a bucket is low.
const lowLevelPart = 0.5

// Admit takes a token for one request. When there is none, it returns false and
// the time after which to expect one. A limit with rate 0 admits everything.
//
// A host that does not know its fleet yet admits nothing: it cannot know its
// part. Until its peers' first reports have arrived, it assumes that each of them
// gets as many requests as it gets itself.
func (q *Quotas) Admit(workspace string, limit Limit, now time.Time) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	b := q.bucket(workspace, limit, now)
	b.askedRate += 1 / rateTimeConstant.Seconds()
	if q.hosts == 0 {
		return false, q.reportLag
	}
	lag := q.reportLag.Seconds()
	admitted, asked := b.peerRates(now)
	if now.Sub(q.knownAt) < 2*q.reportLag {
		asked = max(asked, b.askedRate*float64(q.hosts-1))
	}
	level := b.level - max(admitted*lag-limit.Slack, 0) // without admissions that are likely not reported yet
	if level < 1 {
		return false, refillTime(1-level, limit.Rate)
	}
	// Until the peers know of a request that this host admits now, they get
	// asked*lag requests. Together the hosts may admit the level and the tokens that
	// are added in that time, so each admits its part.
	if part := (level + limit.Rate*lag) / (asked * lag); asked*lag > 0 && q.rng.Float64() > part {
		return false, q.reportLag
	}
	b.level--
	b.admitted++
	b.meanRate += 1 / rateTimeConstant.Seconds()
	return true, 0
}

// peerRates returns the requests per second that the peers with recent reports
// admit and are asked for.
func (b *bucket) peerRates(now time.Time) (admitted, asked float64) {
	for _, p := range b.peers {
		if now.Sub(p.updatedAt) < maxProjection {
			admitted += p.Rate
			asked += p.Asked
		}
	}
	return admitted, asked
}

// ReturnToken gives back the token of a request that was not sent to any server.
func (q *Quotas) ReturnToken(workspace string) {
	if b, ok := q.buckets[workspace]; ok {
		b.level = min(b.level+1, b.limit.Burst)
		b.admitted--
	}
}

// refillTime returns the time in which the missing tokens are added at the rate.
func refillTime(missing, rate float64) time.Duration {
	return time.Duration(missing / rate * float64(time.Second))
}

// ApplyReport applies a report on one workspace by a peer, or by several peers
// together. The first report of an incarnation is only the base of the next: of
// its admissions, those that its rate tells of are subtracted, or have been as
// projected use.
func (q *Quotas) ApplyReport(peer string, incarnation int64, workspace string, r Report, limit Limit, now time.Time) {
	b := q.bucket(workspace, limit, now)
	p, ok := b.peers[peer]
	switch {
	case !ok:
		b.level -= min(r.Admitted, r.Rate*rateTimeConstant.Seconds())
	case p.incarnation == incarnation:
		b.level += p.projectedUse - max(r.Admitted-p.Admitted, 0)
	}
	b.level = min(b.level, b.limit.Burst)
	b.peers[peer] = &peerUsage{incarnation: incarnation, Report: r, updatedAt: now}
}

// minReportedRate is the rate of requests per second above which a workspace is
// reported although this host admitted none.
const minReportedRate = 0.05

// Reports returns this host's use of each workspace's quota.
func (q *Quotas) Reports(now time.Time) map[string]Report {
	out := make(map[string]Report, len(q.buckets))
	for name, b := range q.buckets {
		if !b.active {
			continue
		}
		q.advance(b, now)
		if b.admitted != 0 || b.askedRate > minReportedRate {
			out[name] = Report{Admitted: b.admitted, Rate: b.meanRate, Asked: b.askedRate}
		}
	}
	return out
}
