package fleet

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/peer"
)

// Methods between hosts.
const (
	methodHeartbeat = "fleet.heartbeat"
	methodEpoch     = "fleet.epoch"
	methodConfig    = "config.fetch"
)

// heartbeatParams is the request of fleet.heartbeat. The reply is a
// membership.Heartbeat without sections.
type heartbeatParams struct {
	membership.Heartbeat
	Seq      uint64                     `json:"seq"` // orders the heartbeats of one process
	Sections map[string]json.RawMessage `json:"sections,omitempty"`
}

// sections holds the sections that this host publishes and the subscribers to
// sections of peers.
type sections struct {
	mu          sync.Mutex
	seq         uint64
	published   map[string]json.RawMessage
	subscribers map[string][]func(peer.HostID, json.RawMessage)
	received    map[string]uint64 // last sequence number, by incarnation
}

func (s *sections) init() {
	s.published = map[string]json.RawMessage{}
	s.subscribers = map[string][]func(peer.HostID, json.RawMessage){}
	s.received = map[string]uint64{}
}

func (s *sections) publish(name string, raw json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(raw) == "null" {
		delete(s.published, name)
		return
	}
	s.published[name] = raw
}

func (s *sections) subscribe(name string, fn func(peer.HostID, json.RawMessage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[name] = append(s.subscribers[name], fn)
}

// next returns the sections and the sequence number for one round of heartbeats.
func (s *sections) next() (map[string]json.RawMessage, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return maps.Clone(s.published), s.seq
}

// deliver passes the sections of a heartbeat to the subscribers, unless a later
// heartbeat of the same process has arrived.
func (s *sections) deliver(in heartbeatParams) {
	s.mu.Lock()
	if in.Seq <= s.received[in.From.Incarnation] {
		s.mu.Unlock()
		return
	}
	s.received[in.From.Incarnation] = in.Seq
	type call struct {
		fn  func(peer.HostID, json.RawMessage)
		raw json.RawMessage
	}
	var calls []call
	for name, raw := range in.Sections {
		for _, fn := range s.subscribers[name] {
			calls = append(calls, call{fn, raw})
		}
	}
	s.mu.Unlock()
	for _, c := range calls {
		c.fn(peer.HostID(in.From.Host), c.raw)
	}
}

// removeUnlisted removes the sequence numbers of processes that are not listed.
func (s *sections) removeUnlisted(keep map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.received, func(incarnation string, _ uint64) bool { return !keep[incarnation] })
}

func (f *Fleet) registerHandlers() {
	f.opts.Peers.Handle(methodHeartbeat, f.serveHeartbeat)
	f.opts.Peers.Handle(methodEpoch, f.serveEpoch)
	f.opts.Peers.Handle(methodConfig, f.serveConfig)
}

func (f *Fleet) serveHeartbeat(_ context.Context, from peer.HostID, params json.RawMessage) (any, error) {
	var in heartbeatParams
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrapf(err, "decode heartbeat of %s", from)
	}
	if in.From.Host != string(from) {
		return nil, errors.Newf("heartbeat of %s names host %s", from, in.From.Host)
	}
	stats.Add("heartbeats_received", 1)
	f.sections.deliver(in)
	var reply membership.Heartbeat
	f.step(func(now time.Time) membership.Output {
		f.setSenderAddress(in.From)
		var out membership.Output
		reply, out = f.machine.OnHeartbeat(now, in.Heartbeat)
		return out
	})
	// The caller has the other fields of this member already. Omitting them
	// matters because heartbeats are most of the traffic between hosts.
	reply.From = membership.Member{Host: reply.From.Host, Incarnation: reply.From.Incarnation}
	return reply, nil
}

// setSenderAddress stores the address of a host that is not a member yet, so
// that a larger epoch or revision can be fetched from it. The caller holds mu.
func (f *Fleet) setSenderAddress(from membership.Member) {
	if _, member := f.machine.Epoch().Member(from.Host); !member {
		f.opts.Peers.SetAddress(peer.HostID(from.Host), from.PeerAddress)
	}
}

// sendHeartbeats sends one round of heartbeats. The caller holds mu.
func (f *Fleet) sendHeartbeats(targets []membership.Member) {
	if len(targets) == 0 {
		return
	}
	content, seq := f.sections.next()
	raw, err := json.Marshal(heartbeatParams{Heartbeat: f.machine.Heartbeat(), Seq: seq, Sections: content})
	if err != nil {
		f.opts.Logger.Error("cannot encode heartbeat", "error", err)
		return
	}
	for _, target := range targets {
		f.spawn(func() { f.sendHeartbeat(peer.HostID(target.Host), raw) })
	}
}

func (f *Fleet) sendHeartbeat(to peer.HostID, params json.RawMessage) {
	ctx, cancel := context.WithTimeout(f.ctx, f.opts.heartbeatTimeout())
	defer cancel()
	stats.Add("heartbeats_sent", 1)
	sentAt := f.opts.Now()
	var reply membership.Heartbeat
	if err := f.opts.Peers.Call(ctx, to, methodHeartbeat, params, &reply); err != nil {
		stats.Add("heartbeats_failed", 1)
		return
	}
	if reply.From.Host != string(to) {
		return
	}
	f.step(func(now time.Time) membership.Output { return f.machine.OnHeartbeatReply(now, sentAt, reply) })
}
