package jobs

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/store"
)

// Bounds of a batch request, as in OpenAI's API.
const (
	maxMetadataPairs = 16
	maxMetadataKey   = 64
	maxMetadataValue = 512
	minWindow        = time.Minute
	maxWindow        = 720 * time.Hour
)

// activeEntry is the value of jobactive/<id>. It holds everything a host needs
// to run the job, so that hosts do not read the manifest.
type activeEntry struct {
	ID         string    `json:"id"`
	Workspace  string    `json:"workspace"`
	Endpoint   string    `json:"endpoint"`
	InputFile  string    `json:"input_file"`
	Parts      partSizes `json:"parts"` // items of each chunk
	CreatedAt  int64     `json:"created_at"`
	DeadlineAt int64     `json:"deadline_at"`
	Cancelled  bool      `json:"cancelled"`
}

// jobIndexEntry is the value of a job's index entry.
type jobIndexEntry struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	CreatedAt int64  `json:"created_at"`
}

// createRequest is the body of POST /v1/batches.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (r createRequest) validate() error {
	if r.InputFileID == "" {
		return invalid("missing_parameter", "input_file_id", "input_file_id is missing")
	}
	if !strings.HasPrefix(r.Endpoint, "/") {
		return invalid("invalid_endpoint", "endpoint", "endpoint %q must start with /", r.Endpoint)
	}
	if len(r.Metadata) > maxMetadataPairs {
		return invalid("invalid_metadata", "metadata", "more than %d metadata pairs", maxMetadataPairs)
	}
	for k, v := range r.Metadata {
		if len(k) > maxMetadataKey || len(v) > maxMetadataValue {
			return invalid("invalid_metadata", "metadata", "metadata key above %d or value above %d bytes", maxMetadataKey, maxMetadataValue)
		}
	}
	return nil
}

func parseWindow(text string) (time.Duration, error) {
	window, err := time.ParseDuration(text)
	if err != nil || window < minWindow || window > maxWindow {
		return 0, invalid("invalid_completion_window", "completion_window",
			"completion_window %q must be a duration from %s to %s, for example 24h", text, minWindow, maxWindow)
	}
	return window, nil
}

// createJob creates a job, or returns the existing one when the idempotency key
// was used before.
func (s *Service) createJob(ctx context.Context, workspace, idempotencyKey string, req createRequest) (batch.Job, error) {
	if err := req.validate(); err != nil {
		return batch.Job{}, err
	}
	window, err := parseWindow(req.CompletionWindow)
	if err != nil {
		return batch.Job{}, err
	}
	id := jobID(workspace, idempotencyKey)
	if idempotencyKey != "" {
		job, err := s.readJob(ctx, workspace, id)
		var api *APIError
		if err == nil || !errors.As(err, &api) || api.Status != http.StatusNotFound {
			return s.returnExisting(ctx, job, req, err)
		}
	}
	file, err := s.inputFile(ctx, workspace, req)
	if err != nil {
		return batch.Job{}, err
	}
	now := s.now()
	job := batch.Job{
		ID: id, Workspace: workspace, Endpoint: req.Endpoint, InputFile: file.ID, Window: req.CompletionWindow,
		Metadata: req.Metadata, Status: batch.StatusInProgress, Chunks: len(file.Parts),
		Counts:    batch.Counts{Total: file.Items},
		CreatedAt: now.UnixMilli(), DeadlineAt: now.Add(window).UnixMilli(),
	}
	return s.acceptJob(ctx, job, file, req)
}

// returnExisting responds to a repeated create request with the existing job. It
// completes the job's index, because the first host may have failed before
// it wrote the index.
func (s *Service) returnExisting(ctx context.Context, job batch.Job, req createRequest, err error) (batch.Job, error) {
	if err != nil {
		return job, err
	}
	if job.InputFile != req.InputFileID || job.Endpoint != req.Endpoint {
		return job, conflict("idempotency_key_reused", "Idempotency-Key",
			"the key was used for job %s with another input file or endpoint", job.ID)
	}
	if job.Status.Final() {
		return job, nil
	}
	return job, unknownOutcomeError(s.completeJobIndex(ctx, job))
}

// inputFile returns the job's input file after checking that its items match the request.
func (s *Service) inputFile(ctx context.Context, workspace string, req createRequest) (fileMeta, error) {
	file, err := s.readFileMeta(ctx, workspace, req.InputFileID)
	if err != nil {
		return file, err
	}
	if file.Purpose != purposeBatch {
		return file, invalid("invalid_input_file", "input_file_id", "file %s has purpose %q", file.ID, file.Purpose)
	}
	for _, url := range file.URLs {
		if url != req.Endpoint {
			return file, invalid("endpoint_mismatch", "endpoint", "the input file has items with url %q", url)
		}
	}
	return file, nil
}

// acceptJob writes the job. The entry under jobnew/ is written first, so that
// the index can be repaired when this host fails after writing the manifest.
func (s *Service) acceptJob(ctx context.Context, job batch.Job, file fileMeta, req createRequest) (batch.Job, error) {
	intent, err := json.Marshal(jobIndexEntry{ID: job.ID, Workspace: job.Workspace, CreatedAt: job.CreatedAt})
	if err != nil {
		return job, errors.Wrap(err, "encode job intent")
	}
	if err := s.overwriteObject(ctx, creatingKey(job.ID), intent); err != nil {
		return job, platformError(err)
	}
	stored, created, err := s.createManifest(ctx, job)
	if err != nil {
		return job, unknownOutcomeError(err)
	}
	if !created {
		return s.returnExisting(ctx, stored, req, nil)
	}
	if err := s.writeJobIndex(ctx, stored, file.Parts); err != nil {
		return job, unknownOutcomeError(err)
	}
	s.recordEvent(events.Event{Kind: "job.accepted", Workspace: job.Workspace, Job: job.ID})
	entry := newActiveEntry(stored, file.Parts)
	s.broadcast(notice{Kind: noticeCreated, Job: job.ID, Entry: &entry})
	return stored, nil
}

// createManifest creates the manifest. It returns an existing one with created false.
func (s *Service) createManifest(ctx context.Context, job batch.Job) (stored batch.Job, created bool, err error) {
	_, raw, err := store.Update(ctx, s.store, s.writer, manifestKey(job.ID),
		func(_ json.RawMessage, exists bool) (json.RawMessage, error) {
			if exists {
				created = false
				return nil, store.ErrNoChange
			}
			created = true
			return json.Marshal(job)
		})
	if err != nil {
		return job, false, err
	}
	return stored, created, errors.Wrapf(json.Unmarshal(raw, &stored), "decode manifest of %s", job.ID)
}

// writeJobIndex adds an accepted job to the index of unfinished jobs and to the
// workspace's listing, then removes the entry under jobnew/.
func (s *Service) writeJobIndex(ctx context.Context, job batch.Job, parts []int) error {
	entry := newActiveEntry(job, parts)
	active, err := json.Marshal(entry)
	if err != nil {
		return errors.Wrap(err, "encode active entry")
	}
	// An existing entry is kept, because it may carry a cancellation.
	if err := s.createObject(ctx, activeKey(job.ID), active); err != nil && !errors.Is(err, store.ErrConflict) {
		return err
	}
	index, err := json.Marshal(jobIndexEntry{ID: job.ID, Workspace: job.Workspace, CreatedAt: job.CreatedAt})
	if err != nil {
		return errors.Wrap(err, "encode job index")
	}
	if err := s.overwriteObject(ctx, indexKey(prefixJobIndex, job.Workspace, job.CreatedAt, job.ID), index); err != nil {
		return err
	}
	s.registry.add(entry)
	s.wakeFill()
	return s.remove(ctx, creatingKey(job.ID))
}

func newActiveEntry(job batch.Job, parts []int) activeEntry {
	return activeEntry{
		ID: job.ID, Workspace: job.Workspace, Endpoint: job.Endpoint, InputFile: job.InputFile, Parts: parts,
		CreatedAt: job.CreatedAt, DeadlineAt: job.DeadlineAt, Cancelled: job.Status == batch.StatusCancelling,
	}
}

// completeJobIndex completes the index of an unfinished job.
func (s *Service) completeJobIndex(ctx context.Context, job batch.Job) error {
	var file fileMeta
	if err := s.getJSON(ctx, fileMetaKey(job.InputFile), &file); err != nil {
		return err
	}
	return s.writeJobIndex(ctx, job, file.Parts)
}

// readJob returns the workspace's job, or a not-found error.
func (s *Service) readJob(ctx context.Context, workspace, id string) (batch.Job, error) {
	if !idPattern.MatchString(id) || !strings.HasPrefix(id, jobIDPrefix) {
		return batch.Job{}, notFound("batch", id)
	}
	job, exists, err := s.manifest(ctx, id)
	if err != nil {
		return job, platformError(err)
	}
	if !exists || job.Workspace != workspace {
		return batch.Job{}, notFound("batch", id)
	}
	return job, nil
}

func (s *Service) manifest(ctx context.Context, id string) (batch.Job, bool, error) {
	var job batch.Job
	_, env, exists, err := store.ReadEnvelope(ctx, s.store, manifestKey(id))
	if err != nil || !exists {
		return job, false, err
	}
	return job, true, errors.Wrapf(json.Unmarshal(env.Data, &job), "decode manifest of %s", id)
}

// updateManifest replaces the manifest by the result of change. An error of
// change leaves the manifest unmodified.
func (s *Service) updateManifest(ctx context.Context, id string, change func(batch.Job) (batch.Job, error)) (batch.Job, error) {
	var next batch.Job
	_, _, err := store.Update(ctx, s.store, s.writer, manifestKey(id),
		func(raw json.RawMessage, exists bool) (json.RawMessage, error) {
			if !exists {
				return nil, store.ErrNotFound
			}
			var current batch.Job
			if err := json.Unmarshal(raw, &current); err != nil {
				return nil, errors.Wrapf(err, "decode manifest of %s", id)
			}
			var err error
			if next, err = change(current); err != nil {
				return nil, err
			}
			encoded, err := json.Marshal(next)
			if err == nil && slices.Equal(encoded, raw) {
				return nil, store.ErrNoChange
			}
			return encoded, err
		})
	return next, err
}

// listJobs returns one page of the workspace's jobs, newest first, and
// whether more follow. after is the last job id of the previous page.
func (s *Service) listJobs(ctx context.Context, workspace, after string, limit int) ([]batch.Job, bool, error) {
	cursor := ""
	if after != "" {
		job, err := s.readJob(ctx, workspace, after)
		if err != nil {
			return nil, false, err
		}
		cursor = indexKey(prefixJobIndex, workspace, job.CreatedAt, job.ID)
	}
	page, err := s.store.List(ctx, indexPrefix(prefixJobIndex, workspace), cursor, limit)
	if err != nil {
		return nil, false, platformError(errors.Wrap(err, "list jobs"))
	}
	jobs := make([]batch.Job, len(page.Objects))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, obj := range page.Objects {
		var entry jobIndexEntry
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			return nil, false, errors.Wrapf(err, "decode %s", obj.Key)
		}
		group.Go(func() error {
			job, _, err := s.manifest(ctx, entry.ID)
			jobs[i] = job
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, false, platformError(err)
	}
	missing := func(j batch.Job) bool { return j.ID == "" }
	return slices.DeleteFunc(jobs, missing), page.Next != "", nil
}

// listActive reads the whole index of unfinished jobs.
func (s *Service) listActive(ctx context.Context) ([]activeEntry, error) {
	var out []activeEntry
	err := s.listAll(ctx, prefixActive, func(obj store.Object) error {
		var entry activeEntry
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			return errors.Wrapf(err, "decode %s", obj.Key)
		}
		out = append(out, entry)
		return nil
	})
	return out, err
}

// listPageSize is the page size of internal listings of small objects.
const listPageSize = 1000

// listAll visits every object with the prefix, page by page.
func (s *Service) listAll(ctx context.Context, prefix string, visit func(store.Object) error) error {
	return s.listPages(ctx, prefix, listPageSize, visit)
}

func (s *Service) listPages(ctx context.Context, prefix string, limit int, visit func(store.Object) error) error {
	after := ""
	for {
		page, err := s.store.List(ctx, prefix, after, limit)
		if err != nil {
			return errors.Wrapf(err, "platform list %s", prefix)
		}
		for _, obj := range page.Objects {
			if err := visit(obj); err != nil {
				return err
			}
		}
		if page.Next == "" {
			return nil
		}
		after = page.Next
	}
}

// listChunks visits the progress of every chunk of the job that was claimed at least once.
func (s *Service) listChunks(ctx context.Context, id string, visit func(version int64, c batch.Chunk) error) error {
	return s.listAll(ctx, chunkPrefix(id), func(obj store.Object) error {
		chunk, err := decodeChunk(obj)
		if err != nil {
			return err
		}
		return visit(obj.Version, chunk)
	})
}

func decodeChunk(obj store.Object) (batch.Chunk, error) {
	var env store.Envelope
	var chunk batch.Chunk
	if err := json.Unmarshal(obj.Value, &env); err != nil {
		return chunk, errors.Wrapf(err, "decode envelope of %s", obj.Key)
	}
	return chunk, errors.Wrapf(json.Unmarshal(env.Data, &chunk), "decode %s", obj.Key)
}
