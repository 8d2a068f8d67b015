package jobs

import (
	"context"
	"sync"
	"time"

	"ragwortstep/internal/core/batch"
)

const (
	sampleTTL  = 2 * time.Second // polling callers cause at most one listing per job and host in this time
	maxSamples = 1024
	rateWindow = 30 * time.Second
)

// Progress is the progress of an unfinished job in its JSON.
type Progress struct {
	ItemsPerSecond  float64 `json:"items_per_second"`
	EstimatedFinish *int64  `json:"estimated_finish_at"` // Unix seconds; null while the rate is 0
}

// progressSample is the last known progress of a job. baseAt and baseItems are an
// earlier state, from which the rate is computed.
type progressSample struct {
	takenAt   time.Time
	totals    batch.Totals
	baseAt    time.Time
	baseItems int
}

// progressCache caches the progress of unfinished jobs.
type progressCache struct {
	now     func() time.Time
	mu      sync.Mutex
	samples map[string]progressSample
}

func newProgressCache(now func() time.Time) *progressCache {
	return &progressCache{now: now, samples: map[string]progressSample{}}
}

func (s *progressCache) get(id string) (progressSample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.samples[id]
	return v, ok && s.now().Sub(v.takenAt) < sampleTTL
}

// put stores new totals. The base moves to the previous sample when it is older
// than rateWindow.
func (s *progressCache) put(job batch.Job, totals batch.Totals) progressSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	next := progressSample{takenAt: now, totals: totals, baseAt: time.UnixMilli(job.CreatedAt)}
	if old, ok := s.samples[job.ID]; ok {
		next.baseAt, next.baseItems = old.baseAt, old.baseItems
		if now.Sub(old.baseAt) > rateWindow {
			next.baseAt, next.baseItems = old.takenAt, finishedItems(old.totals)
		}
	}
	if len(s.samples) >= maxSamples {
		clear(s.samples)
	}
	s.samples[job.ID] = next
	return next
}

func finishedItems(t batch.Totals) int { return t.Counts.Completed + t.Counts.Failed }

// progress computes the rate and the estimated finish.
func (s progressSample) progress(job batch.Job) *Progress {
	elapsed := s.takenAt.Sub(s.baseAt).Seconds()
	p := &Progress{}
	if elapsed <= 0 {
		return p
	}
	p.ItemsPerSecond = float64(finishedItems(s.totals)-s.baseItems) / elapsed
	if p.ItemsPerSecond > 0 {
		left := float64(job.Counts.Total-finishedItems(s.totals)) / p.ItemsPerSecond
		finish := s.takenAt.Add(time.Duration(left * float64(time.Second))).Unix()
		p.EstimatedFinish = &finish
	}
	return p
}

// currentBatchObject returns the job's JSON with current counts, or with the last
// known ones while the platform is unavailable.
func (s *Service) currentBatchObject(ctx context.Context, job batch.Job) BatchObject {
	if job.Status.Final() {
		return batchObject(job)
	}
	sample, fresh := s.latestProgress.get(job.ID)
	if !fresh {
		if totals, err := s.totals(ctx, job.ID); err == nil {
			sample = s.latestProgress.put(job, totals)
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
