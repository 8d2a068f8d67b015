package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/batch"
)

// A segment holds lines in OpenAI's output form. Each line is preceded by one
// byte that identifies the file it belongs to.
const (
	markOutput = 'o'
	markError  = 'e'
)

// resultLine is one line of an output or error file.
type resultLine struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id"`
	Response *itemResponse `json:"response"`
	Error    *itemError    `json:"error"`
}

type itemResponse struct {
	Status    int             `json:"status_code"`
	RequestID string          `json:"request_id"`
	Body      json.RawMessage `json:"body"`
}

type itemError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// resultFileMeta describes the output or error file of an ended job.
func (s *Service) resultFileMeta(ctx context.Context, workspace, jobID string, errorLines bool) (fileMeta, error) {
	id := outputFileID(jobID)
	if errorLines {
		id = errorFileID(jobID)
	}
	job, exists, err := s.manifest(ctx, jobID)
	if err != nil {
		return fileMeta{}, platformError(err)
	}
	meta, ok := resultFile(job, errorLines)
	if !exists || job.Workspace != workspace || !ok {
		return fileMeta{}, notFound("file", id)
	}
	return meta, nil
}

// resultFile returns the output or error file of the job. It returns false while
// the job has not ended, and when the file would be empty or was deleted.
func resultFile(job batch.Job, errorLines bool) (fileMeta, bool) {
	meta := fileMeta{
		ID: outputFileID(job.ID), Workspace: job.Workspace, Name: job.ID + "_output.jsonl",
		Purpose: purposeOutput, Bytes: job.OutputBytes, CreatedAt: job.EndedAt, Items: job.Counts.Completed,
	}
	deleted := job.OutputDeleted
	if errorLines {
		meta.ID, meta.Name = errorFileID(job.ID), job.ID+"_error.jsonl"
		meta.Bytes, meta.Items = job.ErrorBytes, job.Counts.Failed
		deleted = job.ErrorDeleted
	}
	return meta, job.Status.Final() && meta.Items > 0 && !deleted
}

// copyResults streams the job's output or error lines in chunk order. Only one
// segment is in memory at a time.
func (s *Service) copyResults(ctx context.Context, id string, errorLines bool, w io.Writer) error {
	mark := byte(markOutput)
	if errorLines {
		mark = markError
	}
	return s.listChunks(ctx, id, func(_ int64, chunk batch.Chunk) error {
		for _, ref := range chunk.Segments {
			if err := s.copySegment(ctx, id, chunk.Index, ref, mark, w); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Service) copySegment(ctx context.Context, id string, chunk int, ref batch.SegmentRef, mark byte, w io.Writer) error {
	if mark == markOutput && ref.Output == 0 || mark == markError && ref.Errors == 0 {
		return nil
	}
	key := segmentKey(id, chunk, ref.Epoch, ref.Number)
	obj, err := s.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "platform get %s", key)
	}
	raw, err := decompress(obj.Value, key)
	if err != nil {
		return err
	}
	for line := range bytes.Lines(raw) {
		if line[0] != mark {
			continue
		}
		if _, err := w.Write(line[1:]); err != nil {
			return errors.Wrap(err, "write to caller")
		}
	}
	return nil
}

// deleteResults marks the output or error file as deleted. Its segments stay
// until the job's retention period ends, because both files share them.
func (s *Service) deleteResults(ctx context.Context, id string, errorLines bool) error {
	job, err := s.updateManifest(ctx, id, func(job batch.Job) (batch.Job, error) {
		if errorLines {
			job.ErrorDeleted = true
		} else {
			job.OutputDeleted = true
		}
		return job, nil
	})
	if err != nil {
		return unknownOutcomeError(err)
	}
	fileID := outputFileID(id)
	if errorLines {
		fileID = errorFileID(id)
	}
	return unknownOutcomeError(s.remove(ctx, indexKey(prefixFileIndex, job.Workspace, job.EndedAt, fileID)))
}
