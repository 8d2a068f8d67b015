package jobs

import (
	"context"
	"sync"
	"time"

	"ragwortstep/internal/core/batch"
)

const (
	sampleAge  = 2 * time.Second // callers that poll a job cost one listing per this time and host
	maxSamples = 1024
	rateWindow = 30 * time.Second
)

// Progress is the state of an unfinished job in its JSON.
type Progress struct {
	ItemsPerSecond  float64 `json:"items_per_second"`
	EstimatedFinish *int64  `json:"estimated_finish_at"` // Unix seconds; null while no item finishes
}

// sample is the last known progress of a job. base is an earlier one, from
// which the rate is computed.
type sample struct {
	at     time.Time
	totals batch.Totals
	baseAt time.Time
	base   int
}

// sampler caches the progress of unfinished jobs.
type sampler struct {
	now func() time.Time
	mu  sync.Mutex
	by  map[string]sample
}

func newSampler(now func() time.Time) *sampler {
	return &sampler{now: now, by: map[string]sample{}}
}

func (s *sampler) get(id string) (sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.by[id]
	return v, ok && s.now().Sub(v.at) < sampleAge
}

// put stores new totals and keeps a base at most rateWindow old.
func (s *sampler) put(job batch.Job, totals batch.Totals) sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := sample{at: now, totals: totals, baseAt: time.UnixMilli(job.CreatedAt)}
	if old, ok := s.by[job.ID]; ok {
		next.baseAt, next.base = old.baseAt, old.base
		if now.Sub(old.baseAt) > rateWindow {
			next.baseAt, next.base = old.at, done(old.totals)
		}
	}
	if len(s.by) >= maxSamples {
		clear(s.by)
	}
	s.by[job.ID] = next
	return next
}

func done(t batch.Totals) int { return t.Counts.Completed + t.Counts.Failed }

// progress computes rate and estimated finish.
func (s sample) progress(job batch.Job) *Progress {
	elapsed := s.at.Sub(s.baseAt).Seconds()
	p := &Progress{}
	if elapsed <= 0 {
		return p
	}
	p.ItemsPerSecond = float64(done(s.totals)-s.base) / elapsed
	if p.ItemsPerSecond > 0 {
		left := float64(job.Counts.Total-done(s.totals)) / p.ItemsPerSecond
		finish := s.at.Add(time.Duration(left * float64(time.Second))).Unix()
		p.EstimatedFinish = &finish
	}
	return p
}

// liveObject returns the job's JSON with current counts. While the platform
// is unavailable the last known counts are given.
func (s *Service) liveObject(ctx context.Context, job batch.Job) BatchObject {
	if job.Status.Final() {
		return batchObject(job)
	}
	sample, fresh := s.samples.get(job.ID)
	if !fresh {
		if totals, err := s.totals(ctx, job.ID); err == nil {
			sample = s.samples.put(job, totals)
		}
	}
	job.Counts.Completed = sample.totals.Counts.Completed
	job.Counts.Failed = sample.totals.Counts.Failed
	out := batchObject(job)
	out.Progress = sample.progress(job)
	return out
}

// totals sums the progress of the job's chunks.
func (s *Service) totals(ctx context.Context, id string) (batch.Totals, error) {
	var totals batch.Totals
	err := s.listChunks(ctx, id, func(_ int64, c batch.Chunk) error {
		totals.Add(c)
		return nil
	})
	return totals, err
}
