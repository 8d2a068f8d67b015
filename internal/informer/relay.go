package informer

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/freshness"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// delta is the events between two versions of a copy.
type delta struct {
	From   int64         `json:"from"` // Changed before
	To     int64         `json:"to"`   // Changed after
	Events []store.Event `json:"events"`
}

// logLength bounds the changes that a host keeps for peers whose copies are a
// little behind.
const logLength = 64

func (s *state) remember(d delta) {
	s.log = append(s.log, d)
	s.log = s.log[max(0, len(s.log)-logLength):]
}

// since returns the changes after a version, and false when they are not all known.
func (s *state) since(changed int64) ([]delta, bool) {
	for i, d := range s.log {
		if d.From == changed {
			return s.log[i:], true
		}
	}
	return nil, false
}

// copyDigest is the state of one copy in a digest.
type copyDigest struct {
	Changed int64 `json:"c"`
	Age     int64 `json:"a"` // ms, -1 when the copy was never confirmed
}

// infoDigest is the section of the digests.
type infoDigest struct {
	Reading bool                  `json:"r"` // the sender's calls to the store succeed
	Copies  map[string]copyDigest `json:"k"`
}

func (i *Informer) digest() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := infoDigest{Reading: i.healthy, Copies: map[string]copyDigest{}}
	now := bootclock.Now()
	for prefix, s := range i.states {
		if s.known {
			out.Copies[prefix] = copyDigest{s.changed, ageMillis(&s.mark, now)}
		}
	}
	return out
}

// ageMillis rounds an age up, so that a statement is never too young.
func ageMillis(m *freshness.Mark, now freshness.Instant) int64 {
	age, ok := m.Age(now)
	if !ok {
		return -1
	}
	return int64(age/time.Millisecond) + 1
}

// received compares a peer's copies with this host's.
func (i *Informer) received(n cluster.SectionUpdate) {
	var d infoDigest
	if err := json.Unmarshal(n.Raw, &d); err != nil {
		i.log.Warn("peer's digest not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reading[n.From.Name] = d.Reading
	for prefix, theirs := range d.Copies {
		s, ok := i.states[prefix]
		if !ok {
			continue
		}
		switch {
		case !s.known || theirs.Changed > s.changed:
			i.ahead[prefix] = peer.HostID(n.From.Name)
			s.poke()
		case theirs.Changed == s.changed && n.Known && theirs.Age >= 0:
			s.confirm(n.Echoed.Add(-time.Duration(theirs.Age) * time.Millisecond))
		}
	}
}

func (s *state) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeAhead returns a peer with a newer copy, once.
func (i *Informer) takeAhead(s *state) (peer.HostID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	from, ok := i.ahead[s.Prefix]
	delete(i.ahead, s.Prefix)
	return from, ok
}

// copyRequest asks for a copy of a collection, or for what changed in it after
// the asking host's own copy.
type copyRequest struct {
	Prefix  string `json:"prefix"`
	Changed int64  `json:"changed"` // 0 without a copy
}

// copyAnswer is a whole copy, or the changes since the one of the request.
type copyAnswer struct {
	Known   bool           `json:"known"`
	Deltas  []delta        `json:"deltas,omitempty"`
	Objects []store.Object `json:"objects,omitempty"`
	Version int64          `json:"version"`
	Changed int64          `json:"changed"`
	Age     int64          `json:"age"` // ms, -1 when it was never confirmed
}

func (i *Informer) serveCopy(_ context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req copyRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for a copy")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	s, ok := i.states[req.Prefix]
	if !ok {
		return nil, errors.Newf("no collection %q", req.Prefix)
	}
	out := copyAnswer{Known: s.known, Version: s.version, Changed: s.changed, Age: ageMillis(&s.mark, bootclock.Now())}
	if deltas, ok := s.since(req.Changed); ok {
		out.Deltas = deltas
		return out, nil
	}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		out.Objects = append(out.Objects, s.objects[key])
	}
	return out, nil
}

// fetch takes over a peer's newer copy.
func (i *Informer) fetch(ctx context.Context, s *state, from peer.HostID) {
	asked := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	i.mu.Lock()
	request := copyRequest{s.Prefix, s.changed}
	i.mu.Unlock()
	var answer copyAnswer
	if err := i.opts.Peers.Call(ctx, from, method, request, &answer); err != nil {
		i.log.Warn("copy not fetched", "event", "copy_not_fetched", "step", "fetch copy", "peer", from, "collection", strings.TrimSuffix(s.Prefix, "/"), "error", err)
		return
	}
	if !answer.Known {
		return
	}
	i.mu.Lock()
	newer := s.take(answer)
	if answer.Changed == s.changed && answer.Age >= 0 {
		s.confirm(asked.Add(-time.Duration(answer.Age) * time.Millisecond))
	}
	i.mu.Unlock()
	if newer {
		i.announce(s)
	}
}

// take adopts a peer's copy, or the changes that lead to it, when it is newer.
func (s *state) take(answer copyAnswer) bool {
	if s.known && answer.Changed <= s.changed {
		return false
	}
	if len(answer.Deltas) > 0 {
		return s.takeDeltas(answer)
	}
	s.objects = make(map[string]store.Object, len(answer.Objects))
	for _, o := range answer.Objects {
		s.objects[o.Key] = o
	}
	s.known, s.changed, s.log = true, answer.Changed, nil
	s.version = max(s.version, answer.Version)
	return true
}

// takeDeltas applies changes that begin at this copy's version. The copy may
// have moved on since the question; then the next digest asks again.
func (s *state) takeDeltas(answer copyAnswer) bool {
	newer := false
	objects := maps.Clone(s.objects)
	for _, d := range answer.Deltas {
		if d.From != s.changed {
			continue
		}
		for _, ev := range d.Events {
			applyEvent(objects, ev, s.changed)
		}
		s.remember(d)
		s.changed, newer = d.To, true
	}
	if newer {
		s.objects = objects
		s.version = max(s.version, s.changed)
	}
	return newer
}
