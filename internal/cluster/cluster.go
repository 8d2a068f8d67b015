// Package cluster exchanges small digests between the entry hosts over UDP. They
// serve for liveness detection and carry named sections, which other packages
// provide and receive.
//
// In a small fleet every host sends to every other one. In a large fleet each
// availability zone has a delegate, its largest live host, and a deputy. Hosts
// send to these two. The delegate sends the merged sections of its zone to the
// delegates and deputies of the other zones, and those of all zones to the hosts
// of its own zone. The total traffic therefore does not grow with the square of
// the number of hosts.
//
// A digest echoes the timestamp of the last one that its sender received from
// the recipient. The recipient can therefore convert ages stated in the digest
// to times on its own clock.
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
	// half a second, so counts of requests in flight are still useful then.
	digestInterval = 250 * time.Millisecond
	// Every fullDigestEvery-th digest contains the sender's address, zone and
	// size, which peers remember. The others omit them because traffic between
	// zones is metered.
	fullDigestEvery = 8
	// sendNowGap and sendSoonGap are the least times between two rounds of
	// digests after SendNow and SendSoon.
	sendNowGap  = 20 * time.Millisecond
	sendSoonGap = 100 * time.Millisecond
	// AliveTimeout is how long a host counts as alive after its last digest, so
	// three digests may be lost or late.
	AliveTimeout = time.Second
	// maxFullMeshHosts is the largest fleet without delegates, in which every
	// host sends to every other one.
	maxFullMeshHosts = 12
	// delegatesPerZone counts the delegate and the deputy, which receive the
	// digests of all hosts of their zone.
	delegatesPerZone = 2
	// maxDatagram is the largest UDP payload over IPv4.
	maxDatagram = 65507
)

var counters = expvar.NewMap("cluster")

// Member is one process of the fleet.
type Member struct {
	Name        string `json:"n"`           // of the host, kept across restarts
	Incarnation int64  `json:"i"`           // of the process, increases with each restart
	Address     string `json:"a,omitempty"` // IP and port for peers, both TCP and UDP
	Zone        string `json:"z,omitempty"`
	Size        int    `json:"s,omitempty"` // thousandths of a core
	Leaving     bool   `json:"l,omitempty"`
}

// sections holds a digest's sections by name.
type sections map[string]json.RawMessage

// digest is one datagram.
type digest struct {
	From     Member            `json:"f"`
	Sent     freshness.Instant `json:"t"` // on the sender's clock
	Echo     freshness.Instant `json:"e"` // Sent of the last digest from the recipient
	EchoOf   int64             `json:"o"` // incarnation of the recipient that sent that digest
	Sections sections          `json:"d"`
	Zones    []zoneDigest      `json:"m,omitempty"` // from delegates of a large fleet
}

// zoneDigest holds the merged sections of a zone's hosts without the recipient.
type zoneDigest struct {
	Zone        string   `json:"z"`
	Hosts       []string `json:"h"`
	Leaving     []string `json:"l,omitempty"`
	MembersHash int64    `json:"x"` // identifies the processes that were merged
	Sections    sections `json:"d"`
}

// SectionUpdate is a received section, of one peer or merged from several.
type SectionUpdate struct {
	// From is the peer. For a merged section its name is a slash followed by the
	// zone's name, and its incarnation identifies the merged processes.
	From   Member
	Merged bool
	Raw    json.RawMessage
	// EchoedSentAt is the time on this host's clock at which it sent the last
	// digest that the peer received before it sent this one. EchoKnown is false if
	// the peer had received none.
	EchoedSentAt freshness.Instant
	EchoKnown    bool
}

// Peer is the state of another host.
type Peer struct {
	Member
	Seen       time.Time         // last digest from it, directly or merged into its zone's; zero if none
	lastDirect time.Time         // last digest received directly from it
	lastSent   freshness.Instant // Sent of that digest
	sections   sections          // of that digest, for delegates to merge
}

// Alive reports whether the peer's last digest is recent.
func (p Peer) Alive(now time.Time) bool { return now.Sub(p.Seen) < AliveTimeout }

// MergeFunc merges the values of a section of several hosts.
type MergeFunc func(values []json.RawMessage) (any, error)

// Options configures a Cluster. Self and Conn are required.
type Options struct {
	Self   Member
	Conn   net.PacketConn
	Logger *slog.Logger
}

// Cluster sends and receives this host's digests. It is safe for concurrent use.
type Cluster struct {
	opts            Options
	started         time.Time
	mu              sync.Mutex
	self            Member
	peers           map[string]*Peer
	names           []string              // sorted keys of peers; nil after one was added or removed
	remote          map[string]remoteZone // latest merged digest of each other zone, by zone
	providers       map[string]func() any
	mergers         map[string]MergeFunc
	receivers       map[string][]func(SectionUpdate)
	changeListeners []func()
	sendNow         chan struct{}
	sendSoon        chan struct{}
	lastSent        time.Time
	rounds          int // rounds of digests sent
}

// remoteZone is another zone's merged digest.
type remoteZone struct {
	zoneDigest
	receivedAt time.Time
}

// New returns a Cluster without peers.
func New(opts Options) *Cluster {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	return &Cluster{
		opts: opts, self: opts.Self, started: time.Now(), peers: map[string]*Peer{}, remote: map[string]remoteZone{},
		providers: map[string]func() any{}, mergers: map[string]MergeFunc{}, receivers: map[string][]func(SectionUpdate){},
		sendNow: make(chan struct{}, 1), sendSoon: make(chan struct{}, 1),
	}
}

// Provide sets the function that returns a section of this host's digests. A nil
// result omits the section. Call it before Run.
func (c *Cluster) Provide(section string, fn func() any) { c.providers[section] = fn }

// Merge sets the function with which delegates merge a section, so that it
// reaches all hosts of a large fleet. Other sections reach only the hosts that
// receive the digest directly. Call it before Run.
func (c *Cluster) Merge(section string, fn MergeFunc) { c.mergers[section] = fn }

// Receive registers a receiver of a section. Call it before Run.
func (c *Cluster) Receive(section string, fn func(SectionUpdate)) {
	c.receivers[section] = append(c.receivers[section], fn)
}

// OnChange registers a function that is called when a peer appears, restarts,
// leaves or times out. Call it before Run.
func (c *Cluster) OnChange(fn func()) { c.changeListeners = append(c.changeListeners, fn) }

// Self returns this host's own entry.
func (c *Cluster) Self() Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.self
}

// Leave announces to the peers that this host is shutting down.
func (c *Cluster) Leave() {
	c.mu.Lock()
	c.self.Leaving = true
	c.mu.Unlock()
	c.SendNow()
}

// SetMembers sets the registered hosts. Peers without a registration stay until
// they time out.
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

// sortedNames returns the names of all peers. The caller holds mu and must not
// modify the result.
func (c *Cluster) sortedNames() []string {
	if c.names == nil {
		c.names = slices.Sorted(maps.Keys(c.peers))
	}
	return c.names
}

// Alive returns the live peers that are not shutting down.
func (c *Cluster) Alive() []Peer {
	now := time.Now()
	return slices.DeleteFunc(c.Peers(), func(p Peer) bool { return !p.Alive(now) || p.Leaving })
}

// SendNow sends the next digests at once, or sendNowGap after the last ones.
func (c *Cluster) SendNow() { signal(c.sendNow) }

// SendSoon is SendNow with sendSoonGap, for changes that can wait a little, such
// as a newly started batch item.
func (c *Cluster) SendSoon() { signal(c.sendSoon) }

func signal(ch chan struct{}) {
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
		case <-c.sendNow:
			if c.postponeToGap(timer, sendNowGap) {
				continue
			}
		case <-c.sendSoon:
			if c.postponeToGap(timer, sendSoonGap) {
				continue
			}
		}
		c.send()
		timer.Reset(digestInterval)
	}
}

// postponeToGap sets the timer to the end of the gap after the last digests. It
// reports false if the gap has already passed.
func (c *Cluster) postponeToGap(timer *time.Timer, gap time.Duration) bool {
	since := time.Since(c.lastSent)
	if since >= gap {
		return false
	}
	timer.Reset(gap - since)
	return true
}

// send sends one round of digests.
func (c *Cluster) send() {
	c.lastSent = time.Now()
	c.rounds++
	own := c.sections()
	now := time.Now()
	c.mu.Lock()
	self := c.self
	if c.rounds%fullDigestEvery != 0 && c.rounds > fullDigestEvery {
		self.Address, self.Zone, self.Size = "", "", 0
	}
	out := c.outgoing(own, now)
	c.mu.Unlock()
	c.notifySilentPeers()
	for _, o := range out {
		o.From, o.Sent = self, bootclock.Now()
		c.sendTo(o.address, o.digest)
	}
}

func (c *Cluster) sections() sections {
	out := make(sections, len(c.providers))
	for name, fn := range c.providers {
		value := fn()
		if value == nil {
			continue
		}
		raw, err := json.Marshal(value)
		if err != nil {
			c.opts.Logger.Error("cannot encode digest section", "step", "encode digest", "section", name, "error", err)
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
		c.opts.Logger.Error("cannot encode digest", "event", "digest_unsendable", "step", "encode digest", "peer", address, "error", err)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		c.opts.Logger.Warn("cannot resolve peer address", "step", "send digest", "peer", address, "error", err)
		return
	}
	counters.Add("bytes_sent", int64(len(raw)))
	if _, err := c.opts.Conn.WriteTo(raw, to); err != nil {
		counters.Add("send_failures", 1) // not retried: the next digest contains the same state
	}
}

var errTooLarge = errors.New("digest without sections exceeds a datagram")

// encode encodes a digest. It omits the largest sections of a digest that
// exceeds a datagram, so that peers do not time out.
func encode(d digest) ([]byte, error) {
	for {
		raw, err := json.Marshal(d)
		if err != nil || len(raw) <= maxDatagram {
			return raw, err
		}
		counters.Add("sections_left_out", 1)
		if !d.dropLargestSection() {
			return nil, errors.Wrapf(errTooLarge, "%d bytes", len(raw))
		}
	}
}

// dropLargestSection removes the largest section. It reports false if there is
// none. It copies the map of sections, which other digests share.
func (d *digest) dropLargestSection() bool {
	size, name, zone := 0, "", -1
	consider := func(s sections, at int) {
		for n, raw := range s {
			if len(raw) > size {
				size, name, zone = len(raw), n, at
			}
		}
	}
	consider(d.Sections, -1)
	for i, z := range d.Zones {
		consider(z.Sections, i)
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

// accept processes a received digest. It drops digests of an earlier process of
// the host and those that arrive after a newer one.
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
	membershipChanged := !ok || p.Incarnation != d.From.Incarnation || p.Leaving != d.From.Leaving || !p.Alive(now)
	if !ok {
		c.names = nil
	}
	c.peers[d.From.Name] = &Peer{Member: d.From, Seen: now, lastDirect: now, lastSent: d.Sent, sections: d.Sections}
	echoKnown := d.Echo != 0 && d.EchoOf == c.self.Incarnation
	viaZone := c.receivesMerged(d.From, now)
	zones := c.acceptZones(d.Zones, now)
	c.mu.Unlock()
	if membershipChanged {
		c.opts.Logger.Info("peer alive", "event", "peer_alive", "peer", d.From.Name, "incarnation", d.From.Incarnation, "leaving", d.From.Leaving)
		c.notify()
	}
	for section, raw := range d.Sections {
		if _, merged := c.mergers[section]; merged && viaZone {
			continue // it arrives merged with those of its zone
		}
		c.deliver(section, SectionUpdate{From: d.From, Raw: raw, EchoedSentAt: d.Echo, EchoKnown: echoKnown})
	}
	for _, z := range zones {
		from := Member{Name: "/" + z.Zone, Incarnation: z.MembersHash, Zone: z.Zone}
		for section, raw := range z.Sections {
			c.deliver(section, SectionUpdate{From: from, Merged: true, Raw: raw})
		}
	}
}

func (c *Cluster) deliver(section string, n SectionUpdate) {
	for _, fn := range c.receivers[section] {
		fn(n)
	}
}

// notifySilentPeers calls the change listeners if a peer timed out since the
// last call.
func (c *Cluster) notifySilentPeers() {
	now := time.Now()
	silent := false
	c.mu.Lock()
	for _, p := range c.peers {
		silence := now.Sub(p.Seen)
		if !p.Seen.IsZero() && silence >= AliveTimeout && silence < AliveTimeout+2*digestInterval {
			silent = true
		}
	}
	c.mu.Unlock()
	if silent {
		c.notify()
	}
}

func (c *Cluster) notify() {
	for _, fn := range c.changeListeners {
		fn()
	}
}

// membersHash identifies the set of processes whose sections were merged.
func membersHash(members []Member) int64 {
	h := xxhash.New()
	for _, m := range members {
		_, _ = h.WriteString(m.Name) // a hash does not fail
		_, _ = h.Write([]byte{0, byte(m.Incarnation), byte(m.Incarnation >> 8), byte(m.Incarnation >> 16), byte(m.Incarnation >> 24)})
	}
	return int64(h.Sum64() >> 1)
}
