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

// Quotas admits requests. It is safe for concurrent use.
type Quotas struct {
	log     *slog.Logger
	cluster *cluster.Cluster
	mu      sync.Mutex
	core    *quota.Quotas
	digests int
}

// New returns quotas and registers them with the cluster.
func New(c *cluster.Cluster, logger *slog.Logger) *Quotas {
	q := &Quotas{log: logger, cluster: c, core: quota.New()}
	c.Provide(section, q.digest)
	c.Receive(section, q.received)
	c.OnChange(q.peersChanged)
	return q
}

// Admit takes a token of the workspace. When there is none it returns false
// and after which time one is likely.
func (q *Quotas) Admit(w routing.Workspace) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Admit(w.Name, quota.Limit{Rate: w.Rate, Burst: w.Burst}, time.Now())
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
	// of most digests: it has not changed for two seconds.
	idleRate = 0.05
	// fullEvery is how often a digest holds every workspace.
	fullEvery = 8
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
	for name, r := range q.core.Reports(time.Now()) {
		if r.Rate > idleRate || q.digests%fullEvery == 0 {
			out[name] = use{r.Admitted, math.Round(r.Rate*10) / 10}
		}
	}
	return out
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
	q.core.Heard(n.From.Name, now)
	for name, u := range uses {
		q.core.Reported(n.From.Name, n.From.Incarnation, name, quota.Report(u), now)
	}
}

func (q *Quotas) peersChanged() {
	peers := q.cluster.Peers()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetHosts(len(peers) + 1)
}
