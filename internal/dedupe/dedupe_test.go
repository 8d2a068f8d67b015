package dedupe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

var background = context.Background()

// Guards against two fresh claims of a key at any hosts, and against losing
// responses.
func TestKeyIsClaimedOnceAcrossHosts(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2", "h3")
	key := c.ownedBy("h2")
	first, err := c.hosts["h1"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(first.State, Fresh)
	for _, h := range c.hosts {
		again, err := h.records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(again.State, Running)
	}
	other, err := c.hosts["h1"].records.Claim(background, "other workspace", key)
	is.NoErr(err)
	is.Equal(other.State, Fresh) // keys are scoped to a workspace
	is.NoErr(c.hosts["h1"].records.Complete(background, first, StoredResponse{Status: 201, Body: []byte("done"), Header: http.Header{"X": {"1"}}}))
	for _, h := range c.hosts {
		again, err := h.records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(again.State, Done)
		is.Equal(again.Response, &StoredResponse{Status: 201, Body: []byte("done"), Header: http.Header{"X": {"1"}}})
	}
}

// Guards against a key that stays claimed after its request was not sent, and
// against abandoning a record by another claim.
func TestAbandonedClaimIsFreshAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2")
	key := c.ownedBy("h2")
	r := c.hosts["h1"].records
	first, err := r.Claim(background, "w", key)
	is.NoErr(err)
	running, err := r.Claim(background, "w", key)
	is.NoErr(err)
	is.NoErr(r.Abandon(background, running))
	still, err := r.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(still.State, Running)
	is.NoErr(r.Abandon(background, first))
	second, err := r.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(second.State, Fresh)
	is.NoErr(r.Abandon(background, first)) // repeated after the key was claimed again
	third, err := r.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(third.State, Running)
}

// Guards against one platform write per claim.
func TestClaimsAreGrouped(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1")
	start := time.Now()
	var group sync.WaitGroup
	for i := range 2000 {
		group.Go(func() {
			claim, err := c.hosts["h1"].records.Claim(background, "w", fmt.Sprint("k", i))
			if err != nil || claim.State != Fresh {
				t.Errorf("claim %d: %v, %v", i, claim.State, err)
			}
		})
	}
	group.Wait()
	bound := int(time.Since(start)/(100*time.Millisecond)) + 2
	t.Logf("%d writes for 2000 claims in %s", c.store.Calls("put"), time.Since(start).Round(time.Millisecond))
	is.True(c.store.Calls("put") <= bound)
}

// Guards against a wrong state of a key when its owner is lost at any point of
// a claim.
func TestClaimStateAfterOwnerLoss(t *testing.T) {
	// resend claims the key at h3 in a new epoch without h2.
	resend := func(is *is.I, c *cluster, key string) Claim {
		c.setMembers("h1", "h3")
		c.waitReady()
		again, err := c.hosts["h3"].records.Claim(background, "w", key)
		is.NoErr(err)
		return again
	}
	t.Run("before the write", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		c.stopHost("h2")
		_, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(resend(is, c, key).State, Fresh) // nothing was stored or sent
	})
	t.Run("after the write and before the answer", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		c.lostAnswerPercent.Store(100)
		_, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.True(errors.Is(err, ErrUnavailable)) // the request was not sent
		c.lostAnswerPercent.Store(0)
		c.stopHost("h2")
		is.Equal(resend(is, c, key).State, Unknown)
	})
	t.Run("after the answer", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		claim, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(claim.State, Fresh)
		c.stopHost("h2")
		is.Equal(resend(is, c, key).State, Unknown)
		is.NoErr(c.hosts["h1"].records.Complete(background, claim, StoredResponse{Status: 200}))
		again, err := c.hosts["h3"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(again.State, Done) // the completion reached the new owner
	})
	t.Run("after the completion was stored", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		claim, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.NoErr(c.hosts["h1"].records.Complete(background, claim, StoredResponse{Status: 200}))
		time.Sleep(2*maxCompletionDelay + 200*time.Millisecond)
		c.stopHost("h2")
		is.Equal(resend(is, c, key).State, Done)
	})
	t.Run("paused during the write", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		slow := &blockingStore{Store: c.store, blocked: make(chan struct{}, 10), release: make(chan struct{})}
		c.hosts["h2"].records.owner.opts.Store = slow
		outcome := make(chan State, 1)
		go func() {
			first, _ := c.hosts["h1"].records.Claim(background, "w", key)
			outcome <- first.State
		}()
		<-slow.blocked
		second := resend(is, c, key)
		is.Equal(second.State, Fresh) // the first claim's record is not stored yet
		close(slow.release)           // it is stored late, by an owner without a lease
		is.True(<-outcome != Fresh)   // refused, or the second claim is running
	})
}

// Guards against a key that stays running after its claimer is lost.
func TestClaimIsUnknownAfterClaimerLoss(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2", "h3")
	key := c.ownedBy("h2")
	claim, err := c.hosts["h1"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(claim.State, Fresh)
	c.stopHost("h1")
	c.setMembers("h2", "h3")
	c.waitReady()
	again, err := c.hosts["h3"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(again.State, Unknown)
}

// Guards against wrong states while the platform is down or its responses are
// lost.
func TestClaimsDuringPlatformFaults(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2")
	key := c.ownedBy("h1")
	c.store.SetDown(true)
	_, err := c.hosts["h2"].records.Claim(background, "w", key)
	is.True(errors.Is(err, ErrUnavailable))
	c.store.SetDown(false)
	c.store.LoseResponses(1)
	claim, err := c.hosts["h2"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(claim.State, Fresh) // the write whose response was lost was read back
	is.Equal(c.store.Calls("get"), 1)
	// A new incarnation in the same epoch starts with sequence numbers that the
	// old one has used.
	c.stopHost("h1")
	c.hosts["h1"].down.Store(false)
	c.start("h1", c.store)
	c.waitReady()
	again, err := c.hosts["h2"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(again.State, Unknown)
	fresh, err := c.hosts["h2"].records.Claim(background, "other", c.ownedBy("h1"))
	is.NoErr(err)
	is.Equal(fresh.State, Fresh)
}

// Guards against accepting claims before the records of earlier owners are
// loaded, or without a lease.
func TestOwnerRefusesWithoutLeaseOrRecords(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2", "h3")
	o := c.hosts["h2"].records.owner
	key := hashKey("w", c.ownedBy("h2"))
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch + 1}).Refused, refusedNotOwner)
	c.hosts["h2"].leaseExpired.Store(true)
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch}).Refused, refusedLease)
	c.hosts["h2"].leaseExpired.Store(false)
	c.store.SetDown(true)
	c.setMembers("h1", "h2")
	time.Sleep(3 * loadCheckInterval)
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch}).Refused, refusedNotReady)
	c.store.SetDown(false)
	c.waitReady()
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Claimer: "h1/x", Epoch: c.epoch}).State, Fresh)
}

// Guards against unbounded memory use, and against expired objects that are not
// deleted from the platform.
func TestBoundsAndRetention(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1")
	o := c.hosts["h1"].records.owner
	o.opts.MaxRecords, o.opts.MaxStored = 20, 3000
	r := c.hosts["h1"].records
	for i := range 20 {
		claim, err := r.Claim(background, "w", fmt.Sprint(i))
		is.NoErr(err)
		is.NoErr(r.Complete(background, claim, StoredResponse{Status: 200, Body: make([]byte, 1000)}))
	}
	_, err := r.Claim(background, "w", "one too many")
	is.True(errors.Is(err, ErrUnavailable))
	is.True(o.cachedBytes <= 3000)
	is.Equal(o.cached.Len(), 3)
	old, err := r.Claim(background, "w", "0")
	is.NoErr(err)
	is.Equal(old.State, Done)
	is.True(old.Response == nil) // its response was removed from memory
	o.removeExpired(time.Now().Add(time.Hour + time.Minute))
	is.Equal(len(o.records), 0)
	is.Equal(o.cachedBytes, 0)
	is.NoErr(r.deleteExpiredObjects(background, time.Now().Add(time.Hour)))
	page, err := c.store.List(background, keyPrefix, "", 0)
	is.NoErr(err)
	is.True(len(page.Objects) > 0) // kept for cleanupInterval beyond the retention
	is.NoErr(r.deleteExpiredObjects(background, time.Now().Add(time.Hour+2*cleanupInterval)))
	page, err = c.store.List(background, keyPrefix, "", 0)
	is.NoErr(err)
	is.Equal(len(page.Objects), 0)
}

// Guards against a request that runs twice while hosts leave and rejoin, peer
// calls and platform responses are lost, and callers resend every key to all
// hosts.
func TestAtMostOnceUnderFaults(t *testing.T) {
	is := is.New(t)
	names := []peer.HostID{"h1", "h2", "h3", "h4"}
	c := newCluster(t, names...)
	c.lostCallPercent.Store(5)
	c.lostAnswerPercent.Store(5)
	const keys = 120
	var runs [keys]atomic.Int64
	ctx, cancel := context.WithTimeout(background, 8*time.Second)
	defer cancel()
	var group sync.WaitGroup
	var states sync.Map
	for i := range 24 {
		r := c.hosts[names[i%len(names)]].records
		group.Go(func() {
			for ctx.Err() == nil {
				k := rand.IntN(keys)
				claim, err := r.Claim(ctx, "w", fmt.Sprint(k))
				if err != nil {
					continue
				}
				count, _ := states.LoadOrStore(claim.State, new(atomic.Int64))
				count.(*atomic.Int64).Add(1)
				if claim.State != Fresh {
					continue
				}
				if rand.IntN(4) == 0 {
					_ = r.Abandon(ctx, claim) // not sent
					continue
				}
				runs[k].Add(1)
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
				if rand.IntN(4) > 0 {
					_ = r.Complete(ctx, claim, StoredResponse{Status: 200})
				}
			}
		})
	}
	for ctx.Err() == nil {
		removed := rand.IntN(len(names) + 1)
		members := []peer.HostID{}
		for i, name := range names {
			if i != removed {
				members = append(members, name)
			}
		}
		c.setMembers(members...)
		c.store.LoseResponses(rand.IntN(3))
		_ = sleep(ctx, time.Duration(300+rand.IntN(500))*time.Millisecond)
	}
	group.Wait()
	ran := 0
	for k := range runs {
		if n := runs[k].Load(); n > 1 {
			t.Errorf("key %d ran %d times", k, n)
		} else if n == 1 {
			ran++
		}
	}
	states.Range(func(state, n any) bool {
		t.Logf("claims answered %v: %d", state, n.(*atomic.Int64).Load())
		return true
	})
	t.Logf("%d of %d keys ran, %d epochs, %d writes", ran, keys, c.epoch, c.store.Calls("put"))
	is.True(ran > keys/2)
}

// Guards against a new owner that treats one of several stored claims of a key
// as the only one, so that two claims could run the request.
func TestMultipleStoredClaimsOfKeyAreUnknown(t *testing.T) {
	is := is.New(t)
	o := newOwner(Options{Retention: time.Hour, Logger: slog.Default()})
	one, two := hashKey("w", "one"), hashKey("w", "two")
	claims := []claimEntry{{Key: one, Claim: "a"}, {Key: two, Claim: "b"}}
	view := fleet.View{Self: "h1", Members: []fleet.Member{{Host: "h1"}}}
	found := map[keyHash]*loadedRecord{}
	for seq, content := range []storedGroup{
		{AtMS: time.Now().UnixMilli(), Claims: claims},
		{AtMS: time.Now().UnixMilli(), Claims: []claimEntry{{Key: two, Claim: "c"}}},
	} {
		raw, err := json.Marshal(content)
		is.NoErr(err)
		o.collectEntries(view, found, store.Object{Key: fmt.Sprintf("%sh0/1/%d", keyPrefix, seq), Value: raw})
	}
	o.applyLoaded(view, found)
	is.Equal(o.records[one].AnswerClaim("a", true), retry.ClaimFresh)
	is.Equal(o.records[two].AnswerClaim("b", true), retry.ClaimUnknown)
	is.Equal(o.records[two].AnswerClaim("c", true), retry.ClaimUnknown)
}
