package bulk_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/core/itemlist"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/servertest"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// panicking panics in its first calls.
type panicking struct{ left atomic.Int64 }

func (p *panicking) call() {
	if p.left.Add(-1) >= 0 {
		panic("injected")
	}
}

type panickingItems struct {
	servertest.Codec
	panicking
}

func (c *panickingItems) ItemHeader(item *bulk.Item, workspace, instance string, left time.Duration, resume bool, after int64) http.Header {
	c.call()
	return c.Codec.ItemHeader(item, workspace, instance, left, resume, after)
}

// panickingStore panics in calls on results.
type panickingStore struct {
	*storetest.Fake
	writes, reads panicking
}

func isResults(key string) bool { return strings.HasPrefix(key, "job-results/") }

func (s *panickingStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if isResults(key) {
		s.writes.call()
	}
	return s.Fake.Put(ctx, key, value, v)
}

func (s *panickingStore) GetStale(ctx context.Context, key string) (store.Object, error) {
	if isResults(key) {
		s.reads.call()
	}
	return s.Fake.GetStale(ctx, key)
}

// A panic while an item runs must lose neither the item nor its slot: the worker pool
// dropped the item without a log line, and the slot stayed taken. 20 panics are more than
// there are slots.
func TestItemsOutlivePanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		items := &panickingItems{}
		items.left.Store(20)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: storetest.New(), items: items}.start(t, generate(50*time.Millisecond), "s1")
		is.NoErr(service.Submit(t.Context(), submission("job", 30)))
		isComplete(t, is, service, 30)
	})
}

// isComplete checks that all items of the job are completed within a minute.
func isComplete(t *testing.T, is *is.I, service *bulk.Service, items int) {
	t.Helper()
	time.Sleep(time.Minute)
	page, err := service.Results(t.Context(), "w", "job", 0, 0)
	is.NoErr(err)
	is.Equal(len(page.Results), items)
	for _, r := range page.Results {
		is.Equal(r.State, itemlist.Completed)
		is.Equal(r.Output, wholeOutput)
	}
}

// A panic while results are listed must not end the process, nor the listing of the job.
func TestListingOutlivesPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		objects := &panickingStore{Fake: storetest.New()}
		objects.writes.left.Store(3)
		service := pipedHost{name: "a", node: peertest.New().Node("a"), objects: objects}.start(t, generate(50*time.Millisecond), "s1")
		is.NoErr(service.Submit(t.Context(), submission("job", 30)))
		isComplete(t, is, service, 30)
	})
}

// A panic while a job is taken over must not end the process, nor keep the job from being
// run.
func TestTakeOverOutlivesPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		objects := &panickingStore{Fake: storetest.New()}
		stopped := pipedHost{name: "a", node: peertest.New().Node("a"), objects: objects}.start(t, generate(50*time.Millisecond), "s1")
		is.NoErr(stopped.Submit(t.Context(), submission("job", 30)))
		stopped.Close(t.Context())
		objects.reads.left.Store(3)
		service := pipedHost{name: "b", node: peertest.New().Node("b"), objects: objects}.start(t, generate(50*time.Millisecond), "s1")
		isComplete(t, is, service, 30)
	})
}
