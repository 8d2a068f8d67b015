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
	// tailFactor bounds all claimed chunks as a multiple of Options.OpenChunks,
	// which counts only chunks with items that have not started. Chunks that
	// wait for a few slow items must not keep the others from starting.
	tailFactor = 4
	// listThreshold is the number of assigned chunks of unknown state from
	// which one listing is cheaper than a read of each.
	listThreshold = 3
	// A chunk whose alive owner has written nothing for staleProbes reads, at
	// least probeInterval apart, is taken over. An owner writes at least every
	// touchInterval.
	staleProbes = 18
	// claimRetry is the pause after a claim that failed at the platform.
	claimRetry = time.Second
)

// runKey identifies a chunk that this host runs.
type runKey struct {
	job   string
	chunk int
}

// fillLoop claims chunks while this host has room for their items.
func (s *Service) fillLoop() {
	ticker := time.NewTicker(fillInterval)
	defer ticker.Stop()
	for {
		s.fill()
		select {
		case <-s.draining.Done():
			return
		case <-s.wakeup:
		case <-ticker.C:
		}
	}
}

// load counts the chunks that this host runs.
type load struct {
	claimed int            // all of them
	open    map[string]int // by workspace, those with items that have not started
	opened  int            // sum of open
	waiting map[string]int // by workspace, items that have not started
}

func (s *Service) load() load {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := load{claimed: len(s.runs), open: map[string]int{}, waiting: map[string]int{}}
	for _, run := range s.runs {
		n := run.waiting()
		if n == 0 {
			continue
		}
		ws := run.job.entry.Workspace
		l.open[ws]++
		l.opened++
		l.waiting[ws] += n
	}
	return l
}

// room reports whether another chunk of the workspace may be claimed. Each
// workspace may have one beyond the limit, so that a workspace without tokens
// does not keep the others waiting.
func (s *Service) room(l load, workspace string) bool {
	switch {
	case l.claimed >= s.o.OpenChunks*tailFactor:
		return false
	case l.open[workspace] == 0:
		return true
	}
	return l.opened < s.o.OpenChunks && l.waiting[workspace] < s.o.Workers
}

func (s *Service) fill() {
	for s.draining.Err() == nil && s.current() == nil {
		l := s.load()
		job, chunk := s.pick(l)
		if job == nil {
			return
		}
		s.begin(job, chunk)
	}
}

// pick returns the next chunk to claim, or nil.
func (s *Service) pick(l load) (*activeJob, int) {
	hosts := s.hosts()
	key := viewHash(hosts)
	var jobs []*activeJob
	var candidates []batch.Candidate
	for _, job := range s.registry.all() {
		if job.isCancelled() || !s.room(l, job.entry.Workspace) {
			continue
		}
		chunk, ok := s.claimable(job, s.assigned(job, hosts, key))
		if !ok {
			continue
		}
		jobs = append(jobs, job)
		candidates = append(candidates, batch.Candidate{
			Job: job.entry.ID, Workspace: job.entry.Workspace, Chunk: chunk, Deadline: time.UnixMilli(job.entry.DeadlineAt),
		})
	}
	best := batch.Next(candidates, l.open, s.weight)
	if best < 0 {
		return nil, 0
	}
	return jobs[best], candidates[best].Chunk
}

func (s *Service) weight(workspace string) float64 {
	if w, ok := s.o.Fleet.Config().Workspaces[workspace]; ok && w.Weight > 0 {
		return w.Weight
	}
	return 1
}

// claimable returns the job's first assigned chunk that may be claimed now.
func (s *Service) claimable(job *activeJob, mine []int) (int, bool) {
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

// begin claims and runs the chunk in the background.
func (s *Service) begin(job *activeJob, chunk int) {
	run := newChunkRun(s, job, chunk)
	key := runKey{job.entry.ID, chunk}
	s.mu.Lock()
	s.runs[key] = run
	s.mu.Unlock()
	s.spawn(func() {
		defer s.wake()
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			delete(s.runs, key)
		}()
		run.run()
	})
}

// learn lists the states of the job's chunks once, when reading the assigned
// ones singly would cost more.
func (s *Service) learn(ctx context.Context, job *activeJob) error {
	job.mu.Lock()
	unknown := 0
	for _, chunk := range job.mine {
		if !job.finished.Has(chunk) && !job.claimed.Has(chunk) {
			unknown++
		}
	}
	skip := job.listed || unknown <= listThreshold
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
	job.listed = true
	return nil
}

// errNotClaimed ends a run whose chunk belongs to another host or is finished.
var errNotClaimed = errors.New("chunk not claimed")

// claim makes this incarnation the chunk's owner.
func (s *Service) claim(ctx context.Context, job *activeJob, chunk int) (batch.Chunk, int64, error) {
	if err := s.learn(ctx, job); err != nil {
		return batch.Chunk{}, 0, err
	}
	current, version := batch.NewChunk(chunk, job.entry.Parts[chunk]), int64(0)
	if job.mayExist(chunk) {
		var err error
		if current, version, err = s.readChunk(ctx, job, chunk); err != nil {
			return current, 0, err
		}
	}
	if err := s.mayTake(job, current, version); err != nil {
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
		s.record(events.Event{Kind: "chunk.taken_over", Workspace: job.entry.Workspace, Job: job.entry.ID, Peer: current.Owner.Host})
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

// mayTake refuses a chunk that is finished or whose owner is at work.
func (s *Service) mayTake(job *activeJob, c batch.Chunk, version int64) error {
	if c.Finished() {
		if job.markFinished(c.Index) {
			s.finishSoon(job)
		}
		return errNotClaimed
	}
	// An owner on this host is this process or an earlier one, which is gone.
	if c.Owner == (batch.Owner{}) || c.Owner.Host == s.owner.Host || !s.ownerAlive(c.Owner) {
		return nil
	}
	unchanged := job.postpone(c.Index, version, s.now().Add(jitter(s.o.Discovery)))
	if unchanged < staleProbes {
		return errNotClaimed
	}
	return nil
}
