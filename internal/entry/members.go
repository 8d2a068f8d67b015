package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	// memberName begins the names of the hosts' registrations, which share the
	// collection of the jobs' heads: one watch follows both.
	memberName = "host."
	// registerRetry is the pause after a registration that failed.
	registerRetry = 300 * time.Millisecond
	registerCall  = time.Second
	// goneFor is how long a host must have been silent before its registration
	// is removed. Until then its share of quotas stays reserved. A host that
	// lives registers itself again.
	goneFor  = 10 * time.Minute
	goneTick = 30 * time.Second
)

func memberKey(host string) string { return bulk.Collection + memberName + host }

// members registers this host and follows the registrations of the others.
type members struct {
	cluster  *cluster.Cluster
	node     *peer.Node
	store    store.Store
	isReader func() bool
	log      *slog.Logger
	silent   map[string]time.Time // since when hosts are silent; used by sweep only
}

// register writes this host's registration until the store has it.
func (m *members) register(ctx context.Context) {
	self := m.cluster.Self()
	raw, err := json.Marshal(self)
	if err != nil {
		m.log.Error("registration not encoded", "step", "register", "error", err)
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registerCall)
		err := m.put(callCtx, raw)
		cancel()
		if err == nil {
			m.log.Info("host registered", "event", "registered", "incarnation", self.Incarnation)
			return
		}
		m.log.Warn("host not registered", "event", "register_failed", "step", "register", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

// put creates the registration, or replaces the one of an earlier process.
func (m *members) put(ctx context.Context, raw []byte) error {
	key := memberKey(m.cluster.Self().Name)
	_, err := m.store.Put(ctx, key, raw, 0)
	if errors.Is(err, store.ErrConflict) {
		_, err = m.store.Put(ctx, key, raw, store.AnyVersion)
	}
	return err
}

// changed takes over the registrations.
func (m *members) changed(copied informer.Copy) {
	var list []cluster.Member
	for key, obj := range copied.Objects {
		if !strings.HasPrefix(key, memberKey("")) {
			continue
		}
		var member cluster.Member
		if err := json.Unmarshal(obj.Value, &member); err != nil || member.Address == "" {
			m.log.Warn("registration skipped", "step", "decode registration", "object", key, "error", err)
			continue
		}
		list = append(list, member)
	}
	m.cluster.SetMembers(list)
	m.addresses()
}

// addresses tells the transport where the peers are.
func (m *members) addresses() {
	for _, p := range m.cluster.Peers() {
		m.node.SetAddress(peer.HostID(p.Name), p.Address)
	}
}

// run removes the registrations of hosts that are gone, until ctx ends.
func (m *members) run(ctx context.Context) {
	every(ctx, goneTick, func() { m.sweep(ctx, time.Now()) })
}

// every calls fn at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn()
		}
	}
}

// sweep removes what has been silent for goneFor, if this host reads the store
// for all.
func (m *members) sweep(ctx context.Context, now time.Time) {
	silent := map[string]time.Time{}
	for _, p := range m.cluster.Peers() {
		if p.Alive(now) {
			continue
		}
		since, ok := m.silent[p.Name]
		if !ok {
			since = now
		}
		silent[p.Name] = since
		if now.Sub(since) < goneFor || !m.isReader() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, registerCall)
		err := m.store.Delete(callCtx, memberKey(p.Name), store.AnyVersion)
		cancel()
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			m.log.Warn("registration not removed", "step", "remove registration", "peer", p.Name, "error", err)
			continue
		}
		m.log.Info("host is gone", "event", "host_removed", "peer", p.Name, "silent_s", now.Sub(since).Seconds())
	}
	m.silent = silent
}
