package jobs

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/peer"
)

// cancelDeadline is the time after the response to a cancel request from which
// no item may start and no count may change.
const cancelDeadline = 3 * time.Second

// Guards against items that start, or counts that change, more than
// cancelDeadline after a cancel request when the hosts are not notified: notices
// or heartbeats are lost, the host that received the request fails, or an owner
// is paused.
func TestCancelStopsItemsInTime(t *testing.T) {
	cases := map[string]func(c *testCluster, b *node){
		"all delivered": func(*testCluster, *node) {},
		"listing only":  func(c *testCluster, _ *node) { c.setDelivery(false, false) },
		"host fails":    func(*testCluster, *node) {}, // killed after its response
		"owner paused":  func(_ *testCluster, b *node) { b.pause() },
		"owner paused, nothing delivered": func(c *testCluster, b *node) {
			c.setDelivery(false, false)
			b.pause()
		},
		"responses lost":          func(c *testCluster, _ *node) { c.store.LoseResponses(5) },
		"heartbeat sections only": func(c *testCluster, _ *node) { c.setDelivery(false, true) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newTestCluster(t)
			c.serve = func(string) response { return response{status: 200, delay: 30 * time.Millisecond} }
			slow := func(o *Options) { o.WatchInterval, o.Discovery = time.Second, time.Second }
			a, b, by := c.start("a", slow), c.start("b", slow), c.start("c", slow)
			job := a.submit(20000, chatPath)
			time.Sleep(600 * time.Millisecond)
			fault(c, b)
			is.Equal(by.cancel(job.ID), http.StatusOK)
			answered := time.Now()
			if name == "host fails" {
				by.kill()
			}
			time.Sleep(time.Until(answered.Add(cancelDeadline)))
			counts := a.job(job.ID)
			is.Equal(counts.Status, batch.StatusCancelled)
			if strings.Contains(name, "paused") {
				b.resume()
			}
			time.Sleep(700 * time.Millisecond)
			is.Equal(a.job(job.ID).RequestCounts, counts.RequestCounts)
			is.Equal(len(a.results(counts.OutputFileID)), counts.RequestCounts.Completed)
			is.True(counts.RequestCounts.Completed > 0)
			c.mu.Lock()
			defer c.mu.Unlock()
			is.Equal(len(c.runs) < 20000, true)
			if last := c.starts[len(c.starts)-1]; last.After(answered.Add(cancelDeadline)) {
				t.Errorf("an item started %s after the cancel response", last.Sub(answered))
			}
		})
	}
}

// setDelivery sets whether peer calls and heartbeats are delivered.
func (c *testCluster) setDelivery(peers, heartbeats bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers, c.heartbeats = peers, heartbeats
}

func (n *node) cancel(id string) int {
	return n.call(testTenant, "POST", "/v1/batches/"+id+"/cancel", nil, nil).Code
}

// Guards against inconsistent responses when a cancel request arrives while the
// job ends: either the job ends as cancelled, or the request is refused and all
// items have results.
func TestCancelDuringJobEnd(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rng := rand.New(rand.NewPCG(uint64(seed), 5))
			c := newTestCluster(t)
			for _, id := range []peer.HostID{"a", "b"} {
				c.start(id, nil)
			}
			job := c.randomNode(rng).submit(900, chatPath)
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			status := c.randomNode(rng).cancel(job.ID)
			ended := c.awaitEnd(job.ID, func() *node { return c.randomNode(rng) })
			counts := ended.RequestCounts
			switch status {
			case http.StatusConflict:
				is.Equal(ended.Status, batch.StatusCompleted)
				is.Equal(counts.Completed, 900)
			default:
				is.Equal(status, http.StatusOK)
				is.Equal(ended.Status, batch.StatusCancelled)
			}
			is.Equal(len(c.randomNode(rng).results(ended.OutputFileID)), counts.Completed)
			is.Equal(c.randomNode(rng).cancel(job.ID) == http.StatusOK, ended.Status == batch.StatusCancelled)
		})
	}
}
