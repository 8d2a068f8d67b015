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
	// controlSettle lets epochs and connections settle after the start.
	controlSettle = 5 * time.Second
	// Servers in a control run; hosts poll their load, so that they matter little.
	controlEngines  = 4
	controlServices = 1
)

// controlPoint is the control overhead of an idle fleet of one size. Means
// are over hosts.
type controlPoint struct {
	Hosts            int                `json:"hosts"`
	Seconds          float64            `json:"seconds"`
	LoadAverage      float64            `json:"load_average"` // of the machine, at the end
	SentPerHost      float64            `json:"sent_bytes_per_s_per_host"`
	ReceivedPerHost  float64            `json:"received_bytes_per_s_per_host"`
	PeerCallsPerHost float64            `json:"peer_calls_per_s_per_host"`
	CPUPerHost       float64            `json:"cpu_percent_of_core_per_host"`
	CPUMost          float64            `json:"cpu_percent_of_core_most"`
	RSSPerHost       float64            `json:"rss_mb_per_host"`
	RSSMost          float64            `json:"rss_mb_most"`
	HeapPerHost      float64            `json:"heap_mb_per_host"`
	Platform         map[string]float64 `json:"platform_calls_per_s"` // by operation
	PlatformTotal    float64            `json:"platform_calls_per_s_total"`
}

// measureControl measures one fleet that serves no requests.
func measureControl(ctx context.Context, d *harness.Deployment, length time.Duration) (*controlPoint, error) {
	if err := sleep(ctx, controlSettle); err != nil {
		return nil, err
	}
	if err := d.Platform.Reset(ctx); err != nil {
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
	p := compareSamples(before, after)
	p.LoadAverage = loadAverage()
	p.addPlatform(calls.Totals, float64(calls.NowMS-calls.SinceMS)/1000)
	return p, nil
}

// hostSample is the state of one host's counters.
type hostSample struct {
	at   time.Time
	vars vars
	cpu  time.Duration
	rss  float64 // MB
}

func sampleHosts(ctx context.Context, d *harness.Deployment) ([]hostSample, error) {
	var out []hostSample
	for _, h := range d.Hosts {
		v, err := readVars(ctx, h)
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
		out = append(out, hostSample{at: time.Now(), vars: v, cpu: cpu, rss: rss})
	}
	return out, nil
}

func compareSamples(before, after []hostSample) *controlPoint {
	n := float64(len(after))
	p := &controlPoint{Hosts: len(after), Platform: map[string]float64{}}
	for i, b := range after {
		a := before[i]
		s := b.at.Sub(a.at).Seconds()
		cpu := 100 * (b.cpu - a.cpu).Seconds() / s
		p.Seconds += s / n
		p.SentPerHost += float64(b.vars.Peer.Sent-a.vars.Peer.Sent) / s / n
		p.ReceivedPerHost += float64(b.vars.Peer.Received-a.vars.Peer.Received) / s / n
		p.PeerCallsPerHost += float64(b.vars.Peer.Calls-a.vars.Peer.Calls) / s / n
		p.CPUPerHost += cpu / n
		p.CPUMost = max(p.CPUMost, cpu)
		p.RSSPerHost += b.rss / n
		p.RSSMost = max(p.RSSMost, b.rss)
		p.HeapPerHost += float64(b.vars.Memory.HeapInuse) / (1 << 20) / n
	}
	return p
}

// addPlatform adds the calls of the platform's ledger. Refusals are listed
// but not summed, because the refused call itself is counted.
func (p *controlPoint) addPlatform(totals map[string]int, seconds float64) {
	for op, n := range totals {
		p.Platform[op] = ratio(float64(n), seconds)
	}
	for _, op := range []string{"get", "list", "put", "delete", "watch", "watch_wait", "hosts"} {
		p.PlatformTotal += p.Platform[op]
	}
}

// runControl measures fleets of several sizes, one after another.
func runControl(ctx context.Context, opts harness.Options, sizes []int, length time.Duration, out io.Writer) ([]*controlPoint, error) {
	var points []*controlPoint
	fmt.Fprintf(out, "%6s %12s %12s %10s %10s %10s %10s %12s\n",
		"hosts", "sent B/s", "received B/s", "peer call/s", "CPU %core", "RSS MB", "heap MB", "platform/s")
	for _, n := range sizes {
		p, err := runControlSize(ctx, opts, n, length)
		if err != nil {
			return points, errors.Wrapf(err, "control run of %d hosts", n)
		}
		points = append(points, p)
		fmt.Fprintf(out, "%6d %12.0f %12.0f %10.1f %10.2f %10.1f %10.1f %12.1f\n",
			p.Hosts, p.SentPerHost, p.ReceivedPerHost, p.PeerCallsPerHost, p.CPUPerHost, p.RSSPerHost, p.HeapPerHost, p.PlatformTotal)
	}
	return points, nil
}

func runControlSize(ctx context.Context, opts harness.Options, n int, length time.Duration) (*controlPoint, error) {
	opts.Layout.SetHosts(n)
	opts.Layout.Engines = opts.Layout.Engines[:controlEngines]
	opts.Layout.Services = opts.Layout.Services[:controlServices]
	d, err := harness.Start(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return measureControl(ctx, d, length)
}
