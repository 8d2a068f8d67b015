package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/bulk"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/online"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/quotas"
	"ragwortstep/internal/rawconn"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/storerelay"
	"ragwortstep/internal/upstream"
)

const (
	// stateWait and stateTakeOver are for heads of jobs and registrations: the
	// end of a job must be known within 3 s.
	stateWait     = 900 * time.Millisecond
	stateTakeOver = 2400 * time.Millisecond
	retireWait    = 10 * time.Second
	takeOverIdle  = 25 * time.Second
	// peerSecret stands in for a shared secret: the platform's settings carry
	// none, and only the system's own machines reach the internal ports.
	peerSecret = "ragwortstep-internal-ports"
	// unready is how long a stopping host serves on while the balancer, which
	// asks once a second and waits for two misses, takes it out of rotation.
	unready = 2600 * time.Millisecond
	// stopMargin is the part of the grace period kept for the end itself.
	stopMargin = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections. Callers may
	// keep connections idle for the time that the configuration states, which
	// is below this.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
)

// host is one assembled entry host.
type host struct {
	settings *Settings
	platform Platform
	log      *slog.Logger
	metrics  *metrics.Registry
	node     *peer.Node
	udp      net.PacketConn
	cluster  *cluster.Cluster
	informer *informer.Informer
	config   *configuration
	slots    *slots.Scheduler
	online   *online.Service
	jobs     *bulk.Service
	members  *members
	retire   *retirements
	leaving  atomic.Bool
}

// Serve runs an entry host until ctx ends, and then shuts it down.
func Serve(ctx context.Context, s *Settings, p Platform, registry *metrics.Registry, logger *slog.Logger) error {
	h := &host{settings: s, platform: p, log: logger, metrics: registry}
	if err := h.build(); err != nil {
		return err
	}
	return h.run(ctx)
}

// build makes all parts. Nothing runs yet.
func (h *host) build() error {
	var err error
	if h.node, err = peer.New(peer.Options{Self: peer.HostID(h.settings.Host), Listen: h.settings.Peers, Secret: peerSecret, Logger: h.log}); err != nil {
		return errors.Wrap(err, "peers")
	}
	if h.udp, err = net.ListenPacket("udp4", h.settings.Peers); err != nil {
		return errors.Wrap(err, "listen for digests")
	}
	self := cluster.Member{Name: h.settings.Host, Incarnation: time.Now().UnixMicro(), Address: h.settings.Peers, Zone: h.settings.Zone, Size: h.settings.Size}
	h.cluster = cluster.New(cluster.Options{Self: self, Conn: h.udp, Logger: h.log})
	at := h.platform.Collections()
	h.informer = informer.New(informer.Options{
		Store: h.platform.Store(), Cluster: h.cluster, Peers: h.node, Members: bulk.Collection, Logger: h.log,
		Collections: []informer.Collection{
			{Prefix: at.Config, Wait: informer.PromptWait, TakeOver: informer.PromptTakeOver},
			{Prefix: at.Servers, Wait: informer.PromptWait, TakeOver: informer.PromptTakeOver},
			{Prefix: bulk.Collection, Wait: stateWait, TakeOver: stateTakeOver},
			{Prefix: at.Retirements, Wait: retireWait, TakeOver: takeOverIdle},
		},
	})
	objects := storerelay.New(storerelay.Options{
		Direct: h.platform.Store(), Peers: h.node, Reachable: h.informer.Reachable, Metrics: h.metrics, Logger: h.log,
	})
	client := upstream.New(upstream.Options{})
	h.config = &configuration{platform: h.platform, informer: h.informer, prefix: at.Config, keyAge: h.settings.KeyAge, log: h.log}
	h.slots = slots.New(slots.Options{Zone: h.settings.Zone, Cluster: h.cluster, Logger: h.log})
	h.online = online.New(online.Options{
		Config: h.config, Codec: h.platform, Quotas: quotas.New(h.cluster, h.settings.QuotaTolerance, h.log), Slots: h.slots, Upstream: client,
		Suspects: online.NewSuspects(h.cluster, h.log), Metrics: h.metrics, Logger: h.log, IsLeaving: h.leaving.Load,
	})
	h.jobs = bulk.New(bulk.Options{
		Store: objects, Cluster: h.cluster, Informer: h.informer, Peers: h.node, Config: h.config,
		Codec: h.platform, Items: h.platform, Slots: h.slots, Upstream: client, Metrics: h.metrics, Readable: h.settings.Readable, Logger: h.log,
	})
	h.members = &members{cluster: h.cluster, node: h.node, store: objects, isReader: h.informer.IsReader, log: h.log}
	h.retire = &retirements{platform: h.platform, isReader: h.informer.IsReader, log: h.log}
	servers := &serverList{platform: h.platform, slots: h.slots, upstream: client, log: h.log}
	h.informer.OnChange(at.Config, h.config.changed)
	h.informer.OnChange(at.Servers, servers.changed)
	h.informer.OnChange(bulk.Collection, h.members.changed)
	h.informer.OnChange(at.Retirements, h.retire.changed)
	h.cluster.OnChange(h.members.addresses)
	h.gauges(at)
	return nil
}

// gauges registers what is read when the metrics are served.
func (h *host) gauges(at Collections) {
	age := func(prefix string) func() float64 {
		return func() float64 {
			age, ok := h.informer.Age(prefix)
			if !ok {
				return -1
			}
			return age.Seconds()
		}
	}
	h.metrics.Gauge("config_age_seconds", age(at.Config))
	h.metrics.Gauge("servers_age_seconds", age(at.Servers))
	h.metrics.Gauge("state_age_seconds", age(bulk.Collection))
	h.metrics.Gauge("peers_alive", func() float64 { return float64(len(h.cluster.Alive())) })
	h.metrics.Gauge("config_version", func() float64 {
		if c := h.config.Current(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// ready reports whether the balancer should send callers here.
func (h *host) ready() bool { return !h.leaving.Load() && h.config.Fresh() }

// run starts the parts, serves until ctx ends, and shuts down.
func (h *host) run(ctx context.Context) error {
	servers, err := h.listen()
	if err != nil {
		return err
	}
	if err := h.node.Start(); err != nil {
		return errors.Wrap(err, "start peers")
	}
	// The parts outlive ctx: they serve open requests while the host drains.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { h.informer.Run(parts) })
	group.Go(func() { h.cluster.Run(parts) })
	group.Go(func() { h.slots.Run(parts) })
	group.Go(func() { h.jobs.Run(parts) })
	group.Go(func() { h.members.register(parts) })
	group.Go(func() { h.members.run(parts) })
	group.Go(func() { h.retire.run(parts) })
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	h.log.Info("host started", "event", "started", "callers", h.settings.Callers, "peers", h.settings.Peers, "store", h.settings.Store)
	select {
	case <-ctx.Done():
	case err = <-failed:
		h.log.Error("server ended", "event", "server_ended", "error", err)
	}
	h.shutdown(servers)
	stop()
	_ = h.udp.Close() // ends the reading loop
	group.Wait()
	h.log.Info("host stopped", "event", "stopped")
	return err
}

// httpServer is one server with its listener.
type httpServer struct {
	name     string
	server   *http.Server
	listener net.Listener
}

func (s httpServer) serve() error {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", s.name)
	}
	return nil
}

// listen binds all addresses before anything starts.
func (h *host) listen() ([]httpServer, error) {
	callers := h.platform.Callers(Services{Config: h.config, Online: h.online, Jobs: h.jobs})
	list := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", h.settings.Callers, callers},
		{"readiness", h.settings.Readiness, h.platform.Readiness(h.ready)},
		{"metrics", h.settings.Metrics, h.metrics},
	}
	var out []httpServer
	for _, item := range list {
		if item.address == "" {
			continue
		}
		l, err := net.Listen("tcp", item.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", item.name)
		}
		server := &http.Server{
			Handler: item.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelWarn),
		}
		out = append(out, httpServer{item.name, server, rawconn.Listener{Listener: l}})
	}
	return out, nil
}

// shutdown drains the host: not ready first, batch work handed over at once,
// online requests to their end.
func (h *host) shutdown(servers []httpServer) {
	deadline := time.Now().Add(h.settings.Grace - stopMargin)
	h.log.Info("host draining", "event", "draining", "grace_ms", h.settings.Grace.Milliseconds())
	h.leaving.Store(true)
	h.cluster.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		h.jobs.Close(ctx)
	}()
	time.Sleep(min(unready, max(time.Until(deadline)/2, 0)))
	var group sync.WaitGroup
	for _, s := range servers {
		if s.name != "callers" {
			continue // readiness is answered to the end
		}
		group.Go(func() {
			if err := s.server.Shutdown(ctx); err != nil {
				h.log.Warn("requests cut at the end of the grace period", "event", "drain_incomplete", "server", s.name, "error", err)
			}
		})
	}
	group.Wait()
	<-closed
	if err := h.node.Close(); err != nil {
		h.log.Warn("peers not closed", "step", "close peers", "error", err)
	}
}
