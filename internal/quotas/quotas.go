// Package quotas enforces the workspaces' quotas across all hosts. It feeds
// core/quota with the usage that hosts exchange in their digests.
package quotas

import (
	"log/slog"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/quota"
	"ragwortstep/internal/core/routing"
)

// quotaSection is the digest section with the usage of quotas.
const quotaSection = "quota"

// Tolerance is how many requests above a quota may be admitted in any window,
// because reports of other hosts' admissions arrive with a delay. A part of it
// is added to the burst, so that a late report does not cause the refusal of a
// request within the quota.
type Tolerance struct {
	Window   time.Duration
	Share    float64 // fraction of what rate and burst allow in the window
	Requests float64 // fixed number of requests
}

// callerShare is the part of the tolerance that is added to the burst, and
// reportShare the part that covers admissions which are not reported yet.
const (
	callerShare = 1.0 / 3
	reportShare = 1.0 / 3
)

// limitWithTolerance returns a workspace's limit with its parts of the tolerance.
func (t Tolerance) limitWithTolerance(w routing.Workspace) quota.Limit {
	extra := t.Share*(w.Rate*t.Window.Seconds()+w.Burst) + t.Requests
	return quota.Limit{Rate: w.Rate, Burst: w.Burst + callerShare*extra, Slack: reportShare * extra}
}

// Quotas admits requests. It is safe for concurrent use.
type Quotas struct {
	log            *slog.Logger
	cluster        *cluster.Cluster
	tolerance      Tolerance
	workspaces     Workspaces
	mu             sync.Mutex
	core           *quota.Quotas
	startedAt      time.Time
	hosts          int // as set in core
	digestCount    int
	aliveCheckedAt time.Time // last time that live peers were recorded
}

// Workspaces returns a workspace of the current configuration, and false if there
// is none with the name.
type Workspaces func(name string) (routing.Workspace, bool)

// New returns a Quotas that is registered with the cluster.
func New(c *cluster.Cluster, tolerance Tolerance, workspaces Workspaces, logger *slog.Logger) *Quotas {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	now := time.Now()
	q := &Quotas{log: logger, cluster: c, tolerance: tolerance, workspaces: workspaces, startedAt: now, core: quota.New(now, rng)}
	q.core.SetReportLag(c.MeanLag())
	c.Provide(quotaSection, q.digest)
	c.Merge(quotaSection, mergeUses)
	c.Receive(quotaSection, q.receiveUses)
	c.OnChange(q.peersChanged)
	return q
}

// KnowsHosts reports whether this host knows how many hosts share the quotas. It
// admits no request of a workspace with a quota before.
func (q *Quotas) KnowsHosts() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.hosts == 0 {
		q.updateHosts(time.Now())
	}
	return q.hosts > 0
}

// Admit takes a token of the workspace. If there is none it returns false and
// the time until one is likely.
func (q *Quotas) Admit(w routing.Workspace) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, after := q.core.Admit(w.Name, q.tolerance.limitWithTolerance(w), time.Now())
	if q.core.BucketLow(w.Name) {
		q.cluster.SendSoon()
	}
	return ok, after
}

// ReturnToken gives back the token of a request that did not reach any server.
func (q *Quotas) ReturnToken(w routing.Workspace) {
	if w.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.ReturnToken(w.Name)
}

const (
	// idleRate is the rate per second below which a workspace is left out of
	// most unmerged digests, because its usage has not changed for two seconds.
	idleRate = 0.05
	// Every fullDigestEvery-th digest contains all workspaces.
	fullDigestEvery = 8
	// aliveCheckInterval is the least time between two recordings of live peers.
	// A peer that is considered dead slightly too early only lowers admissions.
	aliveCheckInterval = 50 * time.Millisecond
)

// workspaceUse is one workspace's usage in a digest.
type workspaceUse struct {
	_        struct{} `cbor:",toarray"`
	Admitted int64
	Rate     int64 // tenths of a request per second
	Asked    int64 // tenths of a request per second
}

// uses is the digest section: the usage by workspace.
type uses map[string]workspaceUse

func decodeUses(raw cluster.Raw) (uses, error) {
	out := uses{}
	err := cbor.Unmarshal(raw, &out)
	if out == nil { // null is a valid encoding
		out = uses{}
	}
	return out, err
}

// add adds usage, multiplied by sign.
func (u uses) add(other uses, sign int64) {
	for name, o := range other {
		u[name] = workspaceUse{Admitted: u[name].Admitted + sign*o.Admitted, Rate: u[name].Rate + sign*o.Rate, Asked: u[name].Asked + sign*o.Asked}
	}
}

// rateUnits is the number of units of Rate and Asked in one request per second.
const rateUnits = 10

func (q *Quotas) digest() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := uses{}
	q.digestCount++
	merged := q.cluster.MaxHops() > 1
	for name, r := range q.core.Reports(time.Now()) {
		if r.Rate > idleRate || merged || q.digestCount%fullDigestEvery == 0 {
			out[name] = workspaceUse{Admitted: int64(r.Admitted), Rate: int64(math.Round(r.Rate * rateUnits)), Asked: int64(math.Round(r.Asked * rateUnits))}
		}
	}
	return out
}

// mergeUses adds up the usage of several hosts. The sum must not decrease, so
// in a fleet with merged digests each host reports every workspace for which it
// ever admitted a request.
func mergeUses(values []cluster.Raw) (any, error) {
	sum := uses{}
	for _, raw := range values {
		u, err := decodeUses(raw)
		if err != nil {
			return nil, err
		}
		sum.add(u, 1)
	}
	return sum, nil
}

// recordAlivePeers records which peers are alive. The caller holds mu.
func (q *Quotas) recordAlivePeers(now time.Time) {
	q.aliveCheckedAt = now
	q.cluster.EachLive(q.core.Seen)
}

func (q *Quotas) receiveUses(n cluster.SectionUpdate) {
	reported, err := decodeUses(n.Raw)
	if err == nil && n.Own != nil {
		var own uses
		own, err = decodeUses(n.Own)
		reported.add(own, -1)
	}
	if err != nil {
		q.log.Warn("cannot decode quota usage of peer", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.aliveCheckedAt) >= aliveCheckInterval {
		q.recordAlivePeers(now)
	}
	for name, u := range reported {
		w, ok := q.workspaces(name)
		if !ok || w.Rate <= 0 {
			continue
		}
		report := quota.Report{Admitted: float64(u.Admitted), Rate: float64(u.Rate) / rateUnits, Asked: float64(u.Asked) / rateUnits}
		q.core.ApplyReport(n.From.Name, n.From.Incarnation, name, report, q.tolerance.limitWithTolerance(w), now)
	}
}

// membersWait is how long after the start a host waits for the list of registered
// hosts before it takes those that it has heard from for the whole fleet.
const membersWait = 3 * time.Second

func (q *Quotas) peersChanged() {
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateHosts(now)
	q.core.SetReportLag(q.cluster.MeanLag())
	q.recordAlivePeers(now)
}

// updateHosts sets the number of hosts that share the quotas, once it is known.
// The caller holds mu.
func (q *Quotas) updateHosts(now time.Time) {
	registered := q.cluster.MembersKnown()
	if !registered && now.Sub(q.startedAt) < membersWait {
		return
	}
	hosts := len(q.cluster.Peers()) + 1
	if hosts != q.hosts {
		q.log.Info("number of hosts that share quotas changed", "event", "quota_hosts", "hosts", hosts, "before", q.hosts, "registered", registered)
	}
	q.hosts = hosts
	q.core.SetHosts(hosts, now)
}
