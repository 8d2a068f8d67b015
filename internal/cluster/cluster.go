// Package cluster exchanges small digests between the entry hosts over UDP:
// who is alive, and named sections that other packages provide and receive. A
// digest echoes the last one that its sender had received from the recipient,
// so that statements about ages can be dated on the recipient's own clock.
package cluster

import (
	"context"
	"encoding/json"
	"expvar"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

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
	// urgentGap is the least time between digests that are sent early.
	urgentGap = 20 * time.Millisecond
	// soonGap is the same for news that may wait, such as new work in flight.
	soonGap = 100 * time.Millisecond
	// AliveFor is how long a host counts as alive after its last digest; three
	// digests may be lost or late.
	AliveFor = time.Second
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
	Leaving     bool   `json:"l,omitempty"`
}

// digest is one datagram.
type digest struct {
	From     Member                     `json:"f"`
	Sent     freshness.Instant          `json:"t"` // on the sender's clock
	Echo     freshness.Instant          `json:"e"` // Sent of the last digest from the recipient
	EchoOf   int64                      `json:"o"` // incarnation of the recipient that sent it
	Sections map[string]json.RawMessage `json:"s"`
}

// News is a section of a peer's digest.
type News struct {
	From Member
	Raw  json.RawMessage
	// Echoed is this host's clock when it sent the last digest that the peer
	// had received before it made this one. Known is false when the peer had
	// received none.
	Echoed freshness.Instant
	Known  bool
}

// Peer is what is known of another host.
type Peer struct {
	Member
	Heard    time.Time // last digest, zero when none came
	lastSent freshness.Instant
}

// Options configures a Cluster. Self and Conn are required.
type Options struct {
	Self   Member
	Conn   net.PacketConn
	Logger *slog.Logger
}

// Cluster is this host's part in the exchange. It is safe for concurrent use.
type Cluster struct {
	opts     Options
	self     Member
	mu       sync.Mutex
	peers    map[string]*Peer
	provide  map[string]func() any
	receive  map[string][]func(News)
	urgent   chan struct{}
	soon     chan struct{}
	changed  []func()
	lastSent time.Time
	sent     int // digests to each peer
}

// New returns a cluster of this host alone.
func New(opts Options) *Cluster {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	return &Cluster{
		opts: opts, self: opts.Self, peers: map[string]*Peer{},
		provide: map[string]func() any{}, receive: map[string][]func(News){}, urgent: make(chan struct{}, 1), soon: make(chan struct{}, 1),
	}
}

// Provide sets the source of a section of this host's digests. A nil result
// leaves the section out. Call it before Run.
func (c *Cluster) Provide(section string, fn func() any) { c.provide[section] = fn }

// Receive registers a receiver of a section of the peers' digests. Call it
// before Run.
func (c *Cluster) Receive(section string, fn func(News)) {
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
	c.Hasten()
}

// SetMembers tells the hosts that are registered. Peers that are heard of
// without a registration stay until they fall silent.
func (c *Cluster) SetMembers(list []Member) {
	c.mu.Lock()
	registered := map[string]bool{}
	for _, m := range list {
		registered[m.Name] = true
		if p, ok := c.peers[m.Name]; ok && p.Incarnation >= m.Incarnation {
			continue
		}
		if m.Name != c.self.Name {
			c.peers[m.Name] = &Peer{Member: m}
		}
	}
	now := time.Now()
	for name, p := range c.peers {
		if !registered[name] && now.Sub(p.Heard) > AliveFor {
			delete(c.peers, name)
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
	for _, p := range c.peers {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Alive reports whether a peer was heard of recently.
func (p Peer) Alive(now time.Time) bool { return now.Sub(p.Heard) < AliveFor }

// Alive returns the peers that were heard of recently and do not leave.
func (c *Cluster) Alive() []Peer {
	now := time.Now()
	return slices.DeleteFunc(c.Peers(), func(p Peer) bool { return !p.Alive(now) || p.Leaving })
}

// Hasten sends the next digests at once.
func (c *Cluster) Hasten() { ask(c.urgent) }

// Soon sends the next digests earlier than usual.
func (c *Cluster) Soon() { ask(c.soon) }

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
	timer.Reset(min(gap, digestInterval) - since)
	return true
}

// send sends a digest to every peer.
func (c *Cluster) send() {
	c.lastSent = time.Now()
	c.sent++
	sections := c.sections()
	c.mu.Lock()
	self := c.self
	if c.sent%fullEvery != 0 && c.sent > fullEvery {
		self.Address, self.Zone = "", ""
	}
	type target struct {
		address string
		echo    freshness.Instant
		echoOf  int64
	}
	targets := make([]target, 0, len(c.peers))
	for _, p := range c.peers {
		targets = append(targets, target{p.Address, p.lastSent, p.Incarnation})
	}
	c.mu.Unlock()
	c.notifySilent()
	for _, t := range targets {
		if t.address == "" {
			continue // heard of before its address was known
		}
		c.sendTo(t.address, digest{From: self, Sent: bootclock.Now(), Echo: t.echo, EchoOf: t.echoOf, Sections: sections})
	}
}

func (c *Cluster) sections() map[string]json.RawMessage {
	out := make(map[string]json.RawMessage, len(c.provide))
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
	raw, err := json.Marshal(d)
	if err != nil || len(raw) > maxDatagram {
		counters.Add("unsendable", 1)
		c.opts.Logger.Error("digest not sent", "step", "encode digest", "peer", address, "bytes", len(raw), "error", err)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		c.opts.Logger.Warn("peer address unusable", "step", "send digest", "peer", address, "error", err)
		return
	}
	if _, err := c.opts.Conn.WriteTo(raw, to); err != nil {
		counters.Add("send_failures", 1) // the next digest repeats everything
	}
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
	c.mu.Lock()
	if d.From.Name == c.self.Name || d.From.Name == "" {
		c.mu.Unlock()
		return
	}
	p, ok := c.peers[d.From.Name]
	if ok && (p.Incarnation > d.From.Incarnation || (p.Incarnation == d.From.Incarnation && p.lastSent >= d.Sent)) {
		c.mu.Unlock()
		return
	}
	if ok && d.From.Address == "" {
		d.From.Address, d.From.Zone = p.Address, p.Zone
	}
	now := time.Now()
	news := !ok || p.Incarnation != d.From.Incarnation || p.Leaving != d.From.Leaving || !p.Alive(now)
	c.peers[d.From.Name] = &Peer{Member: d.From, Heard: now, lastSent: d.Sent}
	known := d.Echo != 0 && d.EchoOf == c.self.Incarnation
	c.mu.Unlock()
	if news {
		c.opts.Logger.Info("peer heard", "event", "peer_alive", "peer", d.From.Name, "incarnation", d.From.Incarnation, "leaving", d.From.Leaving)
		c.notify()
	}
	for section, raw := range d.Sections {
		for _, fn := range c.receive[section] {
			fn(News{From: d.From, Raw: raw, Echoed: d.Echo, Known: known})
		}
	}
}

// notifySilent reports peers that fell silent since the last call.
func (c *Cluster) notifySilent() {
	now := time.Now()
	silent := false
	c.mu.Lock()
	for _, p := range c.peers {
		quiet := now.Sub(p.Heard)
		if !p.Heard.IsZero() && quiet >= AliveFor && quiet < AliveFor+2*digestInterval {
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
