package entry

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"ragwortstep/internal/core/placement"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/store"
	"ragwortstep/internal/upstream"
)

// expiredEntryGrace is how long entries that expired during an outage of the store
// are still used after it returns. Running servers write their entries again
// within about two seconds.
const expiredEntryGrace = 2 * time.Second

// serverList passes the servers in the store to the scheduler.
type serverList struct {
	platform Platform
	slots    *slots.Scheduler
	upstream *upstream.Client
	log      *slog.Logger

	mu          sync.Mutex
	copied      informer.Copy           // the newest
	entries     map[string]store.Object // entries in use, by key
	undecodable map[string]int64        // versions of entries that could not be decoded, by key
	timer       *time.Timer
}

// update replaces the entries. Those that disappeared while the store was
// unreachable are kept for expiredEntryGrace.
func (l *serverList) update(copied informer.Copy) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copied = copied
	l.apply(copied)
}

// apply applies a copy to the entries. The caller holds mu.
func (l *serverList) apply(copied informer.Copy) {
	next := maps.Clone(copied.Objects)
	if left := expiredEntryGrace - time.Since(copied.StoreReturnedAt); !copied.StoreReturnedAt.IsZero() && left > 0 {
		for key, obj := range l.entries {
			if _, ok := next[key]; !ok {
				next[key] = obj
			}
		}
		l.scheduleUpdate(left)
	}
	l.entries = next
	l.setServers(copied)
}

// scheduleUpdate applies the copy that is the newest then after the grace time of the
// expired entries. The caller holds mu.
func (l *serverList) scheduleUpdate(after time.Duration) {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(after+time.Millisecond, func() {
		panics.Log(l.log, "copy_lost", "apply copy", l.applyNewest)
	})
}

func (l *serverList) applyNewest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(l.copied)
}

// setServers passes the decodable entries to the scheduler and the upstream
// client. The caller holds mu.
func (l *serverList) setServers(copied informer.Copy) {
	var list []placement.Server
	ready := 0
	addresses := map[string]bool{}
	undecodable := map[string]int64{}
	for _, key := range slices.Sorted(maps.Keys(l.entries)) {
		obj := l.entries[key]
		server, err := decode(l.platform.DecodeServer, obj)
		if err != nil {
			undecodable[key] = obj.Version
			if l.undecodable[key] != obj.Version {
				l.log.Warn("server entry skipped", "event", "server_refused", "step", "decode server", "object", key, "object_version", obj.Version, "error", err)
			}
			continue
		}
		list = append(list, server)
		if server.Ready {
			ready++
		}
		addresses[server.Address] = true
	}
	l.undecodable = undecodable
	l.slots.SetServers(list)
	l.upstream.CloseIdleExcept(addresses)
	l.log.Info("backend servers updated", "event", "servers_changed", "servers", len(list), "ready", ready, "kept", len(l.entries)-len(copied.Objects),
		"skipped", len(undecodable), "copy_version", copied.Version, "source", copied.Source, "copy_age_ms", copied.Age.Milliseconds())
}
