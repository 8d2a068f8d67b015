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
	retireTick = 500 * time.Millisecond
	retireCall = time.Second
)

// retirements answers requests to empty a machine with a disk. No such
// machine holds anything that must last, so each is empty at once. The host that
// reads the store answers; the same answer twice changes nothing.
type retirements struct {
	platform Platform
	isReader func() bool
	log      *slog.Logger

	mu   sync.Mutex
	open map[string]store.Object // by key, not answered yet
	done map[string]bool         // answered by this host
}

func (r *retirements) changed(copied informer.Copy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = map[string]store.Object{}
	done := map[string]bool{}
	for key, obj := range copied.Objects {
		if r.done[key] {
			done[key] = true
		} else {
			r.open[key] = obj
		}
	}
	r.done = done
}

// run answers open requests until ctx ends.
func (r *retirements) run(ctx context.Context) {
	every(ctx, retireTick, func() {
		if r.isReader() {
			r.answer(ctx)
		}
	})
}

func (r *retirements) answer(ctx context.Context) {
	r.mu.Lock()
	open := make([]store.Object, 0, len(r.open))
	for _, obj := range r.open {
		open = append(open, obj)
	}
	r.mu.Unlock()
	for _, obj := range open {
		callCtx, cancel := context.WithTimeout(ctx, retireCall)
		err := r.platform.CompleteRetirement(callCtx, obj)
		cancel()
		if err != nil {
			r.log.Warn("retirement not answered", "step", "complete retirement", "object", obj.Key, "error", err)
			continue
		}
		r.log.Info("retirement answered", "event", "retired", "object", obj.Key)
		r.mu.Lock()
		delete(r.open, obj.Key)
		if r.done == nil {
			r.done = map[string]bool{}
		}
		r.done[obj.Key] = true
		r.mu.Unlock()
	}
}
