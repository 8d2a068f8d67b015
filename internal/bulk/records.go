package bulk

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/store"
)

const (
	// headPrefix is the collection of heads, which every host copies.
	headPrefix = "fleet-state/"
	headName   = "job."
	// payloadPrefix and segmentPrefix are read by key only, never copied.
	payloadPrefix = "job-payloads/"
	segmentPrefix = "job-results/"
	// maxValueBytes leaves room for the surrounding JSON below the store's limit of 1 MiB
	// per value. itemOverhead is that of an item in a payload.
	maxValueBytes = 600 << 10
	itemOverhead  = 512
	// writeTimeout bounds one write; a slow store takes 200 ms.
	writeTimeout = 1500 * time.Millisecond
	readTimeout  = time.Second
	// maxWriteAttempts bounds the attempts of one write.
	maxWriteAttempts = 3
)

// HeadKey returns the key of a job's head.
func HeadKey(id string) string { return headPrefix + headName + id }

// JobFromKey returns the id of the job whose head has the key.
func JobFromKey(key string) (string, bool) { return strings.CutPrefix(key, headPrefix+headName) }

func payloadKey(id string, part int) string { return fmt.Sprintf("%s%s.%d", payloadPrefix, id, part) }
func segmentKey(id string, n int) string    { return fmt.Sprintf("%s%s.%d", segmentPrefix, id, n) }

// records reads and writes the objects of jobs in the store.
type records struct {
	store store.Store
}

// create writes an object that must not exist yet. written reports whether the
// object in the store has the given value; otherwise current is the one that
// another write created. After an unknown outcome the write is tried again, and a
// conflict is resolved by comparing the stored object with the given one.
func (r records) create(ctx context.Context, key string, value any) (written bool, current store.Object, err error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return false, store.Object{}, errors.Wrapf(err, "encode %s", key)
	}
	unknown := false
	for try := range maxWriteAttempts {
		if try > 0 {
			if err := pause(ctx, time.Duration(try)*50*time.Millisecond); err != nil {
				break
			}
		}
		var obj store.Object
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		obj, err = r.store.Put(callCtx, key, raw, 0)
		cancel()
		switch {
		case err == nil:
			return true, obj, nil
		case errors.Is(err, store.ErrConflict):
			return r.compareStored(ctx, key, obj, raw)
		case errors.Is(err, store.ErrUnknownOutcome):
			unknown = true
		}
	}
	if unknown {
		return false, store.Object{}, errors.Mark(errors.Wrapf(err, "create %s", key), ErrUnknownOutcome)
	}
	return false, store.Object{}, errors.Mark(errors.Wrapf(err, "create %s", key), ErrStoreUnavailable)
}

// compareStored reports whether the object in the store has the given value.
func (r records) compareStored(ctx context.Context, key string, obj store.Object, raw []byte) (bool, store.Object, error) {
	if obj.Key == "" {
		var err error
		if obj, err = r.get(ctx, key); err != nil {
			return false, store.Object{}, errors.Mark(errors.Newf("compare with stored object: %v", err), ErrUnknownOutcome)
		}
	}
	return sameJSON(obj.Value, raw), obj, nil
}

// sameJSON compares two documents regardless of white space and the order of
// fields.
func sameJSON(a, b []byte) bool {
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	p, errP := json.Marshal(x)
	q, errQ := json.Marshal(y)
	return errP == nil && errQ == nil && string(p) == string(q)
}

func (r records) get(ctx context.Context, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	obj, err := r.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return obj, errors.Mark(errors.Wrapf(err, "read %s", key), ErrStoreUnavailable)
	}
	return obj, err
}

// getImmutable reads an object that never changes. A stale read suffices if it
// finds the object.
func (r records) getImmutable(ctx context.Context, key string) (store.Object, error) {
	staleCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if obj, err := r.store.GetStale(staleCtx, key); err == nil {
		return obj, nil
	}
	return r.get(ctx, key)
}

// head reads a job's head and its version.
func (r records) head(ctx context.Context, id string) (Head, int64, error) {
	obj, err := r.get(ctx, HeadKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return Head{}, 0, errors.Mark(errors.Newf("job %s is not in the store", id), ErrNoJob)
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := DecodeHead(obj.Value)
	return head, obj.Version, err
}

// DecodeHead decodes the value of a head's object.
func DecodeHead(raw []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(raw, &head); err != nil {
		return Head{}, errors.Wrap(err, "decode job head")
	}
	return head, nil
}

// changeHead applies mutate to a head and retries until the result is in the
// store. known is this host's copy of the head, which saves a read; version 0
// means there is none. mutate reports false if no change is needed.
func (r records) changeHead(ctx context.Context, id string, known *headCopy, mutate func(*Head) bool) error {
	var last error
	mark := ErrStoreUnavailable
	for try := range maxWriteAttempts * 2 {
		current := *known
		if try > 0 || known.version == 0 {
			head, version, err := r.head(ctx, id)
			if errors.Is(mark, ErrUnknownOutcome) && errors.Is(err, ErrStoreUnavailable) {
				return errors.Mark(errors.Newf("change head of job %s: %v, then %v", id, last, err), mark)
			}
			if err != nil {
				return err
			}
			current = headCopy{head, version}
		}
		if !mutate(&current.Head) {
			return nil
		}
		raw, err := json.Marshal(current.Head)
		if err != nil {
			return errors.Wrapf(err, "encode head of job %s", id)
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, last = r.store.Put(callCtx, HeadKey(id), raw, current.version)
		cancel()
		if last == nil {
			return nil
		}
		if errors.Is(last, store.ErrUnknownOutcome) {
			mark = ErrUnknownOutcome
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			break
		}
	}
	return errors.Mark(errors.Wrapf(last, "change head of job %s", id), mark)
}

// errOtherPayload is the cause if a part of a payload exists and is not the one to write.
var errOtherPayload = errors.New("it exists and has other items")

// writePayload writes the items' bodies in parts and returns their number.
func (r records) writePayload(ctx context.Context, id string, items []Item) (int, error) {
	parts := splitPayload(items)
	group, ctx := errgroup.WithContext(ctx)
	for n, part := range parts {
		group.Go(func() error {
			// An earlier submission may have written the part: a job's items never change.
			written, _, err := r.create(ctx, payloadKey(id, n), payload{part})
			if err == nil && !written {
				err = errors.Wrapf(errOtherPayload, "part %d", n)
			}
			return err
		})
	}
	return len(parts), group.Wait()
}

// splitPayload divides items into parts of up to maxValueBytes.
func splitPayload(items []Item) [][]Item {
	var parts [][]Item
	size := maxValueBytes
	for _, item := range items {
		n := item.size()
		if size+n > maxValueBytes {
			parts, size = append(parts, nil), 0
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], item)
		size += n
	}
	return parts
}

// size bounds the size of an item in a payload.
func (i *Item) size() int {
	n := len(i.Body)*4/3 + itemlist.EncodedSize(i.Path) + itemOverhead
	for name, value := range i.Header {
		n += itemlist.EncodedSize(name) + itemlist.EncodedSize(value) + 2
	}
	return n
}

func itemsSize(items []Item) int64 {
	n := int64(0)
	for i := range items {
		n += int64(items[i].size())
	}
	return n
}

// readPayload reads all items of a job.
func (r records) readPayload(ctx context.Context, id string, parts int) ([]Item, error) {
	var items []Item
	for n := range parts {
		obj, err := r.getImmutable(ctx, payloadKey(id, n))
		if err != nil {
			return nil, errors.Wrapf(err, "payload of job %s", id)
		}
		var p payload
		if err := json.Unmarshal(obj.Value, &p); err != nil {
			return nil, errors.Wrapf(err, "decode payload of job %s", id)
		}
		items = append(items, p.Items...)
	}
	return items, nil
}

// segment reads one segment. It returns false if the segment does not exist.
func (r records) segment(ctx context.Context, id string, n int) (itemlist.Segment, bool, error) {
	obj, err := r.getImmutable(ctx, segmentKey(id, n))
	if errors.Is(err, store.ErrNotFound) {
		return itemlist.Segment{}, false, nil
	}
	if err != nil {
		return itemlist.Segment{}, false, err
	}
	var s itemlist.Segment
	if err := json.Unmarshal(obj.Value, &s); err != nil {
		return itemlist.Segment{}, false, errors.Wrapf(err, "decode segment %d of job %s", n, id)
	}
	return s, true, nil
}

// pause waits for d, or returns the cause if ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}
