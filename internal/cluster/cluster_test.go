package cluster

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"ragwortstep/internal/core/freshness"
)

// node is one host of a test fleet. Its section "sum" contains a number and is
// merged by addition; its section "near" is not merged.
type node struct {
	*Cluster
	udp  net.PacketConn
	stop context.CancelFunc
	mu   sync.Mutex
	sum  map[string]int // by source
	near map[string]bool
}

func (n *node) total() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	total := 0
	for _, v := range n.sum {
		total += v
	}
	return total
}

func mergeNumbers(values []Raw) (any, error) {
	sum := 0
	for _, raw := range values {
		var v int
		if err := cbor.Unmarshal(raw, &v); err != nil {
			return nil, err
		}
		sum += v
	}
	return sum, nil
}

// ownNumber returns the part of the receiving host in a merged number.
func ownNumber(update SectionUpdate) int {
	var own int
	if update.Own != nil && cbor.Unmarshal(update.Own, &own) != nil {
		return 1 << 20 // makes the test's total wrong
	}
	return own
}

// encoded returns the encoding of a section.
func encoded(t testing.TB, value any) Raw {
	t.Helper()
	raw, err := cbor.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// fleet starts hosts in zones of the given sizes.
func fleet(t *testing.T, zones ...int) []*node {
	t.Helper()
	var nodes []*node
	var members []Member
	for z, size := range zones {
		for i := range size {
			udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			self := Member{
				Name: fmt.Sprintf("h%d-%02d", z, i), Incarnation: 1, Address: udp.LocalAddr().String(), Zone: fmt.Sprint("z", z), Size: 100 * (i % 3),
			}
			members = append(members, self)
			n := &node{udp: udp, sum: map[string]int{}, near: map[string]bool{}}
			n.Cluster = New(Options{Self: self, Conn: udp, Logger: slog.New(slog.DiscardHandler)})
			n.Provide("sum", func() any { return 1 })
			n.Merge("sum", mergeNumbers)
			n.Receive("sum", func(update SectionUpdate) {
				var v int
				if err := cbor.Unmarshal(update.Raw, &v); err != nil {
					t.Error(err)
				}
				n.mu.Lock()
				defer n.mu.Unlock()
				n.sum[update.From.Name] = v - ownNumber(update)
			})
			n.Provide("near", func() any { return true })
			n.Receive("near", func(update SectionUpdate) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.near[update.From.Name] = update.EchoKnown
			})
			nodes = append(nodes, n)
		}
	}
	for _, n := range nodes {
		n.SetMembers(members)
		ctx, cancel := context.WithCancel(context.Background())
		n.stop = func() { cancel(); _ = n.udp.Close() }
		t.Cleanup(n.stop)
		go n.Run(ctx)
	}
	return nodes
}

func within(t *testing.T, d time.Duration, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(d); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", d, what)
		}
	}
}

// The sections of every host must reach every other one exactly once, in fleets
// with and without delegates.
func TestSectionsReachAllHosts(t *testing.T) {
	t.Parallel()
	for _, zones := range [][]int{{4, 4}, {20, 15, 10}} {
		nodes := fleet(t, zones...)
		for _, n := range nodes {
			within(t, 5*time.Second, fmt.Sprintf("%s of %d counts the others: %d", n.Self().Name, len(nodes), n.total()), func() bool {
				return n.total() == len(nodes)-1 && len(n.Alive()) == len(nodes)-1
			})
		}
	}
}

// In a large fleet, hosts other than delegates and deputies must not receive
// digests directly from every host.
func TestOnlyDelegatesReceiveAllDigests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	nodes := fleet(t, 20, 20, 20)
	for _, n := range nodes {
		within(t, 6*time.Second, "hosts see each other", func() bool { return len(n.Alive()) == len(nodes)-1 })
	}
	crowded := 0
	for _, n := range nodes {
		n.mu.Lock()
		if len(n.near) > 3 { // besides the delegate and its deputy
			crowded++
		}
		n.mu.Unlock()
	}
	is.True(crowded <= 2*3) // delegates and deputies
}

// The hosts of a zone must not time out for good when its delegate fails;
// another host of the zone takes over.
func TestFailedDelegateIsReplaced(t *testing.T) {
	t.Parallel()
	nodes := fleet(t, 12, 12)
	for _, n := range nodes {
		within(t, 6*time.Second, "hosts see each other", func() bool { return len(n.Alive()) == len(nodes)-1 })
	}
	first := nodes[0].Coordinators()
	gone := map[string]bool{}
	for _, n := range nodes {
		for _, m := range first {
			if n.Self().Name == m.Name {
				n.stop()
				gone[m.Name] = true
			}
		}
	}
	for _, n := range nodes {
		if gone[n.Self().Name] {
			continue
		}
		within(t, 8*time.Second, "the remaining hosts see each other again", func() bool { return len(n.Alive()) == len(nodes)-1-len(gone) })
	}
}

// EchoKnown and EchoedSentAt must refer to a digest of this process that the
// peer has received. Otherwise a statement of the peer would be dated too late.
func TestEchoRefersToReceivedDigest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	defer udp.Close()
	c := New(Options{Self: Member{Name: "a", Incarnation: 5}, Conn: udp, Logger: slog.New(slog.DiscardHandler)})
	var got []SectionUpdate
	c.Receive("near", func(n SectionUpdate) { got = append(got, n) })
	send := func(sent, echo, echoOf int64) {
		c.accept(digest{
			header{From: Member{Name: "b", Incarnation: 1}, Sent: 100 + freshness.Instant(sent), Echo: freshness.Instant(echo), EchoOf: echoOf},
			body{Sections: sections{"near": encoded(t, 1)}},
		})
	}
	send(1, 0, 0)  // has received nothing
	send(2, 70, 4) // of an earlier process of this host
	send(3, 70, 5)
	send(3, 80, 5) // duplicate
	send(2, 90, 5) // arrives after a newer one
	is.Equal(len(got), 3)
	is.True(!got[0].EchoKnown && !got[1].EchoKnown && got[2].EchoKnown)
	is.Equal(got[2].EchoedSentAt, freshness.Instant(70))
}

// FuzzDigest checks that no datagram crashes the process.
func FuzzDigest(f *testing.F) {
	for _, zone := range []string{"y", "z"} {
		zones := []zoneDigest{{Zone: zone, Hosts: []uint32{nameHash("c")}, MembersHash: 3, Sections: sections{"sum": encoded(f, 2)}}}
		raw, err := encodeBody(body{Sections: sections{"near": encoded(f, 1)}, Zones: zones})
		if err != nil {
			f.Fatal(err)
		}
		if raw, err = encodeDigest(header{From: Member{Name: "b", Incarnation: 1, Address: "127.0.0.1:1", Zone: "z"}, Sent: 5}, raw); err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(raw))
	}
	var members []Member // of a large fleet, so that merged digests are processed
	for i := range maxFullMeshHosts {
		members = append(members, Member{Name: fmt.Sprint("m", i), Incarnation: 1, Zone: "z", Size: 1})
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		c := New(Options{Self: Member{Name: "a", Incarnation: 5, Zone: "z"}, Logger: slog.New(slog.DiscardHandler)})
		c.Merge("sum", mergeNumbers)
		c.SetMembers(members)
		if d, err := decodeDigest(raw); err == nil {
			c.accept(d)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.outgoing(sections{"sum": encoded(t, 1)}, time.Now())
		}
	})
}

// A section that exceeds a datagram must not prevent the digest from being sent.
// After hundreds of server failures in a large fleet, the section that lists
// them grew that large, and hosts took each other for dead.
func TestOversizedSectionIsOmitted(t *testing.T) {
	is := is.New(t)
	large := encoded(t, strings.Repeat("x", maxDatagram))
	shared := sections{"sum": encoded(t, 1), "big": large}
	b := body{Sections: shared, Zones: []zoneDigest{{Zone: "z", Hosts: []uint32{nameHash("b")}, Sections: sections{"big": large, "sum": encoded(t, 2)}}}}
	encodedBody, err := encodeBody(b)
	is.NoErr(err)
	raw, err := encodeDigest(header{From: Member{Name: "a"}}, encodedBody)
	is.NoErr(err)
	is.True(len(raw) <= maxDatagram)
	got, err := decodeDigest(raw)
	is.NoErr(err)
	is.Equal(got.Sections["sum"], encoded(t, 1))
	is.Equal(got.Zones[0].Sections["sum"], encoded(t, 2))
	is.Equal(len(got.Zones[0].Hosts), 1)
	is.Equal(len(shared), 2) // other digests share the map
}

// A receiver that panics on a malformed section must lose that section only: the
// process goes on, and the others of the digest and the next digest arrive.
func TestPanicOfReceiverLosesOneSection(t *testing.T) {
	is := is.New(t)
	c := New(Options{Self: Member{Name: "a", Incarnation: 5}, Logger: slog.New(slog.DiscardHandler)})
	c.Receive("bad", func(SectionUpdate) { panic("malformed") })
	good := 0
	c.Receive("good", func(SectionUpdate) { good++ })
	for sent := range Instant(3) {
		c.accept(digest{
			header{From: Member{Name: "b", Incarnation: 1}, Sent: sent + 1},
			body{Sections: sections{"bad": encoded(t, 1), "good": encoded(t, 1)}},
		})
	}
	is.Equal(good, 3)
	is.Equal(len(c.Alive()), 1)
}

// A function of another package that panicked while digests were made, merged or
// received, or after a change of peers, ended the process.
func TestPanicOfCallbackLosesItsResultOnly(t *testing.T) {
	is := is.New(t)
	c := New(Options{Self: Member{Name: "a", Incarnation: 5, Zone: "z", Size: 2}, Logger: slog.New(slog.DiscardHandler)})
	fault := func() any { panic("a fault") }
	c.Provide("bad", fault)
	c.Provide("good", func() any { return 1 })
	c.Merge("merged", func([]Raw) (any, error) { return fault(), nil })
	c.Merge("good", mergeNumbers)
	changed := make(chan struct{}, 1)
	c.OnChange(func() { fault() })
	c.OnChange(func() { signal(changed) })
	var members []Member
	for i := range maxFullMeshHosts {
		members = append(members, Member{Name: fmt.Sprint("m", i), Incarnation: 1, Zone: "z", Size: 1})
	}
	c.SetMembers(members)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.notifyChanges(ctx)
	for sent := range Instant(3) {
		d := digest{header{From: members[0], Sent: sent + 1}, body{Sections: sections{"merged": encoded(t, 1), "good": encoded(t, 1)}}}
		c.accept(d)
		own := c.ownSections()
		is.Equal(len(own), 1) // good
		c.mu.Lock()
		groups := c.outgoing(own, time.Now())
		c.mu.Unlock()
		zone := groups[0].body.Zones[0].Sections
		is.Equal(len(zone), 1)
		is.Equal(zone["good"], encoded(t, 2))
		c.mu.Lock()
		c.membershipChanged()
		c.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(5 * time.Second):
			t.Fatal("the second listener was not called")
		}
	}
}
