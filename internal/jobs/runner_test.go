package jobs

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// storeCalls counts all calls, as the platform's rate limit does.
func storeCalls(f *storetest.Fake) int {
	sum := 0
	for _, op := range []string{"get", "list", "put", "delete", "watch", "hosts"} {
		sum += f.Calls(op)
	}
	return sum
}

// Guards against platform calls that grow with the items: at most 0.02 per
// item on a job of 100,000, with production intervals on four hosts.
func TestPlatformCallsPerItem(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			production := func(o *Options) {
				o.Workers, o.Discovery, o.WatchInterval = 0, 0, 0
				o.CommitInterval, o.FinishInterval, o.RepairInterval = 0, 0, 0
				o.RetryDelay, o.SealGrace, o.CommitRate = 0, 0, 0
			}
			for _, id := range []peer.HostID{"a", "b", "c", "d"} {
				c.start(id, production)
			}
			c.serve = func(string) answer { return answer{status: 200, delay: 20 * time.Millisecond} }
			const items = 100_000
			file := c.nodes["a"].upload(jsonl(items, path))
			before := storeCalls(c.store)
			job := decode[BatchObject](t, c.nodes["a"].createRaw(file.ID, path, ""))
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

// Guards against commits of slow chunks at every interval, which would cost
// more calls per item the slower the servers are.
func TestSlowChunkCommitsSeldom(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.serve = func(string) answer { return answer{status: 200, delay: 25 * time.Millisecond} }
	a := c.start("a", func(o *Options) { o.Workers, o.CommitInterval = 4, 50*time.Millisecond })
	file := a.upload(jsonl(500, chatPath))
	before := c.store.Calls("put")
	job := decode[BatchObject](t, a.createRaw(file.ID, chatPath, ""))
	c.await(job.ID, func() *node { return a })
	puts := c.store.Calls("put") - before
	t.Logf("%d writes for a chunk of 60 commit intervals", puts)
	is.True(puts > 8 && puts < 40)
}

// discard is a store that keeps no values above 64 KB, to measure what an
// upload keeps itself.
type discard struct{ store.Store }

func (d discard) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if strings.Contains(key, "/part/") {
		value = nil
	}
	return d.Store.Put(ctx, key, value, v)
}

// lineSource generates a JSONL file while it is read.
type lineSource struct {
	items, next int
	rest        []byte
}

func (l *lineSource) Read(p []byte) (int, error) {
	if len(l.rest) == 0 {
		if l.next == l.items {
			return 0, io.EOF
		}
		l.rest = fmt.Appendf(nil, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","text":%q}}`+"\n",
			l.next, chatPath, strings.Repeat("word ", 20))
		l.next++
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// uploadPeak returns the largest growth of the live heap during an upload.
func uploadPeak(t *testing.T, items int) int64 {
	is := is.New(t)
	s := New(Options{Store: discard{storetest.New()}})
	var stats runtime.MemStats
	live := func() int64 {
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	base, peak := live(), int64(0)
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak = max(peak, live())
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	meta, err := s.storeFile(t.Context(), testTenant, "big", &lineSource{items: items})
	close(stop)
	sampler.Wait()
	is.NoErr(err)
	is.Equal(meta.Items, items)
	t.Logf("%d items, %d KB, live heap grew by %d KB", items, meta.Bytes>>10, (peak-base)>>10)
	return peak - base
}

// Guards against an upload that keeps a file in memory: beyond a fixed amount
// it may grow by a hash of 16 bytes per item, in a table with free places.
func TestUploadMemory(t *testing.T) {
	uploadPeak(t, 20_000) // fills the shared encoders
	small, large := uploadPeak(t, 20_000), uploadPeak(t, 120_000)
	if growth := large - small; growth > 100_000*48 {
		t.Errorf("memory grows by %d bytes per item", growth/100_000)
	}
}

// Guards against items that run again, or results that are lost or exceed
// their limit, in an outage: they are held in memory or on disk, no item
// starts when the limit is reached, and commits follow when the platform is back.
func TestOutageHoldsResults(t *testing.T) {
	for name, folder := range map[string]string{"memory": "", "disk": t.TempDir()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.serve = func(string) answer { return answer{status: 200, delay: 20 * time.Millisecond} }
			const limit = 16 << 10
			a := c.start("a", func(o *Options) { o.HeldBytes, o.HeldDiskBytes, o.DataFolder = limit, limit, folder })
			job := a.submit(4000, chatPath)
			c.awaitRuns(520, 4000)
			c.store.SetDown(true)
			for c.ctx.Err() == nil && !(a.held.full(0) && a.slots.inUse() == 0) {
				time.Sleep(time.Millisecond)
			}
			stalled := c.ran()
			time.Sleep(300 * time.Millisecond)
			is.Equal(c.ran(), stalled)
			a.held.mu.Lock()
			memory, disk := a.held.memory, a.held.disk
			a.held.mu.Unlock()
			t.Logf("held %d bytes in memory, %d on disk", memory, disk)
			is.True(memory+disk > limit/2 && memory+disk <= limit)
			is.Equal(disk > 0, folder != "")
			rec := a.createRaw("file-"+strings.Repeat("0", 32), chatPath, "")
			is.Equal(rec.Code, http.StatusServiceUnavailable)
			is.True(strings.Contains(rec.Body.String(), "platform_unavailable"))
			is.Equal(rec.Header().Get(headerExecuted), "no")
			c.store.SetDown(false)
			ended := c.await(job.ID, func() *node { return a })
			a.checkAll(ended, 4000)
			is.Equal(c.ran(), 4000)
		})
	}
}

// awaitRuns waits until some items have run, and fails when all have, because
// the fault that follows would then hit nothing.
func (c *cluster) awaitRuns(some, all int) {
	c.t.Helper()
	for c.ran() < some && c.ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if n := c.ran(); n < some || n > all/2 {
		c.t.Fatalf("%d of %d items have run", n, all)
	}
}

// ran returns the number of runs of all items.
func (c *cluster) ran() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.starts)
}

// Guards against items that run without end or block others: failing, hanging
// and refused items end after their attempts with their reason, and a
// preempted item loses no attempt.
func TestItemOutcomes(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	preempted := map[string]int{}
	c.serve = func(id string) answer {
		switch id {
		case "i1":
			return answer{status: 500}
		case "i2":
			return answer{status: 200, delay: time.Hour}
		case "i3":
			return answer{err: &dispatch.RefusedError{Status: 422, Code: "request_quarantined", Executed: dispatch.ExecutedNo}}
		case "i4":
			if preempted[id]++; preempted[id] < 8 {
				return answer{err: errors.Wrap(errPreempted, "yielded")}
			}
		case "i5":
			return answer{status: 400}
		case "i6":
			return answer{err: errors.New("connection reset")}
		}
		return answer{status: 200}
	}
	a := c.start("a", func(o *Options) { o.ItemTimeout = 100 * time.Millisecond })
	ended := c.await(a.submit(40, chatPath).ID, func() *node { return a })
	output, failed := a.checkAll(ended, 40)
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

// Guards against work by a host whose freshness lease has lapsed: it starts
// no item and commits nothing until the lease holds again.
func TestLapsedLease(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.serve = func(string) answer { return answer{status: 200, delay: 5 * time.Millisecond} }
	a := c.start("a", nil)
	job := a.submit(3000, chatPath)
	c.awaitRuns(500, 3000)
	a.setLapsed(true)
	time.Sleep(150 * time.Millisecond)
	ran, puts := c.ran(), c.store.Calls("put")
	time.Sleep(400 * time.Millisecond)
	is.Equal(c.ran(), ran)
	is.Equal(c.store.Calls("put"), puts)
	a.setLapsed(false)
	a.checkAll(c.await(job.ID, func() *node { return a }), 3000)
	is.Equal(c.ran(), 3000)
}

func (n *node) setLapsed(lapsed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lapsed = lapsed
}

// Guards against a graceful shutdown that interrupts or repeats items, or
// leaves chunks that the next owner must wait for.
func TestCloseRepeatsNothing(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.serve = func(string) answer { return answer{status: 200, delay: 5 * time.Millisecond} }
			a, b := c.start("a", nil), c.start("b", nil)
			job := b.submit(3000, path)
			c.awaitRuns(500, 3000)
			is.NoErr(a.Close(c.ctx))
			a.kill()
			ended := c.await(job.ID, func() *node { return b })
			is.Equal(ended.Status, batch.StatusCompleted)
			b.checkAll(ended, 3000)
			is.Equal(ended.RequestCounts.Completed, 3000)
			is.Equal(c.ran(), 3000)
		})
	}
}

// Guards against a shutdown that waits for a hanging item beyond its limit, or
// loses the results of the others.
func TestCloseInterruptsHangingItems(t *testing.T) {
	for _, path := range []string{chatPath, payPath} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.serve = func(id string) answer {
				if id == "i3" && c.runs[id] == 0 {
					return answer{status: 200, delay: time.Hour}
				}
				return answer{status: 200}
			}
			a := c.start("a", func(o *Options) { o.CommitInterval = time.Hour })
			job := a.submit(300, path)
			for c.ran() < 300 {
				time.Sleep(time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(c.ctx, 100*time.Millisecond)
			defer cancel()
			began := time.Now()
			is.NoErr(a.Close(ctx))
			is.True(time.Since(began) < 10*time.Second)
			a.kill()
			b := c.start("b", nil)
			_, failed := b.checkAll(c.await(job.ID, func() *node { return b }), 300)
			if path == payPath {
				is.Equal(failed["i3"].Error.Code, "outcome_unknown")
				is.Equal(c.ran(), 300)
				return
			}
			is.Equal(len(failed), 0)
			is.Equal(c.ran(), 301)
		})
	}
}

// Guards against expired jobs and files that stay, and against the removal of
// those that have not expired.
func TestRetention(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	var skew atomic.Int64
	a := c.start("a", func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	})
	ended := c.await(a.submit(600, chatPath).ID, func() *node { return a })
	for a.registry.get(ended.ID) != nil {
		time.Sleep(5 * time.Millisecond)
	}
	is.NoErr(a.removeExpired(c.ctx))
	a.checkAll(ended, 600)
	skew.Store(int64(721 * time.Hour))
	is.NoErr(a.removeExpired(c.ctx))
	page, err := c.store.List(c.ctx, "", "", 0)
	is.NoErr(err)
	for _, obj := range page.Objects {
		t.Errorf("object %s is left", obj.Key)
	}
}

// Guards against a workspace without tokens, or one whose items are slow, that
// keeps another one's job from running.
func TestWorkspacesDoNotBlockEachOther(t *testing.T) {
	for _, fault := range []string{"no tokens", "slow items"} {
		t.Run(fault, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			if fault == "no tokens" {
				c.rate = func(workspace string) error {
					if workspace == "greedy" {
						return &limiter.RefusedError{Workspace: workspace, RetryAfter: 50 * time.Millisecond}
					}
					return nil
				}
			} else {
				c.serve = func(string) answer {
					if len(c.starts) < 28 { // all slots but the reserve
						return answer{status: 200, delay: time.Hour}
					}
					return answer{status: 200}
				}
			}
			a := c.start("a", nil)
			for range 4 {
				a.submitAs("greedy", 3000, chatPath)
			}
			for fault == "slow items" && c.ran() < 28 {
				time.Sleep(time.Millisecond)
			}
			job := a.submit(190, chatPath)
			is.Equal(c.await(job.ID, func() *node { return a }).RequestCounts.Completed, 190)
		})
	}
}

// Guards against slots that stay idle while only one workspace has items, a
// workspace that takes all of them, and more items in flight than allowed.
func TestSlots(t *testing.T) {
	is := is.New(t)
	s := newSlots(16)
	half := func() float64 { return 0.5 }
	tryFor := func(workspace string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		return s.acquire(ctx, workspace, half)
	}
	for range 14 {
		is.NoErr(tryFor("a"))
	}
	is.True(tryFor("a") != nil)
	is.NoErr(tryFor("b"))
	is.NoErr(tryFor("b"))
	is.True(tryFor("b") != nil)
	waited := make(chan error)
	go func() { waited <- s.acquire(t.Context(), "b", half) }()
	s.release("a")
	is.NoErr(<-waited)
	is.Equal(s.inUse(), 16)
}

// Guards against all hosts writing at once when the platform comes back, and
// against pauses when there was no outage.
func TestCommitsArePacedAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := &pacer{interval: 50 * time.Millisecond, now: func() time.Time { return now }}
	for range 100 {
		is.Equal(p.reserve(), time.Duration(0))
	}
	p.recordFailure()
	var last time.Duration
	for range 100 {
		last = p.reserve()
	}
	is.True(last > 4*time.Second && last < 6*time.Second) // 20 commits per second
	now = now.Add(recoveryPeriod + time.Second)
	is.Equal(p.reserve(), time.Duration(0))
}

// Guards against a zone without hosts that watch for cancellations, and one
// in which all hosts list the jobs every second.
func TestWatchers(t *testing.T) {
	is := is.New(t)
	v := fleet.View{Alive: map[peer.HostID]bool{}}
	for _, host := range []peer.HostID{"a", "b", "c", "d"} {
		v.Members = append(v.Members, fleet.Member{Host: host, Zone: "z"})
		v.Alive[host] = host != "b"
	}
	v.Members = append(v.Members, fleet.Member{Host: "e", Zone: "y"})
	v.Alive["e"] = true
	for host, want := range map[peer.HostID]bool{"a": true, "b": false, "c": true, "d": false, "e": true, "new": false} {
		v.Self = host
		is.Equal(isWatcher(v), want)
	}
}

// Guards against sizes that change on their way through the platform.
func TestSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := partSizes(rapid.SliceOf(rapid.IntRange(0, 3)).Draw(t, "sizes"))
		raw, err := json.Marshal(in)
		var out partSizes
		if err != nil || json.Unmarshal(raw, &out) != nil || !slices.Equal(in, out) {
			t.Fatalf("%v became %v by %s", in, out, raw)
		}
	})
}

// Guards against results that wait for an item that does not end: they are to
// be committed when no further ones come, not with the last one.
func TestResultsDoNotWaitForAHangingItem(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	const interval = time.Second
	c.serve = func(id string) answer {
		switch {
		case id == "i3":
			return answer{status: 200, delay: time.Hour}
		case strings.HasPrefix(id, "i9"): // 11 items, too few for a commit at the next interval
			return answer{status: 200, delay: 3 * interval / 2}
		}
		return answer{status: 200}
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
	is.True(puts()-before <= 4) // the claim, and a commit at the interval and at each pause of the results
}

// Guards against more sends of an item than its attempts: what the dispatcher
// repeats within an attempt counts, and it may not repeat beyond what is left.
func TestSendsWithinAnAttemptCount(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.serve = func(id string) answer {
		if id == "i3" {
			return answer{err: &dispatch.RefusedError{Status: 502, Code: "server_failed", Executed: dispatch.ExecutedUnknown, Unanswered: 2}}
		}
		return answer{status: 200}
	}
	a := c.start("a", nil)
	ended := c.await(a.submit(10, chatPath).ID, func() *node { return a })
	_, failed := a.checkAll(ended, 10)
	is.Equal(failed["i3"].Error.Code, "server_failed")
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(c.runs["i3"], 2)                 // 2 sends and, of the 3 allowed, one more
	is.Equal(c.unanswered["i3"], []int{3, 1}) // allowed in each attempt
}
