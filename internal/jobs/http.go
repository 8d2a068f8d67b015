package jobs

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/batch"
	"ragwortstep/internal/dispatch"
)

// maxCreateBody bounds the body of POST /v1/batches in bytes.
const maxCreateBody = 64 << 10

// maxIdempotencyKey bounds the header Idempotency-Key in bytes.
const maxIdempotencyKey = 256

type workspaceKey struct{}

// WithWorkspace returns a context that carries the authenticated workspace.
// The gateway sets it before it calls the handler.
func WithWorkspace(ctx context.Context, workspace string) context.Context {
	return context.WithValue(ctx, workspaceKey{}, workspace)
}

// listBody is a page of a listing in OpenAI's JSON form.
type listBody[T any] struct {
	Object  string  `json:"object"`
	Data    []T     `json:"data"`
	FirstID *string `json:"first_id"`
	LastID  *string `json:"last_id"`
	HasMore bool    `json:"has_more"`
}

func newList[T any](data []T, more bool, id func(T) string) listBody[T] {
	body := listBody[T]{Object: "list", Data: data, HasMore: more}
	if len(data) > 0 {
		first, last := id(data[0]), id(data[len(data)-1])
		body.FirstID, body.LastID = &first, &last
	}
	return body
}

// BatchObject is a job in OpenAI's JSON form, extended by its progress. Times are
// Unix seconds.
type BatchObject struct {
	ID               string            `json:"id"`
	Object           string            `json:"object"`
	Endpoint         string            `json:"endpoint"`
	Errors           *struct{}         `json:"errors"` // always null: items are validated when the file is uploaded
	InputFileID      string            `json:"input_file_id"`
	CompletionWindow string            `json:"completion_window"`
	Status           batch.Status      `json:"status"`
	OutputFileID     *string           `json:"output_file_id"`
	ErrorFileID      *string           `json:"error_file_id"`
	CreatedAt        int64             `json:"created_at"`
	InProgressAt     *int64            `json:"in_progress_at"`
	ExpiresAt        *int64            `json:"expires_at"`
	FinalizingAt     *int64            `json:"finalizing_at"`
	CompletedAt      *int64            `json:"completed_at"`
	FailedAt         *int64            `json:"failed_at"`
	ExpiredAt        *int64            `json:"expired_at"`
	CancellingAt     *int64            `json:"cancelling_at"`
	CancelledAt      *int64            `json:"cancelled_at"`
	RequestCounts    batch.Counts      `json:"request_counts"`
	Metadata         map[string]string `json:"metadata"`
	Progress         *Progress         `json:"progress,omitempty"`
}

func unixSeconds(ms int64) *int64 {
	if ms == 0 {
		return nil
	}
	v := ms / 1000
	return &v
}

func batchObject(job batch.Job) BatchObject {
	out := BatchObject{
		ID: job.ID, Object: "batch", Endpoint: job.Endpoint, InputFileID: job.InputFile,
		CompletionWindow: job.Window, Status: job.Status, CreatedAt: job.CreatedAt / 1000,
		InProgressAt: unixSeconds(job.CreatedAt), ExpiresAt: unixSeconds(job.DeadlineAt),
		CancellingAt: unixSeconds(job.CancellingAt), RequestCounts: job.Counts, Metadata: job.Metadata,
	}
	switch job.Status {
	case batch.StatusCompleted:
		out.FinalizingAt, out.CompletedAt = unixSeconds(job.EndedAt), unixSeconds(job.EndedAt)
	case batch.StatusCancelled:
		out.CancelledAt = unixSeconds(job.EndedAt)
	}
	if meta, ok := resultFile(job, false); ok {
		out.OutputFileID = &meta.ID
	}
	if meta, ok := resultFile(job, true); ok {
		out.ErrorFileID = &meta.ID
	}
	return out
}

// Handler serves /v1/files and /v1/batches. Requests must carry a workspace
// set by WithWorkspace.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/files", s.serve(s.handleUpload))
	mux.HandleFunc("GET /v1/files", s.serve(s.handleListFiles))
	mux.HandleFunc("GET /v1/files/{id}", s.serve(s.handleGetFile))
	mux.HandleFunc("GET /v1/files/{id}/content", s.serve(s.handleContent))
	mux.HandleFunc("DELETE /v1/files/{id}", s.serve(s.handleDeleteFile))
	mux.HandleFunc("POST /v1/batches", s.serve(s.handleCreate))
	mux.HandleFunc("GET /v1/batches", s.serve(s.handleListJobs))
	mux.HandleFunc("GET /v1/batches/{id}", s.serve(s.handleGetJob))
	mux.HandleFunc("POST /v1/batches/{id}/cancel", s.serve(s.handleCancel))
	mux.HandleFunc("/", s.serve(s.handleUnknown))
	return mux
}

func (s *Service) handleUnknown(_ http.ResponseWriter, r *http.Request, _ string) error {
	e := invalid("unknown_url", "", "no %s at %s", r.Method, r.URL.Path)
	e.Status = http.StatusNotFound
	return e
}

// handlerFunc serves one request of a workspace. A returned error is sent in
// OpenAI's form, so the handler must not have written anything before.
type handlerFunc func(w http.ResponseWriter, r *http.Request, workspace string) error

func (s *Service) serve(h handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		workspace, _ := r.Context().Value(workspaceKey{}).(string)
		if workspace == "" {
			writeError(w, &APIError{
				Status: http.StatusUnauthorized, Type: "authentication_error", Code: "invalid_api_key",
				Message: "the request has no valid key", Executed: dispatch.ExecutedNo,
			})
			return
		}
		if err := h(w, r, workspace); err != nil {
			writeError(w, err)
		}
	}
}

// pageLimit reads the query parameter limit.
func pageLimit(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return defaultPageSize, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		return 0, invalid("invalid_limit", "limit", "limit %q must be a whole number from 1", text)
	}
	return min(limit, maxPageSize), nil
}

func (s *Service) handleUpload(w http.ResponseWriter, r *http.Request, workspace string) error {
	select {
	case s.uploads <- struct{}{}:
		defer func() { <-s.uploads }()
	default:
		return &APIError{
			Status: http.StatusTooManyRequests, Type: "rate_limit_error", Code: "too_many_uploads",
			Message:  "this host receives its largest number of files at once",
			Executed: dispatch.ExecutedNo, RetryAfter: platformRetryAfter,
		}
	}
	meta, err := s.readMultipart(r, workspace)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.fileObject(meta))
	return nil
}

// maxFieldBytes bounds a form field that is not the file.
const maxFieldBytes = 1 << 10

// readMultipart reads the form as a stream. The fields purpose and file may come
// in any order.
func (s *Service) readMultipart(r *http.Request, workspace string) (fileMeta, error) {
	form, err := r.MultipartReader()
	if err != nil {
		return fileMeta{}, invalid("invalid_form", "", "the body must be multipart/form-data with the fields purpose and file")
	}
	var meta fileMeta
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.discardFile(r.Context(), meta)
			return fileMeta{}, invalid("invalid_form", "", "the form ended early or is malformed")
		}
		switch {
		case part.FormName() == "purpose":
			value, _ := io.ReadAll(io.LimitReader(part, maxFieldBytes))
			purpose = string(value)
			err = checkPurpose(purpose)
		case part.FormName() == "file" && meta.ID == "":
			meta, err = s.storeFile(r.Context(), workspace, part.FileName(), part)
		}
		if err != nil {
			s.discardFile(r.Context(), meta)
			return fileMeta{}, err
		}
	}
	if meta.ID == "" {
		return meta, invalid("missing_parameter", "file", "the form has no file")
	}
	if err := checkPurpose(purpose); err != nil {
		s.discardFile(r.Context(), meta)
		return fileMeta{}, err
	}
	return meta, nil
}

func checkPurpose(purpose string) error {
	if purpose != purposeBatch {
		return invalid("invalid_purpose", "purpose", "purpose is %q, must be %q", purpose, purposeBatch)
	}
	return nil
}

// discardFile removes a file whose request failed after the file was stored.
func (s *Service) discardFile(ctx context.Context, meta fileMeta) {
	if meta.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = s.removeFile(ctx, meta) // the retention sweep removes the rest after an error
}

func (s *Service) handleListFiles(w http.ResponseWriter, r *http.Request, workspace string) error {
	limit, err := pageLimit(r)
	if err != nil {
		return err
	}
	query := r.URL.Query()
	metas, more, err := s.listFiles(r.Context(), workspace, query.Get("after"), query.Get("purpose"), limit)
	if err != nil {
		return err
	}
	data := make([]FileObject, 0, len(metas))
	for _, m := range metas {
		data = append(data, s.fileObject(m))
	}
	writeJSON(w, http.StatusOK, newList(data, more, func(f FileObject) string { return f.ID }))
	return nil
}

func (s *Service) handleGetFile(w http.ResponseWriter, r *http.Request, workspace string) error {
	meta, err := s.readFileMeta(r.Context(), workspace, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.fileObject(meta))
	return nil
}

// handleContent streams a file's content with its Content-Length. A failure in the
// middle aborts the connection, so that the caller does not take a partial file
// for a complete one.
func (s *Service) handleContent(w http.ResponseWriter, r *http.Request, workspace string) error {
	meta, err := s.readFileMeta(r.Context(), workspace, r.PathValue("id"))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(meta.Bytes, 10))
	out := &startedWriter{w: w}
	err = s.copyFile(r.Context(), meta, out)
	if err == nil {
		return nil
	}
	if out.started {
		panic(http.ErrAbortHandler)
	}
	w.Header().Del("Content-Length")
	return platformError(err)
}

// startedWriter records whether Write was called.
type startedWriter struct {
	w       io.Writer
	started bool
}

// Write implements io.Writer.
func (s *startedWriter) Write(p []byte) (int, error) {
	s.started = true
	return s.w.Write(p)
}

func (s *Service) handleDeleteFile(w http.ResponseWriter, r *http.Request, workspace string) error {
	id := r.PathValue("id")
	if err := s.deleteFile(r.Context(), workspace, id); err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Deleted bool   `json:"deleted"`
	}{id, "file", true})
	return nil
}

func (s *Service) handleCreate(w http.ResponseWriter, r *http.Request, workspace string) error {
	var req createRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCreateBody))
	if err := dec.Decode(&req); err != nil {
		return invalid("invalid_json", "", "malformed JSON at byte %d: %s", dec.InputOffset(), err.Error())
	}
	key := r.Header.Get("Idempotency-Key")
	if len(key) > maxIdempotencyKey {
		return invalid("invalid_idempotency_key", "Idempotency-Key", "the key is longer than %d bytes", maxIdempotencyKey)
	}
	job, err := s.createJob(r.Context(), workspace, key, req)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.currentBatchObject(r.Context(), job))
	return nil
}

func (s *Service) handleListJobs(w http.ResponseWriter, r *http.Request, workspace string) error {
	limit, err := pageLimit(r)
	if err != nil {
		return err
	}
	jobs, more, err := s.listJobs(r.Context(), workspace, r.URL.Query().Get("after"), limit)
	if err != nil {
		return err
	}
	data := make([]BatchObject, len(jobs))
	var group errgroup.Group
	group.SetLimit(maxParallelReads)
	for i, job := range jobs {
		group.Go(func() error {
			data[i] = s.currentBatchObject(r.Context(), job)
			return nil
		})
	}
	_ = group.Wait() // currentBatchObject reports no errors
	writeJSON(w, http.StatusOK, newList(data, more, func(b BatchObject) string { return b.ID }))
	return nil
}

func (s *Service) handleGetJob(w http.ResponseWriter, r *http.Request, workspace string) error {
	job, err := s.readJob(r.Context(), workspace, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.currentBatchObject(r.Context(), job))
	return nil
}

func (s *Service) handleCancel(w http.ResponseWriter, r *http.Request, workspace string) error {
	job, err := s.cancelJob(r.Context(), workspace, r.PathValue("id"))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.currentBatchObject(r.Context(), job))
	return nil
}
