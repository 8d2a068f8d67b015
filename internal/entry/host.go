package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ragwortstep/internal/abort"
	"ragwortstep/internal/bulk"
	"ragwortstep/internal/callers"
	"ragwortstep/internal/cluster"
	"ragwortstep/internal/core/routing"
	"ragwortstep/internal/informer"
	"ragwortstep/internal/metrics"
	"ragwortstep/internal/online"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/quotas"
	"ragwortstep/internal/slots"
	"ragwortstep/internal/storerelay"
	"ragwortstep/internal/upstream"
)

const (
	// stateWatchWait, stateTakeOver and stateGather apply to the collection of job
	// heads and host registrations: all hosts must learn of a job's end within 3 s.
	stateWatchWait      = 900 * time.Millisecond
	stateTakeOver       = 2400 * time.Millisecond
	stateGather         = 300 * time.Millisecond
	retirementWatchWait = 10 * time.Second
	retirementTakeOver  = 25 * time.Second
	// peerSecret is a fixed value because the platform's settings contain no
	// shared secret. Only this system's machines can reach the internal ports.
	peerSecret = "ragwortstep-internal-ports"
	// deregisterDelay is how long a stopping host keeps serving until the load
	// balancer, which checks once a second and needs two failed checks, takes it
	// out of rotation.
	deregisterDelay = 2600 * time.Millisecond
	// shutdownMargin is the part of the grace period reserved for the final steps
	// of the shutdown.
	shutdownMargin = 700 * time.Millisecond
	// lastAnswersTime is the part of shutdownMargin in which calls that are still open
	// are answered and their connections closed.
	lastAnswersTime = 300 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections, unless the
	// configuration allows callers more.
	headerTimeout = 10 * time.Second
	idleTimeout   = 3 * time.Minute
	// answerMemoryPart is the part of a host's memory that large answers of servers may
	// take: buffers that grow are copied, and the garbage collector lets the process grow
	// to twice what is in use.
	answerMemoryPart = 8
	// callerMemoryPart is the part of a host's memory that headers and bodies of callers
	// may take with what they are decoded to, jobMemoryPart that of the jobs it runs.
	callerMemoryPart = 4
	jobMemoryPart    = 8
	// defaultCallerMemory applies to a host whose memory has no known limit.
	defaultCallerMemory = 128 << 20
	// connectionMemoryPart is the part of a host's memory that callers' connections may
	// take, connectionBytes what one takes: its buffers, goroutines, a small header and a
	// small body.
	connectionMemoryPart = 4
	connectionBytes      = 48 << 10
	// callerSocketPart is the part of a host's sockets for callers' connections. The rest
	// is for servers, which get up to one connection for each of them, peers and the store.
	callerSocketPart = 2
	// defaultConnections bounds callers' connections of a host without known limits.
	defaultConnections = 10_000
	// probeConnections bounds those to the readiness and metrics addresses, which have
	// one client each. probeHeaderBytes, probeTime and probeMemory bound their requests.
	probeConnections = 16
	probeHeaderBytes = 8 << 10
	probeTime        = 5 * time.Second
	probeMemory      = 2 << 20
	// softLimitPart is the part of a host's memory above which the garbage collector
	// works harder. Crowds of large requests allocate up to a sixth of the memory while it
	// runs, and the program's own code is not counted.
	softLimitPart = 0.7
	// maxHeaderBytes bounds what the configuration may allow for a header.
	maxHeaderBytes = 4 << 20
)

// host is an entry host with its components.
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
	calls    *calls
	leaving  atomic.Bool
}

// Serve runs an entry host until ctx ends, and then shuts it down.
func Serve(ctx context.Context, s *Settings, p Platform, registry *metrics.Registry, logger *slog.Logger) error {
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(softLimitPart * float64(s.Memory)))
	}
	h := &host{settings: s, platform: p, log: logger, metrics: registry}
	if err := h.build(); err != nil {
		return err
	}
	return h.run(ctx)
}

// build creates all components without starting them.
func (h *host) build() error {
	var err error
	if h.node, err = peer.New(peer.Options{Self: peer.HostID(h.settings.Host), Listen: h.settings.Peers, Secret: peerSecret, Logger: h.log}); err != nil {
		return errors.Wrap(err, "peers")
	}
	if h.udp, err = net.ListenPacket("udp4", h.settings.Peers); err != nil {
		return errors.Wrap(err, "listen for digests (UDP)")
	}
	self := cluster.Member{Name: h.settings.Host, Incarnation: time.Now().UnixMicro(), Address: h.settings.Peers, Zone: h.settings.Zone, Size: h.settings.Size}
	h.cluster = cluster.New(cluster.Options{Self: self, Conn: h.udp, Logger: h.log})
	at := h.platform.Collections()
	collections := []informer.Collection{
		{Prefix: at.Config, Wait: informer.PromptWait, TakeOver: informer.PromptTakeOver},
		{Prefix: at.Servers, Wait: informer.PromptWait, TakeOver: informer.PromptTakeOver},
		{Prefix: bulk.Collection, Wait: stateWatchWait, TakeOver: stateTakeOver, Gather: stateGather},
		{Prefix: at.Retirements, Wait: retirementWatchWait, TakeOver: retirementTakeOver},
	}
	if h.settings.EvacuationTime > 0 {
		collections = append(collections, informer.Collection{Prefix: at.Evacuations, Wait: evacuationWatchWait, TakeOver: evacuationTakeOver})
	}
	h.informer = informer.New(informer.Options{
		Store: h.platform.Store(), Cluster: h.cluster, Peers: h.node, Members: bulk.Collection, Logger: h.log, Collections: collections,
	})
	objects := storerelay.New(storerelay.Options{
		Direct: h.platform.Store(), Peers: h.node, Reachable: h.informer.Reachable, Metrics: h.metrics, Logger: h.log,
	})
	client := upstream.New(upstream.Options{AnswerMemory: h.settings.Memory / answerMemoryPart})
	h.config = &configuration{platform: h.platform, informer: h.informer, prefix: at.Config, keyAge: h.settings.KeyAge, log: h.log}
	h.slots = slots.New(slots.Options{
		Zone: h.settings.Zone, Cluster: h.cluster, Logger: h.log,
		ListAge: func() (time.Duration, bool) { return h.informer.Age(at.Servers) },
	})
	h.online = online.New(online.Options{
		Config: h.config, Codec: h.platform, Quotas: quotas.New(h.cluster, h.settings.QuotaTolerance, h.config.workspace, h.log), Slots: h.slots, Upstream: client,
		Suspects: online.NewSuspects(h.cluster, h.log), Metrics: h.metrics, Logger: h.log, IsLeaving: h.leaving.Load,
		SecondAttempts: online.NewSecondAttempts(h.cluster, h.settings.SecondAttempts, h.log),
	})
	h.jobs = bulk.New(bulk.Options{
		Store: objects, Cluster: h.cluster, Informer: h.informer, Peers: h.node, Config: h.config,
		Codec: h.platform, Items: h.platform, Slots: h.slots, Upstream: client, Metrics: h.metrics, Readable: h.settings.Readable, JobMemory: h.settings.Memory / jobMemoryPart, Logger: h.log,
	})
	h.config.onAdopt = func(next *routing.Snapshot) { h.slots.SetWarmUps(h.settings.ColdTolerance.warmUps(next.Services)) }
	h.members = &members{
		cluster: h.cluster, node: h.node, store: objects, isReader: h.informer.IsReader, onRegistered: h.slots.Registered, log: h.log,
	}
	h.retire = &retirements{platform: h.platform, isReader: h.informer.IsReader, log: h.log}
	servers := &serverList{platform: h.platform, slots: h.slots, upstream: client, log: h.log}
	h.informer.OnChange(at.Config, h.config.update)
	h.informer.OnChange(at.Servers, servers.update)
	h.informer.OnChange(bulk.Collection, h.members.update)
	h.informer.OnChange(at.Retirements, h.retire.update)
	if h.settings.EvacuationTime > 0 {
		h.informer.OnChange(at.Evacuations, evacuations{prefix: at.Evacuations, slots: h.slots}.update)
	}
	h.cluster.OnChange(h.members.updatePeerAddresses)
	h.registerGauges(at)
	return nil
}

// registerGauges registers the gauges, which are read when metrics are served.
func (h *host) registerGauges(at Collections) {
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
	h.slots.RegisterGauges(h.metrics)
	h.metrics.Gauge("peers_alive", func() float64 { return float64(len(h.cluster.Alive())) })
	h.metrics.Gauge("config_version", func() float64 {
		if c := h.config.Current(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
}

// ready reports whether the load balancer should send requests to this host.
func (h *host) ready() bool { return !h.leaving.Load() && h.config.Fresh() }

// run starts the components, serves until ctx ends, and shuts down.
func (h *host) run(ctx context.Context) error {
	servers, err := h.listen()
	if err != nil {
		return err
	}
	if err := h.node.Start(); err != nil {
		return errors.Wrap(err, "start peers")
	}
	// The components outlive ctx: they serve open requests while the host drains.
	componentCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group sync.WaitGroup
	group.Go(func() { h.informer.Run(componentCtx) })
	group.Go(func() { h.cluster.Run(componentCtx) })
	group.Go(func() { h.slots.Run(componentCtx) })
	group.Go(func() { h.jobs.Run(componentCtx) })
	group.Go(func() { h.members.register(componentCtx) })
	group.Go(func() { h.members.run(componentCtx) })
	group.Go(func() { h.retire.run(componentCtx) })
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.serve() }()
	}
	h.log.Info("host started", "event", "started", "callers", h.settings.Callers, "peers", h.settings.Peers, "store", h.settings.Store)
	select {
	case <-ctx.Done():
	case err = <-failed:
		h.log.Error("HTTP server stopped unexpectedly", "event", "server_ended", "error", err)
	}
	h.shutdown(servers)
	stop()
	_ = h.udp.Close() // ends the read loop
	group.Wait()
	h.log.Info("host stopped", "event", "stopped")
	return err
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	name     string
	server   *http.Server
	listener *callers.Listener
}

func (s httpServer) serve() error {
	return errors.Wrapf(s.server.Serve(s.listener), "serve %s", s.name)
}

// listen binds all addresses before any component starts.
func (h *host) listen() ([]httpServer, error) {
	h.calls = &calls{
		next:      h.platform.Callers(Services{Config: h.config, Online: h.online, Jobs: h.jobs}),
		requestID: h.platform.RequestID, isLeaving: h.leaving.Load, metrics: h.metrics, log: h.log,
	}
	list := []struct {
		name, address string
		handler       http.Handler
	}{
		{callersServer, h.settings.Callers, abort.Handler(h.calls)},
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
			ErrorLog: slog.NewLogLogger(h.log.With("event", "http_server", "server", item.name).Handler(), slog.LevelWarn), ConnContext: callers.WithConnection, ConnState: callers.StateChanged,
		}
		listener := callers.NewListener(l, h.config.callerLimits)
		listener.SetBounds(h.bounds(item.name))
		if item.name != callersServer {
			server.MaxHeaderBytes, server.ReadTimeout, server.WriteTimeout = probeHeaderBytes, probeTime, probeTime
		}
		h.metrics.Gauge(item.name+"_connections", func() float64 { return float64(listener.OpenConnections()) })
		h.metrics.Gauge(item.name+"_memory_bytes", func() float64 { return float64(listener.MemoryTaken()) })
		out = append(out, httpServer{item.name, server, listener})
	}
	return out, nil
}

// callersServer is the name of the HTTP server of callers.
const callersServer = "callers"

// bounds returns what the callers of an HTTP server may take.
func (h *host) bounds(server string) callers.Bounds {
	out := callers.Bounds{Connections: probeConnections, Memory: probeMemory}
	if server == callersServer {
		out = callerBounds(h.settings)
	}
	out.Count = func(reason string) { h.metrics.Add("callers_bounded_total", 1, "server", server, "reason", reason) }
	return out
}

// callerBounds derives what callers may take from the limits of the process.
func callerBounds(s *Settings) callers.Bounds {
	out := callers.Bounds{Connections: defaultConnections, Memory: defaultCallerMemory}
	if s.Memory > 0 {
		out.Memory = s.Memory / callerMemoryPart
		out.Connections = min(out.Connections, int(s.Memory/connectionMemoryPart/connectionBytes))
	}
	if s.Sockets > 0 {
		out.Connections = min(out.Connections, s.Sockets/callerSocketPart)
	}
	return out
}

// shutdown drains the host. It reports not ready, hands batch work over to other
// hosts at once and lets online requests finish.
func (h *host) shutdown(servers []httpServer) {
	deadline := time.Now().Add(h.settings.Grace - shutdownMargin)
	h.log.Info("host draining", "event", "draining", "grace_ms", h.settings.Grace.Milliseconds())
	h.online.StopAt(deadline)
	h.leaving.Store(true)
	h.cluster.Leave()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		h.jobs.Close(ctx)
	}()
	time.Sleep(min(deregisterDelay, max(time.Until(deadline)/2, 0)))
	defer time.AfterFunc(time.Until(deadline), h.online.EndCalls).Stop()
	drainCtx, cancelDrain := context.WithDeadline(context.Background(), deadline.Add(lastAnswersTime))
	defer cancelDrain()
	var group sync.WaitGroup
	for _, s := range servers {
		if s.name != callersServer {
			continue // readiness and metrics are served until the process ends
		}
		group.Go(func() {
			if err := s.listener.Drain(drainCtx); err != nil {
				h.calls.cutOpen()
				h.log.Warn("requests aborted at the end of the grace period", "event", "drain_incomplete", "server", s.name, "error", err)
			}
		})
	}
	group.Wait()
	<-closed
	if err := h.node.Close(); err != nil {
		h.log.Warn("cannot close peer node", "step", "close peers", "error", err)
	}
}
