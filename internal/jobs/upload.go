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
	partItems    = 500
	partRawBytes = 2 << 20 // bounds the memory of an upload and of a running chunk
)

// Retries of a platform call made for a caller or a background task.
const (
	retryAttempts  = 5
	retryBaseDelay = 50 * time.Millisecond
)

// upload splits one file into parts. Memory is bounded by one part and the
// hashes of the custom ids.
type upload struct {
	s       *Service
	meta    fileMeta
	checker *lineChecker
	raw     bytes.Buffer // lines of the open part, each ending with \n
	items   int          // lines in raw
}

// storeFile reads a JSONL file and accepts it by writing its meta object last.
func (s *Service) storeFile(ctx context.Context, workspace, name string, r io.Reader) (fileMeta, error) {
	u := &upload{s: s, checker: newLineChecker(s.o.MaxItems)}
	u.meta = fileMeta{ID: newFileID(), Workspace: workspace, Name: name, Purpose: purposeBatch, CreatedAt: s.now().UnixMilli()}
	if err := s.putFileIndex(ctx, u.meta, false); err != nil {
		return fileMeta{}, platformError(err)
	}
	if err := u.run(ctx, r); err != nil {
		u.abandon(ctx)
		return fileMeta{}, platformError(err)
	}
	return u.meta, nil
}

func (u *upload) run(ctx context.Context, r io.Reader) error {
	if err := u.readLines(ctx, newLineReader(&cappedReader{r: r, left: u.s.o.MaxFileBytes})); err != nil {
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
		u.checker.number++
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, errLineTooLong):
			return invalid("line_too_long", "file", "line %d is longer than %d bytes", u.checker.number, maxLineBytes)
		case err != nil:
			return readError(err)
		}
		if u.checker.number == 1 {
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

// readError reports a file that could not be read to its end.
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
	if u.items == partItems || u.items > 0 && u.raw.Len()+len(line) > partRawBytes {
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
	u.raw.Write(line)
	u.raw.WriteByte('\n')
	u.items++
	return nil
}

// flush writes the open part.
func (u *upload) flush(ctx context.Context) error {
	raw, items := u.raw.Bytes(), u.items
	err := u.put(ctx, raw, items)
	u.raw.Reset()
	u.items = 0
	return err
}

// put writes lines as one part, or as two halves when they do not compress
// below the platform's limit.
func (u *upload) put(ctx context.Context, raw []byte, items int) error {
	if items == 0 {
		return nil
	}
	packed := compress(raw)
	if len(packed) > store.MaxValueBytes {
		first := items / 2
		cut := offsetOfLine(raw, first)
		if err := u.put(ctx, raw[:cut], first); err != nil {
			return err
		}
		return u.put(ctx, raw[cut:], items-first)
	}
	if err := u.s.putOnce(ctx, filePartKey(u.meta.ID, len(u.meta.Parts)), packed); err != nil {
		return err
	}
	u.meta.Parts = append(u.meta.Parts, items)
	u.meta.Items += items
	u.meta.Bytes += int64(len(raw))
	return nil
}

// offsetOfLine returns the position after n lines.
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
	if err := u.s.putOnce(ctx, fileMetaKey(u.meta.ID), raw); err != nil {
		return uncertain(err)
	}
	// The file is accepted; without this write, listings read its meta object.
	_ = u.s.putFileIndex(ctx, u.meta, true)
	return nil
}

// abandon removes what was written. What it leaves behind is removed by the
// retention sweep, which finds the index entry.
func (u *upload) abandon(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	_ = u.s.removeFile(ctx, u.meta)
}

func (s *Service) putFileIndex(ctx context.Context, meta fileMeta, accepted bool) error {
	meta.Parts = nil // only the meta object needs them
	raw, err := json.Marshal(fileIndex{File: meta, Accepted: accepted})
	if err != nil {
		return errors.Wrap(err, "encode file index")
	}
	key := indexKey(prefixFileIndex, meta.Workspace, meta.CreatedAt, meta.ID)
	return s.putAny(ctx, key, raw)
}

// putOnce creates an immutable object whose key no other writer uses. After a
// lost answer, a conflict means that the object is there.
func (s *Service) putOnce(ctx context.Context, key string, value []byte) error {
	lost := false
	err := s.retry(ctx, func() error {
		_, err := s.store.Put(ctx, key, value, 0)
		if lost && errors.Is(err, store.ErrConflict) {
			return nil
		}
		lost = lost || errors.Is(err, store.ErrUnknownOutcome)
		return err
	})
	return errors.Wrapf(err, "platform put %s", key)
}

// putAny overwrites an object.
func (s *Service) putAny(ctx context.Context, key string, value []byte) error {
	err := s.retry(ctx, func() error {
		_, err := s.store.Put(ctx, key, value, store.AnyVersion)
		return err
	})
	return errors.Wrapf(err, "platform put %s", key)
}

// retry repeats a call that may be repeated, a few times with growing delays.
// Its error matches ErrUnknownOutcome when any of the calls may have applied.
func (s *Service) retry(ctx context.Context, call func() error) error {
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

// cappedReader refuses a file that is larger than allowed.
type cappedReader struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (c *cappedReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	if c.left -= int64(n); c.left < 0 {
		e := invalid("file_too_large", "file", "the file is larger than allowed")
		e.Status = 413
		return 0, e
	}
	return n, err
}
