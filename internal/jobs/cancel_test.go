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

// cancelBound is the time after the answer to a cancel request from which no
// item may start and no count may change.
const cancelBound = 3 * time.Second

// Guards against items that start, or counts that change, later than the
// bound after a cancel request, when each way of telling the hosts fails: the
// notices, the heartbeats, or the host that answered.
func TestCancelStopsTheJob(t *testing.T) {
	cases := map[string]func(c *cluster, b *node){
		"all ways":     func(*cluster, *node) {},
		"listing only": func(c *cluster, _ *node) { c.deliver(false, false) },
		"host dies":    func(*cluster, *node) {}, // killed after its answer
		"owner paused": func(_ *cluster, b *node) { b.pause() },
		"paused and cut off": func(c *cluster, b *node) {
			c.deliver(false, false)
			b.pause()
		},
		"answers lost":  func(c *cluster, _ *node) { c.store.LoseAnswers(5) },
		"only sections": func(c *cluster, _ *node) { c.deliver(false, true) },
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t)
			c.serve = func(string) answer { return answer{status: 200, delay: 30 * time.Millisecond} }
			slow := func(o *Options) { o.WatchInterval, o.Discovery = time.Second, time.Second }
			a, b, by := c.start("a", slow), c.start("b", slow), c.start("c", slow)
			job := a.submit(20000, chatPath)
			time.Sleep(600 * time.Millisecond)
			fault(c, b)
			is.Equal(by.cancel(job.ID), http.StatusOK)
			answered := time.Now()
			if name == "host dies" {
				by.kill()
			}
			time.Sleep(time.Until(answered.Add(cancelBound)))
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
			if last := c.starts[len(c.starts)-1]; last.After(answered.Add(cancelBound)) {
				t.Errorf("an item started %s after the answer", last.Sub(answered))
			}
		})
	}
}

// deliver chooses whether peer calls and heartbeats arrive.
func (c *cluster) deliver(peers, beats bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers, c.beats = peers, beats
}

func (n *node) cancel(id string) int {
	return n.call(testTenant, "POST", "/v1/batches/"+id+"/cancel", nil, nil).Code
}

// Guards against contradicting answers when a cancel request meets the end of
// the job: it ends cancelled, or the request is refused and all items have results.
func TestCancelRacesWithTheEnd(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rng := rand.New(rand.NewPCG(uint64(seed), 5))
			c := newCluster(t)
			for _, id := range []peer.HostID{"a", "b"} {
				c.start(id, nil)
			}
			job := c.anyNode(rng).submit(900, chatPath)
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			status := c.anyNode(rng).cancel(job.ID)
			ended := c.await(job.ID, func() *node { return c.anyNode(rng) })
			counts := ended.RequestCounts
			switch status {
			case http.StatusConflict:
				is.Equal(ended.Status, batch.StatusCompleted)
				is.Equal(counts.Completed, 900)
			default:
				is.Equal(status, http.StatusOK)
				is.Equal(ended.Status, batch.StatusCancelled)
			}
			is.Equal(len(c.anyNode(rng).results(ended.OutputFileID)), counts.Completed)
			is.Equal(c.anyNode(rng).cancel(job.ID) == http.StatusOK, ended.Status == batch.StatusCancelled)
		})
	}
}
