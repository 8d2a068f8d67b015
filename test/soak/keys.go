package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	keyEvery = 8 * time.Second
	// inForceBound is the bound for a revoked key to be refused everywhere.
	inForceBound = 5 * time.Second
	// refusedFor is how long a revoked key is tried after the bound.
	refusedFor = 3 * time.Second
	tryPause   = 200 * time.Millisecond
	tryTimeout = 2 * time.Second
)

// keyChanges issues keys and revokes them again. From inForceBound after the
// acknowledged revocation no host may accept the key.
func (l *load) keyChanges(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for wait(ctx, keyEvery) {
		workspace := l.otherWorkspace(rng)
		op := l.d.Operator(rng.IntN(len(l.d.Hosts)))
		wg.Go(func() { l.changeKey(ctx, op, workspace) })
	}
	wg.Wait()
}

func (l *load) changeKey(ctx context.Context, op *harness.Operator, workspace string) {
	own, cancel := callContext()
	defer cancel()
	key, err := op.CreateKey(own, workspace, 0)
	if err != nil {
		l.tl.add("key", "not issued", workspace, "%v", err)
		return
	}
	wait(ctx, inForceBound)
	if _, err := op.RevokeKey(own, key.ID, 0); err != nil {
		l.tl.add("key", "not revoked", workspace, "%v", err)
		return
	}
	revoked := time.Now()
	l.tl.add("key", "revoked", workspace, "%s", key.ID)
	time.Sleep(inForceBound)
	var wg sync.WaitGroup
	for i := range l.d.Hosts {
		wg.Go(func() { l.tryRevoked(i, key, revoked) })
	}
	wg.Wait()
}

// tryRevoked sends the key to a host for a while. A call that was sent before
// the host was paused counts from when it was sent.
func (l *load) tryRevoked(host int, key harness.Key, revoked time.Time) {
	caller := &harness.Caller{BaseURL: l.d.Hosts[host].CallersURL(), Key: key.Raw, Model: l.d.Layout.Model, Client: l.clients[host]}
	for begin := time.Now(); time.Since(begin) < refusedFor; time.Sleep(tryPause) {
		sent := time.Since(revoked)
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		a := caller.Complete(ctx, harness.Completion{Tokens: 1})
		cancel()
		if a.Status == http.StatusOK {
			l.tl.violate("I6", l.d.Hosts[host].Name, "key %s accepted %s after its revocation", key.ID, sent.Round(time.Millisecond))
			return
		}
	}
}
