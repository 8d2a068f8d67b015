package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/cluster"
	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// panickingStore panics in its first writes.
type panickingStore struct {
	*storetest.Fake
	panics atomic.Int64
}

// Put implements store.Store.
func (s *panickingStore) Put(ctx context.Context, key string, value []byte, expected int64) (store.Object, error) {
	if s.panics.Add(-1) >= 0 {
		panic("a fault in a write")
	}
	return s.Fake.Put(ctx, key, value, expected)
}

// A panic in the work that a host does at intervals, or in its registration, ended the
// process.
func TestPanicInRoundLosesOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		objects := &panickingStore{Fake: storetest.New()}
		objects.panics.Store(2)
		m := &members{cluster: cluster.New(cluster.Options{Self: cluster.Member{Name: "a"}}), store: objects, log: discardLogger}
		m.register(ctx)
		_, err := objects.Get(ctx, memberKey("a"))
		is.NoErr(err)
		rounds := 0
		go runEvery(ctx, discardLogger, time.Second, func() {
			if rounds++; rounds == 2 {
				panic("a fault in a round")
			}
		})
		time.Sleep(3500 * time.Millisecond)
		synctest.Wait()
		is.Equal(rounds, 3)
	})
}
