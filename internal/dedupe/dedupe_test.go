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

// Guards against a second fresh claim of a key at any host, and against lost
// responses.
func TestStatesOfAKey(t *testing.T) {
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
	is.Equal(other.State, Fresh) // keys belong to a workspace
	is.NoErr(c.hosts["h1"].records.Complete(background, first, StoredResponse{Status: 201, Body: []byte("done"), Header: http.Header{"X": {"1"}}}))
	for _, h := range c.hosts {
		again, err := h.records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(again.State, Done)
		is.Equal(again.Response, &StoredResponse{Status: 201, Body: []byte("done"), Header: http.Header{"X": {"1"}}})
	}
}

// Guards against a key that stays blocked after its request was not sent, and
// against withdrawal by a claim that is not the record's.
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
	is.NoErr(r.Abandon(background, first)) // late and repeated
	third, err := r.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(third.State, Running)
}

// Guards against a platform write per claim.
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

// Guards against a wrong state after an owner is lost, at each point of a
// claim.
func TestOwnerLoss(t *testing.T) {
	// claimAndLose claims a key of h2 while h2 is lost, and then resends.
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
		c.kill("h2")
		_, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.True(errors.Is(err, ErrUnavailable))
		is.Equal(resend(is, c, key).State, Fresh) // nothing was stored or sent
	})
	t.Run("after the write and before the answer", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		c.loseAnswers.Store(100)
		_, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.True(errors.Is(err, ErrUnavailable)) // never sent
		c.loseAnswers.Store(0)
		c.kill("h2")
		is.Equal(resend(is, c, key).State, Unknown)
	})
	t.Run("after the answer", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		claim, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(claim.State, Fresh)
		c.kill("h2")
		is.Equal(resend(is, c, key).State, Unknown)
		is.NoErr(c.hosts["h1"].records.Complete(background, claim, StoredResponse{Status: 200}))
		again, err := c.hosts["h3"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.Equal(again.State, Done) // the new owner learned the outcome
	})
	t.Run("after the completion was stored", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		claim, err := c.hosts["h1"].records.Claim(background, "w", key)
		is.NoErr(err)
		is.NoErr(c.hosts["h1"].records.Complete(background, claim, StoredResponse{Status: 200}))
		time.Sleep(2*doneDelay + 200*time.Millisecond)
		c.kill("h2")
		is.Equal(resend(is, c, key).State, Done)
	})
	t.Run("paused during the write", func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, "h1", "h2", "h3")
		key := c.ownedBy("h2")
		slow := &slowStore{Store: c.store, held: make(chan struct{}, 10), release: make(chan struct{})}
		c.hosts["h2"].records.owner.opts.Store = slow
		outcome := make(chan State, 1)
		go func() {
			first, _ := c.hosts["h1"].records.Claim(background, "w", key)
			outcome <- first.State
		}()
		<-slow.held
		second := resend(is, c, key)
		is.Equal(second.State, Fresh) // the first claim's record is not stored yet
		close(slow.release)           // it is stored late, by an owner without a lease
		is.True(<-outcome != Fresh)   // refused, or told that the second one is running
	})
}

// Guards against a key that stays running after its claimer is lost.
func TestClaimerLoss(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2", "h3")
	key := c.ownedBy("h2")
	claim, err := c.hosts["h1"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(claim.State, Fresh)
	c.kill("h1")
	c.setMembers("h2", "h3")
	c.waitReady()
	again, err := c.hosts["h3"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(again.State, Unknown)
}

// Guards against false answers while the platform is down, slow or loses
// answers.
func TestPlatformFaults(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2")
	key := c.ownedBy("h1")
	c.store.SetDown(true)
	_, err := c.hosts["h2"].records.Claim(background, "w", key)
	is.True(errors.Is(err, ErrUnavailable))
	c.store.SetDown(false)
	c.store.LoseAnswers(1)
	claim, err := c.hosts["h2"].records.Claim(background, "w", key)
	is.NoErr(err)
	is.Equal(claim.State, Fresh) // the write whose answer was lost was read back
	is.Equal(c.store.Calls("get"), 1)
	// A new incarnation in the same epoch meets the sequence numbers of the old one.
	c.kill("h1")
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

// Guards against claims that an owner answers before it has read the records
// of earlier owners, or without its lease.
func TestOwnerRefuses(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, "h1", "h2", "h3")
	o := c.hosts["h2"].records.owner
	key := hashKey("w", c.ownedBy("h2"))
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch + 1}).Refused, refusedNotOwner)
	c.hosts["h2"].lapsed.Store(true)
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch}).Refused, refusedLease)
	c.hosts["h2"].lapsed.Store(false)
	c.store.SetDown(true)
	c.setMembers("h1", "h2")
	time.Sleep(3 * loadCheck)
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Epoch: c.epoch}).Refused, refusedNotReady)
	c.store.SetDown(false)
	c.waitReady()
	is.Equal(o.claim(background, claimRequest{Key: key, Claim: "c", Claimer: "h1/x", Epoch: c.epoch}).State, Fresh)
}

// Guards against memory that grows without bound, and against old objects
// that stay at the platform.
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
	is.True(o.storedIn <= 3000)
	is.Equal(o.stored.Len(), 3)
	old, err := r.Claim(background, "w", "0")
	is.NoErr(err)
	is.Equal(old.State, Done)
	is.True(old.Response == nil) // its response is no longer in memory
	o.sweep(time.Now().Add(time.Hour + time.Minute))
	is.Equal(len(o.records), 0)
	is.Equal(o.storedIn, 0)
	is.NoErr(r.clean(background, time.Now().Add(time.Hour)))
	page, err := c.store.List(background, prefix, "", 0)
	is.NoErr(err)
	is.True(len(page.Objects) > 0) // kept for a while longer than the retention
	is.NoErr(r.clean(background, time.Now().Add(time.Hour+2*cleanInterval)))
	page, err = c.store.List(background, prefix, "", 0)
	is.NoErr(err)
	is.Equal(len(page.Objects), 0)
}

// Guards against a request that runs twice while hosts leave and return, peer
// calls and platform answers are lost, and callers resend every key to all
// hosts.
func TestAtMostOnceUnderFaults(t *testing.T) {
	is := is.New(t)
	names := []peer.HostID{"h1", "h2", "h3", "h4"}
	c := newCluster(t, names...)
	c.loseCalls.Store(5)
	c.loseAnswers.Store(5)
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
		out := rand.IntN(len(names) + 1)
		members := []peer.HostID{}
		for i, name := range names {
			if i != out {
				members = append(members, name)
			}
		}
		c.setMembers(members...)
		c.store.LoseAnswers(rand.IntN(3))
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

// Guards against a new owner that takes one of several stored claims of a key
// for the only one, and lets its request run beside another's.
func TestLoadedClaimsOfOneKeyAreUnknown(t *testing.T) {
	is := is.New(t)
	o := newOwner(Options{Retention: time.Hour, Logger: slog.Default()})
	one, two := hashKey("w", "one"), hashKey("w", "two")
	claims := []claimEntry{{Key: one, Claim: "a"}, {Key: two, Claim: "b"}}
	view := fleet.View{Self: "h1", Members: []fleet.Member{{Host: "h1"}}}
	found := map[keyHash]*loaded{}
	for seq, content := range []object{
		{AtMS: time.Now().UnixMilli(), Claims: claims},
		{AtMS: time.Now().UnixMilli(), Claims: []claimEntry{{Key: two, Claim: "c"}}},
	} {
		raw, err := json.Marshal(content)
		is.NoErr(err)
		o.collect(view, found, store.Object{Key: fmt.Sprintf("%sh0/1/%d", prefix, seq), Value: raw})
	}
	o.adopt(view, found)
	is.Equal(o.records[one].Answer("a", true), retry.ClaimFresh)
	is.Equal(o.records[two].Answer("b", true), retry.ClaimUnknown)
	is.Equal(o.records[two].Answer("c", true), retry.ClaimUnknown)
}
