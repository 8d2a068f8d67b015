package dedupe

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/store"
)

const (
	loadCheck = 20 * time.Millisecond
	loadRetry = 200 * time.Millisecond
	pageSize  = 200
	// cleanInterval and cleanDelay pace the removal of old objects.
	cleanInterval = 5 * time.Minute
	cleanDelay    = 50 * time.Millisecond
	sweepInterval = 10 * time.Second
)

// loadLoop loads the records of earlier owners after each epoch change. Until
// then claims are refused.
func (o *owner) loadLoop(ctx context.Context) {
	for {
		wait := loadCheck
		if view := o.opts.Fleet.View(); o.needsLoad(view) && view.Settled {
			if err := o.load(ctx, view); err != nil {
				counters.Add("loads_failed", 1)
				wait = loadRetry
			}
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// needsLoad reports whether the epoch's records are not loaded yet, and stops
// answering claims if so.
func (o *owner) needsLoad(view fleet.View) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ready && o.epoch == view.Epoch {
		return false
	}
	o.ready = false
	return ownsAny(view)
}

// load reads all stored records after the epoch's generation was activated.
// By then earlier owners have lost their lease or know of the epoch, so no
// claim that they answered as fresh is missing.
func (o *owner) load(ctx context.Context, view fleet.View) error {
	found := map[keyHash]*loaded{}
	after := ""
	for {
		page, err := o.opts.Store.List(ctx, prefix, after, pageSize)
		if err != nil {
			return errors.Wrap(err, "list idempotency records")
		}
		for _, obj := range page.Objects {
			o.collect(view, found, obj)
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	o.adopt(view, found)
	return nil
}

// loaded is what the stored objects say of one key.
type loaded struct {
	claim   claimEntry
	at      time.Time
	place   place
	doneFor map[string]bool // claims that completed
	several bool            // more than one claim is stored
}

// place orders objects of one key by time of writing.
type place struct{ epoch, seq uint64 }

func (p place) before(q place) bool {
	return p.epoch < q.epoch || (p.epoch == q.epoch && p.seq < q.seq)
}

// placeOf reads epoch and sequence number from dedupe/<owner>/<epoch>/<seq>.
func placeOf(key string) place {
	parts := strings.Split(key, "/")
	if len(parts) < 4 {
		return place{}
	}
	epoch, _ := strconv.ParseUint(parts[len(parts)-2], 10, 64)
	seq, _ := strconv.ParseUint(parts[len(parts)-1], 10, 64)
	return place{epoch, seq}
}

// collect adds the entries of one object that belong to this owner.
func (o *owner) collect(view fleet.View, found map[keyHash]*loaded, obj store.Object) {
	var content object
	if err := json.Unmarshal(obj.Value, &content); err != nil {
		counters.Add("bad_objects", 1)
		return
	}
	at := time.UnixMilli(content.AtMS)
	if time.Since(at) > o.opts.Retention {
		return
	}
	entry := func(k keyHash) *loaded {
		l, ok := found[k]
		if !ok {
			l = &loaded{doneFor: map[string]bool{}}
			found[k] = l
		}
		return l
	}
	here := placeOf(obj.Key)
	for _, c := range content.Claims {
		if to, _ := ownerOf(view, c.Key); to != view.Self {
			continue
		}
		l := entry(c.Key)
		l.several = l.several || (l.claim.Claim != "" && l.claim.Claim != c.Claim)
		if l.claim.Claim == "" || l.place.before(here) {
			l.claim, l.place, l.at = c, here, at
		}
	}
	for _, d := range content.Done {
		if to, _ := ownerOf(view, d.Key); to == view.Self {
			entry(d.Key).doneFor[d.Claim] = true
		}
	}
}

// adopt merges loaded records into memory and starts answering claims of the
// epoch. Keys that this host does not own in the epoch are dropped: their
// state may change elsewhere.
func (o *owner) adopt(view fleet.View, found map[keyHash]*loaded) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.records {
		if to, _ := ownerOf(view, k); to != view.Self {
			o.drop(k)
		}
	}
	for k, l := range found {
		if l.claim.Claim != "" {
			o.merge(k, l)
		}
	}
	o.epoch, o.ready = view.Epoch, true
	counters.Add("loads", 1)
	o.opts.Logger.Info("idempotency records loaded", "step", "load records", "epoch", view.Epoch, "records", len(o.records))
}

// merge takes over what the platform has of a key. A record in memory stays
// if it has the same claim or ended; otherwise another owner gave the key to a
// later claim, or the claim in memory was never answered. The caller holds mu.
func (o *owner) merge(k keyHash, l *loaded) {
	rec, ok := o.records[k]
	keep := ok && (rec.State == retry.RecordDone || (rec.State != retry.RecordWriting && rec.Claim == l.claim.Claim))
	if !keep {
		o.drop(k)
		rec = &record{IdempotencyRecord: retry.IdempotencyRecord{
			State: retry.RecordUnknown, Claim: l.claim.Claim, Claimer: l.claim.Claimer, At: l.at,
			Sole: !l.several,
		}}
		o.records[k] = rec
	}
	if len(l.doneFor) > 0 {
		rec.State = retry.RecordDone
	}
}

// cleanLoop drops expired records from memory, and from the platform at the
// first alive member.
func (r *Records) cleanLoop(ctx context.Context) {
	var cleaned time.Time
	for sleep(ctx, sweepInterval) == nil {
		now := time.Now()
		r.owner.sweep(now)
		view := r.opts.Fleet.View()
		if now.Sub(cleaned) < cleanInterval || firstAlive(view) != view.Self {
			continue
		}
		cleaned = now
		if err := r.clean(ctx, now); err != nil {
			counters.Add("cleanings_failed", 1)
		}
	}
}

// clean deletes the objects whose retention is over. Objects are kept for one
// interval more, so that differences of the hosts' clocks lose nothing.
func (r *Records) clean(ctx context.Context, now time.Time) error {
	after := ""
	for {
		page, err := r.opts.Store.List(ctx, prefix, after, pageSize)
		if err != nil {
			return errors.Wrap(err, "list idempotency records")
		}
		for _, obj := range page.Objects {
			var content object
			age := now.Sub(time.UnixMilli(0))
			if json.Unmarshal(obj.Value, &content) == nil {
				age = now.Sub(time.UnixMilli(content.AtMS))
			}
			if age <= r.opts.Retention+cleanInterval {
				continue
			}
			if err := r.opts.Store.Delete(ctx, obj.Key, obj.Version); err != nil && !errors.Is(err, store.ErrNotFound) {
				return errors.Wrapf(err, "delete %s", obj.Key)
			}
			if err := sleep(ctx, cleanDelay); err != nil {
				return err
			}
		}
		if page.Next == "" {
			return nil
		}
		after = page.Next
	}
}
