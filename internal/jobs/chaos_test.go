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

// seeds is the number of random runs; the environment variable JOBS_SEEDS raises it.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("JOBS_SEEDS")); err == nil {
		return n
	}
	return 6
}

// disturb applies random faults until stop is closed, then heals the cluster.
func (c *cluster) disturb(rng *rand.Rand, change func(*Options), stop chan struct{}) {
	defer c.store.SetDown(false)
	defer c.store.LoseAnswers(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(20+rng.IntN(60)) * time.Millisecond):
		}
		switch n := c.anyNode(rng); rng.IntN(5) {
		case 0:
			n.kill()
			time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
			c.start(n.id, change)
		case 1:
			n.pause()
			time.Sleep(time.Duration(50+rng.IntN(100)) * time.Millisecond)
			n.resume()
		case 2:
			c.store.LoseAnswers(1 + rng.IntN(4))
		case 3:
			c.store.SetDown(true)
			time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
			c.store.SetDown(false)
		case 4:
			c.killDuring(n, rng, change)
		}
	}
}

// killDuring kills the host in the middle of its next chunk or segment write.
func (c *cluster) killDuring(n *node, rng *rand.Rand, change func(*Options)) {
	op := []string{"put", "stored"}[rng.IntN(2)]
	part := []string{"/chunk/", "/seg/", "/manifest"}[rng.IntN(3)]
	var hit atomic.Bool
	n.mu.Lock()
	n.beforeOp = func(at, key string) {
		if at == op && strings.Contains(key, part) && hit.CompareAndSwap(false, true) {
			n.stop()
		}
	}
	n.mu.Unlock()
	time.Sleep(60 * time.Millisecond)
	n.kill()
	c.start(n.id, change)
}

func (c *cluster) anyNode(rng *rand.Rand) *node {
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

// resend sends a create request to random hosts until one accepts it.
func (c *cluster) resend(rng *rand.Rand, file, path, key string) BatchObject {
	for c.ctx.Err() == nil {
		rec := c.anyNode(rng).createRaw(file, path, key)
		if rec.Code == http.StatusOK {
			return decode[BatchObject](c.t, rec)
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("job not accepted")
	return BatchObject{}
}

func isPoison(id string) bool { return strings.HasSuffix(id, "77") }

// Guards against lost and second results, second jobs of a resent request,
// and jobs that never end, under kills at any point, pauses, lost answers and
// outages. Items ending in 77 never succeed.
func TestExactlyOnceUnderFaults(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(seed), 1))
			c := newCluster(t)
			c.serve = func(id string) answer {
				if isPoison(id) {
					return answer{status: 500}
				}
				return answer{status: 200, delay: 40 * time.Millisecond}
			}
			for _, id := range []peer.HostID{"a", "b", "c"} {
				c.start(id, nil)
			}
			const items = 4000
			file := c.anyNode(rng).upload(jsonl(items, chatPath))
			stop, healed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(healed)
				c.disturb(rand.New(rand.NewPCG(uint64(seed), 2)), nil, stop)
			}()
			job := c.resend(rng, file.ID, chatPath, "key")
			time.Sleep(1500 * time.Millisecond)
			if again := c.resend(rng, file.ID, chatPath, "key"); again.ID != job.ID {
				t.Errorf("resent job got id %s, first was %s", again.ID, job.ID)
			}
			close(stop)
			<-healed
			ended := c.await(job.ID, func() *node { return c.anyNode(rng) })
			output, failed := c.anyNode(rng).checkAll(ended, items)
			for id := range output {
				if isPoison(id) {
					t.Errorf("item %s succeeded", id)
				}
			}
			for id, line := range failed {
				if !isPoison(id) && (line.Error == nil || line.Error.Code != "attempts_exhausted") {
					t.Errorf("item %s failed: %+v", id, line.Error)
				}
			}
		})
	}
}

// Guards against a non-idempotent item that runs twice when its host dies,
// is paused, or loses an answer.
func TestNonIdempotentItemsRunAtMostOnce(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			c := newCluster(t)
			var calls int
			c.serve = func(string) answer {
				calls++
				if calls%50 == 0 {
					return answer{err: &dispatch.RefusedError{Status: 503, Code: "no_server", Executed: dispatch.ExecutedNo}}
				}
				return answer{status: 200, delay: 60 * time.Millisecond}
			}
			for _, id := range []peer.HostID{"a", "b", "c"} {
				c.start(id, nil)
			}
			const items = 2500
			job := c.anyNode(rng).submit(items, payPath)
			stop, healed := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(healed)
				c.disturb(rand.New(rand.NewPCG(uint64(seed), 4)), nil, stop)
			}()
			time.Sleep(1500 * time.Millisecond)
			close(stop)
			<-healed
			ended := c.await(job.ID, func() *node { return c.anyNode(rng) })
			output, failed := c.anyNode(rng).checkAll(ended, items)
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

// Guards against a job that is lost, doubled or never indexed when the host
// dies at any platform call of its creation, with and without a resend.
func TestKillAtEachPointOfCreation(t *testing.T) {
	for _, op := range []string{"put", "stored", "get", "delete"} {
		for nth := 1; nth <= 4; nth++ {
			for _, resend := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s-%d-%v", op, nth, resend), func(t *testing.T) {
					t.Parallel()
					creationKilled(t, op, nth, resend)
				})
			}
		}
	}
}

func creationKilled(t *testing.T, op string, nth int, resend bool) {
	is := is.New(t)
	c := newCluster(t)
	var skew atomic.Int64
	change := func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	}
	a, b := c.start("a", change), c.start("b", change)
	file := b.upload(jsonl(20, chatPath))
	var seen atomic.Int64
	a.mu.Lock()
	a.beforeOp = func(at, key string) {
		creating := strings.Contains(key, "batch_") && !strings.Contains(key, "/chunk/") && !strings.Contains(key, "/seg/")
		if at == op && creating && seen.Add(1) == int64(nth) {
			a.stop()
		}
	}
	a.mu.Unlock()
	a.createRaw(file.ID, chatPath, "key")
	a.kill()
	id := jobID(testTenant, "key")
	if resend {
		is.Equal(decode[BatchObject](t, b.createRaw(file.ID, chatPath, "key")).ID, id)
	} else if _, err := c.store.Get(c.ctx, manifestKey(id)); err != nil {
		return // the job was not accepted, and its caller was not told otherwise
	}
	skew.Store(int64(2 * minRepairAge))
	ended := c.await(id, func() *node { return b })
	is.Equal(ended.Status, batch.StatusCompleted)
	b.checkAll(ended, 20)
}

// Guards against lost or second results when a host dies at any platform call
// of running and ending a job.
func TestKillAtEachPointOfRun(t *testing.T) {
	for nth := 1; nth <= 24; nth++ {
		for _, path := range []string{chatPath, payPath} {
			t.Run(fmt.Sprintf("%d%s", nth, path), func(t *testing.T) {
				t.Parallel()
				runKilled(t, nth, path)
			})
		}
	}
}

// checkGarbage fails when a segment is left that no chunk refers to.
func (c *cluster) checkGarbage(id string) {
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
			c.t.Errorf("segment %s is garbage", obj.Key)
		}
	}
}

func runKilled(t *testing.T, nth int, path string) {
	c := newCluster(t)
	c.serve = func(string) answer { return answer{status: 200, delay: 2 * time.Millisecond} }
	a, b := c.start("a", nil), c.start("b", nil)
	const items = 1700
	file := b.upload(jsonl(items, path))
	var seen atomic.Int64
	a.mu.Lock()
	a.beforeOp = func(at, key string) {
		// Listings are left out: they only repeat.
		if at != "list" && strings.Contains(key, "batch_") && seen.Add(1) == int64(nth) {
			a.stop()
		}
	}
	a.mu.Unlock()
	job := decode[BatchObject](t, b.createRaw(file.ID, path, "key"))
	for c.ctx.Err() == nil && a.ctx.Err() == nil && b.registry.get(job.ID) != nil {
		time.Sleep(time.Millisecond)
	}
	a.kill()
	ended := c.await(job.ID, func() *node { return b })
	output, _ := b.checkAll(ended, items)
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
