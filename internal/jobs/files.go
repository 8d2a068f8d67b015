package jobs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/store"
)

const (
	purposeBatch     = "batch"
	purposeOutput    = "batch_output"
	defaultPageSize  = 20
	maxPageSize      = 100
	maxParallelReads = 16
)

// fileMeta is the value of files/<id>/meta. A file is accepted once this object
// exists.
type fileMeta struct {
	ID        string    `json:"id"`
	Workspace string    `json:"workspace"`
	Name      string    `json:"name"`
	Purpose   string    `json:"purpose"`
	Bytes     int64     `json:"bytes"`
	CreatedAt int64     `json:"created_at"` // Unix milliseconds
	Items     int       `json:"items"`
	Parts     partSizes `json:"parts"` // items of each part
	URLs      []string  `json:"urls"`
}

// fileIndexEntry is the value of a file's index entry. Accepted is false while
// the upload runs and after an upload that was interrupted.
type fileIndexEntry struct {
	File     fileMeta `json:"file"`
	Accepted bool     `json:"accepted"`
}

// FileObject is a file in OpenAI's JSON form.
type FileObject struct {
	ID        string `json:"id"`
	Object    string `json:"object"`
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	ExpiresAt int64  `json:"expires_at"`
	Filename  string `json:"filename"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

func (s *Service) fileObject(m fileMeta) FileObject {
	return FileObject{
		ID: m.ID, Object: "file", Bytes: m.Bytes, CreatedAt: m.CreatedAt / 1000,
		ExpiresAt: (m.CreatedAt + s.o.Retention.Milliseconds()) / 1000,
		Filename:  m.Name, Purpose: m.Purpose, Status: "processed",
	}
}

// readFileMeta returns the file of the workspace, or a not-found error.
func (s *Service) readFileMeta(ctx context.Context, workspace, id string) (fileMeta, error) {
	if !idPattern.MatchString(id) || !strings.HasPrefix(id, fileIDPrefix) {
		return fileMeta{}, notFound("file", id)
	}
	if job, errorLines, ok := resultFileJob(id); ok {
		return s.resultFileMeta(ctx, workspace, job, errorLines)
	}
	var meta fileMeta
	err := s.getJSON(ctx, fileMetaKey(id), &meta)
	if errors.Is(err, store.ErrNotFound) || err == nil && meta.Workspace != workspace {
		return fileMeta{}, notFound("file", id)
	}
	return meta, platformError(err)
}

// getJSON reads and decodes a value that has no envelope.
func (s *Service) getJSON(ctx context.Context, key string, into any) error {
	obj, err := s.store.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "platform get %s", key)
	}
	return errors.Wrapf(json.Unmarshal(obj.Value, into), "decode %s", key)
}

// listFiles returns one page of the workspace's files, newest first, and
// whether more follow. after is the last file id of the previous page.
func (s *Service) listFiles(ctx context.Context, workspace, after, purpose string, limit int) ([]fileMeta, bool, error) {
	cursor := ""
	if after != "" {
		meta, err := s.readFileMeta(ctx, workspace, after)
		if err != nil {
			return nil, false, err
		}
		cursor = indexKey(prefixFileIndex, workspace, meta.CreatedAt, meta.ID)
	}
	var out []fileMeta
	for {
		page, err := s.store.List(ctx, indexPrefix(prefixFileIndex, workspace), cursor, maxPageSize)
		if err != nil {
			return nil, false, platformError(errors.Wrap(err, "list files"))
		}
		metas, err := s.acceptedFiles(ctx, page.Objects)
		if err != nil {
			return nil, false, err
		}
		for _, m := range metas {
			if m.ID == "" || purpose != "" && m.Purpose != purpose {
				continue
			}
			if len(out) == limit {
				return out, true, nil
			}
			out = append(out, m)
		}
		if page.Next == "" {
			return out, false, nil
		}
		cursor = page.Next
	}
}

// acceptedFiles returns the file of each index entry, with an empty id for a
// file that was not accepted.
func (s *Service) acceptedFiles(ctx context.Context, objects []store.Object) ([]fileMeta, error) {
	out := make([]fileMeta, len(objects))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, obj := range objects {
		var entry fileIndexEntry
		if err := json.Unmarshal(obj.Value, &entry); err != nil {
			return nil, errors.Wrapf(err, "decode %s", obj.Key)
		}
		if entry.Accepted {
			out[i] = entry.File
			continue
		}
		group.Go(func() error {
			meta, err := s.readFileMeta(ctx, entry.File.Workspace, entry.File.ID)
			var api *APIError
			if errors.As(err, &api) && api.Status == http.StatusNotFound {
				return nil
			}
			out[i] = meta
			return err
		})
	}
	return out, group.Wait()
}

// copyFile streams a file's content. Only one part is in memory at a time.
func (s *Service) copyFile(ctx context.Context, meta fileMeta, w io.Writer) error {
	if job, errorLines, ok := resultFileJob(meta.ID); ok {
		return s.copyResults(ctx, job, errorLines, w)
	}
	for n := range meta.Parts {
		raw, err := s.readPart(ctx, meta.ID, n)
		if err != nil {
			return err
		}
		if _, err := w.Write(raw); err != nil {
			return errors.Wrap(err, "write to caller")
		}
	}
	return nil
}

func (s *Service) readPart(ctx context.Context, id string, n int) ([]byte, error) {
	key := filePartKey(id, n)
	obj, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Wrapf(err, "platform get %s", key)
	}
	return decompress(obj.Value, key)
}

// deleteFile removes a file. An input file of an unfinished job is kept,
// because its items are read while the job runs.
func (s *Service) deleteFile(ctx context.Context, workspace, id string) error {
	meta, err := s.readFileMeta(ctx, workspace, id)
	if err != nil {
		return err
	}
	if job, errorLines, ok := resultFileJob(id); ok {
		return s.deleteResults(ctx, job, errorLines)
	}
	jobs, err := s.listActive(ctx)
	if err != nil {
		return platformError(err)
	}
	for _, job := range jobs {
		if job.InputFile == id {
			return conflict("file_in_use", "id", "file %s is the input of the unfinished job %s", id, job.ID)
		}
	}
	return unknownOutcomeError(s.removeFile(ctx, meta))
}

// removeFile deletes the meta object first, so that listed files are complete,
// and the index entry last, so that the retention sweep finds an interrupted
// removal.
func (s *Service) removeFile(ctx context.Context, meta fileMeta) error {
	if err := s.remove(ctx, fileMetaKey(meta.ID)); err != nil {
		return err
	}
	for n := range meta.Parts {
		if err := s.remove(ctx, filePartKey(meta.ID, n)); err != nil {
			return err
		}
	}
	return s.remove(ctx, indexKey(prefixFileIndex, meta.Workspace, meta.CreatedAt, meta.ID))
}

// remove deletes a key. A missing object counts as removed, also on a retry after
// a lost response.
func (s *Service) remove(ctx context.Context, key string) error {
	err := s.retryCall(ctx, func() error {
		err := s.store.Delete(ctx, key, store.AnyVersion)
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		return err
	})
	return errors.Wrapf(err, "platform delete %s", key)
}
