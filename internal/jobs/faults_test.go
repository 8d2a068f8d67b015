package jobs

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/peer"
)

// TestMain fails the package when any test violated an invariant.
func TestMain(m *testing.M) {
	status := m.Run()
	fmt.Println("counters:", counters.String())
	if v := expvar.Get("invariant_violations").String(); v != "{}" && status == 0 {
		fmt.Println("invariants violated:", v)
		status = 1
	}
	os.Exit(status)
}

// seedCount returns the number of seeds of each randomized test. The environment
// variable JOBS_SEEDS overrides it.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("JOBS_SEEDS")); err == nil {
		return n
	}
	return 6
}

// injectFaults applies random faults until stop is closed, then ends the outage
// and the loss of responses.
func (c *testCluster) injectFaults(rng *rand.Rand, change func(*Options), stop chan struct{}) {
	defer c.store.SetDown(false)
	defer c.store.LoseResponses(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		switch n := c.randomNode(rng); rng.IntN(5) {
		case 0:
			n.kill()
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			c.start(n.id, change)
		case 1:
			n.pause()
			time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
			n.resume()
		case 2:
			c.store.LoseResponses(1 + rng.IntN(4))
		case 3:
			c.store.SetDown(true)
			time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
			c.store.SetDown(false)
		case 4:
			c.killDuringWrite(n, rng, change)
		}
	}
}

// killDuringWrite kills the host right before or after its next write of a chunk,
// segment or manifest, and starts a new incarnation.
func (c *testCluster) killDuringWrite(n *node, rng *rand.Rand, change func(*Options)) {
	op := []string{"put", "stored"}[rng.IntN(2)]
	part := []string{"/chunk/", "/seg/", "/manifest"}[rng.IntN(3)]
	var hit atomic.Bool
	n.mu.Lock()
	n.storeHook = func(at, key string) {
		if at == op && strings.Contains(key, part) && hit.CompareAndSwap(false, true) {
			n.stop()
		}
	}
	n.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	n.kill()
	c.start(n.id, change)
}

func (c *testCluster) randomNode(rng *rand.Rand) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	pick := rng.IntN(len(c.nodes))
	for _, id := range []peer.HostID{"a", "b", "c"} {
		if n := c.nodes[id]; n != nil {
			if pick == 0 {
				return n
			}
			pick--
		}
	}
	return nil
}

// retryCreate sends a create request to random hosts until one accepts it.
func (c *testCluster) retryCreate(rng *rand.Rand, file, path, key string) BatchObject {
	for c.ctx.Err() == nil {
		rec := c.randomNode(rng).postBatch(file, path, key)
		if rec.Code == http.StatusOK {
			return decode[BatchObject](c.t, rec)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("job not accepted")
	return BatchObject{}
}

func isFailingItem(id string) bool { return strings.HasSuffix(id, "77") }

// Guards against lost or duplicate results, duplicate jobs of a repeated create
// request, and jobs that never end, under host crashes, pauses, lost responses
// and outages. Items whose id ends in 77 always fail.
func TestExactlyOnceUnderFaults(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(seed), 1))
			c := newTestCluster(t)
			c.serve = func(id string) response {
				if isFailingItem(id) {
					return response{status: 500}
				}
				return response{status: 200, delay: 40 * time.Millisecond}
			}
			for _, id := range []peer.HostID{"a", "b", "c"} {
				c.start(id, nil)
			}
			const items = 4000
			file := c.randomNode(rng).upload(jsonlItems(items, chatPath))
			stop, faultsEnded := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(faultsEnded)
				c.injectFaults(rand.New(rand.NewPCG(uint64(seed), 2)), nil, stop)
			}()
			job := c.retryCreate(rng, file.ID, chatPath, "key")
			time.Sleep(1500 * time.Millisecond)
			if again := c.retryCreate(rng, file.ID, chatPath, "key"); again.ID != job.ID {
				t.Errorf("repeated create request returned id %s, the first returned %s", again.ID, job.ID)
			}
			close(stop)
			<-faultsEnded
			ended := c.awaitEnd(job.ID, func() *node { return c.randomNode(rng) })
			output, failed := c.randomNode(rng).checkOneResultPerItem(ended, items)
			for id := range output {
				if isFailingItem(id) {
					t.Errorf("item %s succeeded", id)
				}
			}
			for id, line := range failed {
				if !isFailingItem(id) && (line.Error == nil || line.Error.Code != "attempts_exhausted") {
					t.Errorf("item %s failed: %+v", id, line.Error)
				}
			}
		})
	}
}

// Guards against a non-idempotent item that runs twice when its host crashes, is
// paused, or loses a response.
func TestNonIdempotentItemsRunAtMostOnce(t *testing.T) {
	for seed := range seedCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			c := newTestCluster(t)
			var calls int
			c.serve = func(string) response {
				calls++
				if calls%50 == 0 {
					return response{err: &dispatch.RefusedError{Status: 503, Code: "no_server", Executed: dispatch.ExecutedNo}}
				}
				return response{status: 200, delay: 60 * time.Millisecond}
			}
			for _, id := range []peer.HostID{"a", "b", "c"} {
				c.start(id, nil)
			}
			const items = 2500
			job := c.randomNode(rng).submit(items, payPath)
			stop, faultsEnded := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(faultsEnded)
				c.injectFaults(rand.New(rand.NewPCG(uint64(seed), 4)), nil, stop)
			}()
			time.Sleep(1500 * time.Millisecond)
			close(stop)
			<-faultsEnded
			ended := c.awaitEnd(job.ID, func() *node { return c.randomNode(rng) })
			output, failed := c.randomNode(rng).checkOneResultPerItem(ended, items)
			c.mu.Lock()
			defer c.mu.Unlock()
			for i := range items {
				id := fmt.Sprintf("i%d", i)
				_, ok := output[id]
				if c.runs[id] > 1 || ok && c.runs[id] != 1 {
					t.Errorf("item %s ran %d times, output %v", id, c.runs[id], ok)
				}
			}
			for id, line := range failed {
				if line.Error == nil || line.Error.Code != "outcome_unknown" {
					t.Errorf("item %s failed: %+v", id, line.Error)
				}
			}
		})
	}
}

// Guards against a job that is lost, duplicated or never indexed when its host
// crashes at any platform call of the creation, with and without a repeated
// request.
func TestHostCrashDuringJobCreation(t *testing.T) {
	for _, op := range []string{"put", "stored", "get", "delete"} {
		for nth := 1; nth <= 4; nth++ {
			for _, resend := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s-%d-%v", op, nth, resend), func(t *testing.T) {
					t.Parallel()
					crashDuringCreation(t, op, nth, resend)
				})
			}
		}
	}
}

func crashDuringCreation(t *testing.T, op string, nth int, resend bool) {
	is := is.New(t)
	c := newTestCluster(t)
	var skew atomic.Int64
	change := func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	}
	a, b := c.start("a", change), c.start("b", change)
	file := b.upload(jsonlItems(20, chatPath))
	var seen atomic.Int64
	a.mu.Lock()
	a.storeHook = func(at, key string) {
		creating := strings.Contains(key, "batch_") && !strings.Contains(key, "/chunk/") && !strings.Contains(key, "/seg/")
		if at == op && creating && seen.Add(1) == int64(nth) {
			a.stop()
		}
	}
	a.mu.Unlock()
	a.postBatch(file.ID, chatPath, "key")
	a.kill()
	id := jobID(testTenant, "key")
	if resend {
		is.Equal(decode[BatchObject](t, b.postBatch(file.ID, chatPath, "key")).ID, id)
	} else if _, err := c.store.Get(c.ctx, manifestKey(id)); err != nil {
		return // the job was not accepted, and its caller got no success response
	}
	skew.Store(int64(2 * minRepairAge))
	ended := c.awaitEnd(id, func() *node { return b })
	is.Equal(ended.Status, batch.StatusCompleted)
	b.checkOneResultPerItem(ended, 20)
}

// Guards against lost or duplicate results and garbage segments when a host
// crashes at any platform call while it runs or ends a job.
func TestHostCrashDuringJobRun(t *testing.T) {
	for nth := 1; nth <= 24; nth++ {
		for _, path := range []string{chatPath, payPath} {
			t.Run(fmt.Sprintf("%d%s", nth, path), func(t *testing.T) {
				t.Parallel()
				crashDuringRun(t, nth, path)
			})
		}
	}
}

// checkGarbage fails the test when a segment exists that no chunk refers to.
func (c *testCluster) checkGarbage(id string) {
	c.t.Helper()
	referred := map[string]bool{}
	page, err := c.store.List(c.ctx, chunkPrefix(id), "", 0)
	for _, obj := range page.Objects {
		chunk, decodeErr := decodeChunk(obj)
		err = errors.CombineErrors(err, decodeErr)
		for _, ref := range chunk.Segments {
			referred[segmentKey(id, chunk.Index, ref.Epoch, ref.Number)] = true
		}
	}
	segments, listErr := c.store.List(c.ctx, "jobs/"+id+"/seg/", "", 0)
	if err = errors.CombineErrors(err, listErr); err != nil {
		c.t.Fatal(err)
	}
	for _, obj := range segments.Objects {
		if !referred[obj.Key] {
			c.t.Errorf("segment %s is not referenced by any chunk", obj.Key)
		}
	}
}

func crashDuringRun(t *testing.T, nth int, path string) {
	c := newTestCluster(t)
	c.serve = func(string) response { return response{status: 200, delay: 2 * time.Millisecond} }
	a, b := c.start("a", nil), c.start("b", nil)
	const items = 1700
	file := b.upload(jsonlItems(items, path))
	var seen atomic.Int64
	a.mu.Lock()
	a.storeHook = func(at, key string) {
		// Listings are not counted, because they repeat periodically.
		if at != "list" && strings.Contains(key, "batch_") && seen.Add(1) == int64(nth) {
			a.stop()
		}
	}
	a.mu.Unlock()
	job := decode[BatchObject](t, b.postBatch(file.ID, path, "key"))
	for c.ctx.Err() == nil && a.ctx.Err() == nil && b.registry.get(job.ID) != nil {
		time.Sleep(time.Millisecond)
	}
	a.kill()
	ended := c.awaitEnd(job.ID, func() *node { return b })
	output, _ := b.checkOneResultPerItem(ended, items)
	for c.ctx.Err() == nil && b.registry.get(job.ID) != nil {
		time.Sleep(time.Millisecond)
	}
	c.checkGarbage(job.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, runs := range c.runs {
		if _, ok := output[id]; path == payPath && (runs != 1 || !ok && ended.RequestCounts.Failed == 0) {
			t.Errorf("item %s ran %d times", id, runs)
		}
	}
	if path == chatPath && ended.RequestCounts.Failed > 0 {
		t.Errorf("%d idempotent items failed after one kill", ended.RequestCounts.Failed)
	}
}
