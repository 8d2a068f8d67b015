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
	keyInterval = 8 * time.Second
	// propagationBound is how long a new or revoked key may take to take effect on
	// all hosts.
	propagationBound = 5 * time.Second
	// revokedCheckDuration is how long a revoked key is sent to each host after
	// propagationBound.
	revokedCheckDuration = 3 * time.Second
	revokedCheckInterval = 200 * time.Millisecond
	revokedCheckTimeout  = 2 * time.Second
)

// issueAndRevokeKeys issues keys and revokes them again. From propagationBound
// after the acknowledgement of a revocation, no host may accept the key (I6).
func (l *load) issueAndRevokeKeys(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	for wait(ctx, keyInterval) {
		workspace := l.otherWorkspace(rng)
		op := l.d.Operator(rng.IntN(len(l.d.Hosts)))
		wg.Go(func() { l.issueAndRevokeKey(ctx, op, workspace) })
	}
	wg.Wait()
}

func (l *load) issueAndRevokeKey(ctx context.Context, op *harness.Operator, workspace string) {
	callCtx, cancel := callContext()
	defer cancel()
	key, err := op.CreateKey(callCtx, workspace, 0)
	if err != nil {
		l.tl.add("key", "not issued", workspace, "%v", err)
		return
	}
	wait(ctx, propagationBound)
	if _, err := op.RevokeKey(callCtx, key.ID, 0); err != nil {
		l.tl.add("key", "not revoked", workspace, "%v", err)
		return
	}
	revoked := time.Now()
	l.tl.add("key", "revoked", workspace, "%s", key.ID)
	time.Sleep(propagationBound)
	var wg sync.WaitGroup
	for i := range l.d.Hosts {
		wg.Go(func() { l.checkRevokedKey(i, key, revoked) })
	}
	wg.Wait()
}

// checkRevokedKey sends the revoked key to a host for revokedCheckDuration. It
// measures the time since the revocation when it sends a call, not when the
// answer arrives, because a fault may pause the host in between.
func (l *load) checkRevokedKey(host int, key harness.Key, revoked time.Time) {
	caller := &harness.Caller{BaseURL: l.d.Hosts[host].CallersURL(), Key: key.Raw, Model: l.d.Layout.Model, Client: l.clients[host]}
	for begin := time.Now(); time.Since(begin) < revokedCheckDuration; time.Sleep(revokedCheckInterval) {
		sent := time.Since(revoked)
		ctx, cancel := context.WithTimeout(context.Background(), revokedCheckTimeout)
		a := caller.Complete(ctx, harness.Completion{Tokens: 1})
		cancel()
		if a.Status == http.StatusOK {
			l.tl.addViolation("I6", l.d.Hosts[host].Name, "key %s accepted %s after its revocation", key.ID, sent.Round(time.Millisecond))
			return
		}
	}
}
