package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/test/harness"
)

const (
	// controlSettleTime is the wait before a measurement, in which the epochs and
	// connections of a new fleet settle.
	controlSettleTime = 5 * time.Second
	// Numbers of backend servers in a control run. They are small because hosts
	// poll the load of each server, which adds to the overhead.
	controlEngines  = 4
	controlServices = 1
)

// controlOverhead is the control overhead of an idle fleet of one size. Fields
// per host are means over all hosts.
type controlOverhead struct {
	Hosts              int                `json:"hosts"`
	Seconds            float64            `json:"seconds"`
	LoadAverage        float64            `json:"load_average"` // of the machine, at the end
	SentPerHost        float64            `json:"sent_bytes_per_s_per_host"`
	ReceivedPerHost    float64            `json:"received_bytes_per_s_per_host"`
	PeerCallsPerHost   float64            `json:"peer_calls_per_s_per_host"`
	CPUPerHost         float64            `json:"cpu_percent_of_core_per_host"`
	CPUMax             float64            `json:"cpu_percent_of_core_most"`
	RSSPerHost         float64            `json:"rss_mb_per_host"`
	RSSMax             float64            `json:"rss_mb_most"`
	HeapPerHost        float64            `json:"heap_mb_per_host"`
	PlatformCalls      map[string]float64 `json:"platform_calls_per_s"` // by operation
	PlatformCallsTotal float64            `json:"platform_calls_per_s_total"`
}

// measureIdleFleet measures the control overhead of a fleet that serves no requests.
func measureIdleFleet(ctx context.Context, d *harness.Deployment, length time.Duration) (*controlOverhead, error) {
	if err := sleep(ctx, controlSettleTime); err != nil {
		return nil, err
	}
	if err := d.Platform.ResetLedger(ctx); err != nil {
		return nil, err
	}
	before, err := sampleHosts(ctx, d)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, length); err != nil {
		return nil, err
	}
	after, err := sampleHosts(ctx, d)
	if err != nil {
		return nil, err
	}
	calls, err := d.Platform.Ledger(ctx)
	if err != nil {
		return nil, err
	}
	p := overheadBetween(before, after)
	p.LoadAverage = loadAverage()
	p.addPlatformCalls(calls.Totals, float64(calls.NowMS-calls.SinceMS)/1000)
	return p, nil
}

// hostSample holds the counters of one host at one time.
type hostSample struct {
	at      time.Time
	expvars expvars
	cpu     time.Duration
	rss     float64 // MB
}

func sampleHosts(ctx context.Context, d *harness.Deployment) ([]hostSample, error) {
	var out []hostSample
	for _, h := range d.Hosts {
		v, err := readExpvars(ctx, h)
		if err != nil {
			return nil, err
		}
		cpu, err := cpuTime(h.PID())
		if err != nil {
			return nil, err
		}
		rss, err := residentMB(h.PID())
		if err != nil {
			return nil, err
		}
		out = append(out, hostSample{at: time.Now(), expvars: v, cpu: cpu, rss: rss})
	}
	return out, nil
}

func overheadBetween(before, after []hostSample) *controlOverhead {
	n := float64(len(after))
	p := &controlOverhead{Hosts: len(after), PlatformCalls: map[string]float64{}}
	for i, b := range after {
		a := before[i]
		s := b.at.Sub(a.at).Seconds()
		cpu := 100 * (b.cpu - a.cpu).Seconds() / s
		p.Seconds += s / n
		p.SentPerHost += float64(b.expvars.Peer.Sent-a.expvars.Peer.Sent) / s / n
		p.ReceivedPerHost += float64(b.expvars.Peer.Received-a.expvars.Peer.Received) / s / n
		p.PeerCallsPerHost += float64(b.expvars.Peer.Calls-a.expvars.Peer.Calls) / s / n
		p.CPUPerHost += cpu / n
		p.CPUMax = max(p.CPUMax, cpu)
		p.RSSPerHost += b.rss / n
		p.RSSMax = max(p.RSSMax, b.rss)
		p.HeapPerHost += float64(b.expvars.Memory.HeapInuse) / (1 << 20) / n
	}
	return p
}

// addPlatformCalls adds the call rates of the platform's ledger. The total leaves
// out refusals, because the refused calls are already counted by operation.
func (p *controlOverhead) addPlatformCalls(totals map[string]int, seconds float64) {
	for op, n := range totals {
		p.PlatformCalls[op] = ratio(float64(n), seconds)
	}
	for _, op := range []string{"get", "list", "put", "delete", "watch", "watch_wait", "hosts"} {
		p.PlatformCallsTotal += p.PlatformCalls[op]
	}
}

// measureFleetSizes measures idle fleets of the given sizes, one after another,
// and prints one table row for each.
func measureFleetSizes(ctx context.Context, opts harness.Options, sizes []int, length time.Duration, out io.Writer) ([]*controlOverhead, error) {
	var points []*controlOverhead
	fmt.Fprintf(out, "%6s %12s %12s %10s %10s %10s %10s %12s\n",
		"hosts", "sent B/s", "received B/s", "peer call/s", "CPU %core", "RSS MB", "heap MB", "platform/s")
	for _, n := range sizes {
		p, err := measureFleetSize(ctx, opts, n, length)
		if err != nil {
			return points, errors.Wrapf(err, "measure control overhead of %d hosts", n)
		}
		points = append(points, p)
		fmt.Fprintf(out, "%6d %12.0f %12.0f %10.1f %10.2f %10.1f %10.1f %12.1f\n",
			p.Hosts, p.SentPerHost, p.ReceivedPerHost, p.PeerCallsPerHost, p.CPUPerHost, p.RSSPerHost, p.HeapPerHost, p.PlatformCallsTotal)
	}
	return points, nil
}

func measureFleetSize(ctx context.Context, opts harness.Options, n int, length time.Duration) (*controlOverhead, error) {
	opts.Layout.SetHosts(n)
	opts.Layout.Engines = opts.Layout.Engines[:controlEngines]
	opts.Layout.Services = opts.Layout.Services[:controlServices]
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return measureIdleFleet(ctx, d, length)
}
