package jobs

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against expired jobs and files that are kept, and against the removal of
// those that have not expired.
func TestRetention(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	var skew atomic.Int64
	a := c.start("a", func(o *Options) {
		o.Now = func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }
	})
	ended := c.awaitEnd(a.submit(600, chatPath).ID, func() *node { return a })
	for a.registry.get(ended.ID) != nil {
		time.Sleep(5 * time.Millisecond)
	}
	is.NoErr(a.removeExpired(c.ctx))
	a.checkOneResultPerItem(ended, 600)
	skew.Store(int64(721 * time.Hour))
	is.NoErr(a.removeExpired(c.ctx))
	page, err := c.store.List(c.ctx, "", "", 0)
	is.NoErr(err)
	for _, obj := range page.Objects {
		t.Errorf("object %s was not removed", obj.Key)
	}
}
