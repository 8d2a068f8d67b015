package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/panics"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/store"
)

const (
	// memberNamePrefix starts the names of host registrations. They share the
	// collection of the job heads so that one watch covers both.
	memberNamePrefix = "host."
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay      = 300 * time.Millisecond
	registrationCallTimeout = time.Second
	// silentHostTimeout is how long a host must be silent before its registration
	// is removed. Until then its share of quotas stays reserved. A running host
	// registers itself again.
	silentHostTimeout = 10 * time.Minute
	sweepInterval     = 30 * time.Second
)

func memberKey(host string) string { return bulk.Collection + memberNamePrefix + host }

// members registers this host and tracks the registrations of the others.
type members struct {
	cluster  *cluster.Cluster
	node     *peer.Node
	store    store.Store
	isReader func() bool
	log      *slog.Logger
	// onRegistered is called after the registration, with whether the host was registered
	// before, and when a copy has the registration of an earlier process: a host that
	// restarts while the store is away is in the list of hosts too. May be nil.
	onRegistered   func(before bool)
	isRegistered   atomic.Bool             // register has succeeded
	isMissing      atomic.Bool             // the newest copy lacks this host's registration
	mayHaveCreated bool                    // a call of put failed after which the registration may exist; used by register only
	silentSince    map[string]time.Time    // when each silent host was first seen silent; used by removeSilent only
	registered     map[string]registration // by key; used by update only
}

// registration is a decoded registration with its version in the store.
type registration struct {
	member  cluster.Member
	version int64
}

// register retries writing this host's registration until it succeeds.
func (m *members) register(ctx context.Context) {
	self := m.cluster.Self()
	raw, err := json.Marshal(self)
	if err != nil {
		m.log.Error("cannot encode registration", "step", "register", "error", err)
		return
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, registrationCallTimeout)
		before, err := panics.Catch(func() (bool, error) { return m.put(callCtx, raw) })
		cancel()
		if err == nil {
			m.isRegistered.Store(true)
			if m.onRegistered != nil {
				m.onRegistered(before)
			}
			m.log.Info("host registered", "event", "registered", "incarnation", self.Incarnation)
			return
		}
		m.log.Warn("cannot register host", "event", "register_failed", "step", "register", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
}

// put creates the registration or replaces that of an earlier process. It reports
// whether there was one. A call whose answer was lost may have created it itself, so
// that the next one finds it: until then the host counts as a new one.
func (m *members) put(ctx context.Context, raw []byte) (before bool, err error) {
	key := memberKey(m.cluster.Self().Name)
	_, err = m.store.Put(ctx, key, raw, 0)
	before = errors.Is(err, store.ErrConflict) && !m.mayHaveCreated
	m.mayHaveCreated = m.mayHaveCreated || err != nil && !errors.Is(err, store.ErrConflict)
	if errors.Is(err, store.ErrConflict) {
		_, err = m.store.Put(ctx, key, raw, store.AnyVersion)
	}
	return before, err
}

// update sets the cluster members from the registrations.
func (m *members) update(copied informer.Copy) {
	registered := make(map[string]registration, len(m.registered))
	changed, earlierProcess := false, false
	for key, obj := range copied.Objects {
		if !strings.HasPrefix(key, memberKey("")) {
			continue
		}
		if known, ok := m.registered[key]; ok && known.version == obj.Version {
			registered[key] = known
			continue
		}
		changed = true
		var member cluster.Member
		err := json.Unmarshal(obj.Value, &member)
		if err == nil {
			err = checkRegistration(key, member)
		}
		if err != nil {
			m.log.Warn("registration skipped", "step", "decode registration", "object", key, "error", err)
			continue
		}
		registered[key] = registration{member, obj.Version}
		if self := m.cluster.Self(); member.Name == self.Name && member.Incarnation != self.Incarnation {
			earlierProcess = true
		}
	}
	_, ok := registered[memberKey(m.cluster.Self().Name)]
	m.isMissing.Store(!ok)
	changed = changed || m.registered == nil || len(registered) != len(m.registered)
	m.registered = registered
	if !changed {
		return
	}
	list := make([]cluster.Member, 0, len(registered))
	for _, r := range registered {
		list = append(list, r.member)
	}
	m.cluster.SetMembers(list)
	m.updatePeerAddresses()
	if earlierProcess && m.onRegistered != nil {
		m.onRegistered(true)
	}
}

// checkRegistration checks that a registration is that of the host whose key it has, at
// an address that can be reached. Any other would be counted as a further host.
func checkRegistration(key string, m cluster.Member) error {
	if memberKey(m.Name) != key {
		return errors.Newf("it names host %q", m.Name)
	}
	_, err := netip.ParseAddrPort(m.Address)
	return errors.Wrap(err, "address")
}

// updatePeerAddresses passes the peers' addresses to the transport.
func (m *members) updatePeerAddresses() {
	for _, p := range m.cluster.Peers() {
		m.node.SetAddress(peer.HostID(p.Name), p.Address)
	}
}

// run removes the registrations of silent hosts, and writes this host's again if it was
// removed, until ctx ends.
func (m *members) run(ctx context.Context) {
	runEvery(ctx, m.log, sweepInterval, func() {
		m.removeSilent(ctx, time.Now())
		m.registerAgain(ctx)
	})
}

// registerAgain registers this host again if its registration was removed, because others
// did not hear it for silentHostTimeout.
func (m *members) registerAgain(ctx context.Context) {
	if m.isRegistered.Load() && m.isMissing.Load() {
		m.register(ctx)
	}
}

// runEvery calls fn at each interval until ctx ends, also after a panic.
func runEvery(ctx context.Context, log *slog.Logger, interval time.Duration, fn func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			panics.Log(log, "round_lost", "run at intervals", fn)
		}
	}
}

// removeSilent removes the registrations of hosts that were silent for
// silentHostTimeout, if this host is the one that reads the store.
func (m *members) removeSilent(ctx context.Context, now time.Time) {
	silentSince := map[string]time.Time{}
	for _, p := range m.cluster.Peers() {
		if p.Live {
			continue
		}
		since, ok := m.silentSince[p.Name]
		if !ok {
			since = now
		}
		silentSince[p.Name] = since
		if now.Sub(since) < silentHostTimeout || !m.isReader() {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, registrationCallTimeout)
		err := m.store.Delete(callCtx, memberKey(p.Name), store.AnyVersion)
		cancel()
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			m.log.Warn("cannot remove registration", "step", "remove registration", "peer", p.Name, "error", err)
			continue
		}
		m.log.Info("registration of silent host removed", "event", "host_removed", "peer", p.Name, "silent_s", now.Sub(since).Seconds())
	}
	m.silentSince = silentSince
}
