package harness

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"ragwortstep/internal/settings"
)

// Host is a running host process.
type Host struct {
	*Process
	Spec     HostSpec
	Settings settings.Settings
	Callers  string // address of the relay in front of the host, for callers
	Direct   string // the host's own address for callers
	Admin    string
	Metrics  string
}

// CallersURL is the base URL for callers.
func (h *Host) CallersURL() string { return "http://" + h.Callers }

// DirectURL is the base URL for callers without the relay.
func (h *Host) DirectURL() string { return "http://" + h.Direct }

// AdminURL is the base URL of the operators' API.
func (h *Host) AdminURL() string { return "http://" + h.Admin }

// MetricsURL is the URL of the host's expvar page.
func (h *Host) MetricsURL() string { return "http://" + h.Metrics + "/debug/vars" }

// Violations returns the host's counts of violated invariants since it started.
func (h *Host) Violations(ctx context.Context) (map[string]int64, error) {
	var vars struct {
		Violations map[string]int64 `json:"invariant_violations"`
	}
	resp, err := resty.New().SetTimeout(controlTimeout).R().SetContext(ctx).Get(h.MetricsURL())
	if err != nil {
		return nil, errors.Wrapf(err, "metrics of %s", h.Name)
	}
	err = json.Unmarshal(resp.Body(), &vars)
	return vars.Violations, errors.Wrapf(err, "metrics of %s: decode", h.Name)
}

const readyPollInterval = 20 * time.Millisecond

// AwaitReady waits until the host answers its readiness check with 200. It
// fails at once when the process ends.
func (h *Host) AwaitReady(ctx context.Context) error {
	err := awaitStatus(ctx, h.DirectURL()+"/readyz", h.Exited())
	return errors.Wrapf(err, "host %s; end of its log:\n%s", h.Name, h.logOnError(err))
}

func (h *Host) logOnError(err error) string {
	if err == nil {
		return ""
	}
	return h.LogTail(2000)
}

// Restart terminates the process and starts it again. It fails if the process
// does not end within the timeout after SIGTERM.
func (h *Host) Restart(ctx context.Context, timeout time.Duration) error {
	graceful, err := h.Terminate(timeout)
	if err != nil {
		return err
	}
	if !graceful {
		return errors.Newf("host %s did not end within %s", h.Name, timeout)
	}
	if err := h.Start(); err != nil {
		return err
	}
	return h.AwaitReady(ctx)
}

// awaitStatus polls the URL until it answers 200, the process ends or ctx ends.
func awaitStatus(ctx context.Context, url string, exited <-chan struct{}) error {
	client := &http.Client{Timeout: time.Second}
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.Newf("status %d", resp.StatusCode)
		}
		select {
		case <-exited:
			return errors.Newf("wait for %s: process ended", url)
		case <-ctx.Done():
			return errors.Wrapf(err, "wait for %s: %v", url, ctx.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// hostSettings returns the settings of the host with number i.
func (d *Deployment) hostSettings(i int, spec HostSpec) settings.Settings {
	s := settings.Default()
	s.Host = settings.Host{Name: spec.Name, Zone: spec.Zone, Size: spec.Size}
	if spec.DataFolder {
		s.Host.DataFolder = filepath.Join(d.Dir, spec.Name+"-data")
	}
	lastByte := firstHostByte + i
	s.Listen.Callers = d.net.Address(lastByte, portCallers)
	s.Listen.Peers = d.net.Address(lastByte, portPeers)
	s.Listen.Admin = d.net.Address(lastByte, portAdmin)
	s.Listen.Metrics = d.net.Address(lastByte, portMetrics)
	s.Platform.URL = "http://" + d.net.Address(lastByte, portPlatformRelay)
	for j := range d.Layout.Hosts {
		s.Peers.Seeds = append(s.Peers.Seeds, d.net.Address(firstHostByte+j, portPeers))
	}
	s.Peers.Secret = peerSecret
	s.Admin.Key = OperatorKey
	if d.opts.EditSettings != nil {
		d.opts.EditSettings(&s)
	}
	return s
}

// newHost writes the settings file of a host. It does not start the process.
func (d *Deployment) newHost(i int, spec HostSpec) (*Host, error) {
	s := d.hostSettings(i, spec)
	path := filepath.Join(d.Dir, spec.Name+".yaml")
	if err := writeSettings(path, s); err != nil {
		return nil, err
	}
	lastByte := firstHostByte + i
	return &Host{
		Process: &Process{
			Name:    spec.Name,
			LogPath: filepath.Join(d.Dir, spec.Name+".log"),
			args:    []string{d.opts.Binaries.Ragwortstep, "serve", "--config", path},
			env:     d.opts.HostEnv,
		},
		Spec: spec, Settings: s,
		Callers: d.net.Address(lastByte, portCallersRelay),
		Direct:  s.Listen.Callers, Admin: s.Listen.Admin, Metrics: s.Listen.Metrics,
	}, nil
}
