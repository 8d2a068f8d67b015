package jobs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/store"
)

// Bounds of one part of a file.
const (
	maxPartItems = 500
	maxPartBytes = 2 << 20 // bounds the memory of an upload and of a running chunk
)

// Retries of a platform call made for a caller or a background task.
const (
	retryAttempts  = 5
	retryBaseDelay = 50 * time.Millisecond
)

// upload splits one file into parts. It keeps one part and the hashes of the
// custom ids in memory.
type upload struct {
	s         *Service
	meta      fileMeta
	checker   *lineChecker
	partLines bytes.Buffer // lines of the current part, each ending with \n
	partItems int          // number of lines in partLines
}

// storeFile stores a JSONL file. The file is accepted when its meta object is
// written, which is the last step.
func (s *Service) storeFile(ctx context.Context, workspace, name string, r io.Reader) (fileMeta, error) {
	u := &upload{s: s, checker: newLineChecker(s.o.MaxItems)}
	u.meta = fileMeta{ID: newFileID(), Workspace: workspace, Name: name, Purpose: purposeBatch, CreatedAt: s.now().UnixMilli()}
	if err := s.putFileIndex(ctx, u.meta, false); err != nil {
		return fileMeta{}, platformError(err)
	}
	if err := u.run(ctx, r); err != nil {
		u.cleanUp(ctx)
		return fileMeta{}, platformError(err)
	}
	return u.meta, nil
}

func (u *upload) run(ctx context.Context, r io.Reader) error {
	if err := u.readLines(ctx, newLineReader(&cappedReader{r: r, remaining: u.s.o.MaxFileBytes})); err != nil {
		return err
	}
	if err := u.flush(ctx); err != nil {
		return err
	}
	if u.checker.items == 0 {
		return invalid("empty_file", "file", "the file has no items")
	}
	return u.accept(ctx)
}

func (u *upload) readLines(ctx context.Context, lines *lineReader) error {
	for {
		line, err := lines.next()
		u.checker.lineNumber++
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, errLineTooLong):
			return invalid("line_too_long", "file", "line %d is longer than %d bytes", u.checker.lineNumber, maxLineBytes)
		case err != nil:
			return readError(err)
		}
		if u.checker.lineNumber == 1 {
			line = bytes.TrimPrefix(line, []byte("\xef\xbb\xbf"))
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := u.add(ctx, line); err != nil {
			return err
		}
	}
}

// readError converts an error of reading the uploaded file to an APIError.
func readError(err error) error {
	var api *APIError
	if errors.As(err, &api) {
		return err
	}
	return invalid("upload_incomplete", "file", "the upload ended before the end of the file")
}

func (u *upload) add(ctx context.Context, line []byte) error {
	if err := u.checker.check(line); err != nil {
		return err
	}
	if u.partItems == maxPartItems || u.partItems > 0 && u.partLines.Len()+len(line) > maxPartBytes {
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
	u.partLines.Write(line)
	u.partLines.WriteByte('\n')
	u.partItems++
	return nil
}

// flush writes the current part.
func (u *upload) flush(ctx context.Context) error {
	partLines, partItems := u.partLines.Bytes(), u.partItems
	err := u.writePart(ctx, partLines, partItems)
	u.partLines.Reset()
	u.partItems = 0
	return err
}

// writePart writes lines as one part, or recursively as two halves when the
// compressed lines exceed the platform's limit.
func (u *upload) writePart(ctx context.Context, raw []byte, items int) error {
	if items == 0 {
		return nil
	}
	packed := compress(raw)
	if len(packed) > store.MaxValueBytes {
		first := items / 2
		cut := offsetOfLine(raw, first)
		if err := u.writePart(ctx, raw[:cut], first); err != nil {
			return err
		}
		return u.writePart(ctx, raw[cut:], items-first)
	}
	if err := u.s.createObject(ctx, filePartKey(u.meta.ID, len(u.meta.Parts)), packed); err != nil {
		return err
	}
	u.meta.Parts = append(u.meta.Parts, items)
	u.meta.Items += items
	u.meta.Bytes += int64(len(raw))
	return nil
}

// offsetOfLine returns the offset of the byte after the first n lines.
func offsetOfLine(raw []byte, n int) int {
	pos := 0
	for range n {
		pos += bytes.IndexByte(raw[pos:], '\n') + 1
	}
	return pos
}

func (u *upload) accept(ctx context.Context) error {
	for url := range u.checker.urls {
		u.meta.URLs = append(u.meta.URLs, url)
	}
	sort.Strings(u.meta.URLs)
	raw, err := json.Marshal(u.meta)
	if err != nil {
		return errors.Wrap(err, "encode file meta")
	}
	if err := u.s.createObject(ctx, fileMetaKey(u.meta.ID), raw); err != nil {
		return unknownOutcomeError(err)
	}
	// The file is accepted. If this write fails, listings read its meta object.
	_ = u.s.putFileIndex(ctx, u.meta, true)
	return nil
}

// cleanUp removes the objects of a failed upload. The retention sweep finds the
// index entry and removes what cleanUp could not.
func (u *upload) cleanUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = u.s.removeFile(ctx, u.meta)
}

func (s *Service) putFileIndex(ctx context.Context, meta fileMeta, accepted bool) error {
	meta.Parts = nil // only the meta object needs them
	raw, err := json.Marshal(fileIndexEntry{File: meta, Accepted: accepted})
	if err != nil {
		return errors.Wrap(err, "encode file index")
	}
	key := indexKey(prefixFileIndex, meta.Workspace, meta.CreatedAt, meta.ID)
	return s.overwriteObject(ctx, key, raw)
}

// createObject creates an immutable object whose key no other writer uses. After a
// lost response, a conflict means that the object was created.
func (s *Service) createObject(ctx context.Context, key string, value []byte) error {
	lost := false
	err := s.retryCall(ctx, func() error {
		_, err := s.store.Put(ctx, key, value, 0)
		if lost && errors.Is(err, store.ErrConflict) {
			return nil
		}
		lost = lost || errors.Is(err, store.ErrUnknownOutcome)
		return err
	})
	return errors.Wrapf(err, "platform put %s", key)
}

// overwriteObject writes an object regardless of its version.
func (s *Service) overwriteObject(ctx context.Context, key string, value []byte) error {
	err := s.retryCall(ctx, func() error {
		_, err := s.store.Put(ctx, key, value, store.AnyVersion)
		return err
	})
	return errors.Wrapf(err, "platform put %s", key)
}

// retryCall retries an idempotent call up to retryAttempts times with growing
// delays. Its error matches ErrUnknownOutcome when any call may have taken effect.
func (s *Service) retryCall(ctx context.Context, call func() error) error {
	var err error
	lost := false
	for attempt := range retryAttempts {
		if attempt > 0 && !sleep(ctx, jitter(retryBaseDelay<<attempt)) {
			break
		}
		err = call()
		lost = lost || errors.Is(err, store.ErrUnknownOutcome)
		if !errors.IsAny(err, store.ErrUnavailable, store.ErrUnknownOutcome, store.ErrRateLimited) {
			return err
		}
	}
	if lost {
		return errors.Mark(err, store.ErrUnknownOutcome)
	}
	return err
}

// cappedReader returns an APIError after more than the allowed bytes.
type cappedReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (c *cappedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if c.remaining -= int64(n); c.remaining < 0 {
		e := invalid("file_too_large", "file", "the file is larger than allowed")
		e.Status = 413
		return 0, e
	}
	return n, err
}
