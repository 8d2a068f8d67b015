package informer

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/freshness"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

// delta holds the events between two versions of a copy.
type delta struct {
	From   int64         `json:"from"` // changedVersion before
	To     int64         `json:"to"`   // changedVersion after
	Events []store.Event `json:"events"`
}

const (
	// maxRecentDeltas bounds the deltas that a host keeps for peers whose copies
	// are slightly older.
	maxRecentDeltas = 64
	// maxRecentBytes bounds their keys and values.
	maxRecentBytes = 1 << 20
	// pushTime is how long a delta is part of the digests, so that one of them may
	// be lost. Peers that miss it fetch the change.
	pushTime = 600 * time.Millisecond
	// maxPushedBytes bounds the keys and values of a collection in a digest.
	maxPushedBytes = 8 << 10
)

// recentDelta is a delta with the time at which this host got it.
type recentDelta struct {
	delta
	at time.Time
}

// pushedDeltas holds the deltas of a collection in a peer's digest.
type pushedDeltas struct {
	deltas      []delta
	changed     int64 // changedVersion of the peer's copy
	confirmedAt freshness.Instant
	confirmed   bool // confirmedAt is known
}

// follows reports whether a copy that contains all changes up to a version
// contains those up to the delta's end after it was applied. Events that the copy
// already contains have no effect.
func (d delta) follows(changed int64) bool { return d.From <= changed && changed < d.To }

func (d delta) bytes() int {
	n := 0
	for _, ev := range d.Events {
		n += len(ev.Key) + len(ev.Value)
	}
	return n
}

func (col *collection) recordDelta(d delta) {
	col.recentDeltas = append(col.recentDeltas, recentDelta{d, time.Now()})
	first, size := len(col.recentDeltas), 0
	for first > 0 && len(col.recentDeltas)-first < maxRecentDeltas {
		if size += col.recentDeltas[first-1].bytes(); size > maxRecentBytes {
			break
		}
		first--
	}
	col.recentDeltas = slices.Clone(col.recentDeltas[first:]) // so that the older ones are freed
}

// deltasToPush returns the newest deltas that are part of the digests.
func (col *collection) deltasToPush(now time.Time) []delta {
	first, size := len(col.recentDeltas), 0
	for first > 0 {
		d := col.recentDeltas[first-1]
		if size += d.bytes(); size > maxPushedBytes || now.Sub(d.at) > pushTime {
			break
		}
		first--
	}
	return plainDeltas(col.recentDeltas[first:])
}

func plainDeltas(list []recentDelta) []delta {
	var out []delta
	for _, d := range list {
		out = append(out, d.delta)
	}
	return out
}

// deltasSince returns the deltas after a version, and false if some of them are
// no longer kept or they are larger than a full copy.
func (col *collection) deltasSince(changed int64) ([]delta, bool) {
	for i, d := range col.recentDeltas {
		if d.follows(changed) {
			deltas := plainDeltas(col.recentDeltas[i:])
			return deltas, deltasBytes(deltas) <= col.bytes()
		}
	}
	return nil, false
}

func deltasBytes(deltas []delta) int {
	n := 0
	for _, d := range deltas {
		n += d.bytes()
	}
	return n
}

// bytes returns the size of the keys and values of the copy. A copy of one object
// is as large as a delta that changes it.
func (col *collection) bytes() int {
	n := 0
	for key, o := range col.objects {
		n += len(key) + len(o.Value)
	}
	return n
}

// copyDigest describes one copy in a digest.
type copyDigest struct {
	Changed int64   `cbor:"1,keyasint"`
	Age     int64   `cbor:"2,keyasint"` // ms, -1 if the copy was never confirmed
	Deltas  []delta `cbor:"3,keyasint,omitempty"`
}

// informerDigest is the content of the digest section.
type informerDigest struct {
	StoreReachable bool                  `cbor:"1,keyasint"` // the sender's last call to the store succeeded
	Copies         map[string]copyDigest `cbor:"2,keyasint"`
}

// pushes reports whether peers get changes through this host's digests.
func (i *Informer) pushes() bool { return i.opts.Cluster.IsDelegate() || i.IsReader() }

func (i *Informer) digest() any {
	pushes := i.pushes()
	i.mu.Lock()
	defer i.mu.Unlock()
	out := informerDigest{StoreReachable: i.storeReachable, Copies: map[string]copyDigest{}}
	now := bootclock.Now()
	for prefix, col := range i.collections {
		if !col.loaded {
			continue
		}
		d := copyDigest{Changed: col.changedVersion, Age: ageMillis(&col.confirmed, now)}
		if pushes {
			d.Deltas = col.deltasToPush(time.Now())
		}
		out.Copies[prefix] = d
	}
	return out
}

// ageMillis returns the age in milliseconds, rounded up so that it is never
// understated, or -1 if there is none.
func ageMillis(m *freshness.Tracker, now freshness.Instant) int64 {
	age, ok := m.Age(now)
	if !ok {
		return -1
	}
	return int64(age/time.Millisecond) + 1
}

// receiveDigest compares a peer's copies with this host's. It triggers a fetch of
// newer copies, and equal ones confirm this host's.
func (i *Informer) receiveDigest(n cluster.SectionUpdate) {
	var d informerDigest
	if err := cbor.Unmarshal(n.Raw, &d); err != nil {
		i.log.Warn("cannot decode copies of peer", "step", "decode digest", "peer", n.From.Name, "error", err)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.storeReachableBy[n.From.Name] != d.StoreReachable {
		i.storeReachableBy[n.From.Name] = d.StoreReachable
		i.wakeAll() // this host may be the reader now
	}
	for prefix, peerCopy := range d.Copies {
		col, ok := i.collections[prefix]
		if !ok {
			continue
		}
		switch {
		case !col.loaded || peerCopy.Changed > col.changedVersion:
			i.newerCopyAt[prefix] = newerCopy{peer.HostID(n.From.Name), peerCopy.Changed}
			if len(peerCopy.Deltas) > 0 {
				col.pushed = &pushedDeltas{
					deltas: peerCopy.Deltas, changed: peerCopy.Changed,
					confirmedAt: n.EchoedSentAt.Add(-time.Duration(peerCopy.Age) * time.Millisecond), confirmed: n.EchoKnown && peerCopy.Age >= 0,
				}
			}
			col.wakeUp()
		case peerCopy.Changed == col.changedVersion && n.EchoKnown && peerCopy.Age >= 0:
			col.confirm(n.EchoedSentAt.Add(-time.Duration(peerCopy.Age) * time.Millisecond))
		}
	}
}

func (col *collection) wakeUp() {
	select {
	case col.wake <- struct{}{}:
	default:
	}
}

// applyPushed applies the deltas of a peer's digest that follow the copy. It
// reports whether there were any.
func (i *Informer) applyPushed(col *collection) bool {
	i.mu.Lock()
	pushed := col.pushed
	col.pushed = nil
	newer := pushed != nil && col.loaded && col.applyDeltas(pushed.deltas)
	if newer && col.changedVersion == pushed.changed {
		delete(i.newerCopyAt, col.Prefix)
		if pushed.confirmed {
			col.confirm(pushed.confirmedAt)
		}
	}
	i.mu.Unlock()
	if newer {
		i.publish(col, FromDigest)
	}
	return newer
}

// newerCopy is a peer's copy that was newer than this host's when its digest arrived.
type newerCopy struct {
	peer    peer.HostID
	changed int64 // changedVersion of the peer's copy
}

// takeNewerPeer returns and clears the peer with a newer copy. Another source may have
// brought this host's copy up to date since the digest.
func (i *Informer) takeNewerPeer(col *collection) (peer.HostID, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	newer, ok := i.newerCopyAt[col.Prefix]
	delete(i.newerCopyAt, col.Prefix)
	return newer.peer, ok && (!col.loaded || newer.changed > col.changedVersion)
}

// copyRequest asks for a copy of a collection, or for the changes since the
// requesting host's own copy.
type copyRequest struct {
	Prefix  string `json:"prefix"`
	Changed int64  `json:"changed"` // changedVersion, 0 without a copy
}

// copyResponse contains a full copy, or the changes since that of the request.
type copyResponse struct {
	Known   bool           `json:"known"`
	Deltas  []delta        `json:"deltas,omitempty"`
	Objects []store.Object `json:"objects,omitempty"`
	Version int64          `json:"version"`
	Changed int64          `json:"changed"`
	Age     int64          `json:"age"` // ms, -1 if it was never confirmed
}

func (i *Informer) serveCopy(_ context.Context, _ peer.HostID, raw json.RawMessage) (any, error) {
	var req copyRequest
	if err := json.Unmarshal(raw, &req); err != nil {
		return nil, errors.Wrap(err, "decode request for a copy")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	col, ok := i.collections[req.Prefix]
	if !ok {
		return nil, errors.Newf("no collection %q", req.Prefix)
	}
	out := copyResponse{Known: col.loaded, Version: col.version, Changed: col.changedVersion, Age: ageMillis(&col.confirmed, bootclock.Now())}
	if deltas, ok := col.deltasSince(req.Changed); ok {
		out.Deltas = deltas
		return out, nil
	}
	for _, key := range slices.Sorted(maps.Keys(col.objects)) {
		out.Objects = append(out.Objects, col.objects[key])
	}
	return out, nil
}

// fetch updates the copy from a peer that has a newer one. It reports whether the peer
// answered.
func (i *Informer) fetch(ctx context.Context, col *collection, from peer.HostID) bool {
	requestedAt := bootclock.Now()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	i.mu.Lock()
	request := copyRequest{col.Prefix, col.changedVersion}
	i.mu.Unlock()
	var resp copyResponse
	if err := i.opts.Peers.Call(ctx, from, copyMethod, request, &resp); err != nil {
		i.log.Warn("cannot fetch copy", "event", "copy_not_fetched", "step", "fetch copy", "peer", from, "collection", strings.TrimSuffix(col.Prefix, "/"), "error", err)
		return false
	}
	if !resp.Known {
		return true
	}
	i.mu.Lock()
	newer := col.applyCopy(resp)
	if resp.Changed == col.changedVersion && resp.Age >= 0 {
		col.confirm(requestedAt.Add(-time.Duration(resp.Age) * time.Millisecond))
	}
	i.mu.Unlock()
	if newer {
		i.publish(col, FromPeer)
	}
	return true
}

// applyCopy applies a peer's copy, or the changes that lead to it. It reports
// whether it is newer than the present one.
func (col *collection) applyCopy(resp copyResponse) bool {
	if col.loaded && resp.Changed <= col.changedVersion {
		return false
	}
	if len(resp.Deltas) > 0 {
		return col.applyDeltas(resp.Deltas)
	}
	objects := make(map[string]store.Object, len(resp.Objects))
	for _, o := range resp.Objects {
		objects[o.Key] = o
	}
	col.setObjects(objects)
	col.loaded, col.changedVersion, col.recentDeltas = true, resp.Changed, nil
	col.version = max(col.version, resp.Version)
	return true
}

// applyDeltas applies the deltas that follow the copy's version. It reports false
// if there are none, because the copy has changed since they were requested; the
// next digest triggers another request.
func (col *collection) applyDeltas(deltas []delta) bool {
	if !slices.ContainsFunc(deltas, func(d delta) bool { return d.follows(col.changedVersion) }) {
		return false
	}
	newer := false
	objects := maps.Clone(col.objects)
	for _, d := range deltas {
		if !d.follows(col.changedVersion) {
			continue
		}
		for _, ev := range d.Events {
			applyEvent(objects, ev, col.changedVersion)
		}
		col.recordDelta(d)
		col.changedVersion, newer = d.To, true
	}
	if newer {
		col.setObjects(objects)
		col.version = max(col.version, col.changedVersion)
	}
	return newer
}
