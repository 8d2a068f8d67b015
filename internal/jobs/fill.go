package jobs

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/store"
)

const (
	fillInterval = time.Second
	// claimedChunksFactor bounds the claimed chunks to a multiple of
	// Options.OpenChunks, which counts only chunks with unstarted items. A chunk
	// that waits for a few slow items must not keep other chunks from starting.
	claimedChunksFactor = 4
	// listStatesThreshold is the largest number of assigned chunks of unknown
	// state that are read one by one. Above it, one listing is cheaper.
	listStatesThreshold = 3
	// A chunk is taken over from an alive owner that has written nothing for
	// takeoverProbes reads, which are about Options.Discovery apart. An owner
	// writes at least every maxCommitGap.
	takeoverProbes = 18
	// claimRetryDelay is the delay after a claim that failed because of the platform.
	claimRetryDelay = time.Second
)

// runKey identifies a chunk in Service.runs.
type runKey struct {
	job   string
	chunk int
}

// fillLoop claims chunks while this host has capacity for their items.
func (s *Service) fillLoop() {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	for {
		s.claimChunks()
		select {
		case <-s.drainCtx.Done():
			return
		case <-s.fillSignal:
		case <-ticker.C:
		}
	}
}

// chunkLoad counts the chunks that this host runs.
type chunkLoad struct {
	claimed        int            // all claimed chunks
	openChunks     map[string]int // by workspace, chunks with unstarted items
	openTotal      int            // sum of openChunks
	unstartedItems map[string]int // by workspace
}

func (s *Service) chunkLoad() chunkLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := chunkLoad{claimed: len(s.runs), openChunks: map[string]int{}, unstartedItems: map[string]int{}}
	for _, run := range s.runs {
		n := run.unstartedItems()
		if n == 0 {
			continue
		}
		ws := run.job.entry.Workspace
		l.openChunks[ws]++
		l.openTotal++
		l.unstartedItems[ws] += n
	}
	return l
}

// mayClaim reports whether another chunk of the workspace may be claimed. Each
// workspace may have one open chunk beyond the limit, so that a workspace without
// rate limit tokens does not block the others.
func (s *Service) mayClaim(l chunkLoad, workspace string) bool {
	switch {
	case l.claimed >= s.o.OpenChunks*claimedChunksFactor:
		return false
	case l.openChunks[workspace] == 0:
		return true
	}
	return l.openTotal < s.o.OpenChunks && l.unstartedItems[workspace] < s.o.Workers
}

func (s *Service) claimChunks() {
	for s.drainCtx.Err() == nil && s.checkMayStart() == nil {
		l := s.chunkLoad()
		job, chunk := s.nextChunk(l)
		if job == nil {
			return
		}
		s.startRun(job, chunk)
	}
}

// nextChunk returns the next chunk to claim, or nil.
func (s *Service) nextChunk(l chunkLoad) (*activeJob, int) {
	aliveHosts := s.aliveHosts()
	hostsHash := hashHosts(aliveHosts)
	var jobs []*activeJob
	var candidates []batch.Candidate
	for _, job := range s.registry.all() {
		if job.isCancelled() || !s.mayClaim(l, job.entry.Workspace) {
			continue
		}
		chunk, ok := s.firstClaimable(job, s.assignedChunks(job, aliveHosts, hostsHash))
		if !ok {
			continue
		}
		jobs = append(jobs, job)
		candidates = append(candidates, batch.Candidate{
			Job: job.entry.ID, Workspace: job.entry.Workspace, Chunk: chunk, Deadline: time.UnixMilli(job.entry.DeadlineAt),
		})
	}
	best := batch.NextToClaim(candidates, l.openChunks, s.workspaceWeight)
	if best < 0 {
		return nil, 0
	}
	return jobs[best], candidates[best].Chunk
}

func (s *Service) workspaceWeight(workspace string) float64 {
	if w, ok := s.o.Fleet.Config().Workspaces[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// firstClaimable returns the job's first assigned chunk that may be claimed now.
func (s *Service) firstClaimable(job *activeJob, mine []int) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	job.mu.Lock()
	defer job.mu.Unlock()
	now := s.now()
	for _, chunk := range mine {
		if job.finished.Has(chunk) || now.Before(job.probes[chunk].retryAt) {
			continue
		}
		if s.runs[runKey{job.entry.ID, chunk}] == nil {
			return chunk, true
		}
	}
	return 0, false
}

// startRun claims the chunk and runs its items in the background.
func (s *Service) startRun(job *activeJob, chunk int) {
	run := newChunkRun(s, job, chunk)
	key := runKey{job.entry.ID, chunk}
	s.mu.Lock()
	s.runs[key] = run
	s.mu.Unlock()
	s.spawn(func() {
		defer s.wakeFill()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.runs, key)
		}()
		run.run()
	})
}

// listChunkStates lists the states of the job's chunks once, if that is cheaper
// than reading the assigned ones one by one.
func (s *Service) listChunkStates(ctx context.Context, job *activeJob) error {
	job.mu.Lock()
	unknown := 0
	for _, chunk := range job.assigned {
		if !job.finished.Has(chunk) && !job.claimed.Has(chunk) {
			unknown++
		}
	}
	skip := job.statesListed || unknown <= listStatesThreshold
	job.mu.Unlock()
	if skip {
		return nil
	}
	err := s.listChunks(ctx, job.entry.ID, func(_ int64, c batch.Chunk) error {
		job.markClaimed(c.Index)
		if c.Finished() {
			job.markFinished(c.Index)
		}
		return nil
	})
	if err != nil {
		return err
	}
	job.mu.Lock()
	defer job.mu.Unlock()
	job.statesListed = true
	return nil
}

// errNotClaimed reports that the chunk belongs to another host or is finished.
var errNotClaimed = errors.New("chunk not claimed")

// claim makes this incarnation the chunk's owner.
func (s *Service) claim(ctx context.Context, job *activeJob, chunk int) (batch.Chunk, int64, error) {
	if err := s.listChunkStates(ctx, job); err != nil {
		return batch.Chunk{}, 0, err
	}
	current, version := batch.NewChunk(chunk, job.entry.Parts[chunk]), int64(0)
	if job.mayHaveProgress(chunk) {
		var err error
		if current, version, err = s.readChunk(ctx, job, chunk); err != nil {
			return current, 0, err
		}
	}
	if err := s.checkClaimable(job, current, version); err != nil {
		return current, 0, err
	}
	next, err := current.Claim(s.owner)
	if err != nil {
		return current, 0, err
	}
	stored, err := s.putChunk(ctx, job.entry.ID, version, current, next)
	job.markClaimed(chunk)
	if err != nil {
		return current, 0, err
	}
	if current.Epoch > 0 {
		counters.Add("chunks_taken_over", 1)
		s.recordEvent(events.Event{Kind: "chunk.taken_over", Workspace: job.entry.Workspace, Job: job.entry.ID, Peer: current.Owner.Host})
	}
	counters.Add("chunks_claimed", 1)
	return next, stored, nil
}

// readChunk returns the chunk's progress, or a new one with version 0.
func (s *Service) readChunk(ctx context.Context, job *activeJob, chunk int) (batch.Chunk, int64, error) {
	progress := batch.NewChunk(chunk, job.entry.Parts[chunk])
	obj, env, exists, err := store.ReadEnvelope(ctx, s.store, chunkKey(job.entry.ID, chunk))
	if err != nil || !exists {
		return progress, 0, err
	}
	job.markClaimed(chunk)
	err = json.Unmarshal(env.Data, &progress)
	return progress, obj.Version, errors.Wrapf(err, "decode %s", obj.Key)
}

// checkClaimable returns errNotClaimed when the chunk is finished or its owner is
// alive and has written recently.
func (s *Service) checkClaimable(job *activeJob, c batch.Chunk, version int64) error {
	if c.Finished() {
		if job.markFinished(c.Index) {
			s.requestFinishCheck(job)
		}
		return errNotClaimed
	}
	// An owner on this host is this process or an earlier one that has ended.
	if c.Owner == (batch.Owner{}) || c.Owner.Host == s.owner.Host || !s.ownerAlive(c.Owner) {
		return nil
	}
	unchanged := job.postponeClaim(c.Index, version, s.now().Add(jitter(s.o.Discovery)))
	if unchanged < takeoverProbes {
		return errNotClaimed
	}
	return nil
}
