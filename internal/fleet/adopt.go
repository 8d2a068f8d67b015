package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"ragwortstep/internal/core/membership"
	"ragwortstep/internal/events"
	"ragwortstep/internal/invariant"
	"ragwortstep/internal/peer"
)

// adoptConfig replaces the configuration by one with a larger revision and ignores others.
func (f *Fleet) adoptConfig(next *configState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	former := f.config.Load()
	if former != nil && next.head.Revision <= former.head.Revision {
		return
	}
	f.recordEarlierLimits(former, next)
	f.config.Store(next)
	out, larger := f.machine.AdoptRevision(now, next.head.Revision)
	invariant.Check(larger || former == nil, "I13", "adopt configuration", string(f.opts.Self.Host), "revision", next.head.Revision)
	out.ViewChanged = true
	for _, fn := range f.onConfig {
		fn(next.snapshot)
	}
	stats.Add("configs_adopted", 1)
	f.record(events.Event{Kind: "config.adopted", Detail: "revision " + strconv.FormatInt(next.head.Revision, 10)})
	f.handleOutput(out)
	f.HeartbeatNow() // reports the adoption to peers at once, so that the generation settles sooner
}

// recordEarlierLimits adds the limits that other hosts may still apply: those
// of the former revision and of the revisions skipped between it and next.
func (f *Fleet) recordEarlierLimits(former, next *configState) {
	if former == nil {
		f.limitsUnknown = true
		return
	}
	for name := range changedLimits(former.snapshot, next.snapshot) {
		f.addEarlierLimit(name, limitOf(former.snapshot, name))
	}
	skipped, complete := next.head.editsBetween(former.head.Revision, next.head.Revision)
	f.limitsUnknown = f.limitsUnknown || !complete
	for _, e := range skipped {
		for name, limit := range e.Limits {
			f.addEarlierLimit(name, limit)
		}
	}
}

func (f *Fleet) addEarlierLimit(workspace string, limit Limit) {
	if !slices.Contains(f.earlierLimits[workspace], limit) {
		f.earlierLimits[workspace] = append(f.earlierLimits[workspace], limit)
	}
}

// adoptEpoch replaces the epoch by a larger one and ignores others.
func (f *Fleet) adoptEpoch(e membership.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.machine.Epoch()
	out, larger := f.machine.AdoptEpoch(f.opts.Now(), e)
	if !larger {
		return
	}
	f.updateDirectory(former, e)
	f.sections.removeUnlisted(f.knownIncarnations())
	stats.Add("epochs_adopted", 1)
	f.record(events.Event{Kind: "epoch.adopted", Detail: fmt.Sprintf("epoch %d with %d hosts", e.Number, len(e.Members))})
	f.handleOutput(out)
	f.HeartbeatNow()
}

func (f *Fleet) knownIncarnations() map[string]bool {
	known := map[string]bool{}
	for _, p := range f.machine.Peers() {
		known[p.Member.Incarnation] = true
	}
	return known
}

func (f *Fleet) updateDirectory(former, next membership.Epoch) {
	for _, m := range former.Members {
		if _, ok := next.Member(m.Host); !ok {
			f.opts.Peers.RemoveAddress(peer.HostID(m.Host))
		}
	}
	for _, m := range next.Members {
		if m.Host != string(f.opts.Self.Host) {
			f.opts.Peers.SetAddress(peer.HostID(m.Host), m.PeerAddress)
		}
	}
}

// handleOutput carries out the result of a step. The caller holds mu. Callbacks
// run before the new lease is stored, so that they see a lapse or a view change
// before this host admits requests under that lease.
func (f *Fleet) handleOutput(out membership.Output) {
	if f.machine.Settled() {
		f.limitsUnknown = false
		if len(f.earlierLimits) > 0 {
			f.earlierLimits = map[string][]Limit{}
		}
	}
	if out.ViewChanged {
		f.publishView()
	}
	f.recordChanges(out)
	until := f.machine.LeaseUntil()
	f.leaseUntil.Store(&until)
	f.startActions(out)
}

func (f *Fleet) publishView() {
	e := f.machine.Epoch()
	v := View{
		Self:          f.opts.Self.Host,
		Epoch:         e.Number,
		Members:       make([]Member, len(e.Members)),
		Revision:      f.machine.Generation().Revision,
		Alive:         map[peer.HostID]bool{},
		Settled:       f.machine.Settled(),
		EpochSettled:  f.machine.EpochSettled(),
		EarlierLimits: maps.Clone(f.earlierLimits),
		LimitsUnknown: f.limitsUnknown,
		Lapses:        f.machine.Lapses(),
	}
	for i, m := range e.Members {
		v.Members[i] = fromCore(m)
	}
	for host, alive := range f.machine.Alive() {
		v.Alive[peer.HostID(host)] = alive
	}
	for _, p := range e.Prior {
		v.Prior = append(v.Prior, p.Members)
	}
	f.view.Store(&v)
	for _, fn := range f.onView {
		fn(v)
	}
}

func (f *Fleet) recordChanges(out membership.Output) {
	if out.LeaseLapsed {
		stats.Add("lease_lapses", 1)
		f.record(events.Event{Kind: "lease.lapsed"})
	}
	if out.LeaseRegained {
		f.record(events.Event{Kind: "lease.regained"})
	}
	for _, host := range out.BecameSilent {
		f.record(events.Event{Kind: "peer.lost", Peer: host})
	}
	for _, host := range out.BecameAlive {
		f.record(events.Event{Kind: "peer.back", Peer: host})
	}
}

func (f *Fleet) record(e events.Event) {
	if f.opts.Recorder != nil {
		f.opts.Recorder.Record(e)
	}
}

// step runs one step of the state machine and carries out its result.
func (f *Fleet) step(fn func(now time.Time) membership.Output) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handleOutput(fn(f.opts.Now()))
}
