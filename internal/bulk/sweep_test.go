package bulk

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/store/storetest"
)

// Expired jobs must be removed, since the store does not expire objects and would
// fill up. Jobs that are still running or readable must not be removed.
func TestSweepRemovesExpiredJobs(t *testing.T) {
	is := is.New(t)
	objects, ctx := storetest.New(), context.Background()
	s := newLocal(t, objects, time.Minute)
	old := time.Now().Add(-time.Minute - readableMargin - time.Second).UnixMilli()
	heads := map[string]Head{
		"done": {Accepted: old, Done: true, Segments: 2, Parts: 2}, "ended": {Accepted: old, Ended: true, Parts: 1},
		"open": {Accepted: old, Parts: 1}, "new": {Accepted: time.Now().UnixMilli(), Done: true, Segments: 1, Parts: 1},
	}
	for id, head := range heads {
		raw, err := json.Marshal(head)
		is.NoErr(err)
		for _, key := range []string{HeadKey(id), payloadKey(id, 0), payloadKey(id, 1), segmentKey(id, 0), segmentKey(id, 1)} {
			_, err := objects.Put(ctx, key, raw, 0)
			is.NoErr(err)
		}
		s.heads[id] = headCopy{head, 1}
	}
	s.sweep(ctx)
	left := map[string]int{}
	for _, prefix := range []string{headPrefix, payloadPrefix, segmentPrefix} {
		page, err := objects.List(ctx, prefix, "", 100)
		is.NoErr(err)
		for _, o := range page.Objects {
			for id := range heads {
				if strings.Contains(o.Key, id) {
					left[id]++
				}
			}
		}
	}
	is.Equal(left, map[string]int{"ended": 1, "open": 5, "new": 5}) // the ended job's head counts one part, so the other one stays
}
