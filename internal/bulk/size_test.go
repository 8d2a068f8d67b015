package bulk_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// boundedStore refuses values above the limit, as the store does.
type boundedStore struct{ *storetest.Fake }

func (s boundedStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if len(value) > store.MaxValueBytes {
		return store.Object{}, errors.Wrap(store.ErrTooLarge, key)
	}
	return s.Fake.Put(ctx, key, value, v)
}

// Outputs full of markup, which JSON takes six bytes a character for, must be listed. The
// store refused their segment each time, so that no result of the job was listed any more.
func TestOutputsFullOfMarkupAreListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		markup := strings.Repeat("<", 40<<10)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: boundedStore{storetest.New()}}.start(t, func(c *servertest.Conn) bool {
			c.StartStream()
			event := fmt.Sprintf("id: 1\ndata: %s\n\n", markup)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			c.EndStream()
			return true
		}, "s1", "s2")
		is.NoErr(service.Submit(t.Context(), submission("job", 30)))
		time.Sleep(time.Minute)
		var results []itemlist.Result
		for {
			page, err := service.Results(t.Context(), "w", "job", len(results), 0)
			is.NoErr(err)
			if len(page.Results) == 0 {
				break
			}
			results = append(results, page.Results...)
		}
		is.Equal(len(results), 30)
		for _, r := range results {
			is.Equal(r.State, itemlist.Completed)
			is.Equal(r.Output, markup)
		}
	})
}

// A job whose items have long headers must be accepted: the store refused its payload.
func TestJobWithLongHeadersIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: boundedStore{storetest.New()}}.start(t, generate(50*time.Millisecond), "s1", "s2")
		sub := submission("job", 200)
		for i := range sub.Items {
			sub.Items[i].Header = map[string]string{"X-Parts": strings.Repeat("5c:800,", 900)}
		}
		is.NoErr(service.Submit(t.Context(), sub))
		isComplete(t, is, service, 200)
	})
}

// A job must not be accepted on top of a payload that is not its own, left by a submission
// that was not accepted: a host that takes the job over would not find its items, and they
// would never be listed.
func TestJobIsNotAcceptedOnAnotherPayload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		objects := storetest.New()
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: objects}.start(t, generate(50*time.Millisecond), "s1")
		_, err := objects.Put(t.Context(), "job-payloads/job.0", []byte(`{"items":[{"id":"other"}]}`), 0)
		is.NoErr(err)
		is.True(errors.Is(service.Submit(t.Context(), submission("job", 3)), bulk.ErrStoreUnavailable))
		_, err = objects.Get(t.Context(), bulk.HeadKey("job"))
		is.True(errors.Is(err, store.ErrNotFound))
		is.NoErr(service.Submit(t.Context(), submission("job2", 3)))
		is.NoErr(service.Submit(t.Context(), submission("job2", 3))) // its payload is there
	})
}

// racedStore accepts a submission through another host at the moment at which this host
// writes its first part of the payload.
type racedStore struct {
	*storetest.Fake
	accept sync.Once
	parts  []string // of the payload as the other host has split it
}

func (s *racedStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	var failure error
	if strings.HasPrefix(key, "job-payloads/") {
		s.accept.Do(func() {
			for n, part := range s.parts {
				_, err := s.Fake.Put(ctx, fmt.Sprintf("job-payloads/job.%d", n), []byte(part), 0)
				failure = errors.CombineErrors(failure, err)
			}
			head := fmt.Sprintf(`{"workspace":"w","route":"r","host":"h","owner":"b","accepted":%d,"items":["job-0","job-1"],"parts":%d}`, time.Now().UnixMilli(), len(s.parts))
			_, err := s.Fake.Put(ctx, bulk.HeadKey("job"), []byte(head), 0)
			failure = errors.CombineErrors(failure, err)
		})
	}
	if failure != nil {
		return store.Object{}, failure
	}
	return s.Fake.Put(ctx, key, value, v)
}

// A submission that was accepted, and is sent again to a host that does not know the job
// yet, must be accepted there too if that host splits the payload in another way, as its
// version may during an update. It was refused with 503, which says that the job will not
// run.
func TestAcceptedSubmissionIsAcceptedByAnotherVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		objects := &racedStore{Fake: storetest.New(), parts: []string{
			`{"items":[{"id":"job-0","path":"/r/x","headers":null,"body":"Ym9keSAw","tokens":10}]}`,
			`{"items":[{"id":"job-1","path":"/r/x","headers":null,"body":"Ym9keSAx","tokens":10}]}`,
		}}
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: objects}.start(t, generate(50*time.Millisecond), "s1")
		is.NoErr(service.Submit(t.Context(), submission("job", 2)))
		other := submission("job", 2)
		other.Workspace = "other"
		is.True(errors.Is(service.Submit(t.Context(), other), bulk.ErrNoJob))
		isComplete(t, is, service, 2)
	})
}
