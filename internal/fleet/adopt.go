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

// adoptConfig takes over a configuration with a larger revision and ignores others.
func (f *Fleet) adoptConfig(next *configState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Now()
	former := f.config.Load()
	if former != nil && next.head.Revision <= former.head.Revision {
		return
	}
	f.noteEarlierLimits(former, next)
	f.config.Store(next)
	out, larger := f.machine.AdoptRevision(now, next.head.Revision)
	invariant.Check(larger || former == nil, "I13", "adopt configuration", string(f.opts.Self.Host), "revision", next.head.Revision)
	out.ViewChanged = true
	for _, fn := range f.onConfig {
		fn(next.snapshot)
	}
	stats.Add("configs_adopted", 1)
	f.record(events.Event{Kind: "config.adopted", Detail: "revision " + strconv.FormatInt(next.head.Revision, 10)})
	f.finish(out)
	f.Nudge() // peers learn of the adoption at once, so the generation settles sooner
}

// noteEarlierLimits extends the set of limits that some host may still apply.
func (f *Fleet) noteEarlierLimits(former, next *configState) {
	if former == nil {
		f.limitsUnknown = true
		return
	}
	for name := range changedLimits(former.snapshot, next.snapshot) {
		f.addEarlier(name, limitOf(former.snapshot, name))
	}
	skipped, complete := next.head.between(former.head.Revision, next.head.Revision)
	f.limitsUnknown = f.limitsUnknown || !complete
	for _, e := range skipped {
		for name, limit := range e.Limits {
			f.addEarlier(name, limit)
		}
	}
}

func (f *Fleet) addEarlier(workspace string, limit Limit) {
	if !slices.Contains(f.earlier[workspace], limit) {
		f.earlier[workspace] = append(f.earlier[workspace], limit)
	}
}

// adoptEpoch takes over a larger epoch and ignores others.
func (f *Fleet) adoptEpoch(e membership.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	former := f.machine.Epoch()
	out, larger := f.machine.AdoptEpoch(f.opts.Now(), e)
	if !larger {
		return
	}
	f.updateDirectory(former, e)
	f.sections.forget(f.knownIncarnations())
	stats.Add("epochs_adopted", 1)
	f.record(events.Event{Kind: "epoch.adopted", Detail: fmt.Sprintf("epoch %d with %d hosts", e.Number, len(e.Members))})
	f.finish(out)
	f.Nudge()
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
			f.opts.Peers.Forget(peer.HostID(m.Host))
		}
	}
	for _, m := range next.Members {
		if m.Host != string(f.opts.Self.Host) {
			f.opts.Peers.SetAddress(peer.HostID(m.Host), m.PeerAddress)
		}
	}
}

// finish carries out the result of a step. The caller holds mu. The order
// matters: callbacks see a lapse or a change before the lease takes effect.
func (f *Fleet) finish(out membership.Output) {
	if f.machine.Settled() {
		f.limitsUnknown = false
		if len(f.earlier) > 0 {
			f.earlier = map[string][]Limit{}
		}
	}
	if out.ViewChanged {
		f.publishView()
	}
	f.recordChanges(out)
	until := f.machine.LeaseUntil()
	f.leaseUntil.Store(&until)
	f.act(out)
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
		EarlierLimits: maps.Clone(f.earlier),
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
	for _, host := range out.Lost {
		f.record(events.Event{Kind: "peer.lost", Peer: host})
	}
	for _, host := range out.Back {
		f.record(events.Event{Kind: "peer.back", Peer: host})
	}
}

func (f *Fleet) record(e events.Event) {
	if f.opts.Recorder != nil {
		f.opts.Recorder.Record(e)
	}
}

// step runs one step of the machine and carries out its result.
func (f *Fleet) step(fn func(now time.Time) membership.Output) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finish(fn(f.opts.Now()))
}
