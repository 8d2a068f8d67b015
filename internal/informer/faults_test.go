package informer_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// fleet is a fleet whose hosts are killed, cut off from the store and from their
// peers while objects change.
type fleet struct {
	t       *testing.T
	fake    *storetest.Fake
	network *peertest.Network
	hosts   []*faultyHost
	mu      sync.Mutex
	commits []commit
}

// commit is a change that the store acknowledged: the counter's new value, and
// the entry that was removed with it.
type commit struct {
	at      time.Time
	counter int
	removed string
}

// faultyHost is a host with faults to inject.
type faultyHost struct {
	*host
	name, zone  string
	incarnation int64
	stop        context.CancelFunc
	healthyFrom time.Time // zero while a fault lasts
	partitioned atomic.Bool
}

// lossyConn drops all datagrams while its host is partitioned.
type lossyConn struct {
	net.PacketConn
	host *faultyHost
}

func (c lossyConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.host.partitioned.Load() {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

func (c lossyConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.host.partitioned.Load() {
			return n, from, err
		}
	}
}

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{t: t, fake: storetest.New(), network: peertest.New()}
	for i := range size {
		f.hosts = append(f.hosts, &faultyHost{name: fmt.Sprintf("h%02d", i), zone: fmt.Sprint("z", i%3)})
	}
	for _, h := range f.hosts {
		f.boot(h)
	}
	f.shareMembers()
	t.Cleanup(func() {
		for _, h := range f.hosts {
			h.stop()
			_ = h.udp.Close()
		}
	})
	return f
}

// boot starts a process of the host.
func (f *fleet) boot(h *faultyHost) {
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	h.incarnation++
	logger := slog.New(slog.DiscardHandler)
	next := &host{storeLink: &storeLink{Fake: f.fake}, udp: udp, copied: map[string]string{}}
	self := cluster.Member{Name: h.name, Incarnation: h.incarnation, Address: udp.LocalAddr().String(), Zone: h.zone, Size: 1000}
	next.cluster = cluster.New(cluster.Options{Self: self, Conn: lossyConn{udp, h}, Logger: logger})
	next.informer = informer.New(informer.Options{
		Store: next.storeLink, Cluster: next.cluster, Peers: f.network.Node(peer.HostID(h.name)), Members: prefix, Logger: logger,
		Collections: []informer.Collection{{Prefix: prefix, Wait: informer.PromptWait, TakeOver: informer.PromptTakeOver}},
	})
	next.informer.OnChange(prefix, func(c informer.Copy) {
		next.mu.Lock()
		defer next.mu.Unlock()
		next.copied = map[string]string{}
		next.returned = c.StoreReturnedAt
		for key, o := range c.Objects {
			next.copied[key] = string(o.Value)
		}
	})
	h.host = next
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	go next.cluster.Run(ctx)
	go next.informer.Run(ctx)
}

// shareMembers tells all hosts each other's addresses.
func (f *fleet) shareMembers() {
	var members []cluster.Member
	for _, h := range f.hosts {
		members = append(members, h.cluster.Self())
	}
	for _, h := range f.hosts {
		h.cluster.SetMembers(members)
	}
}

// change writes the counter and, for each second value, adds a server entry and
// removes an older one.
func (f *fleet) change(counter int) {
	ctx := context.Background()
	entry := func(n int) string { return prefix + "server-" + strconv.Itoa(n) }
	removed := ""
	if counter%2 == 0 {
		if _, err := f.fake.Put(ctx, entry(counter), []byte("ready"), 0); err != nil {
			f.t.Error(err)
		}
		if removed = entry(counter - 6); f.fake.Delete(ctx, removed, store.AnyVersion) != nil {
			removed = "" // not created yet
		}
	}
	if _, err := f.fake.Put(ctx, prefix+"counter", []byte(strconv.Itoa(counter)), store.AnyVersion); err != nil {
		f.t.Error(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits = append(f.commits, commit{time.Now(), counter, removed})
}

// missing returns a description of the first change until a time that the host's
// copy does not contain, and an empty string if there is none.
func (f *fleet) missing(h *faultyHost, until time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	counter, _ := strconv.Atoi(h.value(prefix + "counter")) // 0 without a copy
	for _, c := range f.commits {
		if c.at.After(until) {
			return ""
		}
		if counter < c.counter {
			return fmt.Sprintf("counter is %d, %d was written %v ago", counter, c.counter, time.Since(c.at))
		}
		if c.removed != "" && h.value(c.removed) != "" {
			return fmt.Sprintf("%s is still there, removed %v ago", c.removed, time.Since(c.at))
		}
	}
	return ""
}

const (
	// applyTime is the users' bound on the time from the acknowledgement of a
	// change until every host in touch applies it, for fleets of this size.
	applyTime = 3 * time.Second
	// inTouchAfter is how long a host must be without a fault until the bound holds.
	inTouchAfter = 4 * time.Second
	// noticeTime is the time between the confirmation of a copy and its use.
	noticeTime = 60 * time.Millisecond
)

// check reports hosts in touch that lack a change for longer than applyTime, and
// hosts that consider a copy as the newest although it lacks a change.
func (f *fleet) check() {
	asked, ages := time.Now(), make([]time.Duration, len(f.hosts))
	for i, h := range f.hosts {
		ages[i] = h.age()
	}
	time.Sleep(noticeTime)
	for i, h := range f.hosts {
		if ages[i] < time.Hour {
			if what := f.missing(h, asked.Add(-ages[i])); what != "" {
				f.t.Errorf("host %s has a copy confirmed %v ago, but %s", h.name, ages[i], what)
			}
		}
		if !h.healthyFrom.IsZero() && time.Since(h.healthyFrom) > inTouchAfter {
			if what := f.missing(h, asked.Add(-applyTime)); what != "" {
				f.t.Errorf("host %s in touch: %s", h.name, what)
			}
		}
	}
}

// injectFault starts a random fault of a host and returns the function that ends
// it. Hosts with low names read the store for the others, so they are hit more
// often.
func (f *fleet) injectFault(rng *rand.Rand) (string, func()) {
	h := f.hosts[rng.IntN(1+rng.IntN(len(f.hosts)))]
	if h.healthyFrom.IsZero() {
		return "", func() {}
	}
	h.healthyFrom = time.Time{}
	end := func() { h.healthyFrom = time.Now() }
	switch rng.IntN(4) {
	case 0:
		h.storeLink.silent.Store(true)
		link := h.storeLink
		return h.name + " loses the store", func() { link.silent.Store(false); end() }
	case 1:
		h.storeLink.refuse.Store(true)
		link := h.storeLink
		return h.name + " is refused by the store", func() { link.refuse.Store(false); end() }
	case 2:
		h.partitioned.Store(true)
		f.network.Isolate(peer.HostID(h.name), true)
		return h.name + " is cut off from its peers", func() {
			f.network.Isolate(peer.HostID(h.name), false)
			h.partitioned.Store(false)
			end()
		}
	default:
		h.stop()
		f.network.Remove(peer.HostID(h.name))
		_ = h.udp.Close()
		return h.name + " is killed", func() { f.boot(h); f.shareMembers(); end() }
	}
}

// Changes of the configuration and of servers while hosts of a fleet with
// delegates are killed, cut off from each other and from the store, several at a
// time. A host in touch that misses a change serves by an old version or sends
// requests to a server that leaves; a host that takes an old copy for the newest
// one does so without end.
func TestChangesReachHostsInTouchDespiteFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			testChangesDespiteFaults(t, seed, 12*time.Second)
		})
	}
}

func testChangesDespiteFaults(t *testing.T, seed uint64, length time.Duration) {
	rng := rand.New(rand.NewPCG(seed, seed))
	f := newFleet(t, 15)
	f.change(1)
	for _, h := range f.hosts {
		eventually(t, "all have a copy", 10*time.Second, func() bool { return h.value(prefix+"counter") == "1" })
		h.healthyFrom = time.Now()
	}
	type fault struct {
		until time.Time
		end   func()
	}
	var faults []fault
	counter, nextChange, nextFault := 1, time.Now(), time.Now()
	for started := time.Now(); time.Since(started) < length && !t.Failed(); {
		now := time.Now()
		if now.After(nextChange) {
			counter++
			f.change(counter)
			nextChange = now.Add(time.Duration(rng.IntN(500)) * time.Millisecond)
		}
		if now.After(nextFault) && len(faults) < 4 {
			what, end := f.injectFault(rng)
			if what != "" {
				t.Logf("%5.2f s: %s", time.Since(started).Seconds(), what)
			}
			faults = append(faults, fault{now.Add(time.Duration(300+rng.IntN(2500)) * time.Millisecond), end})
			nextFault = now.Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		for i := 0; i < len(faults); i++ {
			if now.After(faults[i].until) {
				faults[i].end()
				faults = append(faults[:i], faults[i+1:]...)
				i--
			}
		}
		f.check()
	}
	for _, x := range faults {
		x.end()
	}
}

// The reader and its successors lose the store, so the other hosts of a fleet with
// delegates read it themselves, later than in a small fleet. That is no outage of
// the store: hosts that took it for one would use servers whose entries were removed
// meanwhile for two seconds more, and send requests to servers that have left.
func TestTakeOverInLargeFleetIsNoOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 15)
	f.change(1)
	for _, h := range f.hosts {
		eventually(t, "all have a copy", 10*time.Second, func() bool { return h.value(prefix+"counter") == "1" })
	}
	time.Sleep(time.Second)
	coordinators := map[string]bool{}
	for _, m := range f.hosts[0].cluster.Coordinators() {
		coordinators[m.Name] = true
	}
	if len(coordinators) != 3 {
		t.Fatalf("coordinators %v, want one for each of three zones", coordinators)
	}
	for _, h := range f.hosts {
		h.storeLink.silent.Store(coordinators[h.name])
	}
	time.Sleep(2 * time.Second)
	f.change(2)
	for _, h := range f.hosts {
		if !coordinators[h.name] {
			eventually(t, "the change has arrived", applyTime, func() bool { return h.value(prefix+"counter") == "2" })
		}
	}
	time.Sleep(time.Second)
	f.change(3)
	for _, h := range f.hosts {
		if coordinators[h.name] {
			continue
		}
		eventually(t, "the next change has arrived", applyTime, func() bool { return h.value(prefix+"counter") == "3" })
		if back := h.returnedAt(); !back.IsZero() {
			t.Errorf("host %s recorded the end of an outage %v ago", h.name, time.Since(back))
		}
	}
}

// The store turns the reader of a fleet with delegates away. The next coordinator must
// read at once, whenever it last looked at the age of its copy: if it waits until the
// copy is old, a change made meanwhile comes into force too late at every host.
func TestSuccessorOfReaderReadsAtOnce(t *testing.T) {
	t.Parallel()
	for quiet := 1600 * time.Millisecond; quiet < 3500*time.Millisecond; quiet += 300 * time.Millisecond {
		t.Run(quiet.String(), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 15)
			f.change(1)
			for _, h := range f.hosts {
				eventually(t, "all have a copy", 10*time.Second, func() bool { return h.value(prefix+"counter") == "1" })
			}
			time.Sleep(quiet)
			reader := f.hosts[0]
			if !reader.informer.IsReader() {
				t.Fatal("the first host is not the reader")
			}
			reader.storeLink.refuse.Store(true)
			eventually(t, "the reader notices", time.Second, func() bool { return !reader.informer.StoreReachable() })
			f.change(2)
			lag := reader.cluster.MaxLag()
			for _, h := range f.hosts { // one lag for the news of the reader, one for the change
				eventually(t, h.name+" has the change", 2*lag, func() bool { return h.value(prefix+"counter") == "2" })
			}
		})
	}
}
