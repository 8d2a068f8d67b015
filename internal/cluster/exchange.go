package cluster

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/panics"
)

// sentSections holds the sections of one round of digests.
type sentSections struct {
	at       Instant
	sections sections
}

// sentHistory is how long the sections of sent digests are kept. A delegate
// merges the last digest of a host for AliveTimeout.
const sentHistory = 2 * AliveTimeout

// Run exchanges digests until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	go c.read(ctx)
	go c.notifyChanges(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.sendNow:
			if c.postpone(timer, sendNowGap) {
				continue
			}
		case <-c.sendSoon:
			if c.MaxHops() > 1 || c.postpone(timer, sendSoonGap) {
				continue
			}
		}
		c.send()
		timer.Reset(digestInterval)
	}
}

// postpone sets the timer to the end of the gap after the last digests. It
// reports false if the gap has already passed.
func (c *Cluster) postpone(timer *time.Timer, gap time.Duration) bool {
	if c.IsDelegate() {
		gap = max(gap, delegateGap)
	}
	since := time.Since(c.lastSent)
	if since >= gap {
		return false
	}
	timer.Reset(gap - since)
	return true
}

// notifyChanges calls the change listeners until ctx ends.
func (c *Cluster) notifyChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		}
		for _, fn := range c.changeListeners {
			c.callRecovered("handle change of peers", fn)
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeGap):
		}
	}
}

// send sends one round of digests.
func (c *Cluster) send() {
	c.lastSent = time.Now()
	c.rounds++
	own := c.ownSections()
	now, sentAt := time.Now(), bootclock.Now()
	c.mu.Lock()
	self := c.self
	if c.rounds%fullDigestEvery != 0 && c.rounds > fullDigestEvery {
		self.Address, self.Zone, self.Size = "", "", 0
	}
	c.remember(sentAt, own)
	groups := c.outgoing(own, now)
	c.mu.Unlock()
	for _, g := range groups {
		c.sendGroup(header{From: self, Sent: sentAt}, g)
	}
}

// remember keeps the sections of a round. The caller holds mu.
func (c *Cluster) remember(at Instant, own sections) {
	expired := 0
	for expired < len(c.sent) && at.Sub(c.sent[expired].at) > sentHistory {
		expired++
	}
	c.sent = append(c.sent[expired:], sentSections{at, own})
}

// ownPart returns this host's sections in the digest that it sent at the time,
// and false if they are no longer kept. The caller holds mu.
func (c *Cluster) ownPart(at Instant) (sections, bool) {
	for i := len(c.sent) - 1; i >= 0; i-- {
		if c.sent[i].at == at {
			return c.sent[i].sections, true
		}
	}
	return nil, false
}

func (c *Cluster) ownSections() sections {
	out := make(sections, len(c.providers))
	for name, fn := range c.providers {
		var value any
		if !c.callRecovered("provide section", func() { value = fn() }, "section", name) || value == nil {
			continue
		}
		raw, err := cbor.Marshal(value)
		if err != nil {
			c.opts.Logger.Error("cannot encode digest section", "step", "encode digest", "section", name, "error", err)
			continue
		}
		out[name] = raw
	}
	return out
}

// recipient is a peer that gets a digest.
type recipient struct {
	to     net.Addr
	echo   Instant
	echoOf int64
}

// group holds the recipients of one body.
type group struct {
	body       body
	recipients []recipient
}

// sendGroup sends a body to all recipients of a group.
func (c *Cluster) sendGroup(h header, g group) {
	if len(g.recipients) == 0 {
		return
	}
	encoded, err := encodeBody(g.body)
	if err != nil {
		counters.Add("unsendable", 1)
		c.opts.Logger.Error("cannot encode digest", "event", "digest_unsendable", "step", "encode digest", "recipients", len(g.recipients), "error", err)
		return
	}
	for _, r := range g.recipients {
		h.Echo, h.EchoOf = r.echo, r.echoOf
		raw, err := encodeDigest(h, encoded)
		if err != nil {
			c.opts.Logger.Error("cannot encode digest", "event", "digest_unsendable", "step", "encode digest", "peer", r.to.String(), "error", err)
			continue
		}
		counters.Add("bytes_sent", int64(len(raw)))
		if _, err := c.opts.Conn.WriteTo(raw, r.to); err != nil {
			counters.Add("send_failures", 1) // not retried: the next digest contains the same state
		}
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
		d, err := decodeDigest(buf[:n])
		if err != nil {
			counters.Add("undecodable", 1)
			continue
		}
		c.callRecovered("accept digest", func() { c.accept(d) }, "peer", d.From.Name)
	}
}

// accept processes a received digest. It drops digests of an earlier process of
// the host and those that arrive after a newer one.
func (c *Cluster) accept(d digest) {
	for _, u := range c.record(d, time.Now()) {
		c.deliver(u.section, u.SectionUpdate)
	}
}

// namedUpdate is an update with the name of its section.
type namedUpdate struct {
	section string
	SectionUpdate
}

// record updates the state of a digest's sender and returns the sections to
// deliver.
func (c *Cluster) record(d digest, now time.Time) []namedUpdate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.recordSender(&d, now) {
		return nil
	}
	r := c.rosterAt(now)
	viaZone := c.receivesMerged(d.From, r)
	echoKnown := d.Echo != 0 && d.EchoOf == c.self.Incarnation
	var out []namedUpdate
	for section, raw := range d.Sections {
		if _, merged := c.mergers[section]; merged && viaZone {
			continue // it arrives merged with those of its zone
		}
		out = append(out, namedUpdate{section, SectionUpdate{From: d.From, Raw: raw, EchoedSentAt: d.Echo, EchoKnown: echoKnown}})
	}
	for _, z := range c.acceptZones(d, now, r) {
		from := Member{Name: "/" + z.Zone, Incarnation: z.MembersHash, Zone: z.Zone}
		for section, raw := range z.Sections {
			out = append(out, namedUpdate{section, SectionUpdate{From: from, Merged: true, Raw: raw, Own: z.own[section]}})
		}
	}
	return out
}

// recordSender updates the state of a digest's sender and completes its entry. It
// reports false if the digest must be dropped. The caller holds mu.
func (c *Cluster) recordSender(d *digest, now time.Time) bool {
	p, ok := c.peers[d.From.Name]
	stale := ok && (p.Incarnation > d.From.Incarnation || (p.Incarnation == d.From.Incarnation && p.lastSent >= d.Sent))
	if d.From.Name == c.self.Name || d.From.Name == "" || stale {
		return false
	}
	if !ok {
		p = c.addPeer(d.From.Name)
	}
	if d.From.Address == "" {
		d.From.Address, d.From.Zone, d.From.Size = p.Address, p.Zone, p.Size
	}
	if !p.alive(now) || p.Member != d.From {
		c.opts.Logger.Info("peer alive", "event", "peer_alive", "peer", d.From.Name, "incarnation", d.From.Incarnation, "leaving", d.From.Leaving)
		c.membershipChanged()
	}
	p.setMember(d.From)
	p.seen, p.lastDirect, p.lastSent, p.sections = now, now, d.Sent, d.Sections
	return true
}

// deliver passes a section to its receivers.
func (c *Cluster) deliver(section string, n SectionUpdate) {
	c.callRecovered("receive digest", func() {
		for _, fn := range c.receivers[section] {
			fn(n)
		}
	}, "section", section, "peer", n.From.Name)
}

// callRecovered calls a function of another package, or one that handles a message. If
// it panics, only its result is lost. It reports false then.
func (c *Cluster) callRecovered(step string, fn func(), attributes ...any) bool {
	ok := panics.Log(c.opts.Logger, "digest_section_lost", step, fn, attributes...)
	if !ok {
		counters.Add("receiver_panics", 1)
	}
	return ok
}
