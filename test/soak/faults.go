package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ragwortstep/test/harness"
)

const (
	// maxFaults bounds the number of simultaneous faults.
	maxFaults = 4
	// maxHostsDown bounds the number of hosts that are killed, paused or
	// restarting at the same time, so that a majority keeps serving.
	maxHostsDown = 2
	// repeatProbability is the probability that a fault is applied again
	// immediately after it healed.
	repeatProbability = 0.3
	meanFaultInterval = 2 * time.Second // between the starts of faults
	minFaultDuration  = time.Second
	maxFaultDuration  = 10 * time.Second
	maxOutageDuration = 30 * time.Second
	restartGrace      = 45 * time.Second
	healTimeout       = 60 * time.Second
	// engineFailStatus is the HTTP status of answers by failing engines.
	engineFailStatus = 500
)

// fault is one kind of fault. apply starts it on a random target and returns the
// function that ends it, or a nil heal if the fault needs no end.
type fault struct {
	name        string
	maxDuration time.Duration
	apply       func(ctx context.Context, rng *rand.Rand) (target string, heal func(context.Context) error, err error)
}

// injector applies random faults, several at a time.
type injector struct {
	d  *harness.Deployment
	tl *timeline

	mu   sync.Mutex
	down map[string]bool // hosts that a fault took down
	wg   sync.WaitGroup
}

func newInjector(d *harness.Deployment, tl *timeline) *injector {
	return &injector{d: d, tl: tl, down: map[string]bool{}}
}

// run injects faults until ctx ends and waits until all of them have healed.
func (in *injector) run(ctx context.Context, rng *rand.Rand) {
	slots := make(chan struct{}, maxFaults)
	faultKinds := in.faultKinds()
	for ctx.Err() == nil {
		pause := time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		if !wait(ctx, pause) {
			break
		}
		kind := faultKinds[rng.IntN(len(faultKinds))]
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		slots <- struct{}{}
		in.wg.Go(func() {
			defer func() { <-slots }()
			in.inject(ctx, kind, faultRNG)
		})
	}
	in.wg.Wait()
}

// inject applies a fault for a random time, and repeats it with
// repeatProbability.
func (in *injector) inject(ctx context.Context, kind fault, rng *rand.Rand) {
	for {
		target, heal, err := kind.apply(ctx, rng)
		if target == "" && err == nil {
			return // no target is available
		}
		if err != nil {
			in.tl.add("fault", kind.name, target, "not applied: %v", err)
			return
		}
		length := minFaultDuration + time.Duration(rng.Int64N(int64(kind.maxDuration-minFaultDuration)))
		in.tl.add("fault", kind.name, target, "for %s", length.Round(time.Millisecond))
		wait(ctx, length)
		in.heal(kind.name, target, heal)
		if rng.Float64() >= repeatProbability || ctx.Err() != nil {
			return
		}
	}
}

// heal ends a fault, even after the end of the run.
func (in *injector) heal(name, target string, heal func(context.Context) error) {
	if heal == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), healTimeout)
	defer cancel()
	if err := heal(ctx); err != nil {
		in.tl.addViolation("heal", target, "%s: %v", name, err)
		return
	}
	in.tl.add("heal", name, target, "")
}

// reserveHost draws a host and marks it as down. It returns nil if the host is
// already down or maxHostsDown hosts are.
func (in *injector) reserveHost(rng *rand.Rand) *harness.Host {
	in.mu.Lock()
	defer in.mu.Unlock()
	h := in.d.Hosts[rng.IntN(len(in.d.Hosts))]
	if in.down[h.Name] || len(in.down) >= maxHostsDown {
		return nil
	}
	in.down[h.Name] = true
	return h
}

func (in *injector) releaseHost(h *harness.Host) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.down, h.Name)
}

// isDown reports whether a fault took the host down.
func (in *injector) isDown(name string) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.down[name]
}

func (in *injector) faultKinds() []fault {
	return append([]fault{
		{"kill host", maxFaultDuration, in.killHost},
		{"pause host", maxFaultDuration, in.pauseHost},
		{"restart host", 2 * minFaultDuration, in.restartHost},
		in.platformFault("platform refuses", maxOutageDuration, map[string]any{"outage": "refuse"}, map[string]any{"outage": ""}),
		in.platformFault("platform silent", maxFaultDuration, map[string]any{"outage": "silent"}, map[string]any{"outage": ""}),
		in.platformFault("platform resets", maxFaultDuration, map[string]any{"outage": "reset"}, map[string]any{"outage": ""}),
		in.platformFault("platform slow", maxFaultDuration, map[string]any{"slow_ms": 300}, map[string]any{"slow_ms": 0}),
		in.platformFault("platform loses answers", maxFaultDuration, map[string]any{"lose_answers": 0.3}, map[string]any{"lose_answers": 0}),
		in.platformFault("platform drops events", maxFaultDuration, map[string]any{"drop_events": 0.5}, map[string]any{"drop_events": 0}),
		{"partition host from platform", maxFaultDuration, in.partitionHost},
	}, in.serverFaultKinds()...)
}

func (in *injector) killHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.reserveHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(ctx context.Context) error {
		defer in.releaseHost(h)
		if err := h.Start(); err != nil {
			return err
		}
		return h.AwaitReady(ctx)
	}, h.Kill()
}

func (in *injector) pauseHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.reserveHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(context.Context) error {
		defer in.releaseHost(h)
		return h.Resume()
	}, h.Pause()
}

func (in *injector) restartHost(_ context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.reserveHost(rng)
	if h == nil {
		return "", nil, nil
	}
	return h.Name, func(ctx context.Context) error {
		defer in.releaseHost(h)
		return h.Restart(ctx, restartGrace)
	}, nil
}

func (in *injector) platformFault(name string, maxDuration time.Duration, on, off map[string]any) fault {
	return fault{name, maxDuration, func(ctx context.Context, _ *rand.Rand) (string, func(context.Context) error, error) {
		return "platform", func(ctx context.Context) error { return in.d.Platform.SetFault(ctx, off) }, in.d.Platform.SetFault(ctx, on)
	}}
}

func (in *injector) partitionHost(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
	h := in.d.Hosts[rng.IntN(len(in.d.Hosts))]
	link := harness.PlatformLink(h.Name)
	direction := []string{"both", "to_target", "to_client"}[rng.IntN(3)]
	return link, func(ctx context.Context) error { return in.d.Relay.Silence(ctx, link, "") }, in.d.Relay.Silence(ctx, link, direction)
}

// serverFaultKinds returns the faults of backend servers and of the links to
// them and to callers. Servers are not killed, because their ledgers would be
// lost. To a host, a link that refuses and resets connections looks the same.
func (in *injector) serverFaultKinds() []fault {
	return []fault{
		{"server dead", maxFaultDuration, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			err := in.d.Relay.Refuse(ctx, link, true)
			if err == nil {
				err = in.d.Relay.Cut(ctx, link)
			}
			return link, func(ctx context.Context) error { return in.d.Relay.Refuse(ctx, link, false) }, err
		}},
		{"server connections silent", minFaultDuration * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, nil, in.d.Relay.Freeze(ctx, link)
		}},
		{"server connections reset", minFaultDuration * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, nil, in.d.Relay.Cut(ctx, link)
		}},
		{"server answers truncated", minFaultDuration * 3, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := in.serverLink(rng)
			return link, func(ctx context.Context) error { return in.d.Relay.Truncate(ctx, link, 0) },
				in.d.Relay.Truncate(ctx, link, 200+rng.Int64N(20000))
		}},
		{"caller connections reset", minFaultDuration * 2, func(ctx context.Context, rng *rand.Rand) (string, func(context.Context) error, error) {
			link := harness.CallersLink(in.d.Hosts[rng.IntN(len(in.d.Hosts))].Name)
			return link, nil, in.d.Relay.Cut(ctx, link)
		}},
		{"engine frozen", maxFaultDuration, in.engineFault(map[string]any{"frozen": true}, map[string]any{"frozen": false})},
		{"engine fails", maxFaultDuration, in.engineFault(map[string]any{"fail_rate": 0.5, "fail_status": engineFailStatus}, map[string]any{"fail_rate": 0})},
		{"engine truncates", maxFaultDuration, in.engineFault(map[string]any{"truncate_rate": 0.3}, map[string]any{"truncate_rate": 0})},
		{"engine slow", maxFaultDuration, in.engineFault(map[string]any{"speed": 0.2}, map[string]any{"speed": 0})},
		{"service cuts after running", maxFaultDuration, in.serviceFault(map[string]any{"cut_rate": 0.3}, map[string]any{"cut_rate": 0})},
		{"service drops calls", maxFaultDuration, in.serviceFault(map[string]any{"drop_rate": 0.3}, map[string]any{"drop_rate": 0})},
		{"service slow", maxFaultDuration, in.serviceFault(map[string]any{"delay_ms": 300}, map[string]any{"delay_ms": 0})},
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

// watchHosts reports hosts whose process ended although no fault ended it, and
// starts them again so that the run continues.
func (in *injector) watchHosts(ctx context.Context) {
	for wait(ctx, 200*time.Millisecond) {
		for _, h := range in.d.Hosts {
			if h.Running() || in.isDown(h.Name) {
				continue
			}
			in.tl.addViolation("host ended", h.Name, "%v; end of its log: %s", h.Status(), h.LogTail(1000))
			if err := h.Start(); err != nil {
				in.tl.addViolation("host ended", h.Name, "cannot start it again: %v", err)
			}
		}
	}
}

// wait sleeps for d and reports whether ctx lasted until then.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
