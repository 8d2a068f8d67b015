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
	loadCheckInterval = 20 * time.Millisecond
	loadRetryDelay    = 200 * time.Millisecond
	listPageSize      = 200
	// cleanupInterval and deleteDelay limit the rate at which old objects are
	// deleted.
	cleanupInterval = 5 * time.Minute
	deleteDelay     = 50 * time.Millisecond
	sweepInterval   = 10 * time.Second
)

// loadLoop loads the records of earlier owners after each change of the epoch.
// Claims are refused until they are loaded.
func (o *owner) loadLoop(ctx context.Context) {
	for {
		wait := loadCheckInterval
		if view := o.opts.Fleet.View(); o.needsLoad(view) && view.Settled {
			if err := o.load(ctx, view); err != nil {
				counters.Add("loads_failed", 1)
				wait = loadRetryDelay
			}
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// needsLoad reports whether this host is an owner that has not loaded the
// epoch's records, and if so stops accepting claims.
func (o *owner) needsLoad(view fleet.View) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ready && o.epoch == view.Epoch {
		return false
	}
	o.ready = false
	return isOwnerHost(view)
}

// load reads all stored records after the epoch has settled. By then earlier
// owners have lost their lease or know the epoch, so every claim that they
// confirmed as fresh is stored.
func (o *owner) load(ctx context.Context, view fleet.View) error {
	found := map[keyHash]*loadedRecord{}
	after := ""
	for {
		page, err := o.opts.Store.List(ctx, keyPrefix, after, listPageSize)
		if err != nil {
			return errors.Wrap(err, "list idempotency records")
		}
		for _, obj := range page.Objects {
			o.collectEntries(view, found, obj)
		}
		if page.Next == "" {
			break
		}
		after = page.Next
	}
	o.applyLoaded(view, found)
	return nil
}

// loadedRecord is the state of a key according to the stored objects.
type loadedRecord struct {
	claim           claimEntry
	claimedAt       time.Time
	writePosition   writePosition
	completedClaims map[string]bool // IDs of completed claims
	multipleClaims  bool            // more than one claim is stored
}

// writePosition orders the stored objects of a key by time of writing.
type writePosition struct{ epoch, seq uint64 }

func (p writePosition) before(q writePosition) bool {
	return p.epoch < q.epoch || (p.epoch == q.epoch && p.seq < q.seq)
}

// parseWritePosition parses the epoch and sequence number in
// dedupe/<owner>/<epoch>/<seq>.
func parseWritePosition(key string) writePosition {
	parts := strings.Split(key, "/")
	if len(parts) < 4 {
		return writePosition{}
	}
	epoch, _ := strconv.ParseUint(parts[len(parts)-2], 10, 64)
	seq, _ := strconv.ParseUint(parts[len(parts)-1], 10, 64)
	return writePosition{epoch, seq}
}

// collectEntries adds the entries of one object whose keys this host owns.
func (o *owner) collectEntries(view fleet.View, found map[keyHash]*loadedRecord, obj store.Object) {
	var content storedGroup
	if err := json.Unmarshal(obj.Value, &content); err != nil {
		counters.Add("bad_objects", 1)
		return
	}
	claimedAt := time.UnixMilli(content.AtMS)
	if time.Since(claimedAt) > o.opts.Retention {
		return
	}
	recordOf := func(k keyHash) *loadedRecord {
		l, ok := found[k]
		if !ok {
			l = &loadedRecord{completedClaims: map[string]bool{}}
			found[k] = l
		}
		return l
	}
	position := parseWritePosition(obj.Key)
	for _, c := range content.Claims {
		if to, _ := ownerOf(view, c.Key); to != view.Self {
			continue
		}
		l := recordOf(c.Key)
		l.multipleClaims = l.multipleClaims || (l.claim.Claim != "" && l.claim.Claim != c.Claim)
		if l.claim.Claim == "" || l.writePosition.before(position) {
			l.claim, l.writePosition, l.claimedAt = c, position, claimedAt
		}
	}
	for _, d := range content.Done {
		if to, _ := ownerOf(view, d.Key); to == view.Self {
			recordOf(d.Key).completedClaims[d.Claim] = true
		}
	}
}

// applyLoaded merges loaded records into memory and starts accepting claims in
// the epoch. Records of keys that this host does not own in the epoch are
// removed, because their state may change at another owner.
func (o *owner) applyLoaded(view fleet.View, found map[keyHash]*loadedRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k := range o.records {
		if to, _ := ownerOf(view, k); to != view.Self {
			o.removeRecord(k)
		}
	}
	for k, l := range found {
		if l.claim.Claim != "" {
			o.mergeLoaded(k, l)
		}
	}
	o.epoch, o.ready = view.Epoch, true
	counters.Add("loads", 1)
	o.opts.Logger.Info("idempotency records loaded", "step", "load records", "epoch", view.Epoch, "records", len(o.records))
}

// mergeLoaded merges the stored state of a key. A record in memory is kept if
// it has the same claim or is done. Otherwise another owner has accepted a
// later claim of the key, or the claim in memory was never confirmed. The
// caller holds mu.
func (o *owner) mergeLoaded(k keyHash, l *loadedRecord) {
	rec, ok := o.records[k]
	keep := ok && (rec.State == retry.RecordDone || (rec.State != retry.RecordWriting && rec.Claim == l.claim.Claim))
	if !keep {
		o.removeRecord(k)
		rec = &record{IdempotencyRecord: retry.IdempotencyRecord{
			State: retry.RecordUnknown, Claim: l.claim.Claim, Claimer: l.claim.Claimer, At: l.claimedAt,
			Sole: !l.multipleClaims,
		}}
		o.records[k] = rec
	}
	if len(l.completedClaims) > 0 {
		rec.State = retry.RecordDone
	}
}

// cleanupLoop removes expired records from memory and, on the first live
// member, from the platform.
func (r *Records) cleanupLoop(ctx context.Context) {
	var cleaned time.Time
	for sleep(ctx, sweepInterval) == nil {
		now := time.Now()
		r.owner.removeExpired(now)
		view := r.opts.Fleet.View()
		if now.Sub(cleaned) < cleanupInterval || firstAlive(view) != view.Self {
			continue
		}
		cleaned = now
		if err := r.deleteExpiredObjects(ctx, now); err != nil {
			counters.Add("cleanings_failed", 1)
		}
	}
}

// deleteExpiredObjects deletes stored objects after their retention. They are
// kept for cleanupInterval longer to allow for clock differences between hosts.
func (r *Records) deleteExpiredObjects(ctx context.Context, now time.Time) error {
	after := ""
	for {
		page, err := r.opts.Store.List(ctx, keyPrefix, after, listPageSize)
		if err != nil {
			return errors.Wrap(err, "list idempotency records")
		}
		for _, obj := range page.Objects {
			var content storedGroup
			age := now.Sub(time.UnixMilli(0))
			if json.Unmarshal(obj.Value, &content) == nil {
				age = now.Sub(time.UnixMilli(content.AtMS))
			}
			if age <= r.opts.Retention+cleanupInterval {
				continue
			}
			if err := r.opts.Store.Delete(ctx, obj.Key, obj.Version); err != nil && !errors.Is(err, store.ErrNotFound) {
				return errors.Wrapf(err, "delete %s", obj.Key)
			}
			if err := sleep(ctx, deleteDelay); err != nil {
				return err
			}
		}
		if page.Next == "" {
			return nil
		}
		after = page.Next
	}
}
