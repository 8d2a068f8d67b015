package jobs

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/store"
	"ragwortstep/internal/store/storetest"
)

// discardingStore stores parts without their value, so that only the memory that
// an upload itself uses is measured.
type discardingStore struct{ store.Store }

func (d discardingStore) Put(ctx context.Context, key string, value []byte, v int64) (store.Object, error) {
	if strings.Contains(key, "/part/") {
		value = nil
	}
	return d.Store.Put(ctx, key, value, v)
}

// lineSource generates a JSONL file as it is read.
type lineSource struct {
	items, next int
	rest        []byte
}

func (l *lineSource) Read(p []byte) (int, error) {
	if len(l.rest) == 0 {
		if l.next == l.items {
			return 0, io.EOF
		}
		l.rest = fmt.Appendf(nil, `{"custom_id":"i%d","method":"POST","url":%q,"body":{"model":"m","text":%q}}`+"\n",
			l.next, chatPath, strings.Repeat("word ", 20))
		l.next++
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// uploadHeapGrowth returns the largest growth of the live heap during an upload.
func uploadHeapGrowth(t *testing.T, items int) int64 {
	is := is.New(t)
	s := New(Options{Store: discardingStore{storetest.New()}})
	var stats runtime.MemStats
	live := func() int64 {
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	base, peak := live(), int64(0)
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak = max(peak, live())
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	meta, err := s.storeFile(t.Context(), testTenant, "big", &lineSource{items: items})
	close(stop)
	sampler.Wait()
	is.NoErr(err)
	is.Equal(meta.Items, items)
	t.Logf("%d items, %d KB, live heap grew by %d KB", items, meta.Bytes>>10, (peak-base)>>10)
	return peak - base
}

// Guards against an upload that keeps the file in memory. Beyond a fixed amount,
// memory may grow only by a 16-byte hash per item, in a hash table with spare
// capacity.
func TestUploadMemory(t *testing.T) {
	uploadHeapGrowth(t, 20_000) // allocates the shared encoders
	small, large := uploadHeapGrowth(t, 20_000), uploadHeapGrowth(t, 120_000)
	if growth := large - small; growth > 100_000*48 {
		t.Errorf("memory grows by %d bytes per item", growth/100_000)
	}
}
