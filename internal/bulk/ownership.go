package bulk

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/cluster"
)

const (
	// claimSection is the digest section with the jobs that a host runs.
	claimSection = "jobs"
	// startupMargin, claimMargin and acceptorMargin are the parts of takeOverDelays
	// that do not depend on the fleet.
	startupMargin  = 200 * time.Millisecond
	claimMargin    = 250 * time.Millisecond
	acceptorMargin = 1750 * time.Millisecond
)

// takeOverDelays are the delays before a host takes over a job. Two hosts that
// run one job waste its work, and count an item's failures twice.
type takeOverDelays struct {
	startup  time.Duration // from the start of the host, until it knows its peers and their claims
	unowned  time.Duration // for which no host claims the job
	acceptor time.Duration // instead of unowned while the host that accepted the job is alive, which may be about to claim it
}

// takeOverDelaysFor returns the delays in a fleet in which digests take up to lag
// to reach all hosts.
func takeOverDelaysFor(lag time.Duration) takeOverDelays {
	return takeOverDelays{startup: startupMargin + 2*lag, unowned: claimMargin + lag, acceptor: acceptorMargin + lag}
}

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

// claims holds the ids of the jobs that hosts run, by host name.
type claims map[string][]string

// mergeClaims combines the claims of several hosts.
func mergeClaims(values []cluster.Raw) (any, error) {
	out := claims{}
	for _, raw := range values {
		var c claims
		if err := cbor.Unmarshal(raw, &c); err != nil {
			return nil, err
		}
		maps.Copy(out, c)
	}
	return out, nil
}

// reportedClaims holds the claims from one digest.
type reportedClaims struct {
	at   time.Time
	jobs map[string]string // host name by job id
}

// claimTTL is how long a claim is valid without a newer digest of its sender.
const claimTTL = 2 * time.Second

func (s *Service) receiveClaims(n cluster.SectionUpdate) {
	var c claims
	if err := cbor.Unmarshal(n.Raw, &c); err != nil {
		s.log.Warn("cannot decode claims of peer", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	self := s.opts.Cluster.Self().Name
	jobs := map[string]string{}
	conflicts := map[*job]string{}
	s.mu.Lock()
	for host, ids := range c {
		for _, id := range ids {
			jobs[id] = host
			if j, ok := s.jobs[id]; ok && host != self && j.isOwned() {
				conflicts[j] = host
			}
		}
	}
	s.reportedClaims[n.From.Name] = reportedClaims{time.Now(), jobs}
	s.mu.Unlock()
	for j, host := range conflicts {
		s.resolveConflict(j, host)
	}
}

// resolveConflict handles a job that both this host and a peer run, because one
// of them was considered dead. The host with the lower rank for the job keeps it.
func (s *Service) resolveConflict(j *job, peer string) {
	self := s.opts.Cluster.Self()
	if self.Leaving {
		return // the peer takes the job over during shutdown
	}
	keep := rank(j.id, self.Name) < rank(j.id, peer)
	s.log.Info("job is run by two hosts", "event", "job_contested", "job", j.id, "peer", peer, "kept", keep)
	if !keep {
		s.release(j)
	}
	go func() {
		err := s.guarded("read segments", j.id, func() error { return s.syncSegments(s.runCtx, j, 0) })
		if err != nil {
			s.log.Warn("cannot read results", "step", "read segments", "job", j.id, "error", err)
		}
	}()
}

// release stops running a job and gives up its ownership.
func (s *Service) release(j *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owned, j.loaded = false, false
	if j.stop != nil {
		j.stop()
	}
}

// rank orders the hosts for a job by a hash; the lowest rank comes first.
func rank(job, host string) uint64 { return xxhash.Sum64String(job + "/" + host) }

// runningPeer returns the name of the live peer that claims a job, or an empty
// string. The caller holds mu.
func (s *Service) runningPeer(id string) string {
	for _, c := range s.reportedClaims {
		host, ok := c.jobs[id]
		if ok && time.Since(c.at) < claimTTL && s.opts.Cluster.IsAlive(host) {
			return host
		}
	}
	return ""
}

// checkOwnership takes over jobs that no live host claims, if this host is their
// successor.
func (s *Service) checkOwnership(now time.Time) {
	alive := s.opts.Cluster.Alive()
	self := s.opts.Cluster.Self().Name
	delays := takeOverDelaysFor(s.opts.Cluster.MaxLag())
	var takeOver []string
	s.mu.Lock()
	for id, h := range s.heads {
		if s.leaving || h.Ended || h.Done || s.ownsOrDone(id) || s.runningPeer(id) != "" {
			delete(s.unownedSince, id)
			continue
		}
		since, ok := s.unownedSince[id]
		if !ok {
			since = now
			s.unownedSince[id] = now
		}
		if now.Sub(s.started) < delays.startup {
			continue
		}
		if successor(id, h.Owner, self, alive, now.Sub(since), delays) == self {
			takeOver = append(takeOver, id)
			delete(s.unownedSince, id)
		}
	}
	for id := range s.unownedSince {
		if _, ok := s.heads[id]; !ok {
			delete(s.unownedSince, id)
		}
	}
	s.mu.Unlock()
	for _, id := range takeOver {
		if s.mayLoad(id) {
			s.takeOver(id)
		}
	}
}

// mayLoad reports whether this host has the memory to take a job over. Otherwise it asks
// again at the next check: the jobs that it runs end.
func (s *Service) mayLoad(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasMemory(s.heads[id].payloadSize()) {
		return true
	}
	s.opts.Metrics.Add("job_takeovers_delayed_total", 1)
	return false
}

// ownsOrDone reports whether this host runs the job or knows all of its results.
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

// successor returns the name of the host that should take over an unclaimed job,
// or an empty string while it is too early to decide.
func successor(id, acceptor, self string, alive []cluster.Peer, unowned time.Duration, delays takeOverDelays) string {
	names := []string{self}
	for _, p := range alive {
		names = append(names, p.Name)
	}
	if acceptor == self {
		return self
	}
	if slices.Contains(names, acceptor) && unowned < delays.acceptor {
		return acceptor
	}
	if unowned < delays.unowned {
		return ""
	}
	return slices.MinFunc(names, func(a, b string) int {
		if rank(id, a) < rank(id, b) {
			return -1
		}
		return 1
	})
}

// takeOver claims a job and runs it with its state in the store.
func (s *Service) takeOver(id string) {
	s.mu.Lock()
	h, ok := s.heads[id]
	j := s.jobs[id]
	if ok && j == nil {
		j = newJob(id, h.Head)
		s.jobs[id] = j
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	ctx, claimed := s.claim(j)
	if !claimed {
		return
	}
	s.opts.Cluster.SendNow()
	s.log.Info("job taken over", "event", "job_adopted", "job", id, "accepted_by", h.Owner)
	go s.resume(ctx, j)
}

// claim marks the job as owned by this host and returns the context of the claim,
// which ends when the host gives the job up. It reports false if the host already
// owns the job or if the job has ended.
func (s *Service) claim(j *job) (context.Context, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.owned || j.ended {
		return nil, false
	}
	if j.stop != nil {
		j.stop()
	}
	ctx, stop := context.WithCancel(s.runCtx)
	j.owned, j.stop = true, stop
	j.noRouteSince = time.Time{} // nobody looked before
	return ctx, true
}

// resume loads the job and runs its remaining items, unless the claim ends before.
func (s *Service) resume(ctx context.Context, j *job) {
	for {
		err := s.guarded("load job", j.id, func() error { return s.load(ctx, j) })
		if err == nil {
			break
		}
		if ctx.Err() != nil {
			return
		}
		s.log.Warn("cannot load job", "step", "load job", "job", j.id, "error", err)
		if pause(ctx, 300*time.Millisecond) != nil {
			return
		}
	}
	s.start(ctx, j)
}

// load reads a job's segments and, if it is not complete, its payload.
func (s *Service) load(ctx context.Context, j *job) error {
	if err := s.syncSegments(ctx, j, 0); err != nil {
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

// syncSegments applies the segments that other hosts wrote, unless that was done
// within maxAge. Concurrent calls run one after the other, so that each returns
// with an up-to-date list.
func (s *Service) syncSegments(ctx context.Context, j *job, maxAge time.Duration) error {
	if err := j.lockSegments(ctx); err != nil {
		return err
	}
	defer j.unlockSegments()
	started := time.Now()
	for {
		j.mu.Lock()
		next, enough := j.list.Segments(), j.list.Complete() || started.Sub(j.lastSynced) < maxAge
		j.mu.Unlock()
		if enough {
			return nil
		}
		segment, ok, err := s.records.segment(ctx, j.id, next)
		if err != nil {
			return errors.Wrapf(err, "segment %d", next)
		}
		if ok {
			j.applySegment(segment)
			continue
		}
		j.mu.Lock()
		j.lastSynced = started
		missing := j.head.Done // all segments of a done job exist
		j.mu.Unlock()
		if missing {
			return errors.Mark(errors.Newf("segment %d of complete job %s is missing", next, j.id), ErrStoreUnavailable)
		}
		return nil
	}
}

// recordPartition records the time if a peer is dead or this host was suspended.
func (s *Service) recordPartition(now time.Time) {
	if suspended := s.suspensions.detected(); !suspended && !s.opts.Cluster.AnySilent() {
		return
	}
	s.mu.Lock()
	s.partition = now
	s.mu.Unlock()
}
