package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/settings"
	client "ragwortstep/internal/store"
	"ragwortstep/test/standin/relay"
)

const (
	// OperatorKey is the first operator key of all hosts.
	OperatorKey = "operator-key-of-the-test-deployment"
	peerSecret  = "peer-secret-of-the-test-deployment"

	// terminateTimeout is the time between SIGTERM and SIGKILL when the
	// deployment closes. Hosts report unready for 2 s before they drain.
	terminateTimeout    = 4 * time.Second
	standinStartTimeout = 10 * time.Second
	hostStartTimeout    = 30 * time.Second
)

// Options configures a deployment.
type Options struct {
	Layout   Layout
	Binaries Binaries
	Dir      string // for settings, logs and data folders; a temporary folder when empty
	Seed     uint64 // of the stand-ins' random faults

	EditSettings func(*settings.Settings) // changes the settings of each host
	HostEnv      []string                 // added to the environment of hosts
	PlatformArgs []string                 // added to the command line of the platform
	EngineArgs   []string                 // added to the command line of each engine
	NoHosts      bool                     // starts the stand-ins only
	NoConfig     bool                     // leaves the configuration empty
}

// Deployment is a running deployment.
type Deployment struct {
	Layout   Layout
	Dir      string
	Platform *Platform
	Relay    *Relay
	Engines  []*Engine
	Services []*Service
	Hosts    []*Host
	Keys     map[string]Key // by workspace

	opts    Options
	net     *Network
	tempDir bool
	closing sync.Once
}

// Start starts a deployment and waits until it serves. On an error it stops
// everything that it started.
func Start(ctx context.Context, opts Options) (*Deployment, error) {
	d, err := prepare(opts)
	if err != nil {
		return nil, err
	}
	for _, step := range []func(context.Context) error{d.startStandins, d.startHosts, d.configure} {
		if err := step(ctx); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

func prepare(opts Options) (*Deployment, error) {
	l := opts.Layout
	if len(l.Hosts) > maxHosts || len(l.Engines) > maxEngines || len(l.Services) > maxServices {
		return nil, errors.Newf("layout %s: more than %d hosts, %d engines or %d services", l.Name, maxHosts, maxEngines, maxServices)
	}
	d := &Deployment{Layout: l, Dir: opts.Dir, opts: opts, Keys: map[string]Key{}}
	var err error
	if d.Dir == "" {
		d.tempDir = true
		d.Dir, err = os.MkdirTemp("", "ragwortstep-"+l.Name+"-")
	} else {
		err = os.MkdirAll(d.Dir, 0o755)
	}
	if err != nil {
		return nil, errors.Wrap(err, "folder of the deployment")
	}
	if d.Dir, err = filepath.Abs(d.Dir); err != nil {
		return nil, errors.Wrap(err, "folder of the deployment")
	}
	d.net, err = ReserveNetwork()
	return d, err
}

func (d *Deployment) startStandins(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, standinStartTimeout)
	defer cancel()
	if err := d.startPlatform(); err != nil {
		return err
	}
	for i, spec := range d.Layout.Engines {
		if err := d.startEngine(i, spec); err != nil {
			return err
		}
	}
	for i, spec := range d.Layout.Services {
		if err := d.startService(i, spec); err != nil {
			return err
		}
	}
	if err := d.startRelay(); err != nil {
		return err
	}
	return d.awaitStandins(ctx)
}

func (d *Deployment) startStandin(name string, args ...string) (*Process, error) {
	args = append([]string{d.opts.Binaries.Standin}, args...)
	return startProcess(name, d.Dir, args, nil)
}

func (d *Deployment) seedArg(i int) string {
	return strconv.FormatUint(d.opts.Seed*1000+uint64(i)+1, 10)
}

func (d *Deployment) startPlatform() error {
	address := d.net.Address(platformByte, portPlatform)
	args := append([]string{"platform", "--listen", address, "--seed", d.seedArg(0)}, d.opts.PlatformArgs...)
	p, err := d.startStandin("platform", args...)
	d.Platform = &Platform{controlClient: newControlClient(address), Process: p}
	return err
}

func (d *Deployment) startEngine(i int, spec EngineSpec) error {
	e := &Engine{
		Spec: spec, Address: d.net.Address(firstEngineByte+i, portServer), RelayAddress: d.net.Address(firstEngineByte+i, portServerRelay),
	}
	controlAddress := d.net.Address(firstEngineByte+i, portControl)
	e.controlClient = newControlClient(controlAddress)
	args := []string{
		"engine", "--listen", e.Address, "--control", controlAddress, "--name", spec.Name,
		"--model", d.Layout.Model, "--speed", fmt.Sprint(spec.Speed), "--slots", strconv.Itoa(spec.Slots),
		"--knee", strconv.Itoa(spec.Knee), "--step", spec.Step.String(), "--seed", d.seedArg(firstEngineByte + i),
		fmt.Sprintf("--fencing=%t", spec.Fencing),
	}
	var err error
	e.Process, err = d.startStandin(spec.Name, append(args, d.opts.EngineArgs...)...)
	d.Engines = append(d.Engines, e)
	return err
}

func (d *Deployment) startService(i int, spec ServiceSpec) error {
	s := &Service{
		Spec: spec, Address: d.net.Address(firstServiceByte+i, portServer), RelayAddress: d.net.Address(firstServiceByte+i, portServerRelay),
	}
	controlAddress := d.net.Address(firstServiceByte+i, portControl)
	s.controlClient = newControlClient(controlAddress)
	var err error
	s.Process, err = d.startStandin(spec.Name,
		"service", "--listen", s.Address, "--control", controlAddress, "--name", spec.Name,
		"--speed", fmt.Sprint(spec.Speed), "--slots", strconv.Itoa(spec.Slots), "--work", spec.Work.String(),
		"--seed", d.seedArg(firstServiceByte+i))
	d.Services = append(d.Services, s)
	return err
}

func (d *Deployment) startRelay() error {
	address := d.net.Address(relayByte, portControl)
	args := []string{"relay", "--control", address}
	for _, link := range d.links() {
		delay := time.Duration(link.DelayUS) * time.Microsecond
		args = append(args, "--link", strings.Join([]string{link.Name, link.Listen, link.Target, delay.String()}, "="))
	}
	p, err := d.startStandin("relay", args...)
	d.Relay = &Relay{controlClient: newControlClient(address), Process: p}
	return err
}

// links returns all relay links of the deployment.
func (d *Deployment) links() []relay.Spec {
	var out []relay.Spec
	add := func(name, listen, target string, delay time.Duration) {
		out = append(out, relay.Spec{Name: name, Listen: listen, Target: target, DelayUS: delay.Microseconds()})
	}
	for i, h := range d.Layout.Hosts {
		lastByte := firstHostByte + i
		add(CallersLink(h.Name), d.net.Address(lastByte, portCallersRelay), d.net.Address(lastByte, portCallers), d.Layout.ClientDelay)
		add(PlatformLink(h.Name), d.net.Address(lastByte, portPlatformRelay), d.net.Address(platformByte, portPlatform), d.Layout.ZoneDelay)
	}
	for _, e := range d.Engines {
		add(ServerLink(e.Spec.Name), e.RelayAddress, e.Address, d.Layout.ServerDelay())
	}
	for _, s := range d.Services {
		add(ServerLink(s.Spec.Name), s.RelayAddress, s.Address, d.Layout.ServerDelay())
	}
	return out
}

func (d *Deployment) awaitStandins(ctx context.Context) error {
	urls := map[string]*Process{
		d.Platform.URL + "/ledger": d.Platform.Process,
		d.Relay.URL + "/ledger":    d.Relay.Process,
	}
	for _, e := range d.Engines {
		urls["http://"+e.Address+"/load"] = e.Process
		urls[e.URL+"/fault"] = e.Process
	}
	for _, s := range d.Services {
		urls["http://"+s.Address+"/load"] = s.Process
		urls[s.URL+"/fault"] = s.Process
	}
	for url, p := range urls {
		if err := awaitStatus(ctx, url, p.Exited()); err != nil {
			return errors.Wrapf(err, "stand-in %s; end of its log:\n%s", p.Name, p.LogTail(2000))
		}
	}
	return d.PublishHosts(ctx, nil)
}

// PublishHosts sets the platform's list of hosts and servers. Names in
// leaving are listed as leaving, all others as live.
func (d *Deployment) PublishHosts(ctx context.Context, leaving map[string]bool) error {
	var list []client.HostEntry
	add := func(name, address, kind string) {
		state := "live"
		if leaving[name] {
			state = "leaving"
		}
		list = append(list, client.HostEntry{Name: name, Address: address, Kind: kind, State: state})
	}
	for i, h := range d.Layout.Hosts {
		add(h.Name, d.net.Address(firstHostByte+i, portPeers), "host")
	}
	for _, e := range d.Engines {
		add(e.Spec.Name, e.RelayAddress, "server")
	}
	for _, s := range d.Services {
		add(s.Spec.Name, s.RelayAddress, "server")
	}
	return d.Platform.SetHosts(ctx, list)
}

func (d *Deployment) startHosts(ctx context.Context) error {
	if d.opts.NoHosts {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, hostStartTimeout)
	defer cancel()
	for i, spec := range d.Layout.Hosts {
		h, err := d.newHost(i, spec)
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		d.Hosts = append(d.Hosts, h)
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, h := range d.Hosts {
		group.Go(func() error { return h.AwaitReady(ctx) })
	}
	return group.Wait()
}

// Processes returns all processes of the deployment, hosts first.
func (d *Deployment) Processes() []*Process {
	var out []*Process
	for _, h := range d.Hosts {
		out = append(out, h.Process)
	}
	for _, e := range d.Engines {
		out = append(out, e.Process)
	}
	for _, s := range d.Services {
		out = append(out, s.Process)
	}
	if d.Relay != nil {
		out = append(out, d.Relay.Process)
	}
	if d.Platform != nil {
		out = append(out, d.Platform.Process)
	}
	return out
}

// Close ends all processes, hosts before stand-ins, and removes a temporary folder.
func (d *Deployment) Close() {
	d.closing.Do(func() {
		all := d.Processes()
		terminateAll(all[:len(d.Hosts)])
		terminateAll(all[len(d.Hosts):])
		d.net.Release()
		if d.tempDir {
			_ = os.RemoveAll(d.Dir)
		}
	})
}

// KeepDir keeps the folder with settings and logs after Close and returns its path.
func (d *Deployment) KeepDir() string {
	d.tempDir = false
	return d.Dir
}

func terminateAll(list []*Process) {
	var wg sync.WaitGroup
	for _, p := range list {
		if p == nil || p.cmd == nil {
			continue
		}
		wg.Go(func() { _, _ = p.Terminate(terminateTimeout) })
	}
	wg.Wait()
}
