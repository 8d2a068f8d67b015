package bulk_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
	"ragwortstep/internal/storerelay"
)

// silentStore is a store that is silent before one in a few answers. A write whose
// caller no longer waits still takes effect.
type silentStore struct {
	*storetest.Fake
	mu  sync.Mutex
	rng *rand.Rand
	off bool
}

func (s *silentStore) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *silentStore) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off || s.rng.IntN(3) > 0 {
		return 5 * time.Millisecond
	}
	return time.Duration(500+s.rng.IntN(2500)) * time.Millisecond
}

type storeAnswer struct {
	obj store.Object
	err error
}

// call makes a call after a silence before it or after it.
func (s *silentStore) call(ctx context.Context, lost error, fn func(context.Context) (store.Object, error)) (store.Object, error) {
	before, after := s.silence(), time.Duration(0)
	if s.draw(2) == 0 {
		before, after = after, before
	}
	answers := make(chan storeAnswer, 1)
	go func() {
		time.Sleep(before)
		obj, err := fn(context.WithoutCancel(ctx))
		time.Sleep(after)
		answers <- storeAnswer{obj, err}
	}()
	select {
	case a := <-answers:
		return a.obj, a.err
	case <-ctx.Done():
		return store.Object{}, errors.Wrapf(lost, "store: %v", ctx.Err())
	}
}

func (s *silentStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	return s.call(ctx, store.ErrUnknownOutcome, func(ctx context.Context) (store.Object, error) { return s.Fake.Put(ctx, key, value, v) })
}

func (s *silentStore) Get(ctx context.Context, key string) (store.Object, error) {
	return s.call(ctx, store.ErrUnavailable, func(ctx context.Context) (store.Object, error) { return s.Fake.Get(ctx, key) })
}

func (s *silentStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	return s.Get(ctx, key)
}

// A store that is silent for up to three seconds now and then must not make a host
// refuse a job that runs, lose or move a result that was read, or run an item for
// long after its job's end.
func TestJobsKeepTheirPromisesAtASilentStore(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for seed := range uint64(50) {
			t.Run(fmt.Sprint("relayed ", relayed, " seed ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testSilentStore(t, seed, relayed) })
			})
		}
	}
}

// throughPeer returns the store of a host that may also call it through a peer, to
// which it is as silent.
func throughPeer(network *peertest.Network, objects store.Store) store.Store {
	options := storerelay.Options{
		Direct: objects, Reachable: func() []peer.HostID { return []peer.HostID{"b"} }, Metrics: metrics.New(), Logger: slog.New(slog.DiscardHandler),
	}
	network.Delay("a", "b", 200*time.Millisecond)
	options.Peers = network.Node("b")
	storerelay.New(options)
	options.Peers = network.Node("a")
	return storerelay.New(options)
}

func testSilentStore(t *testing.T, seed uint64, relayed bool) {
	objects := &silentStore{Fake: storetest.New(), rng: rand.New(rand.NewPCG(seed, 3))}
	network := peertest.New()
	var hostStore store.Store = objects
	if relayed {
		hostStore = throughPeer(network, objects)
	}
	var mu sync.Mutex
	lastRun := map[string]time.Time{} // by job
	service := pipedHost{name: "c", node: network.Node("c"), objects: hostStore}.start(t, func(c *servertest.Conn) bool {
		job, _, _ := strings.Cut(c.ID, "-")
		mu.Lock()
		lastRun[job] = time.Now()
		mu.Unlock()
		return generate(100 * time.Millisecond)(c)
	}, "a", "b")
	var group sync.WaitGroup
	for i := range 6 {
		end := objects.draw(3) == 0
		group.Go(func() {
			j := jobCalls{t: t, service: service, id: fmt.Sprint("job", i)}
			switch status := j.submit(); status {
			case http.StatusServiceUnavailable:
				time.Sleep(time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if at, ok := lastRun[j.id]; ok {
					t.Errorf("%s was refused and ran at %v", j.id, at)
				}
			case http.StatusAccepted:
				if !end {
					j.readAll()
					return
				}
				ended, ok := j.end()
				time.Sleep(time.Minute)
				mu.Lock()
				defer mu.Unlock()
				if ok && lastRun[j.id].After(ended.Add(100*time.Millisecond)) {
					t.Errorf("an item of %s ran %v after its end", j.id, lastRun[j.id].Sub(ended))
				}
			}
		})
	}
	group.Wait()
	objects.mu.Lock()
	objects.off = true
	objects.mu.Unlock()
	time.Sleep(time.Minute)
}

// jobCalls makes the calls on one job.
type jobCalls struct {
	t       *testing.T
	service *bulk.Service
	id      string
}

// submit returns the status of the submission.
func (j jobCalls) submit() int {
	if err := j.service.Submit(j.t.Context(), submission(j.id, 4)); err != nil {
		return bulk.RefusalOf(err).Status
	}
	return http.StatusAccepted
}

// readAll reads until all results are listed. A result that was read stays.
func (j jobCalls) readAll() {
	var known []itemlist.Result
	for began := time.Now(); len(known) < 4; time.Sleep(300 * time.Millisecond) {
		if time.Since(began) > time.Minute {
			j.t.Errorf("%s has %d results after a minute", j.id, len(known))
			return
		}
		page, err := j.service.Results(j.t.Context(), "w", j.id, 0, 0)
		if err != nil {
			if status := bulk.RefusalOf(err).Status; status != http.StatusServiceUnavailable {
				j.t.Errorf("%s: reading failed with %d: %v", j.id, status, err)
			}
			continue
		}
		for i, r := range page.Results {
			if i < len(known) && r != known[i] || r.State != itemlist.Completed || r.Output != wholeOutput {
				j.t.Errorf("%s: result %d is %v", j.id, i, r)
			}
		}
		if len(page.Results) < len(known) {
			j.t.Errorf("%s: %d results after %d", j.id, len(page.Results), len(known))
		}
		known = page.Results
	}
}

// end ends the job and returns when that was acknowledged.
func (j jobCalls) end() (time.Time, bool) {
	for range 5 {
		if j.service.End(j.t.Context(), "w", j.id) == nil {
			return time.Now(), true
		}
	}
	return time.Time{}, false
}
