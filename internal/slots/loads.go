package slots

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/placement"
)

// loadSection is the digest section with the requests in flight.
const loadSection = "load"

// digest returns this host's requests in flight by server.
func (s *Scheduler) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := loads{}
	for id, n := range s.placer.OwnInFlight() {
		out[shortID(id)] = [2]int{n.Online, n.Batch}
	}
	for service, q := range s.queues {
		if n := q.waitingByClass(); n != (placement.InFlight{}) {
			out[shortID(placement.QueueID(service))] = [2]int{n.Online, n.Batch}
		}
	}
	return out
}

// loads is the digest section: requests in flight, online and batch, by shortID of their
// server, and those that wait, by shortID of their service's QueueID.
type loads map[uint32][2]int

func decodeLoads(raw cluster.Raw) (loads, error) {
	out := loads{}
	err := cbor.Unmarshal(raw, &out)
	if out == nil { // null is a valid encoding
		out = loads{}
	}
	return out, err
}

// add adds counts to the loads, multiplied by sign.
func (l loads) add(counts loads, sign int) {
	for id, n := range counts {
		l[id] = [2]int{l[id][0] + sign*n[0], l[id][1] + sign*n[1]}
	}
}

// shortID hashes a server's id to 32 bits for digests. Among a few thousand
// servers, any two collide with a probability below 1 in 1,000, and then appear
// busier than they are.
func shortID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// receiveLoad records a peer's requests in flight.
func (s *Scheduler) receiveLoad(n cluster.SectionUpdate) {
	counts, err := decodeLoads(n.Raw)
	if err == nil && n.Own != nil {
		var own loads
		own, err = decodeLoads(n.Own)
		counts.add(own, -1)
	}
	if err != nil {
		s.opts.Logger.Warn("cannot decode load of peer", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.placer.UpdatePeerLoad(n.From.Name, s.longIDs(counts), now)
	s.preemptOverload(now)
	for name, q := range s.queues {
		if len(q.waiting) > 0 {
			s.dispatch(name, now)
		}
	}
}

// mergeLoads adds up the requests in flight of several hosts.
func mergeLoads(values []cluster.Raw) (any, error) {
	sum := loads{}
	for _, raw := range values {
		counts, err := decodeLoads(raw)
		if err != nil {
			return nil, err
		}
		sum.add(counts, 1)
	}
	return sum, nil
}

// longIDs maps short ids back to server ids and skips unknown ones. The caller
// holds mu.
func (s *Scheduler) longIDs(counts loads) map[string]placement.InFlight {
	out := make(map[string]placement.InFlight, len(counts))
	for short, n := range counts {
		if id, ok := s.idsByShortID[short]; ok {
			out[id] = placement.InFlight{Online: n[0], Batch: n[1]}
		}
	}
	return out
}
