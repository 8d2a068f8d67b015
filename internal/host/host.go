// Package host assembles one host: it builds the components, starts them in
// order and shuts them down without interrupting requests.
package host

import (
	"context"
	"crypto/tls"
	"expvar"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/callers"
	"ragwortstep/internal/core/limit"
	"ragwortstep/internal/dedupe"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/gateway"
	"ragwortstep/internal/jobs"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/orders"
	"ragwortstep/internal/peer"
	"ragwortstep/internal/settings"
	"ragwortstep/internal/store"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

// Host is one assembled host.
type Host struct {
	settings    *settings.Settings
	logger      *slog.Logger
	id          peer.HostID
	incarnation string

	store           store.Store
	events          *events.Recorder
	peers           *peer.Node
	fleet           *fleet.Fleet
	limiter         *limiter.Limiter
	dispatcher      *dispatch.Dispatcher
	dedupe          *dedupe.Records
	jobs            *jobs.Service
	gateway         *gateway.Gateway
	statusCollector *admin.StatusCollector
	orders          *orders.Controller
	draining        atomic.Bool
	closeSink       func()
	running         sync.WaitGroup // goroutines that shutdown waits for
}

// Serve runs a host until ctx ends, then shuts it down gracefully.
func Serve(ctx context.Context, s *settings.Settings, logger *slog.Logger) error {
	slog.SetDefault(logger)
	h, err := build(s, logger)
	if err != nil {
		return err
	}
	return h.run(ctx)
}

// build creates all components. None of them listens or runs yet.
func build(s *settings.Settings, logger *slog.Logger) (*Host, error) {
	h := &Host{settings: s, logger: logger, id: peer.HostID(s.Host.Name), incarnation: uuid.NewString()}
	h.store = store.NewHTTPStore(s.Platform.URL, s.Host.Name)
	if err := h.openEvents(); err != nil {
		return nil, err
	}
	var err error
	h.peers, err = peer.New(peer.Options{
		Self: h.id, Listen: s.Listen.Peers, Secret: s.Peers.Secret, Logger: logger,
		TLS: peer.TLSFiles{Cert: s.Peers.TLS.Cert, Key: s.Peers.TLS.Key, CA: s.Peers.TLS.CA},
	})
	if err != nil {
		return nil, errors.Wrap(err, "start peers")
	}
	h.fleet = fleet.New(h.fleetOptions())
	h.limiter = limiter.New(limiter.Options{
		Fleet: h.fleet, Peers: h.peers, Policy: limit.Policy(s.Limits.Policy), Wait: limiterWait(s.Limits.Wait), Incarnation: h.incarnation,
	})
	h.dispatcher = dispatch.New(dispatch.Options{
		Fleet: h.fleet, Store: h.store, Recorder: h.events, Logger: logger,
		Policy: s.Balance.Policy, NoPreempt: !s.Balance.Preempt,
	})
	h.dedupe = dedupe.New(dedupe.Options{Fleet: h.fleet, Peers: h.peers, Store: h.store, Incarnation: h.incarnation, Logger: logger})
	h.jobs = jobs.New(h.jobsOptions())
	h.statusCollector = admin.NewStatusCollector(admin.StatusCollectorOptions{
		Fleet: h.fleet, Incarnation: h.incarnation, AdminAddress: s.Listen.Admin, Recorder: h.events,
		Leaving:   h.draining.Load,
		LeaseLeft: func() time.Duration { return h.fleet.Status().LeaseRemaining },
	})
	h.orders = orders.New(orders.Options{
		Store: h.store, Writer: h.fleet.Writer(), Config: h.fleet.Config, Recorder: h.events, Logger: logger,
		Candidate: func() bool { return orders.IsCandidate(h.fleet.View(), orders.DefaultCandidates) },
	})
	return h, nil
}

// openEvents creates the recorder. It writes event files if a data folder is set.
func (h *Host) openEvents() error {
	h.closeSink = func() {}
	if h.settings.Host.DataFolder == "" {
		h.events = events.NewRecorder(h.settings.Host.Name, nil)
		return nil
	}
	sink, err := events.NewFileSink(events.FileOptions{
		Folder: filepath.Join(h.settings.Host.DataFolder, "events"), Logger: h.logger,
	})
	if err != nil {
		return errors.Wrap(err, "open event files")
	}
	h.events = events.NewRecorder(h.settings.Host.Name, sink.Record)
	h.closeSink = sink.Close
	return nil
}

func (h *Host) fleetOptions() fleet.Options {
	s := h.settings
	return fleet.Options{
		Self: fleet.Member{
			Host: h.id, Incarnation: h.incarnation, PeerAddress: s.Listen.Peers, Zone: s.Host.Zone, Size: s.Host.Size,
		},
		Peers: h.peers, Store: h.store, Recorder: h.events, Logger: h.logger,
		Seeds: s.Peers.Seeds, Heartbeat: s.Peers.HeartbeatInterval, Lease: s.Peers.Lease, Poll: s.Platform.Poll,
	}
}

func (h *Host) jobsOptions() jobs.Options {
	s := h.settings
	return jobs.Options{
		Host: h.id, Incarnation: h.incarnation, Store: h.store, Fleet: h.fleet, Peers: h.peers,
		Dispatcher: h.dispatcher, Limiter: h.limiter, Events: h.events, DataFolder: s.Host.DataFolder,
		IsPreempted: isPreempted,
		Workers:     s.Batch.Workers, Retention: s.Batch.Retention,
	}
}

// run starts the components, serves until ctx ends, and shuts down.
func (h *Host) run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	defer listeners.close()
	// The components outlive ctx, because they serve open requests while the host drains.
	componentsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := h.start(ctx, componentsCtx); err != nil {
		return err
	}
	servers, err := h.servers(listeners)
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, srv := range servers {
		group.Go(srv.serve)
	}
	h.events.Record(events.Event{Kind: "host.started", Detail: h.incarnation})
	h.logger.Info("host started", "callers", h.settings.Listen.Callers, "incarnation", h.incarnation)
	<-groupCtx.Done()
	h.shutdown(servers, stop)
	return group.Wait()
}

// start starts the components in the order of their dependencies. It waits for
// the first configuration and epoch until ctx ends; componentsCtx bounds the
// components themselves.
func (h *Host) start(ctx, componentsCtx context.Context) error {
	if err := h.peers.Start(); err != nil {
		return errors.Wrap(err, "start peers")
	}
	if err := h.fleet.Start(ctx); err != nil {
		return errors.Wrap(err, "join the fleet")
	}
	h.limiter.Start(componentsCtx)
	h.dispatcher.Start(componentsCtx)
	h.dedupe.Start(componentsCtx)
	h.jobs.Start(componentsCtx)
	h.running.Go(func() { h.statusCollector.Run(componentsCtx) })
	h.running.Go(func() { h.orders.Run(componentsCtx) })
	return nil
}

// listeners holds the listeners of the HTTP servers. They are opened before
// anything starts, so that a wrong address is reported at once.
type listeners struct {
	callers, admin, metrics net.Listener
}

func (h *Host) listen() (*listeners, error) {
	l := &listeners{}
	for _, item := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"callers", h.settings.Listen.Callers, &l.callers},
		{"admin", h.settings.Listen.Admin, &l.admin},
		{"metrics", h.settings.Listen.Metrics, &l.metrics},
	} {
		if item.address == "" {
			continue
		}
		bound, err := net.Listen("tcp", item.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen for %s", item.name)
		}
		*item.into = bound
	}
	return l, nil
}

func (l *listeners) close() {
	for _, bound := range []net.Listener{l.callers, l.admin, l.metrics} {
		if bound != nil {
			_ = bound.Close()
		}
	}
}

// httpServer is an HTTP server with its listener.
type httpServer struct {
	name     string
	server   *http.Server
	listener *callers.Listener
	tls      *tls.Config // nil without TLS
}

func (s httpServer) serve() error {
	accepting := net.Listener(s.listener)
	if s.tls != nil {
		accepting = tls.NewListener(accepting, s.tls)
	}
	err := s.server.Serve(accepting)
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// drain accepts no more connections and waits until all requests are answered, or
// ctx ends. Those over HTTP/2 may come until Shutdown, which asks callers to leave;
// over HTTP/1.1 it would drop requests.
func (s httpServer) drain(ctx context.Context) error {
	err := s.listener.Drain(ctx)
	return errors.CombineErrors(err, s.server.Shutdown(ctx))
}

func (h *Host) servers(l *listeners) ([]httpServer, error) {
	h.gateway = gateway.New(gateway.Options{
		Fleet: h.fleet, Limiter: h.limiter, Dispatcher: h.dispatcher, IdempotencyStore: h.dedupe,
		Jobs: h.jobs.Handler(), WithWorkspace: jobs.WithWorkspace,
		Settings: h.settings.Gateway, Events: h.events, Logger: h.logger,
	})
	forCallers, err := h.callersServer(l.callers)
	if err != nil {
		return nil, err
	}
	servers := []httpServer{forCallers, h.internalServer("admin", h.adminHandler(), l.admin)}
	if l.metrics != nil {
		mux := http.NewServeMux()
		mux.Handle("GET /debug/vars", expvar.Handler())
		servers = append(servers, h.internalServer("metrics", mux, l.metrics))
	}
	return servers, nil
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(h.logger.Handler(), slog.LevelDebug), ConnState: callers.StateChanged,
	}
}

// internalServer returns a server for operators. While the host drains, each answer
// is the last one of its connection.
func (h *Host) internalServer(name string, handler http.Handler, l net.Listener) httpServer {
	server := h.newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}))
	return httpServer{name: name, server: server, listener: callers.NewListener(l, nil)}
}

func (h *Host) callersServer(l net.Listener) (httpServer, error) {
	s := httpServer{name: "callers", server: h.newServer(h.gateway), listener: callers.NewListener(l, nil)}
	files := h.settings.Listen.TLS
	if files.Cert == "" {
		return s, nil
	}
	certs, err := newCertSource(files.Cert, files.Key)
	if err != nil {
		return httpServer{}, err
	}
	s.tls = &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: certs.getCertificate, NextProtos: []string{"h2", "http/1.1"}}
	s.server.TLSConfig = s.tls
	return s, nil
}

func (h *Host) adminHandler() http.Handler {
	return admin.New(admin.Options{
		Config: h.fleet,
		Writer: &configWriter{fleet: h.fleet, objects: h.store, now: time.Now},
		Status: h.statusCollector, Events: h.events, Recorder: h.events,
		Orders:      h.orders.Desired(),
		OperatorKey: h.settings.Admin.Key, Logger: h.logger,
	})
}

// leaveTimeout is how long a host whose requests have ended continues to try to
// leave the epoch. It is longer than the lease and its margin. In an outage of
// the platform the host cannot leave, and stops without leaving.
const leaveTimeout = 5 * time.Second

// shutdown drains the host: it reports not ready, so that the load balancer
// sends no new requests, waits for open requests, and stops the components.
func (h *Host) shutdown(servers []httpServer, stopComponents func()) {
	h.events.Record(events.Event{Kind: "host.draining"})
	h.logger.Info("host draining")
	h.draining.Store(true)
	h.gateway.StartDraining()
	drain, cancel := context.WithTimeout(context.Background(), h.settings.Gateway.Unready+h.settings.Gateway.Drain)
	defer cancel()
	leave, stopLeaving := context.WithCancel(drain)
	defer stopLeaving()
	left := make(chan error, 1)
	go func() { left <- h.fleet.Leave(leave) }() // hands over shares and roles while the load balancer reacts
	time.Sleep(h.settings.Gateway.Unready)
	h.endWork(drain, servers, h.jobs.Close)
	h.logErr("drain requests", h.dispatcher.Drain(drain))
	time.AfterFunc(leaveTimeout, stopLeaving)
	h.logErr("leave the epoch", <-left)
	stopComponents()
	h.running.Wait() // the order controller releases its role before it returns
	h.events.Record(events.Event{Kind: "host.stopped"})
	h.logErr("stop the fleet", h.fleet.Close())
	h.logErr("stop peers", h.peers.Close())
	h.closeSink()
	h.logger.Info("host stopped")
}

// endWork drains the servers, the callers' one of which is the first, and ends batch
// work. Callers do not wait for items, which may run until ctx ends: the host would
// accept requests until then and stop below them.
func (h *Host) endWork(ctx context.Context, servers []httpServer, closeJobs func(context.Context) error) {
	var group sync.WaitGroup
	group.Go(func() { h.logErr("release batch work", closeJobs(ctx)) })
	drain := func(s httpServer) { h.logErr("drain "+s.name, s.drain(ctx)) }
	drain(servers[0])
	group.Wait() // operators can watch the items end
	for _, srv := range servers[1:] {
		drain(srv)
	}
}

func (h *Host) logErr(step string, err error) {
	if err != nil {
		h.logger.Warn("shutdown step failed", "step", step, "error", err)
	}
}

// limiterWait converts the setting to limiter.Options.Wait, where no wait is
// negative and zero means the default.
func limiterWait(wait time.Duration) time.Duration {
	if wait == 0 {
		return -1
	}
	return wait
}

func isPreempted(err error) bool {
	var preempted *dispatch.PreemptedError
	return errors.As(err, &preempted)
}
