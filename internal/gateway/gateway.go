// Package gateway serves the callers' API: OpenAI-style model requests, files
// and batches, and plain services under their route's prefix. It
// authenticates callers, applies limits, and returns whole answers or a
// refusal that states whether the request may have run.
package gateway

import (
	"context"
	"expvar"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"ragwortstep/internal/core/config"
	"ragwortstep/internal/dispatch"
	"ragwortstep/internal/events"
	"ragwortstep/internal/fleet"
	"ragwortstep/internal/limiter"
	"ragwortstep/internal/settings"
)

var counters = expvar.NewMap("gateway")

// Limiter admits requests within a workspace's rate and burst.
type Limiter interface {
	// Acquire fails with *limiter.RefusedError when no token could be had.
	Acquire(ctx context.Context, workspace string, n float64, class limiter.Class) error
}

// Dispatcher runs requests at backend servers.
type Dispatcher interface {
	// Do fails with *dispatch.RefusedError.
	Do(ctx context.Context, req *dispatch.Request) (*dispatch.Response, error)
}

// WithWorkspace stores the authenticated workspace for the handler of files and batches.
type WithWorkspace func(ctx context.Context, workspace string) context.Context

// Options are what a Gateway needs. All fields but Logger and Events are required.
type Options struct {
	Fleet         fleet.Service
	Limiter       Limiter
	Dispatcher    Dispatcher
	Once          Once         // at-most-once records
	Jobs          http.Handler // files and batches
	WithWorkspace WithWorkspace
	Settings      settings.Gateway
	Events        *events.Recorder
	Logger        *slog.Logger
}

// Gateway is the callers' HTTP interface of one host.
type Gateway struct {
	opts     Options
	keys     atomic.Pointer[keyIndex]
	routes   atomic.Pointer[routeTable]
	running  *running
	draining atomic.Bool
	mux      *http.ServeMux
}

// New returns a gateway that follows the fleet's configuration.
func New(opts Options) *Gateway {
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	g := &Gateway{opts: opts, running: newRunning(), mux: http.NewServeMux()}
	g.apply(opts.Fleet.Config())
	opts.Fleet.OnConfig(g.apply)
	g.mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	g.mux.HandleFunc("GET /readyz", g.ready)
	g.mux.HandleFunc("GET /v1/models", g.withKey(g.listModels))
	g.mux.HandleFunc("GET /v1/models/{model}", g.withKey(g.getModel))
	g.mux.HandleFunc("POST /v1/chat/completions", g.withKey(g.completion))
	g.mux.HandleFunc("POST /v1/completions", g.withKey(g.completion))
	g.mux.HandleFunc("/v1/files", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/files/", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/batches", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/v1/batches/", g.withKey(g.batchAPI))
	g.mux.HandleFunc("/", g.service)
	return g
}

// apply takes a new configuration into use and ends the requests of revoked keys.
func (g *Gateway) apply(s *config.Snapshot) {
	index := newKeyIndex(s)
	g.keys.Store(index)
	g.routes.Store(newRouteTable(s))
	if n := g.running.endRevoked(index); n > 0 {
		counters.Add("ended_key_revoked", int64(n))
	}
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	counters.Add("requests", 1)
	r.Header.Set(headerRequestID, requestID(r))
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if g.draining.Load() {
		// Makes the caller open its next connection, which the balancer sends to another host.
		w.Header().Set("Connection", "close")
	}
	g.mux.ServeHTTP(w, r)
}

// StartDraining makes the host not ready; open and new requests are still served.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// ready answers the balancer's readiness check.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if g.draining.Load() {
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if err := g.opts.Fleet.MayAdmit(time.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// requestID returns the caller's id when it is short, printable and without a
// key, else a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxRequestIDBytes || holdsKey(id, "") || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}

const (
	headerRequestID   = "X-Request-Id"
	headerExecuted    = "Ragwortstep-Executed"
	headerIdempotency = "Idempotency-Key"
	maxRequestIDBytes = 128
)

// admit checks that this host may serve now and takes a token of the workspace.
func (g *Gateway) admit(ctx context.Context, workspace string) *apiError {
	if err := g.opts.Fleet.MayAdmit(time.Now()); err != nil {
		return refusal(http.StatusServiceUnavailable, "host_not_current", "this host is cut off from the fleet", retryAfterNotCurrent)
	}
	if workspace == "" {
		return nil
	}
	err := g.opts.Limiter.Acquire(ctx, workspace, 1, limiter.Online)
	return limitError(err)
}
