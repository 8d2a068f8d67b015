package bulk_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/store/storetest"
)

const (
	// readPatience is how much longer callers wait for results, or a body, than the wait
	// that they allow.
	readPatience = 1500 * time.Millisecond
	// writePatience is how long callers wait for the answer to a submission or an end.
	writePatience = 4 * time.Second
)

// silentFleet consists of three hosts at a silent store.
type silentFleet struct {
	objects  *silentStore
	silences *hostSilences
	calls    *peertest.Network
	names    []string
	hosts    map[string]*bulk.Service

	mu     sync.Mutex
	served map[string]int // calls that were served in time, by kind
}

func startSilentFleet(t *testing.T, seed uint64) *silentFleet {
	f := &silentFleet{
		objects:  &silentStore{Fake: storetest.New(), rng: rand.New(rand.NewPCG(seed, 5)), off: true},
		silences: &hostSilences{until: map[string]time.Time{}}, calls: peertest.New(), names: []string{"a", "b", "c"}, hosts: map[string]*bulk.Service{},
		served: map[string]int{},
	}
	network := &memoryNetwork{silences: f.silences, conns: map[string]*memoryConn{}}
	var members []cluster.Member
	conns := map[string]*memoryConn{}
	for i, name := range f.names {
		conns[name] = network.listen(name, 1000+i)
		members = append(members, cluster.Member{Name: name, Incarnation: 1, Address: conns[name].address.String(), Zone: "z"})
	}
	for _, name := range f.names {
		f.hosts[name] = pipedHost{name: name, conn: conns[name], members: members, node: f.calls.Node(peer.HostID(name)), objects: f.objects}.start(
			t, generate(300*time.Millisecond), "s1", "s2")
	}
	return f
}

func (f *silentFleet) setSilent(silent bool) {
	f.objects.mu.Lock()
	defer f.objects.mu.Unlock()
	f.objects.off = !silent
}

// A caller that reads at one host while the host that runs the job does not answer, on a
// connection that went silent, must have its answer before it gives up: the store has
// the results.
func TestResultsAreReadPastASilentConnection(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				f := startSilentFleet(t, 1)
				is.NoErr(f.hosts["a"].Submit(t.Context(), submission("job", 30)))
				time.Sleep(time.Second)
				f.calls.DropMessages("b", "a", true)
				began := time.Now()
				_, err := f.hosts["b"].Body(t.Context(), "w", "job", "job-29")
				is.NoErr(err)
				is.True(time.Since(began) <= readPatience)
				began = time.Now()
				_, err = f.hosts["b"].Results(t.Context(), "w", "job", 0, wait)
				is.NoErr(err)
				is.True(time.Since(began) <= wait+readPatience)
				f.calls.DropMessages("b", "a", false)
				time.Sleep(time.Minute)
			})
		})
	}
}

// Calls on jobs at silent hosts and a silent store must be answered or refused while
// their callers wait. They were held until the caller had left.
func TestCallsOnJobsAreAnsweredInTime(t *testing.T) {
	for seed := range modelSeeds() {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { testAnswerTimes(t, seed) })
		})
	}
}

func testAnswerTimes(t *testing.T, seed uint64) {
	f := startSilentFleet(t, seed)
	f.setSilent(true)
	ctx, cancel := context.WithCancel(t.Context())
	go silenceHosts(ctx, f.objects, f.silences, f.calls, f.names)
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() { f.callInTime(t, fmt.Sprint("job", i)) })
	}
	group.Wait()
	cancel()
	f.setSilent(false)
	time.Sleep(2 * time.Minute)
	t.Log("served in time:", f.served)
}

// callInTime submits, reads and ends a job at any host.
func (f *silentFleet) callInTime(t *testing.T, id string) {
	call := func(what string, limit time.Duration, fn func(*bulk.Service) error) error {
		name := f.names[f.objects.draw(len(f.names))]
		began := time.Now()
		err := fn(f.hosts[name])
		if took := time.Since(began); took > limit {
			t.Errorf("%s: %s at %s took %v: %v", id, what, name, took, err)
		} else if err == nil {
			f.mu.Lock()
			f.served[what]++
			f.mu.Unlock()
		}
		return err
	}
	submit := func(s *bulk.Service) error { return s.Submit(t.Context(), submission(id, 6)) }
	for call("submit", writePatience, submit) != nil {
		time.Sleep(500 * time.Millisecond)
	}
	for range 20 {
		time.Sleep(time.Duration(f.objects.draw(500)) * time.Millisecond)
		wait := time.Duration(f.objects.draw(2)) * time.Second
		_ = call("read", wait+readPatience, func(s *bulk.Service) error {
			_, err := s.Results(t.Context(), "w", id, 0, wait)
			return err
		})
		_ = call("body", readPatience, func(s *bulk.Service) error {
			_, err := s.Body(t.Context(), "w", id, id+"-5")
			return err
		})
	}
	_ = call("end", writePatience, func(s *bulk.Service) error { return s.End(t.Context(), "w", id) })
}

// The host that runs a job must show the body of an item while the store is silent, as it
// does when a peer asks for it. Its callers were refused.
func TestBodyIsShownWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		objects := &hostStore{Fake: storetest.New()}
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: objects}.start(t, generate(300*time.Millisecond), "s1")
		is.NoErr(service.Submit(t.Context(), submission("job", 20)))
		objects.cut.Store(true)
		body, err := service.Body(t.Context(), "w", "job", "job-19")
		is.NoErr(err)
		is.Equal(string(body), "body 19")
		_, err = service.Body(t.Context(), "other", "job", "job-19")
		is.True(errors.Is(err, bulk.ErrNoJob))
		_, err = service.Body(t.Context(), "w", "job", "job-20")
		is.True(errors.Is(err, bulk.ErrNoItem))
		objects.cut.Store(false)
		time.Sleep(time.Minute)
	})
}
