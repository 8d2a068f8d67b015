// Package cluster exchanges small digests between the entry hosts over UDP:
// who is alive, and named sections that other packages provide and receive.
//
// In a small fleet every host sends to every other one. In a large fleet each
// availability zone has a delegate, its largest live host, and a deputy. Hosts
// send to these two; the delegate sends the merged sections of its zone to the
// delegates of the other zones, and those of all zones to the hosts of its own,
// so that a host's traffic does not grow with the square of the fleet.
//
// A digest echoes the last one that its sender had received from the
// recipient, so that statements about ages can be dated on the recipient's own
// clock.
package cluster

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/core/freshness"
)

const (
	// digestInterval is how often each peer gets a digest. Streams last about
	// half a second, so that counts of requests in flight stay useful.
	digestInterval = 250 * time.Millisecond
	// fullEvery is how often a digest names the sender's address and zone,
	// which peers keep. Bytes between zones are accounted.
	fullEvery = 8
	// urgentGap is the least time between digests that are sent early, and
	// soonGap the same for news that may wait, such as new work in flight.
	urgentGap = 20 * time.Millisecond
	soonGap   = 100 * time.Millisecond
	// AliveTimeout is how long a host counts as alive after its last digest; three
	// digests may be lost or late.
	AliveTimeout = time.Second
	// smallFleet is the number of hosts up to which all send to all.
	smallFleet = 12
	// delegates is the number of hosts of a zone that know all of it.
	delegates = 2
	// maxDatagram is the largest UDP payload over IPv4.
	maxDatagram = 65507
)

var counters = expvar.NewMap("cluster")

// Member is one process of the fleet.
type Member struct {
	Name        string `json:"n"`           // of the host, the same after a restart
	Incarnation int64  `json:"i"`           // new for each process, larger for a later one
	Address     string `json:"a,omitempty"` // IP and port for peers, TCP and UDP
	Zone        string `json:"z,omitempty"`
	Size        int    `json:"s,omitempty"` // thousandths of a core
	Leaving     bool   `json:"l,omitempty"`
}

// sections are a digest's sections by name.
type sections map[string]json.RawMessage

// digest is one datagram.
type digest struct {
	From     Member            `json:"f"`
	Sent     freshness.Instant `json:"t"` // on the sender's clock
	Echo     freshness.Instant `json:"e"` // Sent of the last digest from the recipient
	EchoOf   int64             `json:"o"` // incarnation of the recipient that sent it
	Sections sections          `json:"d"`
	Zones    []zoneDigest      `json:"m,omitempty"` // from delegates of a large fleet
}

// zoneDigest is the merged sections of a zone's hosts, the recipient left out.
type zoneDigest struct {
	Zone     string   `json:"z"`
	Hosts    []string `json:"h"`
	Leaving  []string `json:"l,omitempty"`
	Set      int64    `json:"x"` // identifies the processes that were merged
	Sections sections `json:"d"`
}

// SectionUpdate is a section that a peer, or several together, sent.
type SectionUpdate struct {
	// From is the peer. For merged sections its name is that of the zone with
	// a slash before it, and its incarnation identifies the merged processes.
	From   Member
	Merged bool
	Raw    json.RawMessage
	// Echoed is this host's clock when it sent the last digest that the peer
	// had received before it made this one. Known is false when the peer had
	// received none.
	Echoed freshness.Instant
	Known  bool
}

// Peer is what is known of another host.
type Peer struct {
	Member
	Heard    time.Time // last digest of it, or of its zone with it; zero when none came
	direct   time.Time // last digest of it
	lastSent freshness.Instant
	sections sections // of its last digest, kept by delegates
}

// Alive reports whether a peer was heard of recently.
func (p Peer) Alive(now time.Time) bool { return now.Sub(p.Heard) < AliveTimeout }

// MergeFunc merges the values of a section of several hosts.
type MergeFunc func(values []json.RawMessage) (any, error)

// Options configures a Cluster. Self and Conn are required.
type Options struct {
	Self   Member
	Conn   net.PacketConn
	Logger *slog.Logger
}

// Cluster is this host's part in the exchange. It is safe for concurrent use.
type Cluster struct {
	opts     Options
	started  time.Time
	mu       sync.Mutex
	self     Member
	peers    map[string]*Peer
	names    []string              // of peers, sorted; nil after a change of the set
	remote   map[string]remoteZone // latest of each other zone, by zone
	provide  map[string]func() any
	merge    map[string]MergeFunc
	receive  map[string][]func(SectionUpdate)
	changed  []func()
	urgent   chan struct{}
	soon     chan struct{}
	lastSent time.Time
	sent     int // digests to each peer
}

// remoteZone is another zone's merged digest.
type remoteZone struct {
	zoneDigest
	at time.Time
}

// New returns a cluster of this host alone.
func New(opts Options) *Cluster {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	return &Cluster{
		opts: opts, self: opts.Self, started: time.Now(), peers: map[string]*Peer{}, remote: map[string]remoteZone{},
		provide: map[string]func() any{}, merge: map[string]MergeFunc{}, receive: map[string][]func(SectionUpdate){},
		urgent: make(chan struct{}, 1), soon: make(chan struct{}, 1),
	}
}

// Provide sets the source of a section of this host's digests. A nil result
// leaves the section out. Call it before Run.
func (c *Cluster) Provide(section string, fn func() any) { c.provide[section] = fn }

// Merge makes a section reach all hosts of a large fleet, merged by zone. A
// section without it reaches only the hosts that exchange digests directly.
// Call it before Run.
func (c *Cluster) Merge(section string, fn MergeFunc) { c.merge[section] = fn }

// Receive registers a receiver of a section. Call it before Run.
func (c *Cluster) Receive(section string, fn func(SectionUpdate)) {
	c.receive[section] = append(c.receive[section], fn)
}

// OnChange registers a function that is called when a peer appears, restarts,
// leaves or falls silent. Call it before Run.
func (c *Cluster) OnChange(fn func()) { c.changed = append(c.changed, fn) }

// Self returns this host.
func (c *Cluster) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Leave announces that this host shuts down.
func (c *Cluster) Leave() {
	c.mu.Lock()
	c.self.Leaving = true
	c.mu.Unlock()
	c.SendNow()
}

// SetMembers tells the hosts that are registered. Peers that are heard of
// without a registration stay until they fall silent.
func (c *Cluster) SetMembers(list []Member) {
	c.mu.Lock()
	registered := map[string]bool{}
	for _, m := range list {
		registered[m.Name] = true
		if m.Name == c.self.Name {
			continue
		}
		p, ok := c.peers[m.Name]
		switch {
		case !ok || p.Incarnation < m.Incarnation:
			c.peers[m.Name], c.names = &Peer{Member: m}, nil
		case p.Address == "":
			p.Address, p.Zone, p.Size = m.Address, m.Zone, m.Size
		}
	}
	now := time.Now()
	for name, p := range c.peers {
		if !registered[name] && !p.Alive(now) {
			delete(c.peers, name)
			c.names = nil
		}
	}
	c.mu.Unlock()
	c.notify()
}

// Peers returns all known other hosts, sorted by name.
func (c *Cluster) Peers() []Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Peer, 0, len(c.peers))
	for _, name := range c.sortedNames() {
		out = append(out, *c.peers[name])
	}
	return out
}

// sortedNames returns the names of all peers. The caller holds mu and does not
// change the result.
func (c *Cluster) sortedNames() []string {
	if c.names == nil {
		c.names = slices.Sorted(maps.Keys(c.peers))
	}
	return c.names
}

// Alive returns the peers that were heard of recently and do not leave.
func (c *Cluster) Alive() []Peer {
	now := time.Now()
	return slices.DeleteFunc(c.Peers(), func(p Peer) bool { return !p.Alive(now) || p.Leaving })
}

// SendNow sends the next digests at once.
func (c *Cluster) SendNow() { ask(c.urgent) }

// SendSoon sends the next digests earlier than usual.
func (c *Cluster) SendSoon() { ask(c.soon) }

func ask(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	go c.read(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.urgent:
			if c.postpone(timer, urgentGap) {
				continue
			}
		case <-c.soon:
			if c.postpone(timer, soonGap) {
				continue
			}
		}
		c.send()
		timer.Reset(digestInterval)
	}
}

// postpone sets the timer to the end of the gap after the last digests. It
// reports false when that is over.
func (c *Cluster) postpone(timer *time.Timer, gap time.Duration) bool {
	since := time.Since(c.lastSent)
	if since >= gap {
		return false
	}
	timer.Reset(gap - since)
	return true
}

// send sends a digest to every host that this one exchanges digests with.
func (c *Cluster) send() {
	c.lastSent = time.Now()
	c.sent++
	own := c.sections()
	now := time.Now()
	c.mu.Lock()
	self := c.self
	if c.sent%fullEvery != 0 && c.sent > fullEvery {
		self.Address, self.Zone, self.Size = "", "", 0
	}
	out := c.outgoing(own, now)
	c.mu.Unlock()
	c.notifySilent()
	for _, o := range out {
		o.From, o.Sent = self, bootclock.Now()
		c.sendTo(o.address, o.digest)
	}
}

func (c *Cluster) sections() sections {
	out := make(sections, len(c.provide))
	for name, fn := range c.provide {
		value := fn()
		if value == nil {
			continue
		}
		raw, err := json.Marshal(value)
		if err != nil {
			c.opts.Logger.Error("digest section not encoded", "step", "encode digest", "section", name, "error", err)
			continue
		}
		out[name] = raw
	}
	return out
}

func (c *Cluster) sendTo(address string, d digest) {
	raw, err := encode(d)
	if err != nil {
		counters.Add("unsendable", 1)
		c.opts.Logger.Error("digest not sent", "event", "digest_unsendable", "step", "encode digest", "peer", address, "error", err)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		c.opts.Logger.Warn("peer address unusable", "step", "send digest", "peer", address, "error", err)
		return
	}
	counters.Add("bytes_sent", int64(len(raw)))
	if _, err := c.opts.Conn.WriteTo(raw, to); err != nil {
		counters.Add("send_failures", 1) // the next digest repeats everything
	}
}

var errTooLarge = errors.New("digest is too large without any section")

// encode encodes a digest. Above the size of a datagram it leaves out the
// largest sections: who is alive must always get through.
func encode(d digest) ([]byte, error) {
	for {
		raw, err := json.Marshal(d)
		if err != nil || len(raw) <= maxDatagram {
			return raw, err
		}
		counters.Add("sections_left_out", 1)
		if !d.dropLargest() {
			return nil, errors.Wrapf(errTooLarge, "%d bytes", len(raw))
		}
	}
}

// dropLargest removes the largest section, and reports false when there is
// none. Maps of sections are shared between digests and are copied.
func (d *digest) dropLargest() bool {
	size, name, zone := 0, "", -1
	look := func(s sections, at int) {
		for n, raw := range s {
			if len(raw) > size {
				size, name, zone = len(raw), n, at
			}
		}
	}
	look(d.Sections, -1)
	for i, z := range d.Zones {
		look(z.Sections, i)
	}
	if name == "" {
		return false
	}
	if zone < 0 {
		d.Sections = maps.Clone(d.Sections)
		delete(d.Sections, name)
		return true
	}
	d.Zones = slices.Clone(d.Zones)
	d.Zones[zone].Sections = maps.Clone(d.Zones[zone].Sections)
	delete(d.Zones[zone].Sections, name)
	return true
}

// read receives digests until the socket is closed.
func (c *Cluster) read(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := c.opts.Conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			counters.Add("read_failures", 1)
			continue
		}
		var d digest
		if err := json.Unmarshal(buf[:n], &d); err != nil {
			counters.Add("undecodable", 1)
			continue
		}
		c.accept(d)
	}
}

// accept takes over a digest. Digests of an earlier process of the host, or
// that were overtaken by a later one, are dropped.
func (c *Cluster) accept(d digest) {
	now := time.Now()
	c.mu.Lock()
	p, ok := c.peers[d.From.Name]
	stale := ok && (p.Incarnation > d.From.Incarnation || (p.Incarnation == d.From.Incarnation && p.lastSent >= d.Sent))
	if d.From.Name == c.self.Name || d.From.Name == "" || stale {
		c.mu.Unlock()
		return
	}
	if ok && d.From.Address == "" {
		d.From.Address, d.From.Zone, d.From.Size = p.Address, p.Zone, p.Size
	}
	news := !ok || p.Incarnation != d.From.Incarnation || p.Leaving != d.From.Leaving || !p.Alive(now)
	if !ok {
		c.names = nil
	}
	c.peers[d.From.Name] = &Peer{Member: d.From, Heard: now, direct: now, lastSent: d.Sent, sections: d.Sections}
	known := d.Echo != 0 && d.EchoOf == c.self.Incarnation
	apart := c.mergedElsewhere(d.From, now)
	zones := c.acceptZones(d.Zones, now)
	c.mu.Unlock()
	if news {
		c.opts.Logger.Info("peer heard", "event", "peer_alive", "peer", d.From.Name, "incarnation", d.From.Incarnation, "leaving", d.From.Leaving)
		c.notify()
	}
	for section, raw := range d.Sections {
		if _, merged := c.merge[section]; merged && apart {
			continue // it comes with its zone's merged sections
		}
		c.deliver(section, SectionUpdate{From: d.From, Raw: raw, Echoed: d.Echo, Known: known})
	}
	for _, z := range zones {
		from := Member{Name: "/" + z.Zone, Incarnation: z.Set, Zone: z.Zone}
		for section, raw := range z.Sections {
			c.deliver(section, SectionUpdate{From: from, Merged: true, Raw: raw})
		}
	}
}

func (c *Cluster) deliver(section string, n SectionUpdate) {
	for _, fn := range c.receive[section] {
		fn(n)
	}
}

// notifySilent reports peers that fell silent since the last call.
func (c *Cluster) notifySilent() {
	now := time.Now()
	silent := false
	c.mu.Lock()
	for _, p := range c.peers {
		quiet := now.Sub(p.Heard)
		if !p.Heard.IsZero() && quiet >= AliveTimeout && quiet < AliveTimeout+2*digestInterval {
			silent = true
		}
	}
	c.mu.Unlock()
	if silent {
		c.notify()
	}
}

func (c *Cluster) notify() {
	for _, fn := range c.changed {
		fn()
	}
}

// setOf identifies the processes whose sections were merged.
func setOf(members []Member) int64 {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(m.Name) // a hash does not fail
		_, _ = h.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return int64(h.Sum64() >> 1)
}
