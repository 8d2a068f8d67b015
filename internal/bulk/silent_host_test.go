package bulk_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store/storetest"
)

// hostSilences holds, by host, until when it is silent.
type hostSilences struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (h *hostSilences) left(host string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(time.Until(h.until[host]), 0)
}

func (h *hostSilences) set(host string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[host] = time.Now().Add(d)
}

// memoryNetwork carries packets between hosts. What a silent host sends or gets
// arrives once its silence is over.
type memoryNetwork struct {
	silences *hostSilences
	mu       sync.Mutex
	conns    map[string]*memoryConn // by address
}

type packet struct {
	from net.Addr
	data []byte
}

type memoryConn struct {
	network *memoryNetwork
	host    string
	address *net.UDPAddr
	in      chan packet
	closed  chan struct{}
	once    sync.Once
}

func (n *memoryNetwork) listen(host string, port int) *memoryConn {
	c := &memoryConn{
		network: n, host: host, address: &net.UDPAddr{IP: net.IPv4(10, 0, 0, 1), Port: port}, in: make(chan packet, 1000), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c.address.String()] = c
	return c
}

func (c *memoryConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case in := <-c.in:
		return copy(p, in.data), in.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	other, ok := c.network.conns[to.String()]
	c.network.mu.Unlock()
	if !ok {
		return len(p), nil
	}
	in := packet{c.address, append([]byte(nil), p...)}
	delay := max(c.network.silences.left(c.host), c.network.silences.left(other.host)) + time.Millisecond
	time.AfterFunc(delay, func() {
		select {
		case other.in <- in:
		default: // the buffer is full
		}
	})
	return len(p), nil
}

func (c *memoryConn) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }
func (c *memoryConn) LocalAddr() net.Addr              { return c.address }
func (c *memoryConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }

// Hosts that fall silent for 0.5 to 3 s and go on, beside a silent store, must not
// make callers lose what they had: every accepted job completes, all hosts list the
// same results at the same positions, a job that was refused never runs, and none that
// was accepted is denied.
func TestJobsKeepTheirPromisesAtSilentHosts(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testSilentHosts(t, seed) })
		})
	}
}

func testSilentHosts(t *testing.T, seed uint64) {
	objects := &silentStore{Fake: storetest.New(), rng: rand.New(rand.NewPCG(seed, 4))}
	silences := &hostSilences{until: map[string]time.Time{}}
	network, calls := &memoryNetwork{silences: silences, conns: map[string]*memoryConn{}}, peertest.New()
	names := []string{"a", "b", "c"}
	var members []cluster.Member
	conns := map[string]*memoryConn{}
	for i, name := range names {
		conns[name] = network.listen(name, 1000+i)
		members = append(members, cluster.Member{Name: name, Incarnation: 1, Address: conns[name].address.String(), Zone: "z"})
	}
	var mu sync.Mutex
	ran := map[string]bool{} // by job
	hosts := map[string]*bulk.Service{}
	for _, name := range names {
		hosts[name] = pipedHost{name: name, conn: conns[name], members: members, node: calls.Node(peer.HostID(name)), objects: objects}.start(t, func(c *servertest.Conn) bool {
			job, _, _ := strings.Cut(c.ID, "-")
			mu.Lock()
			ran[job] = true
			mu.Unlock()
			return generate(300 * time.Millisecond)(c)
		}, "s1", "s2")
	}
	ctx, cancel := context.WithCancel(t.Context())
	go silenceHosts(ctx, objects, silences, calls, names)
	var group sync.WaitGroup
	for i := range 5 {
		group.Go(func() {
			time.Sleep(time.Duration(objects.draw(8000)) * time.Millisecond)
			j := hostJob{t: t, hosts: hosts, names: names, draw: objects.draw, id: fmt.Sprint("job", i)}
			status := j.submit()
			if status == http.StatusAccepted {
				j.readAll()
				return
			}
			time.Sleep(time.Minute)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusServiceUnavailable && ran[j.id] {
				t.Errorf("%s was refused and ran", j.id)
			}
		})
	}
	group.Wait()
	cancel()
	objects.mu.Lock()
	objects.off = true
	objects.mu.Unlock()
	time.Sleep(time.Minute)
}

// silenceHosts makes one host after the other silent.
func silenceHosts(ctx context.Context, objects *silentStore, silences *hostSilences, calls *peertest.Network, names []string) {
	for ctx.Err() == nil {
		host := names[objects.draw(len(names))]
		d := time.Duration(500+objects.draw(2500)) * time.Millisecond
		silences.set(host, d)
		for _, other := range names {
			calls.Delay(peer.HostID(host), peer.HostID(other), d)
			calls.Delay(peer.HostID(other), peer.HostID(host), d)
		}
		time.Sleep(d)
		for _, other := range names {
			calls.Delay(peer.HostID(host), peer.HostID(other), 0)
			calls.Delay(peer.HostID(other), peer.HostID(host), 0)
		}
		time.Sleep(time.Duration(objects.draw(1500)) * time.Millisecond)
	}
}

// hostJob makes the calls on one job at any host.
type hostJob struct {
	t     *testing.T
	hosts map[string]*bulk.Service
	names []string
	draw  func(int) int
	id    string
}

func (j hostJob) host() (string, *bulk.Service) {
	name := j.names[j.draw(len(j.names))]
	return name, j.hosts[name]
}

// submit submits the job until it is accepted, or refused at all attempts.
func (j hostJob) submit() int {
	status := http.StatusServiceUnavailable
	for range 3 {
		_, service := j.host()
		err := service.Submit(j.t.Context(), submission(j.id, 6))
		if err == nil {
			return http.StatusAccepted
		}
		if got := bulk.RefusalOf(err).Status; got != http.StatusServiceUnavailable {
			status = got
		}
	}
	return status
}

// readAll reads at any host until each lists all results.
func (j hostJob) readAll() {
	var known []itemlist.Result
	complete := map[string]bool{}
	for began := time.Now(); len(complete) < len(j.names); time.Sleep(200 * time.Millisecond) {
		if time.Since(began) > 2*time.Minute {
			j.t.Errorf("%s has %d results after two minutes", j.id, len(known))
			return
		}
		name, service := j.host()
		page, err := service.Results(j.t.Context(), "w", j.id, 0, 0)
		if err != nil {
			if status := bulk.RefusalOf(err).Status; status != http.StatusServiceUnavailable {
				j.t.Errorf("%s: reading at %s failed with %d: %v", j.id, name, status, err)
			}
			continue
		}
		for i, r := range page.Results {
			if i < len(known) && r != known[i] || r.State != itemlist.Completed || r.Output != wholeOutput {
				j.t.Errorf("%s: result %d at %s is %v", j.id, i, name, r)
			}
		}
		if len(page.Results) > len(known) {
			known = page.Results
		}
		complete[name] = len(page.Results) == 6
		if !complete[name] {
			delete(complete, name)
		}
	}
	seen := map[string]bool{}
	for _, r := range known {
		if seen[r.ID] {
			j.t.Errorf("%s: %s is listed twice", j.id, r.ID)
		}
		seen[r.ID] = true
	}
}
