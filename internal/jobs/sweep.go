package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/store"
)

const (
	// minRepairAge is the minimum age of a job's creation entry before its index is repaired.
	minRepairAge = 30 * time.Second
	// abandonedAge is the age above which an unfinished upload or creation is removed.
	abandonedAge = 24 * time.Hour
	// largeValuePageSize is the page size of listings whose values may be up to 1 MB each.
	largeValuePageSize = 8
)

// isHousekeeper reports whether this host runs repairs and retention sweeps. It is
// the alive host with the lowest name, as long as it holds the freshness lease.
func (s *Service) isHousekeeper() bool {
	first := ""
	for _, h := range s.aliveHosts() {
		if first == "" || h.Name < first {
			first = h.Name
		}
	}
	return first == string(s.o.Host) && s.o.Fleet.MayAdmit(s.now()) == nil
}

func (s *Service) repairLoop() {
	interval := func() time.Duration { return s.o.RepairInterval }
	s.runPeriodically(interval, func(ctx context.Context) {
		if !s.isHousekeeper() {
			return
		}
		if err := s.repair(ctx); err != nil {
			counters.Add("repair_errors", 1)
		}
	})
}

// repair completes the index of jobs whose host failed while creating them.
func (s *Service) repair(ctx context.Context) error {
	return s.listAll(ctx, prefixCreating, func(obj store.Object) error {
		var entry jobIndexEntry
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			return errors.Wrapf(err, "decode %s", obj.Key)
		}
		age := s.now().Sub(time.UnixMilli(entry.CreatedAt))
		if age < minRepairAge {
			return nil
		}
		job, exists, err := s.manifest(ctx, entry.ID)
		switch {
		case err != nil:
			return err
		case exists && !job.Status.Final():
			counters.Add("jobs_repaired", 1)
			return s.completeJobIndex(ctx, job)
		case exists || age > abandonedAge:
			return s.remove(ctx, obj.Key)
		}
		return nil
	})
}

func (s *Service) sweepLoop() {
	interval := func() time.Duration { return s.o.SweepInterval }
	s.runPeriodically(interval, func(ctx context.Context) {
		if !s.isHousekeeper() {
			return
		}
		if err := s.removeExpired(ctx); err != nil {
			counters.Add("sweep_errors", 1)
		}
	})
}

// removeExpired removes jobs and files whose retention period has ended.
func (s *Service) removeExpired(ctx context.Context) error {
	active, err := s.listActive(ctx)
	if err != nil {
		return err
	}
	inUse := map[string]bool{}
	for _, entry := range active {
		inUse[entry.InputFile] = true
	}
	if err := s.listAll(ctx, prefixJobIndex, func(obj store.Object) error { return s.sweepJob(ctx, obj) }); err != nil {
		return err
	}
	return s.listAll(ctx, prefixFileIndex, func(obj store.Object) error { return s.sweepFile(ctx, obj, inUse) })
}

func (s *Service) expired(createdMS int64) bool {
	return s.now().Sub(time.UnixMilli(createdMS)) > s.o.Retention
}

func (s *Service) sweepJob(ctx context.Context, obj store.Object) error {
	var entry jobIndexEntry
	if err := json.Unmarshal(obj.Value, &entry); err != nil {
		return errors.Wrapf(err, "decode %s", obj.Key)
	}
	if !s.expired(entry.CreatedAt) {
		return nil
	}
	job, exists, err := s.manifest(ctx, entry.ID)
	if err != nil {
		return err
	}
	if exists && (!job.Status.Final() || !s.expired(job.EndedAt)) {
		return nil
	}
	if err := s.removeJob(ctx, entry.ID); err != nil {
		return err
	}
	counters.Add("jobs_expired", 1)
	return s.remove(ctx, obj.Key)
}

// removeJob deletes the job's objects. It finds committed segments in the chunks'
// progress. The listing at the end finds those that former owners left behind.
func (s *Service) removeJob(ctx context.Context, id string) error {
	if err := s.remove(ctx, manifestKey(id)); err != nil {
		return err
	}
	err := s.listChunks(ctx, id, func(_ int64, c batch.Chunk) error {
		for _, ref := range c.Segments {
			if err := s.remove(ctx, segmentKey(id, c.Index, ref.Epoch, ref.Number)); err != nil {
				return err
			}
		}
		return s.remove(ctx, chunkKey(id, c.Index))
	})
	if err != nil {
		return err
	}
	return s.listPages(ctx, "jobs/"+id+"/", largeValuePageSize, func(obj store.Object) error { return s.remove(ctx, obj.Key) })
}

func (s *Service) sweepFile(ctx context.Context, obj store.Object, inUse map[string]bool) error {
	var entry fileIndexEntry
	if err := json.Unmarshal(obj.Value, &entry); err != nil {
		return errors.Wrapf(err, "decode %s", obj.Key)
	}
	age := s.now().Sub(time.UnixMilli(entry.File.CreatedAt))
	if !s.expired(entry.File.CreatedAt) && (entry.Accepted || age < abandonedAge) || inUse[entry.File.ID] {
		return nil
	}
	if _, _, isResult := resultFileJob(entry.File.ID); isResult {
		return s.remove(ctx, obj.Key) // its segments are removed with the job
	}
	var meta fileMeta
	err := s.getJSON(ctx, fileMetaKey(entry.File.ID), &meta)
	switch {
	case errors.Is(err, store.ErrNotFound):
		return s.sweepParts(ctx, entry.File.ID, obj.Key)
	case err != nil:
		return err
	case !s.expired(entry.File.CreatedAt):
		return nil // accepted, although its index entry does not say so
	}
	return s.removeFile(ctx, meta)
}

// sweepParts removes the parts and the index entry of an interrupted upload.
func (s *Service) sweepParts(ctx context.Context, id, indexEntry string) error {
	prefix := strings.TrimSuffix(filePartKey(id, 0), fmt.Sprintf("%06d", 0))
	err := s.listPages(ctx, prefix, largeValuePageSize, func(obj store.Object) error { return s.remove(ctx, obj.Key) })
	if err != nil {
		return err
	}
	return s.remove(ctx, indexEntry)
}
