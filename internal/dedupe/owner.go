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

// record is the state of a key at its owner.
type record struct {
	retry.IdempotencyRecord
	writeGroup *writeGroup   // set while the claim is being written
	cached     *list.Element // element of owner.cached, nil if there is none
}

// cachedResponse is an element of owner.cached, which is ordered from newest
// to oldest.
type cachedResponse struct {
	key  keyHash
	resp *StoredResponse
}

// owner serves the keys that this host owns in the current epoch.
type owner struct {
	opts Options

	mu          sync.Mutex
	records     map[keyHash]*record
	epoch       uint64 // epoch of the loaded records, valid if ready
	ready       bool
	cached      *list.List
	cachedBytes int // total size of the cached responses
	writer      groupWriter
}

func newOwner(opts Options) *owner {
	return &owner{opts: opts, records: map[keyHash]*record{}, cached: list.New(), writer: newGroupWriter()}
}

// checkOwnership returns a refusal unless this host owns the key in the epoch
// and has loaded the records of earlier owners. The caller holds mu.
func (o *owner) checkOwnership(view fleet.View, k keyHash, epoch uint64) refusal {
	to, ok := ownerOf(view, k)
	switch {
	case !ok || view.Epoch != epoch || to != view.Self:
		return refusedNotOwner
	case !o.ready || o.epoch != epoch:
		return refusedNotReady
	}
	return ""
}

// claim handles dedupe.claim.
func (o *owner) claim(ctx context.Context, q claimRequest) reply {
	view := o.opts.Fleet.View()
	now := time.Now()
	if o.opts.Fleet.MayAdmit(now) != nil {
		return reply{Refused: refusedLease}
	}
	o.mu.Lock()
	if refused := o.checkOwnership(view, q.Key, q.Epoch); refused != "" {
		o.mu.Unlock()
		return reply{Refused: refused}
	}
	rec, ok := o.records[q.Key]
	if ok && rec.Expired(now, o.opts.Retention) {
		o.removeRecord(q.Key)
		ok = false
	}
	if ok {
		claimReply, pending := o.claimReply(rec, q, view, now)
		o.mu.Unlock()
		if pending != nil {
			return o.awaitWrite(ctx, q, rec, pending)
		}
		return claimReply
	}
	if len(o.records) >= o.opts.MaxRecords {
		o.mu.Unlock()
		counters.Add("full", 1)
		return reply{Refused: refusedFull}
	}
	rec = o.addRecord(q, now)
	g := rec.writeGroup
	o.mu.Unlock()
	return o.awaitWrite(ctx, q, rec, g)
}

// claimReply returns the reply to a claim of an existing record, or the write
// to wait for if the record was created by the same claim and is not stored
// yet. The caller holds mu.
func (o *owner) claimReply(rec *record, q claimRequest, view fleet.View, now time.Time) (reply, *writeGroup) {
	if rec.State != retry.RecordDone && now.Sub(rec.At) > o.opts.RunFor {
		rec.State, rec.Sole = retry.RecordUnknown, false
	}
	switch rec.AnswerClaim(q.Claim, claimerAlive(view, rec.Claimer)) {
	case retry.ClaimFresh:
		if rec.State == retry.RecordWriting {
			return reply{}, rec.writeGroup
		}
		rec.State, rec.Sole = retry.RecordRunning, false
		return reply{State: Fresh}, nil
	case retry.ClaimDone:
		out := reply{State: Done}
		if rec.cached != nil {
			out.Response = rec.cached.Value.(cachedResponse).resp
		}
		return out, nil
	case retry.ClaimRunning:
		return reply{State: Running}, nil
	}
	return reply{State: Unknown}, nil
}

// claimerAlive reports whether the incarnation that made a claim is a live
// member. Members without a known incarnation are compared by name only.
func claimerAlive(view fleet.View, claimer string) bool {
	host, incarnation, _ := strings.Cut(claimer, "/")
	for _, m := range view.Members {
		if string(m.Host) == host {
			return view.Alive[m.Host] && (m.Incarnation == "" || m.Incarnation == incarnation)
		}
	}
	return false
}

// addRecord creates a record and adds it to the next write. The caller holds
// mu.
func (o *owner) addRecord(q claimRequest, now time.Time) *record {
	g := o.writer.groupForClaim(q.Epoch)
	rec := &record{writeGroup: g, IdempotencyRecord: retry.IdempotencyRecord{
		State: retry.RecordWriting, Claim: q.Claim, Claimer: q.Claimer, At: now,
	}}
	o.records[q.Key] = rec
	g.claims = append(g.claims, claimEntry{Key: q.Key, Claim: q.Claim, Claimer: q.Claimer})
	o.writer.wake()
	return rec
}

// awaitWrite waits until a claim is stored. The claim is fresh only if the
// lease is still held and the epoch unchanged after the write. Then no later
// owner can have read the records before this one was stored. A record that was
// replaced in the meantime belongs to another claim.
func (o *owner) awaitWrite(ctx context.Context, q claimRequest, rec *record, g *writeGroup) reply {
	select {
	case <-g.done:
	case <-ctx.Done():
		return reply{Refused: refusedPlatform}
	}
	leased := o.opts.Fleet.MayAdmit(time.Now()) == nil && o.opts.Fleet.View().Epoch == q.Epoch
	o.mu.Lock()
	defer o.mu.Unlock()
	unchanged := o.records[q.Key] == rec && rec.Claim == q.Claim
	switch {
	case g.err != nil:
		if unchanged {
			o.removeRecord(q.Key)
		}
		return reply{Refused: refusedPlatform}
	case !leased:
		// The claimer does not send the request. A later owner treats the
		// stored claim as unknown, which is safe.
		if unchanged {
			o.removeRecord(q.Key)
		}
		return reply{Refused: refusedLease}
	case !unchanged:
		return reply{Refused: refusedNotOwner}
	}
	invariant.Check(rec.State == retry.RecordWriting || rec.State == retry.RecordRunning, "I10", "answer claim", q.Claimer)
	rec.State, rec.writeGroup = retry.RecordRunning, nil
	counters.Add("claims", 1)
	return reply{State: Fresh}
}

// complete handles dedupe.complete.
func (o *owner) complete(_ context.Context, q completeRequest) reply {
	view := o.opts.Fleet.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused := o.checkOwnership(view, q.Key, q.Epoch); refused != "" {
		return reply{Refused: refused}
	}
	rec, ok := o.records[q.Key]
	if !ok || !rec.Complete(q.Claim) {
		return reply{}
	}
	o.cacheResponse(q.Key, rec, q.Response)
	o.writer.addCompletion(q.Epoch, completionEntry{Key: q.Key, Claim: q.Claim})
	return reply{State: Done}
}

// abandon handles dedupe.abandon.
func (o *owner) abandon(_ context.Context, q completeRequest) reply {
	view := o.opts.Fleet.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	if refused := o.checkOwnership(view, q.Key, q.Epoch); refused != "" {
		return reply{Refused: refused}
	}
	if rec, ok := o.records[q.Key]; ok && rec.MayAbandon(q.Claim) {
		o.removeRecord(q.Key)
	}
	return reply{}
}

// cacheResponse keeps a response in memory and removes the oldest ones beyond
// MaxStored. The caller holds mu.
func (o *owner) cacheResponse(k keyHash, rec *record, resp *StoredResponse) {
	if resp == nil || resp.Status == 0 || rec.cached != nil {
		return
	}
	rec.cached = o.cached.PushFront(cachedResponse{k, resp})
	o.cachedBytes += resp.size()
	for o.cachedBytes > o.opts.MaxStored {
		oldest := o.cached.Back().Value.(cachedResponse)
		o.dropResponse(o.records[oldest.key])
	}
}

// dropResponse removes the response of a record from memory. The caller holds
// mu.
func (o *owner) dropResponse(rec *record) {
	if rec == nil || rec.cached == nil {
		return
	}
	o.cachedBytes -= rec.cached.Value.(cachedResponse).resp.size()
	o.cached.Remove(rec.cached)
	rec.cached = nil
}

// removeRecord removes a record and its response. The caller holds mu.
func (o *owner) removeRecord(k keyHash) {
	o.dropResponse(o.records[k])
	delete(o.records, k)
}

// removeExpired removes records past their retention.
func (o *owner) removeExpired(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, rec := range o.records {
		if rec.Expired(now, o.opts.Retention) {
			o.removeRecord(k)
		}
	}
}

// isOwnerHost reports whether this host may own keys in the epoch.
func isOwnerHost(view fleet.View) bool {
	for i, m := range view.Members {
		if i < maxOwners && m.Host == view.Self {
			return true
		}
	}
	return false
}

// firstAlive returns the first live member by name.
func firstAlive(view fleet.View) peer.HostID {
	for _, m := range view.Members {
		if view.Alive[m.Host] {
			return m.Host
		}
	}
	return ""
}
