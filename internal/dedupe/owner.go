package dedupe

import (
	"container/list"
	"context"
	"strings"
	"sync"
	"time"

	"ragwortstep/internal/core/retry"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/peer"
)

// record is one key at its owner.
type record struct {
	retry.IdempotencyRecord
	group  *group        // the write that stores it, while writing
	stored *list.Element // its response in memory, nil when there is none
}

// storedResponse is a response in memory, in the list from new to old.
type storedResponse struct {
	key  keyHash
	resp *StoredResponse
}

// owner serves the keys that this host owns in the present epoch.
type owner struct {
	opts Options

	mu       sync.Mutex
	records  map[keyHash]*record
	epoch    uint64 // whose records are loaded, when ready
	ready    bool
	stored   *list.List
	storedIn int // bytes
	writer   groupWriter
}

func newOwner(opts Options) *owner {
	return &owner{opts: opts, records: map[keyHash]*record{}, stored: list.New(), writer: newGroupWriter()}
}

// check returns a refusal unless this host owns the key in the epoch and has
// loaded the records of earlier owners. The caller holds mu.
func (o *owner) check(view fleet.View, k keyHash, epoch uint64) refusal {
	to, ok := ownerOf(view, k)
	switch {
	case !ok || view.Epoch != epoch || to != view.Self:
		return refusedNotOwner
	case !o.ready || o.epoch != epoch:
		return refusedNotReady
	}
	return ""
}

// claim serves dedupe.claim.
func (o *owner) claim(ctx context.Context, q claimRequest) reply {
	view := o.opts.Fleet.View()
	now := time.Now()
	if o.opts.Fleet.MayAdmit(now) != nil {
		return reply{Refused: refusedLease}
	}
	o.mu.Lock()
	if refused := o.check(view, q.Key, q.Epoch); refused != "" {
		o.mu.Unlock()
		return reply{Refused: refused}
	}
	rec, ok := o.records[q.Key]
	if ok && rec.Expired(now, o.opts.Retention) {
		o.drop(q.Key)
		ok = false
	}
	if ok {
		answer, waitFor := o.answer(rec, q, view, now)
		o.mu.Unlock()
		if waitFor != nil {
			return o.await(ctx, q, rec, waitFor)
		}
		return answer
	}
	if len(o.records) >= o.opts.MaxRecords {
		o.mu.Unlock()
		counters.Add("full", 1)
		return reply{Refused: refusedFull}
	}
	rec = o.add(q, now)
	g := rec.group
	o.mu.Unlock()
	return o.await(ctx, q, rec, g)
}

// answer returns what a claim finds in a record, or the write to wait for
// when the claim finds itself before it is stored. The caller holds mu.
func (o *owner) answer(rec *record, q claimRequest, view fleet.View, now time.Time) (reply, *group) {
	if rec.State != retry.RecordDone && now.Sub(rec.At) > o.opts.RunFor {
		rec.State, rec.Sole = retry.RecordUnknown, false
	}
	switch rec.Answer(q.Claim, alive(view, rec.Claimer)) {
	case retry.ClaimFresh:
		if rec.State == retry.RecordWriting {
			return reply{}, rec.group
		}
		rec.State, rec.Sole = retry.RecordRunning, false
		return reply{State: Fresh}, nil
	case retry.ClaimDone:
		out := reply{State: Done}
		if rec.stored != nil {
			out.Response = rec.stored.Value.(storedResponse).resp
		}
		return out, nil
	case retry.ClaimRunning:
		return reply{State: Running}, nil
	}
	return reply{State: Unknown}, nil
}

// alive reports whether the incarnation that made a claim is a live member.
// Members whose incarnation is not known count by name.
func alive(view fleet.View, claimer string) bool {
	host, incarnation, _ := strings.Cut(claimer, "/")
	for _, m := range view.Members {
		if string(m.Host) == host {
			return view.Alive[m.Host] && (m.Incarnation == "" || m.Incarnation == incarnation)
		}
	}
	return false
}

// add creates a record and puts it into the next write. The caller holds mu.
func (o *owner) add(q claimRequest, now time.Time) *record {
	g := o.writer.next(q.Epoch)
	rec := &record{group: g, IdempotencyRecord: retry.IdempotencyRecord{
		State: retry.RecordWriting, Claim: q.Claim, Claimer: q.Claimer, At: now,
	}}
	o.records[q.Key] = rec
	g.claims = append(g.claims, claimEntry{Key: q.Key, Claim: q.Claim, Claimer: q.Claimer})
	o.writer.wake()
	return rec
}

// await waits until a claim is stored. The claim is fresh only if the lease
// still holds and the epoch is the same after the write: then no later owner
// can have read the records before this one was stored. A record that was
// replaced in the meantime belongs to another claim.
func (o *owner) await(ctx context.Context, q claimRequest, rec *record, g *group) reply {
	select {
	case <-g.done:
	case <-ctx.Done():
		return reply{Refused: refusedPlatform}
	}
	leased := o.opts.Fleet.MayAdmit(time.Now()) == nil && o.opts.Fleet.View().Epoch == q.Epoch
	o.mu.Lock()
	defer o.mu.Unlock()
	mine := o.records[q.Key] == rec && rec.Claim == q.Claim
	switch {
	case g.err != nil:
		if mine {
			o.drop(q.Key)
		}
		return reply{Refused: refusedPlatform}
	case !leased:
		// The claimer does not send. The record at the platform makes the
		// outcome unknown for a later owner, which is safe.
		if mine {
			o.drop(q.Key)
		}
		return reply{Refused: refusedLease}
	case !mine:
		return reply{Refused: refusedNotOwner}
	}
	invariant.Check(rec.State == retry.RecordWriting || rec.State == retry.RecordRunning, "I10", "answer claim", q.Claimer)
	rec.State, rec.group = retry.RecordRunning, nil
	counters.Add("claims", 1)
	return reply{State: Fresh}
}

// complete serves dedupe.complete.
func (o *owner) complete(_ context.Context, q completeRequest) reply {
	view := o.opts.Fleet.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused := o.check(view, q.Key, q.Epoch); refused != "" {
		return reply{Refused: refused}
	}
	rec, ok := o.records[q.Key]
	if !ok || !rec.Complete(q.Claim) {
		return reply{}
	}
	o.store(q.Key, rec, q.Response)
	o.writer.addDone(q.Epoch, doneEntry{Key: q.Key, Claim: q.Claim})
	return reply{State: Done}
}

// abandon serves dedupe.abandon.
func (o *owner) abandon(_ context.Context, q completeRequest) reply {
	view := o.opts.Fleet.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused := o.check(view, q.Key, q.Epoch); refused != "" {
		return reply{Refused: refused}
	}
	if rec, ok := o.records[q.Key]; ok && rec.MayAbandon(q.Claim) {
		o.drop(q.Key)
	}
	return reply{}
}

// store keeps a response in memory and drops the oldest ones beyond the
// bound. The caller holds mu.
func (o *owner) store(k keyHash, rec *record, resp *StoredResponse) {
	if resp == nil || resp.Status == 0 || rec.stored != nil {
		return
	}
	rec.stored = o.stored.PushFront(storedResponse{k, resp})
	o.storedIn += resp.size()
	for o.storedIn > o.opts.MaxStored {
		oldest := o.stored.Back().Value.(storedResponse)
		o.unstore(o.records[oldest.key])
	}
}

// unstore drops a record's response. The caller holds mu.
func (o *owner) unstore(rec *record) {
	if rec == nil || rec.stored == nil {
		return
	}
	o.storedIn -= rec.stored.Value.(storedResponse).resp.size()
	o.stored.Remove(rec.stored)
	rec.stored = nil
}

// drop removes a record. The caller holds mu.
func (o *owner) drop(k keyHash) {
	o.unstore(o.records[k])
	delete(o.records, k)
}

// sweep removes records whose retention is over.
func (o *owner) sweep(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, rec := range o.records {
		if rec.Expired(now, o.opts.Retention) {
			o.drop(k)
		}
	}
}

// ownsAny reports whether the host is among the owners of the epoch.
func ownsAny(view fleet.View) bool {
	for i, m := range view.Members {
		if i < maxOwners && m.Host == view.Self {
			return true
		}
	}
	return false
}

// firstAlive returns the first alive member in the order of names.
func firstAlive(view fleet.View) peer.HostID {
	for _, m := range view.Members {
		if view.Alive[m.Host] {
			return m.Host
		}
	}
	return ""
}
