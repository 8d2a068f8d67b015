package coop

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/test/standin/relay"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "coop")
	if err == nil {
		program, err = BuildProgram(context.Background(), dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// seeds are played in CI. Those that ever failed stay here with their cause.
var seeds = []uint64{1, 2}

// soakSettings come from the environment: SOAK_SEEDS is the number of fresh
// seeds, SOAK_DURATION the time of faults for each.
func soakSettings(t *testing.T) ([]uint64, time.Duration) {
	duration := 6 * time.Second
	if text := os.Getenv("SOAK_DURATION"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		duration = d
	}
	list := seeds
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		first := uint64(time.Now().Unix())
		if text := os.Getenv("SOAK_FIRST"); text != "" {
			if first, err = strconv.ParseUint(text, 10, 64); err != nil {
				t.Fatal(err)
			}
		}
		list = nil
		for i := range n {
			list = append(list, first+uint64(i))
		}
	}
	return list, duration
}

// world is one soak run.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	mu      sync.Mutex // of rng
	store   *Store
	fleet   *Fleet
	ledger  *Ledger
	servers []*Server
	all     []*Server // also those that crashed
	stop    chan struct{}
	group   sync.WaitGroup
	jobs    map[string]*soakJob
}

// soakJob is a job and what readers have seen of it.
type soakJob struct {
	id       string
	items    int
	accepted bool
	refused  int // attempts answered 503 or 429
	unknown  int // attempts without such a promise
	ended    time.Time
	seen     []Result
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) host() *Host { return w.fleet.Hosts[w.draw(len(w.fleet.Hosts))] }

func (w *world) sleep(least, most time.Duration) bool {
	d := least + time.Duration(w.draw(int(most-least)))
	select {
	case <-w.stop:
		return false
	case <-time.After(d):
		return true
	}
}

const key = "key-of-w"

func newWorld(t *testing.T, seed uint64) *world {
	t.Helper()
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), store: NewStore(seed), ledger: NewLedger(), stop: make(chan struct{}), jobs: map[string]*soakJob{}}
	Configure(w.store, 1, key)
	for i := range 3 {
		w.addServer(fmt.Sprint("llm-", i), "llm", 5*time.Millisecond)
	}
	for i := range 2 {
		w.addServer(fmt.Sprint("app-", i), "app", 0)
	}
	var err error
	if w.fleet, err = NewFleet(program, t.TempDir(), w.store, 3); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { w.fleet.Close(); w.store.Close() })
	w.ready(15 * time.Second)
	return w
}

func (w *world) addServer(name, service string, pause time.Duration) {
	s := NewServer(w.store, name, service, pause)
	w.servers = append(w.servers, s)
	w.all = append(w.all, s)
}

// ready waits until every host serves.
func (w *world) ready(within time.Duration) {
	w.t.Helper()
	deadline := time.Now().Add(within)
	for i, h := range w.fleet.Hosts {
		for n := 0; NewClient(NewLedger()).Call(h.Callers, "plain", fmt.Sprintf("ready-%d-%d-%d", i, n, time.Now().UnixNano()), key) != http.StatusOK; n++ {
			if time.Now().After(deadline) {
				w.t.Fatalf("%s does not serve", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// callers send online requests until the end.
func (w *world) callers(n int) {
	for c := range n {
		w.group.Go(func() {
			client := NewClient(w.ledger)
			kinds := []string{"plain", "once", "stream", "resume"}
			for i := 0; w.sleep(time.Millisecond, 20*time.Millisecond); i++ {
				client.Call(w.host().Callers, kinds[w.draw(len(kinds))], fmt.Sprintf("c%d-%d", c, i), key)
			}
		})
	}
}

// submitters hand jobs in, again after anything but an acceptance, and read.
func (w *world) submitters() {
	w.group.Go(func() {
		client := NewClient(w.ledger)
		for i := 0; w.sleep(100*time.Millisecond, 500*time.Millisecond); i++ {
			j := &soakJob{id: fmt.Sprint("job", i), items: 1 + w.draw(6)}
			w.jobs[j.id] = j
			for try := 0; try < 6 && !j.accepted; try++ {
				switch client.Submit(w.host().Callers, j.id, key, j.items) {
				case http.StatusAccepted:
					j.accepted = true
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					j.refused++
				default:
					j.unknown++
				}
			}
			if j.accepted && w.draw(8) == 0 && client.End(w.host().Callers, j.id, key) == http.StatusOK {
				j.ended = time.Now()
			}
			w.read(client, j, w.host())
		}
	})
}

// read reads a job at a host and compares it with what was read before.
func (w *world) read(client *Client, j *soakJob, h *Host) int {
	results, total, status := client.Results(h.Callers, j.id, key, 0)
	if status != http.StatusOK {
		return status
	}
	if total != j.items {
		w.ledger.Fail("job %s at %s: total %d of %d", j.id, h.Name, total, j.items)
	}
	for i, r := range results {
		if i < len(j.seen) && j.seen[i] != r {
			w.ledger.Fail("job %s at %s: position %d was %v and is %v", j.id, h.Name, i, j.seen[i], r)
		}
		if !strings.HasPrefix(r.ID, j.id+"-") {
			w.ledger.Fail("job %s lists %s", j.id, r.ID)
		}
		if r.State == "completed" && r.Output != WholeOutput(r.ID) {
			w.ledger.Fail("item %s: output %q", r.ID, r.Output)
		}
	}
	if len(results) > len(j.seen) {
		j.seen = results
	}
	return status
}

// faults injects trouble from outside until the end, in series that overlap.
func (w *world) faults() {
	for range 2 {
		w.group.Go(func() {
			for w.sleep(200*time.Millisecond, 900*time.Millisecond) {
				w.fault()
			}
		})
	}
	w.group.Go(func() { // servers, one at a time: the list is this goroutine's
		for n := 0; w.sleep(500*time.Millisecond, 1500*time.Millisecond); n++ {
			i := w.draw(len(w.servers))
			old := w.servers[i]
			old.Crash()
			w.store.Remove("servers", old.Name)
			w.servers = append(w.servers[:i], w.servers[i+1:]...)
			w.addServer(fmt.Sprintf("%s-%d", old.Service, 100+n), old.Service, old.Pause)
		}
	})
}

func (w *world) fault() {
	h := w.host()
	link := "store-" + h.Name
	silent, open := "both", ""
	switch w.draw(9) {
	case 0, 1:
		if err := h.Restart([]syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[w.draw(2)]); err != nil {
			w.ledger.Fail("%s does not start: %v", h.Name, err)
		}
	case 2:
		h.StopFor(time.Duration(300+w.draw(2000)) * time.Millisecond)
	case 3:
		w.store.SetDown(true)
		time.Sleep(time.Duration(100+w.draw(1200)) * time.Millisecond)
		w.store.SetDown(false)
	case 4:
		w.store.SetLoseRate(0.5)
		time.Sleep(time.Duration(100+w.draw(800)) * time.Millisecond)
		w.store.SetLoseRate(0)
	case 5:
		w.store.Forget()
	case 6:
		w.fleet.Relay.Apply(relay.Fault{Link: link, Silent: &silent})
		time.Sleep(time.Duration(200+w.draw(2000)) * time.Millisecond)
		w.fleet.Relay.Apply(relay.Fault{Link: link, Silent: &open, Cut: true})
	case 7:
		w.fleet.Relay.Apply(relay.Fault{Link: link, Freeze: true}) // open connections, for good
	case 8:
		h.Signal(syscall.SIGHUP)
	}
}

// finish lets the jobs end and checks everything that must hold afterwards.
func (w *world) finish() {
	w.store.SetDown(false)
	w.store.SetLoseRate(0)
	open := ""
	w.fleet.Relay.Apply(relay.Fault{Link: "*", Silent: &open, Cut: true})
	for _, h := range w.fleet.Hosts {
		h.Signal(syscall.SIGCONT)
	}
	w.ready(20 * time.Second)
	client := NewClient(w.ledger)
	deadline := time.Now().Add(30 * time.Second)
	for _, j := range w.jobs {
		if !j.accepted || !j.ended.IsZero() {
			continue
		}
		for len(j.seen) < j.items && time.Now().Before(deadline) {
			w.read(client, j, w.host())
			time.Sleep(20 * time.Millisecond)
		}
		if len(j.seen) < j.items {
			w.ledger.Fail("job %s: %d of %d results", j.id, len(j.seen), j.items)
		}
		for _, h := range w.fleet.Hosts {
			if status := w.read(client, j, h); status == http.StatusNotFound {
				w.ledger.Fail("job %s is unknown at %s", j.id, h.Name)
			}
		}
	}
	w.checkRuns()
}

// checkRuns compares what the servers ran with what callers were told.
func (w *world) checkRuns() {
	runs := map[string]int{}
	for _, s := range w.all {
		for _, r := range s.Runs() {
			runs[r.ID]++
			if r.Leaked || r.Tenant != "w" {
				w.ledger.Fail("request %s reached %s with tenant %q, key leaked: %v", r.ID, s.Name, r.Tenant, r.Leaked)
			}
			for _, j := range w.jobs {
				late := !j.ended.IsZero() && r.At.Sub(j.ended) > 3*time.Second
				if strings.HasPrefix(r.ID, j.id+"-") && late {
					w.ledger.Fail("item %s ran %v after its job's end", r.ID, r.At.Sub(j.ended))
				}
			}
		}
	}
	for id, status := range w.ledger.Answers {
		route := w.ledger.Routes[id]
		if (route == "once" || route == "stream") && runs[id] > 1 {
			w.ledger.Fail("%s %s ran %d times", route, id, runs[id])
		}
		promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
		if promise && (route == "once" || route == "stream") && runs[id] > 0 {
			w.ledger.Fail("%s %s was answered %d and ran", route, id, status)
		}
	}
	for _, j := range w.jobs {
		if j.accepted || j.unknown > 0 || j.refused == 0 {
			continue
		}
		for n := range j.items {
			if id := fmt.Sprintf("%s-%d", j.id, n); runs[id] > 0 {
				w.ledger.Fail("item %s ran although its job was refused at every attempt", id)
			}
		}
	}
}

// TestSoak runs the real program as separate processes under faults and checks
// what callers and servers see.
func TestSoak(t *testing.T) {
	list, duration := soakSettings(t)
	for _, seed := range list {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed)
			w.callers(6)
			w.submitters()
			w.faults()
			time.Sleep(duration)
			close(w.stop)
			w.group.Wait()
			w.finish()
			for _, failure := range w.ledger.Failures {
				t.Error(failure)
			}
			if w.ledger.Served < 20 {
				t.Errorf("%d requests were served", w.ledger.Served)
			}
			if t.Failed() {
				w.keepLogs(seed)
			}
			t.Logf("served %d of %d requests, %d jobs, %d store calls", w.ledger.Served, len(w.ledger.Answers), len(w.jobs), w.store.Calls())
		})
	}
}

// keepLogs keeps the hosts' logs of a failed seed.
func (w *world) keepLogs(seed uint64) {
	to := filepath.Join(os.TempDir(), fmt.Sprint("ragwortstep-soak-", seed))
	if err := os.MkdirAll(to, 0o700); err != nil {
		w.t.Log(err)
		return
	}
	for _, h := range w.fleet.Hosts {
		raw, err := os.ReadFile(filepath.Join(w.fleet.dir, h.Name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, h.Name+".log"), raw, 0o600)
		}
		if err != nil {
			w.t.Log(err)
		}
	}
	w.t.Logf("logs are kept in %s", to)
}

// TestAQuietRun guards against faults that only real processes show: start,
// all kinds of requests, a job, and an end by SIGTERM that cuts nothing.
func TestAQuietRun(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0)
	client := NewClient(w.ledger)
	for i := range 40 {
		for _, route := range []string{"plain", "once", "stream", "resume"} {
			is.Equal(client.Call(w.host().Callers, route, fmt.Sprintf("%s-%d", route, i), key), http.StatusOK)
		}
	}
	is.Equal(client.Call(w.host().Callers, "plain", "x", "another key"), http.StatusUnauthorized)
	is.Equal(client.Call(w.host().Callers, "nowhere", "y", key), http.StatusNotFound)
	is.Equal(client.Submit(w.host().Callers, "job", key, 5), http.StatusAccepted)
	j := &soakJob{id: "job", items: 5}
	for deadline := time.Now().Add(10 * time.Second); len(j.seen) < 5 && time.Now().Before(deadline); {
		w.read(client, j, w.host())
	}
	is.Equal(len(j.seen), 5)
	leaving := w.fleet.Hosts[0]
	var group sync.WaitGroup
	for i := range 10 { // streams that are under way when the signal comes
		group.Go(func() {
			if status := NewClient(w.ledger).Call(leaving.Callers, "stream", fmt.Sprint("last-", i), key); status != http.StatusOK {
				t.Errorf("stream cut at shutdown: status %d", status)
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	leaving.Signal(syscall.SIGTERM)
	group.Wait()
	err := leaving.Wait()
	var exit *exec.ExitError
	is.True(err == nil || exit == nil)
	is.NoErr(err)
	is.NoErr(leaving.Start())
	is.Equal(w.ledger.Failures, nil)
}
