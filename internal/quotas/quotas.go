// Package quotas shares the use of the workspaces' quotas among all hosts. It
// drives core/quota with the digests of the cluster.
package quotas

import (
	"encoding/json"
	"log/slog"
	"math"
	"sync"
	"time"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/quota"
	"ragwortstep/internal/core/routing"
)

// section is the part of the digests with the use of quotas.
const section = "quota"

// Tolerance is what is allowed above a quota in any window, because hosts hear
// of each other's admissions late. A part of it is given to the callers, so
// that a late report does not refuse a request inside the quota.
type Tolerance struct {
	Window   time.Duration
	Share    float64 // of what rate and burst allow in the window
	Requests float64
}

// givenPart is the part of the tolerance that is given to callers. The rest
// covers admissions that are not reported yet, and restarts of all hosts, each
// of which may begin with the given part once more.
const givenPart = 1.0 / 3

// limit is a workspace's limit with the given part of the tolerance.
func (t Tolerance) limit(w routing.Workspace) quota.Limit {
	extra := t.Share*(w.Rate*t.Window.Seconds()+w.Burst) + t.Requests
	return quota.Limit{Rate: w.Rate, Burst: w.Burst + givenPart*extra}
}

// Quotas admits requests. It is safe for concurrent use.
type Quotas struct {
	log       *slog.Logger
	cluster   *cluster.Cluster
	tolerance Tolerance
	mu        sync.Mutex
	core      *quota.Quotas
	digests   int
	heardAt   time.Time // last look at which peers are alive
}

// New returns quotas and registers them with the cluster.
func New(c *cluster.Cluster, tolerance Tolerance, logger *slog.Logger) *Quotas {
	q := &Quotas{log: logger, cluster: c, tolerance: tolerance, core: quota.New(time.Now())}
	c.Provide(section, q.digest)
	c.Merge(section, mergeUses)
	c.Receive(section, q.received)
	c.OnChange(q.peersChanged)
	return q
}

// Admit takes a token of the workspace. When there is none it returns false
// and after which time one is likely.
func (q *Quotas) Admit(w routing.Workspace) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, after := q.core.Admit(w.Name, q.tolerance.limit(w), time.Now())
	if q.core.Low(w.Name) {
		q.cluster.Soon()
	}
	return ok, after
}

// Return gives back the token of a request that reached no server.
func (q *Quotas) Return(w routing.Workspace) {
	if w.Rate <= 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Return(w.Name)
}

const (
	// idleRate is the rate per second under which a workspace's use is left out
	// of most digests that are not merged: it has not changed for two seconds.
	idleRate = 0.05
	// fullEvery is how often a digest holds every workspace.
	fullEvery = 8
	// heardGap is the least time between looks at which peers are alive. A
	// host that takes them for silent a little earlier admits less.
	heardGap = 50 * time.Millisecond
)

// use is one workspace's part of a digest.
type use struct {
	Admitted float64 `json:"n"`
	Rate     float64 `json:"r,omitempty"` // per second
}

func (q *Quotas) digest() any {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]use{}
	q.digests++
	merged := q.cluster.Hops() > 1
	for name, r := range q.core.Reports(time.Now()) {
		if r.Rate > idleRate || merged || q.digests%fullEvery == 0 {
			out[name] = use{r.Admitted, math.Round(r.Rate*10) / 10}
		}
	}
	return out
}

// mergeUses adds up the uses of several hosts. Every host's digest holds all
// workspaces that it ever admitted for, since a sum must not shrink.
func mergeUses(values []json.RawMessage) (any, error) {
	sum := map[string]use{}
	for _, raw := range values {
		var uses map[string]use
		if err := json.Unmarshal(raw, &uses); err != nil {
			return nil, err
		}
		for name, u := range uses {
			sum[name] = use{sum[name].Admitted + u.Admitted, sum[name].Rate + u.Rate}
		}
	}
	return sum, nil
}

// heard notes which peers are alive. The caller holds mu.
func (q *Quotas) heard(now time.Time) {
	q.heardAt = now
	for _, p := range q.cluster.Peers() {
		if p.Alive(now) {
			q.core.Heard(p.Name, p.Heard)
		}
	}
}

func (q *Quotas) received(n cluster.News) {
	var uses map[string]use
	if err := json.Unmarshal(n.Raw, &uses); err != nil {
		q.log.Warn("peer's quota use not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if now.Sub(q.heardAt) >= heardGap {
		q.heard(now)
	}
	for name, u := range uses {
		q.core.Reported(n.From.Name, n.From.Incarnation, name, quota.Report(u), now)
	}
}

func (q *Quotas) peersChanged() {
	peers, now := q.cluster.Peers(), time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetHosts(len(peers) + 1)
	q.heard(now)
}
