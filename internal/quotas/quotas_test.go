package quotas

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/routing"
)

// TestHostAdmitsNothingBeforeItKnowsTheFleet guards against a host that takes
// itself for the only one until it has the list of hosts: after a restart of all
// hosts each admitted requests at the workspace's full rate.
func TestHostAdmitsNothingBeforeItKnowsTheFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, c := newQuotas()
		time.Sleep(100 * time.Millisecond) // enough for 10 requests at the full rate
		is.True(!q.KnowsHosts())
		is.Equal(admitted(q, 20), 0)
		c.SetMembers([]cluster.Member{{Name: "a", Incarnation: 1}, {Name: "b", Incarnation: 1}})
		is.True(q.KnowsHosts())
		is.True(admitted(q, 20) <= 10)
	})
}

// TestHostWithoutAListOfHostsAdmitsInTheEnd guards against refusals without end
// while the list cannot be had.
func TestHostWithoutAListOfHostsAdmitsInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q, _ := newQuotas()
		time.Sleep(membersWait)
		is.True(q.KnowsHosts())
		is.True(admitted(q, 1) == 1)
	})
}

func newQuotas() (*Quotas, *cluster.Cluster) {
	logger := slog.New(slog.DiscardHandler)
	c := cluster.New(cluster.Options{Self: cluster.Member{Name: "a", Incarnation: 1}, Logger: logger})
	workspaces := func(string) (routing.Workspace, bool) { return routing.Workspace{}, false }
	return New(c, Tolerance{}, workspaces, logger), c
}

// admitted returns how many of n requests at once are admitted.
func admitted(q *Quotas, n int) int {
	count := 0
	for range n {
		if ok, _ := q.Admit(routing.Workspace{Name: "w", Rate: 100, Burst: 100}); ok {
			count++
		}
	}
	return count
}
