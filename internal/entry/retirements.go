package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"ragwortstep/internal/informer"
	"ragwortstep/internal/store"
)

const (
	retirementInterval    = 500 * time.Millisecond
	retirementCallTimeout = time.Second
)

// retirements completes requests to retire a machine with a disk. Machines hold
// no durable data, so each request is completed at once. The host that reads the
// store does this; completing a request twice has no effect.
type retirements struct {
	platform Platform
	isReader func() bool
	log      *slog.Logger

	mu        sync.Mutex
	pending   map[string]store.Object // by key
	completed map[string]bool         // keys of requests completed by this host
}

func (r *retirements) update(copied informer.Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = map[string]store.Object{}
	completed := map[string]bool{}
	for key, obj := range copied.Objects {
		if r.completed[key] {
			completed[key] = true
		} else {
			r.pending[key] = obj
		}
	}
	r.completed = completed
}

// run completes pending requests until ctx ends.
func (r *retirements) run(ctx context.Context) {
	runEvery(ctx, r.log, retirementInterval, func() {
		if r.isReader() {
			r.completePending(ctx)
		}
	})
}

func (r *retirements) completePending(ctx context.Context) {
	r.mu.Lock()
	pending := make([]store.Object, 0, len(r.pending))
	for _, obj := range r.pending {
		pending = append(pending, obj)
	}
	r.mu.Unlock()
	for _, obj := range pending {
		callCtx, cancel := context.WithTimeout(ctx, retirementCallTimeout)
		err := r.platform.CompleteRetirement(callCtx, obj)
		cancel()
		if err != nil {
			r.log.Warn("cannot complete retirement", "step", "complete retirement", "object", obj.Key, "error", err)
			continue
		}
		r.log.Info("retirement completed", "event", "retired", "object", obj.Key)
		r.mu.Lock()
		delete(r.pending, obj.Key)
		if r.completed == nil {
			r.completed = map[string]bool{}
		}
		r.completed[obj.Key] = true
		r.mu.Unlock()
	}
}
