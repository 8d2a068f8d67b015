package bulk

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/freshness"
)

const (
	// claimSection is the part of the digests with the jobs that a host runs.
	claimSection = "jobs"
	// settleFor is how long after its start a host waits for the digests of
	// the others before it takes over any job.
	settleFor = 700 * time.Millisecond
	// orphanFor is how long a job must be seen without a running host before
	// another takes it over, and ownerFor the same while the host that accepted
	// it is alive and may be about to run it.
	orphanFor = 500 * time.Millisecond
	ownerFor  = 2 * time.Second
)

func (s *Service) digest() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := []string{}
	for id, j := range s.jobs {
		j.mu.Lock()
		if !s.leaving && j.owned && !j.ended && !j.list.Complete() {
			ids = append(ids, id)
		}
		j.mu.Unlock()
	}
	if len(ids) == 0 {
		return claims{}
	}
	slices.Sort(ids)
	return claims{s.opts.Cluster.Self().Name: ids}
}

// claims is the jobs that hosts run, by host.
type claims map[string][]string

// mergeClaims joins the claims of several hosts.
func mergeClaims(values []json.RawMessage) (any, error) {
	out := claims{}
	for _, raw := range values {
		var c claims
		if err := json.Unmarshal(raw, &c); err != nil {
			return nil, err
		}
		maps.Copy(out, c)
	}
	return out, nil
}

// claimed is what one digest said of the jobs that hosts run.
type claimed struct {
	at   time.Time
	jobs map[string]string // host by job
}

// claimFor is how long a claim counts without a newer digest of its source.
const claimFor = 2 * time.Second

func (s *Service) received(n cluster.SectionUpdate) {
	var c claims
	if err := json.Unmarshal(n.Raw, &c); err != nil {
		s.log.Warn("peer's jobs not decoded", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	self := s.opts.Cluster.Self().Name
	jobs := map[string]string{}
	contested := map[*job]string{}
	s.mu.Lock()
	for host, ids := range c {
		for _, id := range ids {
			jobs[id] = host
			if j, ok := s.jobs[id]; ok && host != self && j.isOwned() {
				contested[j] = host
			}
		}
	}
	s.claimed[n.From.Name] = claimed{time.Now(), jobs}
	s.mu.Unlock()
	for j, host := range contested {
		s.contest(j, host)
	}
}

// contest settles that a peer runs a job that this host runs as well: one of
// them was taken for lost. The host that ranks first for the job goes on.
func (s *Service) contest(j *job, peer string) {
	self := s.opts.Cluster.Self()
	if self.Leaving {
		return // the peer takes over what this host gives up
	}
	keep := rank(j.id, self.Name) < rank(j.id, peer)
	s.log.Info("job run by two hosts", "event", "job_contested", "job", j.id, "peer", peer, "kept", keep)
	if !keep {
		s.release(j)
	}
	go func() {
		if err := s.sync(s.runCtx, j, 0); err != nil {
			s.log.Warn("results not read", "step", "read segments", "job", j.id, "error", err)
		}
	}()
}

// release stops running a job that another host runs.
func (s *Service) release(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owned, j.loaded = false, false
	if j.stop != nil {
		j.stop()
	}
}

// rank orders hosts for a job; the lowest comes first.
func rank(job, host string) uint64 { return xxhash.Sum64String(job + "/" + host) }

// runningPeer returns the live peer that runs a job, or an empty name. The
// caller holds mu.
func (s *Service) runningPeer(id string, alive []cluster.Peer) string {
	for _, c := range s.claimed {
		host, ok := c.jobs[id]
		if ok && time.Since(c.at) < claimFor && slices.ContainsFunc(alive, func(p cluster.Peer) bool { return p.Name == host }) {
			return host
		}
	}
	return ""
}

// reviewOwnership takes over jobs that no live host runs.
func (s *Service) reviewOwnership(now time.Time) {
	alive := s.opts.Cluster.Alive()
	self := s.opts.Cluster.Self().Name
	var adopt []string
	s.mu.Lock()
	for id, h := range s.heads {
		if s.leaving || h.Ended || h.Done || s.ownsOrDone(id) || s.runningPeer(id, alive) != "" {
			delete(s.unowned, id)
			continue
		}
		since, ok := s.unowned[id]
		if !ok {
			since = now
			s.unowned[id] = now
		}
		if now.Sub(s.started) < settleFor {
			continue
		}
		if successor(id, h.Owner, self, alive, now.Sub(since)) == self {
			adopt = append(adopt, id)
			delete(s.unowned, id)
		}
	}
	for id := range s.unowned {
		if _, ok := s.heads[id]; !ok {
			delete(s.unowned, id)
		}
	}
	s.mu.Unlock()
	for _, id := range adopt {
		s.adopt(id)
	}
}

// ownsOrDone reports whether this host runs the job or has listed all of it.
// The caller holds mu.
func (s *Service) ownsOrDone(id string) bool {
	j, ok := s.jobs[id]
	if !ok {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.owned || j.list.Complete()
}

// successor returns the host that should run a job that nobody runs, or an
// empty name while it is too early to tell.
func successor(id, acceptor, self string, alive []cluster.Peer, unowned time.Duration) string {
	names := []string{self}
	for _, p := range alive {
		names = append(names, p.Name)
	}
	if acceptor == self {
		return self
	}
	if slices.Contains(names, acceptor) && unowned < ownerFor {
		return acceptor
	}
	if unowned < orphanFor {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		if rank(id, a) < rank(id, b) {
			return -1
		}
		return 1
	})
}

// adopt takes over a job from what the store holds.
func (s *Service) adopt(id string) {
	s.mu.Lock()
	h, ok := s.heads[id]
	j := s.jobs[id]
	if ok && j == nil {
		j = newJob(id, h.Head)
		s.jobs[id] = j
	}
	s.mu.Unlock()
	if !ok || !j.claim() {
		return
	}
	s.opts.Cluster.SendNow()
	s.log.Info("job taken over", "event", "job_adopted", "job", id, "accepted_by", h.Owner)
	go s.resume(j)
}

// claim marks the job as run by this host, once.
func (j *job) claim() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.owned || j.ended {
		return false
	}
	j.owned = true
	return true
}

// resume reads what is listed and runs the rest.
func (s *Service) resume(j *job) {
	for {
		err := s.load(s.runCtx, j)
		if err == nil {
			j.mu.Lock()
			j.loaded = true
			j.mu.Unlock()
			break
		}
		s.log.Warn("job not loaded", "step", "load job", "job", j.id, "error", err)
		if pause(s.runCtx, 300*time.Millisecond) != nil || !j.isOwned() {
			return
		}
	}
	s.start(j)
}

// load reads a job's segments and, when it is not complete, its payload.
func (s *Service) load(ctx context.Context, j *job) error {
	if err := s.sync(ctx, j, 0); err != nil {
		return err
	}
	j.mu.Lock()
	needed := !j.list.Complete() && j.items == nil
	parts := j.head.Parts
	j.mu.Unlock()
	if !needed {
		return nil
	}
	items, err := s.records.readPayload(ctx, j.id, parts)
	if err != nil {
		return err
	}
	j.mu.Lock()
	j.setItems(items)
	j.mu.Unlock()
	return nil
}

// sync takes over the segments that other hosts wrote, unless that was done
// within maxAge. It returns after the list is as new, also when another
// reading was under way.
func (s *Service) sync(ctx context.Context, j *job, maxAge time.Duration) error {
	if err := j.lock(ctx); err != nil {
		return err
	}
	defer j.unlock()
	started := time.Now()
	for {
		j.mu.Lock()
		next, enough := j.list.Segments(), j.list.Complete() || started.Sub(j.checked) < maxAge
		j.mu.Unlock()
		if enough {
			return nil
		}
		segment, ok, err := s.records.segment(ctx, j.id, next)
		if err != nil {
			return errors.Wrapf(err, "segment %d", next)
		}
		j.mu.Lock()
		if !ok {
			j.checked = started
			unsure := j.head.Done // all of its segments exist
			j.mu.Unlock()
			if unsure {
				return errors.Mark(errors.Newf("segment %d of complete job %s is missing", next, j.id), ErrUnsure)
			}
			return nil
		}
		if j.list.Apply(segment) {
			j.signal()
		}
		j.mu.Unlock()
	}
}

// noteApart notes whether a peer is out of reach, or this host was suspended.
func (s *Service) noteApart(now time.Time) {
	apart := s.watched.happened()
	for _, p := range s.opts.Cluster.Peers() {
		apart = apart || !p.Alive(now)
	}
	if !apart {
		return
	}
	s.mu.Lock()
	s.apart = now
	s.mu.Unlock()
}

// suspension detects that the machine stood still: the boot clock went on and
// the monotonic clock did not.
type suspension struct {
	boot freshness.Instant
	at   time.Time
}

// suspendedFor is the difference of the clocks that counts as a suspension.
const suspendedFor = 300 * time.Millisecond

// happened reports whether there was a suspension since the last call.
func (w *suspension) happened() bool {
	boot, at := bootclock.Now(), time.Now()
	gap := boot.Sub(w.boot) - at.Sub(w.at)
	first := w.at.IsZero()
	w.boot, w.at = boot, at
	return !first && gap > suspendedFor
}
