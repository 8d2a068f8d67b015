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
	// repairAge is the age from which a job that is still being created is repaired.
	repairAge = 30 * time.Second
	// abandonAge is the age from which an unfinished upload or creation is removed.
	abandonAge = 24 * time.Hour
	// valuePage is the page size of listings whose values may be 1 MB each.
	valuePage = 8
)

// caretaker reports whether this host does the fleet's housekeeping.
func (s *Service) caretaker() bool {
	first := ""
	for _, h := range s.hosts() {
		if first == "" || h.Name < first {
			first = h.Name
		}
	}
	return first == string(s.o.Host) && s.o.Fleet.MayAdmit(s.now()) == nil
}

func (s *Service) repairLoop() {
	interval := func() time.Duration { return s.o.RepairInterval }
	s.every(interval, func(ctx context.Context) {
		if !s.caretaker() {
			return
		}
		if err := s.repair(ctx); err != nil {
			counters.Add("repair_errors", 1)
		}
	})
}

// repair completes the index of jobs whose host died while it created them.
func (s *Service) repair(ctx context.Context) error {
	return s.listAll(ctx, prefixNew, func(obj store.Object) error {
		var entry jobIndex
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			return errors.Wrapf(err, "decode %s", obj.Key)
		}
		age := s.now().Sub(time.UnixMilli(entry.CreatedAt))
		if age < repairAge {
			return nil
		}
		job, exists, err := s.manifest(ctx, entry.ID)
		switch {
		case err != nil:
			return err
		case exists && !job.Status.Final():
			counters.Add("jobs_repaired", 1)
			return s.repairJob(ctx, job)
		case exists || age > abandonAge:
			return s.remove(ctx, obj.Key)
		}
		return nil
	})
}

func (s *Service) sweepLoop() {
	interval := func() time.Duration { return s.o.SweepInterval }
	s.every(interval, func(ctx context.Context) {
		if !s.caretaker() {
			return
		}
		if err := s.sweep(ctx); err != nil {
			counters.Add("sweep_errors", 1)
		}
	})
}

// sweep removes jobs and files whose retention period has ended.
func (s *Service) sweep(ctx context.Context) error {
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
	var entry jobIndex
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

// removeJob deletes the job's objects. Segments are found by the chunks'
// progress; the listing at the end finds what is left of lost owners.
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
	return s.listPages(ctx, "jobs/"+id+"/", valuePage, func(obj store.Object) error { return s.remove(ctx, obj.Key) })
}

func (s *Service) sweepFile(ctx context.Context, obj store.Object, inUse map[string]bool) error {
	var entry fileIndex
	if err := json.Unmarshal(obj.Value, &entry); err != nil {
		return errors.Wrapf(err, "decode %s", obj.Key)
	}
	age := s.now().Sub(time.UnixMilli(entry.File.CreatedAt))
	if !s.expired(entry.File.CreatedAt) && (entry.Accepted || age < abandonAge) || inUse[entry.File.ID] {
		return nil
	}
	if _, _, isResult := resultFileJob(entry.File.ID); isResult {
		return s.remove(ctx, obj.Key) // its segments go with the job
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

// sweepParts removes the parts of an upload that was cut off.
func (s *Service) sweepParts(ctx context.Context, id, indexEntry string) error {
	prefix := strings.TrimSuffix(filePartKey(id, 0), fmt.Sprintf("%06d", 0))
	err := s.listPages(ctx, prefix, valuePage, func(obj store.Object) error { return s.remove(ctx, obj.Key) })
	if err != nil {
		return err
	}
	return s.remove(ctx, indexEntry)
}
