package informer

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"ragwortstep/internal/bootclock"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/peer/peertest"
	"ragwortstep/internal/store"
)

// Hosts that start together list the store at different versions, so a delta often
// begins before the version of a copy. Such a copy must be brought up to date by
// the delta: a full copy for each of hundreds of hosts overloads the host that
// sends it.
func TestDeltasApplyToCopiesOfAnyVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, states := drawHistory(t)
		last := int64(len(history))
		first := rapid.Int64Range(0, last-1).Draw(t, "first")
		var deltas []delta
		for from := first; from < last; {
			to := rapid.Int64Range(from+1, last).Draw(t, "to")
			deltas = append(deltas, delta{from, to, history[from:to]})
			from = to
		}
		changed := rapid.Int64Range(first, last-1).Draw(t, "changed")
		col := &collection{objects: maps.Clone(states[changed]), loaded: true, changedVersion: changed}
		if !col.applyDeltas(deltas) || col.changedVersion != last {
			t.Fatalf("copy of version %d is at %d, want %d", changed, col.changedVersion, last)
		}
		if fmt.Sprint(col.objects) != fmt.Sprint(states[last]) {
			t.Fatalf("copy of version %d became %v, want %v", changed, col.objects, states[last])
		}
	})
}

// drawHistory returns the events of versions 1, 2, ... and the objects after each
// version, from 0 on.
func drawHistory(t *rapid.T) ([]store.Event, []map[string]store.Object) {
	var history []store.Event
	states := []map[string]store.Object{{}}
	for version := int64(1); version <= 30; version++ {
		next := maps.Clone(states[version-1])
		key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
		old, exists := next[key]
		if exists && rapid.Bool().Draw(t, "delete") {
			at := version
			if rapid.Bool().Draw(t, "of the last change") {
				at = old.Version
			}
			history = append(history, store.Event{Object: store.Object{Key: key, Version: at}, Deleted: true})
			delete(next, key)
		} else {
			next[key] = store.Object{Key: key, Version: version}
			history = append(history, store.Event{Object: next[key]})
		}
		states = append(states, next)
	}
	return history, states
}

// A host that has only deltas before or after a gap must not apply them.
func TestDeltasAfterGapAreNotApplied(t *testing.T) {
	is := is.New(t)
	col := &collection{objects: map[string]store.Object{}, loaded: true, changedVersion: 5}
	is.True(!col.applyDeltas([]delta{{From: 1, To: 5}, {From: 7, To: 9}}))
	is.Equal(col.changedVersion, int64(5))
}

// A large object that changes often filled the memory of the host that watches the
// store: it kept 64 changes of any size and sent all of them to each peer that fell
// behind.
func TestChangesOfLargeObjectsAreBounded(t *testing.T) {
	is := is.New(t)
	logger := slog.New(slog.DiscardHandler)
	const prefix, changes, size = "things/", 50, 200 << 10
	i := New(Options{
		Cluster: cluster.New(cluster.Options{Self: cluster.Member{Name: "a"}, Logger: logger}), Peers: peertest.New().Node("a"),
		Collections: []Collection{{Prefix: prefix}}, Members: prefix, Logger: logger,
	})
	col := i.collections[prefix]
	col.loaded = true
	change := func(version int64, key string, size int) {
		event := store.Event{Object: store.Object{Key: prefix + key, Version: version, Value: make([]byte, size)}}
		i.apply(col, []store.Event{event}, version, bootclock.Now())
	}
	for version := int64(1); version <= changes; version++ {
		change(version, "large", size)
	}
	kept := 0
	for _, d := range col.recentDeltas {
		kept += d.bytes()
	}
	is.True(kept <= maxRecentBytes)
	behind := func(by int64) copyResponse {
		raw, err := json.Marshal(copyRequest{prefix, col.changedVersion - by})
		is.NoErr(err)
		response, err := i.serveCopy(t.Context(), "b", raw)
		is.NoErr(err)
		return response.(copyResponse)
	}
	for by := int64(1); by <= changes; by++ {
		response := behind(by)
		is.True(deltasBytes(response.Deltas) <= col.bytes())
		is.True(len(response.Deltas) > 0 || len(response.Objects) == 1)
	}
	change(changes+1, "small", 10)
	change(changes+2, "small", 10)
	is.Equal(len(behind(2).Deltas), 2) // guards against full copies for small changes
}
