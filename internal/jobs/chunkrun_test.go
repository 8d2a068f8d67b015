package jobs

import (
	"context"
	"expvar"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store/storetest"
)

// storeCalls counts the calls of all kinds, which share the platform's rate limit.
func storeCalls(f *storetest.Fake) int {
	sum := 0
	for _, op := range []string{"get", "list", "put", "delete", "watch", "hosts"} {
		sum += f.Calls(op)
	}
	return sum
}

// Guards against too many platform calls per item: at most 0.02 in a job of
// 100,000 items, with production intervals on four hosts.
func TestPlatformCallsPerItem(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			production := func(o *Options) {
				o.Workers, o.Discovery, o.WatchInterval = 0, 0, 0
				o.CommitInterval, o.FinishInterval, o.RepairInterval = 0, 0, 0
				o.RetryDelay, o.SealGrace, o.CommitRate = 0, 0, 0
			}
			for _, id := range []peer.HostID{"a", "b", "c", "d"} {
				c.start(id, production)
			}
			c.serve = func(string) response { return response{status: 200, delay: 20 * time.Millisecond} }
			const items = 100_000
			file := c.nodes["a"].upload(jsonlItems(items, path))
			before := storeCalls(c.store)
			job := decode[BatchObject](t, c.nodes["a"].postBatch(file.ID, path, ""))
			runs := 0
			for a := c.nodes["a"]; c.ctx.Err() == nil && a.registry.get(job.ID) != nil; time.Sleep(20 * time.Millisecond) {
				runs = max(runs, a.chunkLoad().claimed)
			}
			is.True(runs > 0 && runs <= 8) // only claimed chunks are in memory
			perItem := float64(storeCalls(c.store)-before) / items
			t.Logf("%.5f platform calls per item", perItem)
			is.True(perItem <= 0.02)
			is.Equal(c.nodes["a"].job(job.ID).RequestCounts.Completed, items)
		})
	}
}

// Guards against commits of slow chunks at every interval, which would raise the
// platform calls per item as servers get slower.
func TestSlowChunkCommitsSeldom(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.serve = func(string) response { return response{status: 200, delay: 25 * time.Millisecond} }
	a := c.start("a", func(o *Options) { o.Workers, o.CommitInterval = 4, 50*time.Millisecond })
	file := a.upload(jsonlItems(500, chatPath))
	before := c.store.Calls("put")
	job := decode[BatchObject](t, a.postBatch(file.ID, chatPath, ""))
	c.awaitEnd(job.ID, func() *node { return a })
	puts := c.store.Calls("put") - before
	t.Logf("%d writes for a chunk of 60 commit intervals", puts)
	is.True(puts > 8 && puts < 40)
}

// Guards against a limit of held results that the items of several chunks exceed
// together: each chunk found room for one more item before another one started its
// own.
func TestItemsOfSeveralChunksKeepTheLimitOfHeldResults(t *testing.T) {
	is := is.New(t)
	const limit, size = 64 << 10, 512
	h := newHeldResults(limit, 0, "")
	h.meanSize = size
	var ended sync.WaitGroup
	for range 64 {
		ended.Go(func() {
			for h.startItem() {
				runtime.Gosched() // the item runs
				h.reserve(size)
				h.endItem()
			}
		})
	}
	ended.Wait()
	is.Equal(h.memory, int64(limit))
	is.Equal(h.running, int64(0))
}

// Guards against repeated items, lost results and exceeded limits in a platform
// outage: results are held in memory or on disk, no item starts at the limit,
// and the results are committed when the platform recovers.
func TestResultsHeldDuringOutage(t *testing.T) {
	for name, folder := range map[string]string{"memory": "", "disk": t.TempDir()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			c.serve = func(string) response { return response{status: 200, delay: 20 * time.Millisecond} }
			const limit = 16 << 10
			a := c.start("a", func(o *Options) { o.HeldBytes, o.HeldDiskBytes, o.DataFolder = limit, limit, folder })
			job := a.submit(4000, chatPath)
			c.awaitRuns(520, 4000)
			c.store.SetDown(true)
			for c.ctx.Err() == nil && !(a.held.full() && a.slots.inUse() == 0) {
				time.Sleep(time.Millisecond)
			}
			runsAtLimit := c.itemRuns()
			time.Sleep(300 * time.Millisecond)
			is.Equal(c.itemRuns(), runsAtLimit)
			a.held.mu.Lock()
			memory, disk := a.held.memory, a.held.disk
			a.held.mu.Unlock()
			t.Logf("held %d bytes in memory, %d on disk", memory, disk)
			is.True(memory+disk > limit/2 && memory+disk <= limit)
			is.Equal(disk > 0, folder != "")
			rec := a.postBatch("file-"+strings.Repeat("0", 32), chatPath, "")
			is.Equal(rec.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(rec.Body.String(), "platform_unavailable"))
			is.Equal(rec.Header().Get(headerExecuted), "no")
			c.store.SetDown(false)
			ended := c.awaitEnd(job.ID, func() *node { return a })
			a.checkOneResultPerItem(ended, 4000)
			is.Equal(c.itemRuns(), 4000)
		})
	}
}

// Guards against items that are retried forever or block others: failing, hanging
// and refused items end with their error after their attempts, and preemption
// uses no attempt.
func TestItemOutcomes(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	preempted := map[string]int{}
	c.serve = func(id string) response {
		switch id {
		case "i1":
			return response{status: 500}
		case "i2":
			return response{status: 200, delay: time.Hour}
		case "i3":
			return response{err: &dispatch.RefusedError{Status: 422, Code: "request_quarantined", Executed: dispatch.ExecutedNo}}
		case "i4":
			if preempted[id]++; preempted[id] < 8 {
				return response{err: errors.Wrap(errPreempted, "yielded")}
			}
		case "i5":
			return response{status: 400}
		case "i6":
			return response{err: errors.New("connection reset")}
		}
		return response{status: 200}
	}
	a := c.start("a", func(o *Options) { o.ItemTimeout = 100 * time.Millisecond })
	ended := c.awaitEnd(a.submit(40, chatPath).ID, func() *node { return a })
	output, failed := a.checkOneResultPerItem(ended, 40)
	is.Equal(len(output), 35)
	is.Equal(failed["i1"].Response.Status, 500)
	is.Equal(failed["i2"].Error.Code, "request_failed")
	is.Equal(failed["i3"].Error.Code, "request_quarantined")
	is.Equal(failed["i5"].Response.Status, 400)
	is.Equal(failed["i6"].Error.Code, "request_failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal([]int{c.runs["i1"], c.runs["i2"], c.runs["i3"], c.runs["i5"], c.runs["i6"]}, []int{3, 3, 0, 1, 3})
	is.Equal(c.runs["i4"], 8)
}

// Guards against an item that is given up because servers crashed under it, for
// example several times in a burst of crashes: its losses use up no attempt, so it
// is sent again until it completes. An item whose attempts fail for another reason
// still ends.
func TestItemUnderCrashingServersIsStillOwed(t *testing.T) {
	const maxItemAttempts = 3 // the default
	is := is.New(t)
	c := newTestCluster(t)
	losses := map[string]int{}
	c.serve = func(id string) response {
		switch losses[id]++; {
		case id == "i1" && losses[id] <= 3*maxItemAttempts:
			return response{err: &dispatch.RefusedError{Status: 502, Code: "server_failed", Executed: dispatch.ExecutedUnknown, Unanswered: 2, ServerLost: true}}
		case id == "i2":
			return response{err: &dispatch.RefusedError{Status: 504, Code: "server_silent", Executed: dispatch.ExecutedUnknown, Unanswered: 1}}
		}
		return response{status: 200}
	}
	a := c.start("a", nil)
	ended := c.awaitEnd(a.submit(20, chatPath).ID, func() *node { return a })
	output, failed := a.checkOneResultPerItem(ended, 20)
	is.Equal(len(output), 19)
	is.Equal(failed["i2"].Error.Code, "server_silent")
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(losses["i1"], 3*maxItemAttempts+1)
	is.Equal(losses["i2"], maxItemAttempts)
}

// Guards against a host that starts items or commits results while its freshness
// lease has lapsed.
func TestNoWorkWithLapsedLease(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.serve = func(string) response { return response{status: 200, delay: 5 * time.Millisecond} }
	a := c.start("a", nil)
	job := a.submit(3000, chatPath)
	c.awaitRuns(500, 3000)
	a.setLapsed(true)
	time.Sleep(150 * time.Millisecond)
	itemRuns, puts := c.itemRuns(), c.store.Calls("put")
	time.Sleep(400 * time.Millisecond)
	is.Equal(c.itemRuns(), itemRuns)
	is.Equal(c.store.Calls("put"), puts)
	a.setLapsed(false)
	a.checkOneResultPerItem(c.awaitEnd(job.ID, func() *node { return a }), 3000)
	is.Equal(c.itemRuns(), 3000)
}

// Guards against a graceful shutdown that interrupts or repeats items, or leaves
// chunks unreleased so that the next owner must wait for them.
func TestCloseDoesNotRepeatItems(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			c.serve = func(string) response { return response{status: 200, delay: 5 * time.Millisecond} }
			a, b := c.start("a", nil), c.start("b", nil)
			job := b.submit(3000, path)
			c.awaitRuns(500, 3000)
			is.NoErr(a.Close(c.ctx))
			a.kill()
			ended := c.awaitEnd(job.ID, func() *node { return b })
			is.Equal(ended.Status, batch.StatusCompleted)
			b.checkOneResultPerItem(ended, 3000)
			is.Equal(ended.RequestCounts.Completed, 3000)
			is.Equal(c.itemRuns(), 3000)
		})
	}
}

// Guards against a shutdown that waits for a hanging item beyond its deadline, or
// loses the results of other items.
func TestCloseInterruptsHangingItems(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newTestCluster(t)
			c.serve = func(id string) response {
				if id == "i3" && c.runs[id] == 0 {
					return response{status: 200, delay: time.Hour}
				}
				return response{status: 200}
			}
			a := c.start("a", func(o *Options) { o.CommitInterval = time.Hour })
			job := a.submit(300, path)
			for c.itemRuns() < 300 {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
			defer cancel()
			began := time.Now()
			is.NoErr(a.Close(ctx))
			is.True(time.Since(began) < 10*time.Second)
			a.kill()
			b := c.start("b", nil)
			_, failed := b.checkOneResultPerItem(c.awaitEnd(job.ID, func() *node { return b }), 300)
			if path == payPath {
				is.Equal(failed["i3"].Error.Code, "outcome_unknown")
				is.Equal(c.itemRuns(), 300)
				return
			}
			is.Equal(len(failed), 0)
			is.Equal(c.itemRuns(), 301)
		})
	}
}

// Guards against results that are not committed until a hanging item ends. They
// must be committed when no further results are added.
func TestHangingItemDoesNotDelayCommits(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	const interval = time.Second
	c.serve = func(id string) response {
		switch {
		case id == "i3":
			return response{status: 200, delay: time.Hour}
		case strings.HasPrefix(id, "i9"): // 11 items, too few for a commit at the next interval
			return response{status: 200, delay: 3 * interval / 2}
		}
		return response{status: 200}
	}
	a := c.start("a", func(o *Options) { o.CommitInterval, o.ItemTimeout, o.Workers = interval, time.Minute, 64 })
	puts := func() int64 { return counters.Get("chunk_puts").(*expvar.Int).Value() }
	counters.Add("chunk_puts", 0)
	before := puts()
	job := a.submit(100, chatPath)
	began := time.Now()
	for a.job(job.ID).RequestCounts.Completed < 99 {
		if time.Since(began) > 3*interval+sampleTTL {
			t.Fatalf("after %s: %+v", time.Since(began), a.job(job.ID).RequestCounts)
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(puts()-before <= 4) // the claim, one commit at the interval, and one after each of two pauses without results
}

// Guards against more sends of an item than MaxAttempts: the dispatcher's retries
// within an attempt count, and the attempts left bound them.
func TestDispatcherSendsCountAsAttempts(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	c.serve = func(id string) response {
		if id == "i3" {
			return response{err: &dispatch.RefusedError{Status: 502, Code: "server_failed", Executed: dispatch.ExecutedUnknown, Unanswered: 2}}
		}
		return response{status: 200}
	}
	a := c.start("a", nil)
	ended := c.awaitEnd(a.submit(10, chatPath).ID, func() *node { return a })
	_, failed := a.checkOneResultPerItem(ended, 10)
	is.Equal(failed["i3"].Error.Code, "server_failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(c.runs["i3"], 2)                 // attempts with 2 sends and 1 send, 3 in all
	is.Equal(c.unanswered["i3"], []int{3, 1}) // MaxUnanswered of each attempt
}
