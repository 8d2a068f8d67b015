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
)

func memberKey(host string) string { return bulk.Collection + memberName + host }

// members registers this host and follows the registrations of the others.
type members struct {
	cluster *cluster.Cluster
	node    *peer.Node
	store   store.Store
	log     *slog.Logger
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
