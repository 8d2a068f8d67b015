package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	// maxFaults bounds the faults at the same time.
	maxFaults = 4
	// maxHostsDown bounds the hosts that are killed, paused or restarting at
	// the same time, so that a majority keeps serving.
	maxHostsDown = 2
	// twicePart is the part of faults that are applied again at once after they healed.
	twicePart    = 0.3
	meanPause    = 2 * time.Second // between the beginnings of faults
	leastFault   = time.Second
	mostFault    = 10 * time.Second
	mostOutage   = 30 * time.Second
	restartGrace = 45 * time.Second
	healTimeout  = 60 * time.Second
	// engineFailStatus is answered by failing engines.
	engineFailStatus = 500
)

// fault is one kind of fault. apply starts it and returns what ends it; a nil
// heal needs no end.
type fault struct {
	name  string
	most  time.Duration
	apply func(ctx context.Context, rng *rand.Rand) (target string, heal func(context.Context) error, err error)
}

// injector applies random faults, several at a time.
type injector struct {
	d  *harness.Deployment
	tl *timeline

	mu   sync.Mutex
	down map[string]bool // hosts that are down on purpose
	wg   sync.WaitGroup
}

func newInjector(d *harness.Deployment, tl *timeline) *injector {
	return &injector{d: d, tl: tl, down: map[string]bool{}}
}

// run injects faults until ctx ends and waits until all have healed.
func (in *injector) run(ctx context.Context, rng *rand.Rand) {
	slots := make(chan struct{}, maxFaults)
	kinds := in.kinds()
	for ctx.Err() == nil {
		pause := time.Duration(rng.ExpFloat64() * float64(meanPause))
		if !wait(ctx, pause) {
			break
		}
		kind := kinds[rng.IntN(len(kinds))]
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		slots <- struct{}{}
		in.wg.Go(func() {
			defer func() { <-slots }()
			in.inject(ctx, kind, own)
		})
	}
	in.wg.Wait()
}

// inject applies a fault for a random time, and sometimes once more.
func (in *injector) inject(ctx context.Context, kind fault, rng *rand.Rand) {
	for {
		target, heal, err := kind.apply(ctx, rng)
		if target == "" && err == nil {
			return // no target is free
		}
		if err != nil {
			in.tl.add("fault", kind.name, target, "not applied: %v", err)
			return
		}
		length := leastFault + time.Duration(rng.Int64N(int64(kind.most-leastFault)))
		in.tl.add("fault", kind.name, target, "for %s", length.Round(time.Millisecond))
		wait(ctx, length)
		in.heal(kind.name, target, heal)
		if rng.Float64() >= twicePart || ctx.Err() != nil {
			return
		}
	}
}

// heal ends a fault even when the run is over.
func (in *injector) heal(name, target string, heal func(context.Context) error) {
	if heal == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healTimeout)
	defer cancel()
	if err := heal(ctx); err != nil {
		in.tl.violate("heal", target, "%s: %v", name, err)
		return
	}
	in.tl.add("heal", name, target, "")
}

// takeHost reserves a host that is not down, or returns nil.
func (in *injector) takeHost(rng *rand.Rand) *harness.Host {
	in.mu.Lock()
	defer in.mu.Unlock()
	h := in.d.Hosts[rng.IntN(len(in.d.Hosts))]
	if in.down[h.Name] || len(in.down) >= maxHostsDown {
		return nil
	}
	in.down[h.Name] = true
	return h
}

func (in *injector) release(h *harness.Host) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.down, h.Name)
}

// isDown reports whether the host is down on purpose.
func (in *injector) isDown(name string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.down[name]
}

func (in *injector) kinds() []fault {
	return append([]fault{
		{"kill host", mostFault, in.killHost},
		{"pause host", mostFault, in.pauseHost},
		{"restart host", 2 * leastFault, in.restartHost},
		in.platform("platform refuses", mostOutage, map[string]any{"outage": "refuse"}, map[string]any{"outage": ""}),
		in.platform("platform silent", mostFault, map[string]any{"outage": "silent"}, map[string]any{"outage": ""}),
		in.platform("platform resets", mostFault, map[string]any{"outage": "reset"}, map[string]any{"outage": ""}),
		in.platform("platform slow", mostFault, map[string]any{"slow_ms": 300}, map[string]any{"slow_ms": 0}),
		in.platform("platform loses answers", mostFault, map[string]any{"lose_answers": 0.3}, map[string]any{"lose_answers": 0}),
		in.platform("platform drops events", mostFault, map[string]any{"drop_events": 0.5}, map[string]any{"drop_events": 0}),
		{"partition host from platform", mostFault, in.partition},
	}, in.serverKinds()...)
}

func (in *injector) killHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.takeHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(ctx context.Context) error {
		defer in.release(h)
		if err := h.Start(); err != nil {
			return err
		}
		return h.AwaitReady(ctx)
	}, h.Kill()
}

func (in *injector) pauseHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.takeHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(context.Context) error {
		defer in.release(h)
		return h.Resume()
	}, h.Pause()
}

func (in *injector) restartHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.takeHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(ctx context.Context) error {
		defer in.release(h)
		return h.Restart(ctx, restartGrace)
	}, nil
}

func (in *injector) platform(name string, most time.Duration, on, off map[string]any) fault {
	return fault{name, most, func(ctx context.Context, _ *rand.Rand) (string, func(context.Context) error, error) {
		return "platform", func(ctx context.Context) error { return in.d.Platform.SetFault(ctx, off) }, in.d.Platform.SetFault(ctx, on)
	}}
}

func (in *injector) partition(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.d.Hosts[rng.IntN(len(in.d.Hosts))]
	link := harness.PlatformLink(h.Name)
	direction := []string{"both", "to_target", "to_client"}[rng.IntN(3)]
	return link, func(ctx context.Context) error { return in.d.Relay.Silence(ctx, link, "") }, in.d.Relay.Silence(ctx, link, direction)
}

// serverKinds are faults of backend servers and of the links to them and to
// callers. Servers are not killed, because their ledgers would be lost; a
// link that refuses and resets looks the same to a host.
func (in *injector) serverKinds() []fault {
	return []fault{
		{"server dead", mostFault, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			err := in.d.Relay.Refuse(ctx, link, true)
			if err == nil {
				err = in.d.Relay.Cut(ctx, link)
			}
			return link, func(ctx context.Context) error { return in.d.Relay.Refuse(ctx, link, false) }, err
		}},
		{"server connections silent", leastFault * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, nil, in.d.Relay.Freeze(ctx, link)
		}},
		{"server connections reset", leastFault * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, nil, in.d.Relay.Cut(ctx, link)
		}},
		{"server answers truncated", leastFault * 3, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, func(ctx context.Context) error { return in.d.Relay.Truncate(ctx, link, 0) },
				in.d.Relay.Truncate(ctx, link, 200+rng.Int64N(20000))
		}},
		{"caller connections reset", leastFault * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := harness.CallersLink(in.d.Hosts[rng.IntN(len(in.d.Hosts))].Name)
			return link, nil, in.d.Relay.Cut(ctx, link)
		}},
		{"engine frozen", mostFault, in.engineFault(map[string]any{"frozen": true}, map[string]any{"frozen": false})},
		{"engine fails", mostFault, in.engineFault(map[string]any{"fail_rate": 0.5, "fail_status": engineFailStatus}, map[string]any{"fail_rate": 0})},
		{"engine truncates", mostFault, in.engineFault(map[string]any{"truncate_rate": 0.3}, map[string]any{"truncate_rate": 0})},
		{"engine slow", mostFault, in.engineFault(map[string]any{"speed": 0.2}, map[string]any{"speed": 0})},
		{"service cuts after running", mostFault, in.serviceFault(map[string]any{"cut_rate": 0.3}, map[string]any{"cut_rate": 0})},
		{"service drops calls", mostFault, in.serviceFault(map[string]any{"drop_rate": 0.3}, map[string]any{"drop_rate": 0})},
		{"service slow", mostFault, in.serviceFault(map[string]any{"delay_ms": 300}, map[string]any{"delay_ms": 0})},
	}
}

func (in *injector) serverLink(rng *rand.Rand) string {
	n := rng.IntN(len(in.d.Engines) + len(in.d.Services))
	if n < len(in.d.Engines) {
		return harness.ServerLink(in.d.Engines[n].Spec.Name)
	}
	return harness.ServerLink(in.d.Services[n-len(in.d.Engines)].Spec.Name)
}

type applyFunc = func(context.Context, *rand.Rand) (string, func(context.Context) error, error)

func (in *injector) engineFault(on, off map[string]any) applyFunc {
	return func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
		e := in.d.Engines[rng.IntN(len(in.d.Engines))]
		return e.Spec.Name, func(ctx context.Context) error { return e.SetFault(ctx, off) }, e.SetFault(ctx, on)
	}
}

func (in *injector) serviceFault(on, off map[string]any) applyFunc {
	return func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
		s := in.d.Services[rng.IntN(len(in.d.Services))]
		return s.Spec.Name, func(ctx context.Context) error { return s.SetFault(ctx, off) }, s.SetFault(ctx, on)
	}
}

// watchHosts reports hosts that end although no fault ended them, and starts
// them again so that the run goes on.
func (in *injector) watchHosts(ctx context.Context) {
	for wait(ctx, 200*time.Millisecond) {
		for _, h := range in.d.Hosts {
			if h.Running() || in.isDown(h.Name) {
				continue
			}
			in.tl.violate("host ended", h.Name, "%v; end of its log: %s", h.Status(), h.LogTail(1000))
			if err := h.Start(); err != nil {
				in.tl.violate("host ended", h.Name, "start again: %v", err)
			}
		}
	}
}

// wait returns false when ctx ended before d passed.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
